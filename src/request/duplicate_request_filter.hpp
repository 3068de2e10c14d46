// Detects duplicate requests by comparing everything that identifies a client's request. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Identifies a client's request. Two requests are equal if all fields are equal; an equal id alone is not
/// sufficient.
struct RequestFingerprint {
    ClientRequestId id;
    std::string kind, object, object_part, body;
};

class DuplicateRequestFilter {
public:
    /// Maximum number of remembered requests. If there are more, the requests that expire first are
    /// forgotten.
    static constexpr std::size_t max_entries = 16'384;

    /// Remembers the request until `until`, unless an equal request is already remembered.
    /// @return false if an equal request is already remembered
    [[nodiscard]] bool accept(const RequestFingerprint& fingerprint, RequestId request, TimePoint until,
                              TimePoint now);
    /// Forgets a request, so that an equal request is accepted again. The call has no effect if the request
    /// is not remembered.
    void forget_request(RequestId request);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct Key {
        ClientRequestId id;
        std::uint64_t digest = 0;  // hash of the rest of the fingerprint
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
