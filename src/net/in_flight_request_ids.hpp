// Which request ids a connection has carried for which lookup. Ids are chosen by clients and may repeat, and
// an answer names nothing else: an id that was carried for one lookup is not carried for another one while an
// answer to the first may still come. Without I/O.
#pragma once

#include <cstddef>
#include <map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class InFlightRequestIds {
public:
    // More are not remembered: the half that ends first is forgotten. What may happen then: an answer that is
    // later than so many further sends of the connection is taken for that of another lookup of the same id.
    static constexpr std::size_t max_entries = 4096;

    void add(const ClientRequestId& name, RequestId lookup, TimePoint until, TimePoint now);
    // Whether an answer under that name may be meant for another lookup.
    bool used_by_another(const ClientRequestId& name, RequestId lookup, TimePoint now) const;
    std::size_t size() const { return entries_.size(); }

private:
    void erase_expired(TimePoint now);

    struct Entry {
        RequestId request;
        TimePoint until;
    };
    std::map<ClientRequestId, Entry> entries_;
    std::size_t erase_threshold_ = 64;  // rises with what is worth keeping: looking through all takes time
};

}  // namespace irismux
