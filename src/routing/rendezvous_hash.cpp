#include "routing/rendezvous_hash.hpp"

#include <algorithm>

namespace irismux::routing {
namespace {

constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

std::uint64_t murmur3_finalizer(std::uint64_t h) {
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    h *= 0xc4ceb9fe1a85ec53ULL;
    return h ^ (h >> 33);
}

}  // namespace

std::uint64_t rendezvous_key(const std::string& name) {
    std::uint64_t h = fnv_offset_basis;
    for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * fnv_prime;
    return murmur3_finalizer(h);
}

std::uint64_t rendezvous_score(std::uint64_t object_key, std::uint64_t endpoint_key) {
    return murmur3_finalizer(object_key ^ endpoint_key);
}

std::vector<EndpointState*> rank_by_rendezvous_hash(const ObjectName& object,
                                                    std::vector<EndpointState*> endpoints) {
    const std::uint64_t object_key = rendezvous_key(object.raw());
    for (EndpointState* endpoint : endpoints)
        endpoint->rendezvous_score = rendezvous_score(object_key, endpoint->rendezvous_key);
    std::sort(endpoints.begin(), endpoints.end(), [](const EndpointState* a, const EndpointState* b) {
        if (a->rendezvous_score != b->rendezvous_score) return a->rendezvous_score > b->rendezvous_score;
        return a->id < b->id;
    });
    return endpoints;
}

}  // namespace irismux::routing
