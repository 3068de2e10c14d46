// The client request ids that a connection has carried, each with its request. Clients choose the ids and may
// reuse them, and a response is identified by nothing else. So a connection does not carry an id for another
// request while a response to the first may still arrive. Performs no I/O.
#pragma once

#include <cstddef>
#include <map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class InFlightRequestIds {
public:
    /// When this many ids are stored, the half that expires first is erased. A response that arrives after so
    /// many further attempts on the connection could then be mistaken for a response to another request with
    /// its id.
    static constexpr std::size_t max_entries = 4'096;

    /// Records that the id is carried for `request`, to which responses may arrive until `until`. Replaces an
    /// earlier entry of the id.
    void add(const ClientRequestId& id, RequestId request, TimePoint until, TimePoint now);
    /// Whether a response with this id may belong to another request.
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
    // Grows with the number of entries that have not expired, because searching for expired ones takes time.
    std::size_t erase_threshold_ = min_erase_threshold;
};

}  // namespace irismux
