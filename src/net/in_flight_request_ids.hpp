// Which client request ids a connection has carried for which request. Clients choose ids and may use them
// again, and a response names nothing else: an id is not carried for another request while a response to the
// first may still come. Without I/O.
#pragma once

#include <cstddef>
#include <map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class InFlightRequestIds {
public:
    /// At this size the half that expires first is forgotten. A response that is later than so many attempts
    /// of the connection could then be taken for one to another request of its id.
    static constexpr std::size_t max_entries = 4'096;

    /// The id is carried for `request`; responses may come until `until`. Replaces what was known of the id.
    void add(const ClientRequestId& id, RequestId request, TimePoint until, TimePoint now);
    /// Whether a response that bears the id may be meant for another request.
    [[nodiscard]] bool used_by_another(const ClientRequestId& id, RequestId request, TimePoint now) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    static constexpr std::size_t min_erase_threshold = 64;
    struct Entry {
        RequestId request;
        TimePoint until;
    };

    void erase_expired(TimePoint now);
    void erase_half();

    std::map<ClientRequestId, Entry> entries_;
    std::size_t erase_threshold_ = min_erase_threshold;  // rises with what stays, as a search takes time
};

}  // namespace irismux
