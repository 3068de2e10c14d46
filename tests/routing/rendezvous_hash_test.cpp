#include "routing/rendezvous_hash.hpp"

#include <algorithm>
#include <map>

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class RendezvousHash : public ::testing::Test {
protected:
    std::vector<EndpointState> caches_ = std::vector<EndpointState>(5);

    RendezvousHash() {
        for (std::size_t n = 0; n < caches_.size(); ++n) {
            caches_[n].id = CacheId{"cache" + std::to_string(n)};
            caches_[n].rendezvous_key = rendezvous_key(caches_[n].id.raw());
        }
    }
    std::vector<EndpointState*> all() {
        std::vector<EndpointState*> result;
        for (EndpointState& cache : caches_) result.push_back(&cache);
        return result;
    }
    static ObjectName object(int n) { return ObjectName{"object" + std::to_string(n)}; }
};

// The expected values are the published FNV-1a offset basis and the published FNV-1a hash of "a", each passed
// through the finalizer.
TEST(RendezvousKey, IsFnv1aFinishedByMurmur3) {
    const auto finalizer = [](std::uint64_t h) { return rendezvous_score(h, 0); };
    EXPECT_EQ(rendezvous_key(""), finalizer(0xcbf29ce484222325ULL));
    EXPECT_EQ(rendezvous_key("a"), finalizer(0xaf63dc4c8601ec8cULL));
    EXPECT_EQ(finalizer(0), 0u);
    EXPECT_EQ(finalizer(1), 0xb456bcfc34c2cb2cULL);
}

TEST(RendezvousKey, TreatsBytesAsUnsigned) {
    const std::uint64_t fnv_of_0xff = (0xcbf29ce484222325ULL ^ 0xffULL) * 0x100000001b3ULL;
    EXPECT_EQ(rendezvous_key("\xff"), rendezvous_score(fnv_of_0xff, 0));
}

TEST_F(RendezvousHash, OrderDoesNotDependOnTheOrderOfTheList) {
    std::vector<EndpointState*> reversed = all();
    std::reverse(reversed.begin(), reversed.end());
    for (int n = 0; n < 50; ++n)
        EXPECT_EQ(rank_by_rendezvous_hash(object(n), all()), rank_by_rendezvous_hash(object(n), reversed));
}

// If objects of the remaining caches moved when one cache leaves, these objects would have to be filled
// again. The test removes one of five caches. Only the objects of the removed cache may move, each to the
// next cache in the object's order of preference.
TEST_F(RendezvousHash, WhenACacheLeavesOnlyItsObjectsMove) {
    std::vector<EndpointState*> rest = all();
    rest.erase(rest.begin() + 2);
    for (int n = 0; n < 200; ++n) {
        const std::vector<EndpointState*> before = rank_by_rendezvous_hash(object(n), all());
        const EndpointState* expected = before[0] == &caches_[2] ? before[1] : before[0];
        EXPECT_EQ(rank_by_rendezvous_hash(object(n), rest).front(), expected) << n;
    }
}

TEST_F(RendezvousHash, SpreadsObjectsEvenly) {
    std::map<CacheId, int> objects;
    for (int n = 0; n < 5000; ++n) ++objects[rank_by_rendezvous_hash(object(n), all()).front()->id];
    for (const auto& [cache, count] : objects) EXPECT_NEAR(count, 1000, 150) << cache.raw();
    EXPECT_EQ(objects.size(), caches_.size());
}

TEST_F(RendezvousHash, EqualWeightsAreOrderedById) {
    caches_[3].rendezvous_key = caches_[1].rendezvous_key;
    const std::vector<EndpointState*> ranked = rank_by_rendezvous_hash(object(1), {&caches_[3], &caches_[1]});
    EXPECT_EQ(ranked.front(), &caches_[1]);
}

}  // namespace
}  // namespace irismux::testing
