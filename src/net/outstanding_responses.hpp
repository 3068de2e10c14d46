// Decides which attempt a response on a connection to a cache may answer. A response names no more than the
// client request id, which clients choose and may use again. Performs no I/O.
//
// Invariant: while a response with a client request id may still arrive on a connection, the connection
// carries no other attempt with this id, neither of another request nor of the same request.
//
// | state of an id | entered | left | a response may arrive |
// | --- | --- | --- | --- |
// | outstanding | an attempt is about to be written | response, cancellation, attempt taken back | yes |
// | abandoned | the attempt was cancelled after it was written | response | yes, at any time |
// | answered | a response has arrived | its time has passed | yes, a copy of the response |
#pragma once

#include <compare>
#include <cstddef>
#include <map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Identifies an attempt within the process.
struct AttemptId {
    RequestId request;
    std::size_t index = 0;  ///< index of the attempt in its request
    auto operator<=>(const AttemptId&) const = default;
};

/// Which attempt a response that may still arrive on a connection belongs to.
enum class ResponseConflict {
    none,          ///< no response with the id may arrive: the connection may carry an attempt with this id
    same_request,  ///< it belongs to an earlier attempt of the request itself
    other_request  ///< it belongs to another request that has or had the same id
};

class OutstandingResponses {
public:
    /// Maximum number of abandoned ids. A connection with more of them must not carry new attempts, since an
    /// abandoned id is stored for as long as the connection lives.
    static constexpr std::size_t max_abandoned = 512;

    /// Must be called immediately before an attempt is written. If the result is ResponseConflict::none, the
    /// next response with this id belongs to the attempt. Otherwise the attempt must not be written.
    [[nodiscard]] ResponseConflict begin(const ClientRequestId& id, AttemptId attempt, TimePoint now);
    /// The result that begin() would have.
    [[nodiscard]] ResponseConflict conflict(const ClientRequestId& id, RequestId request,
                                            TimePoint now) const;
    /// The attempt was taken back before its first byte was written.
    void on_taken_back(const ClientRequestId& id, AttemptId attempt);
    /// The attempt was cancelled after it was written. Its response may arrive all the same.
    void on_cancelled(const ClientRequestId& id, AttemptId attempt);
    /// A response has arrived. Has no effect if the connection has carried no attempt with this id.
    /// @param copies_until the time until which a copy of the response may arrive.
    void on_response(const ClientRequestId& id, TimePoint copies_until);

    [[nodiscard]] bool too_many_abandoned() const { return abandoned_ > max_abandoned; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    static constexpr std::size_t min_erase_threshold = 64;
    enum class State { outstanding, abandoned, answered };
    struct Entry {
        AttemptId attempt;
        State state = State::outstanding;
        TimePoint copies_until{};  // set if the state is `answered`
    };

    static bool is_over(const Entry& entry, TimePoint now);
    Entry* find(const ClientRequestId& id, AttemptId attempt);
    void erase_over(TimePoint now);

    std::map<ClientRequestId, Entry> entries_;
    std::size_t abandoned_ = 0;
    // Number of entries at which begin() erases the entries whose time has passed. The threshold grows with
    // the number of other entries, because the search takes time.
    std::size_t erase_threshold_ = min_erase_threshold;
};

}  // namespace irismux
