// Stores the client request ids that a connection has carried, each with its request. Clients choose the ids
// and may reuse them, and a response contains no other identification. A connection therefore does not carry
// an id for a second request while a response to the first request may still arrive. Performs no I/O.
#pragma once

#include <cstddef>
#include <map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class InFlightRequestIds {
public:
    /// Maximum number of stored ids. When this many ids are stored, the half that expires first is erased. If
    /// a response to a request whose id was erased arrives afterwards, it could be mistaken for a response to
    /// another request with the same id.
    static constexpr std::size_t max_entries = 4'096;

    /// Records that the connection carries the id for `request`. Responses to the request may arrive until
    /// `until`. Replaces an earlier entry of the same id.
    void add(const ClientRequestId& id, RequestId request, TimePoint until, TimePoint now);
    /// Whether a response with this id may belong to a request other than `request`.
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
    // Number of entries at which add() erases the expired entries. The threshold grows with the number of
    // entries that have not expired, because a search for expired entries takes time.
    std::size_t erase_threshold_ = min_erase_threshold;
};

}  // namespace irismux
