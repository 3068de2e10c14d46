// Refuses a request that comes twice, by all that its client says of it. Without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// What makes two requests the same one. Requests that share the id alone are different ones.
struct RequestFingerprint {
    ClientRequestId id;
    std::string kind, object, object_part, body;
};

class DuplicateRequestFilter {
public:
    /// Beyond this the requests that are remembered for the shortest time are forgotten.
    static constexpr std::size_t max_entries = 16'384;

    /// Whether no equal request is remembered. If so it is remembered until `until`, as `request`.
    [[nodiscard]] bool accept(const RequestFingerprint& fingerprint, RequestId request, TimePoint until,
                              TimePoint now);
    /// An equal request may come from now on. Ignored if the request is not remembered.
    void forget_request(RequestId request);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct Key {
        ClientRequestId id;
        std::uint64_t digest = 0;  // of the rest of the fingerprint
        auto operator<=>(const Key&) const = default;
    };
    struct RememberedRequest {
        RequestId request;
        TimePoint until;
    };
    using Entries = std::map<Key, RememberedRequest>;

    static Key key_of(const RequestFingerprint& fingerprint);
    void erase(Entries::iterator entry);
    void erase_expired(TimePoint now);

    Entries entries_;
    std::map<RequestId, Key> by_request_;
    std::multimap<TimePoint, RequestId> by_expiry_;
};

}  // namespace irismux
