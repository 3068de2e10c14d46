// Side-effecting requests that were taken not long ago, by all that their clients said of them. A request
// that comes again in the very same words is one that has been sent twice, and must not run twice; one that
// shares no more than the id is another request. Without I/O.
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

class EffectLog {
public:
    // More are not remembered: those that end first are forgotten.
    static constexpr std::size_t most_entries = 16'384;

    // False: it was taken before, and is to be remembered until a time that has yet to come.
    bool take(const RequestWords& words, LookupId lookup, Instant until, Instant now);
    // The lookup has ended without any effect: the same words may come again.
    void had_no_effect(LookupId lookup);
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
