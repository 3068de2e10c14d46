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
struct RequestWords {
    RequestId id;
    std::string kind, object, part, body;
};

class RequestLog {
public:
    // More are not remembered: those that end first are forgotten.
    static constexpr std::size_t most_entries = 16'384;

    // False: it was taken before, and is to be remembered until a time that has yet to come.
    bool take(const RequestWords& words, LookupId lookup, Instant until, Instant now);
    // The same words may come again: the lookup has been answered, or has had no effect.
    void forget_lookup(LookupId lookup);
    std::size_t size() const { return entries_.size(); }

private:
    struct Key {
        RequestId id;
        std::uint64_t digest = 0;  // of all else
        auto operator<=>(const Key&) const = default;
    };
    struct Entry {
        LookupId lookup;
        Instant until;
    };
    static Key key_of(const RequestWords& words);
    void erase(std::map<Key, Entry>::iterator entry);
    void forget(Instant now);

    std::map<Key, Entry> entries_;
    std::map<LookupId, Key> by_lookup_;
    std::multimap<Instant, LookupId> ends_;
};

}  // namespace irismux
