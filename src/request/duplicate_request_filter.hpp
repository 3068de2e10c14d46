// Requests by all that their clients said of them: those that are open, and side-effecting ones for a while
// longer. A request that comes again in the very same words has been sent twice, and is not run beside
// itself, or again; one that shares no more than the id is another request. Without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

// What makes two requests the same one.
struct RequestFingerprint {
    ClientRequestId id;
    std::string kind, object, object_part, body;
};

class DuplicateRequestFilter {
public:
    // More are not remembered: those that end first are forgotten.
    static constexpr std::size_t max_entries = 16'384;

    // False: it was taken before, and is to be remembered until a time that has yet to come.
    bool accept(const RequestFingerprint& words, RequestId lookup, TimePoint until, TimePoint now);
    // The same words may come again: the lookup has been answered, or has had no effect.
    void forget_request(RequestId lookup);
    std::size_t size() const { return entries_.size(); }

private:
    struct Key {
        ClientRequestId id;
        std::uint64_t digest = 0;  // of all else
        auto operator<=>(const Key&) const = default;
    };
    struct Entry {
        RequestId request;
        TimePoint until;
    };
    static Key key_of(const RequestFingerprint& words);
    void erase(std::map<Key, Entry>::iterator entry);
    void erase_expired(TimePoint now);

    std::map<Key, Entry> entries_;
    std::map<RequestId, Key> by_request_;
    std::multimap<TimePoint, RequestId> expiries_;
};

}  // namespace irismux
