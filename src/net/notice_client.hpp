// The client of the notice board: polls it over HTTP/1.1 for changes of the endpoint list and for purges.
//
// An answer may have any length. Its events take effect one by one as they arrive, and the next poll asks for
// what is behind the last of them, also where an answer broke off.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/notice_events.hpp"
#include "endpoint/endpoint_record.hpp"
#include "irismux/router.hpp"
#include "net/event_loop.hpp"
#include "net/event_time_estimator.hpp"
#include "net/notice_connection.hpp"

namespace irismux {

/// A purge of an object, or of a group.
struct PurgeNotice {
    TimePoint at;         ///< by this process's clock, the latest time at which it can have happened
    TimePoint timestamp;  ///< as the event bears it
    PurgeGroupId group;
    std::optional<ObjectName> object;  ///< none: all of the group
};

/// Receives the events of the board, in their order.
class NoticeObserver {
public:
    virtual ~NoticeObserver() = default;
    /// @param complete the whole list: endpoints that are not named are removed.
    virtual void on_endpoint_notice(const std::vector<EndpointRecord>& endpoints, bool complete) = 0;
    virtual void on_purge_notice(const PurgeNotice& purge) = 0;

    /// Asked before each poll: whether the board is to send all its events, from the first on.
    virtual bool wants_full_history() const { return false; }
    virtual void on_poll_started(bool /*from_start*/) {}
    /// All events up to `newest` have taken effect; the poll named `polled_from`.
    virtual void on_poll_completed(std::int64_t /*newest*/, std::int64_t /*polled_from*/) {}
    virtual void on_poll_failed() {}
    /// An event could not be read twice and has been left out.
    virtual void on_notice_skipped() {}
};

class NoticeClient final : private PollHandler {
public:
    /// @param observer must outlive the client.
    /// @param retry_delay between polls if several in a row have failed, or bring nothing new at once.
    NoticeClient(EventLoop& loop, NoticeObserver& observer, std::string address, Duration retry_delay);
    ~NoticeClient() override;
    NoticeClient(const NoticeClient&) = delete;
    NoticeClient& operator=(const NoticeClient&) = delete;

    /// Applies events that are known from elsewhere, {"rev": ..., "notices": [...]}. One that can't be read
    /// is left out. @throws std::runtime_error if `known` is not of that form.
    void load_known_events(const nlohmann::json& known);
    /// Polls now, and again after each answer.
    void poll();
    /// The board has another address from now on. Its revisions go on.
    void set_address(const std::string& address);

private:
    [[nodiscard]] bool on_notice(const Notice& notice) override;
    void on_poll_response(std::int64_t revision) override;
    void on_poll_error(PollError error, std::string_view detail) override;

    void begin_full_history();
    [[nodiscard]] std::optional<EventError> apply(const Notice& notice);
    [[nodiscard]] std::optional<EventError> deliver(NoticeEvent event);
    void deliver_endpoints(EndpointEvent& event);
    void deliver_purge(const PurgeEvent& event);
    void estimate_starts(std::vector<EndpointRecord>& endpoints);
    void begin_event_period(std::int64_t revision);
    void poll_at(TimePoint due);

    EventLoop& event_loop_;
    NoticeObserver& observer_;
    std::string address_;
    Duration retry_delay_;
    std::int64_t revision_ = 0;     // of the last event that took effect
    std::int64_t polled_from_ = 0;  // the revision that the last poll named
    TimePoint polled_at_;
    bool last_poll_failed_ = false;
    // The event behind this revision could not be read when it was last asked for.
    std::optional<std::int64_t> revision_before_unreadable_;

    // Events up to this revision were known before, and may have happened at any time.
    struct History {
        std::int64_t revision = 0;
        TimePoint known_at;
        TimePoint newest_timestamp;
    };
    History history_;
    // Events behind it have happened since the last poll that was answered whole was sent.
    TimePoint last_complete_poll_at_;
    EventTimeEstimator times_;

    ScopedTimer next_poll_;
    std::shared_ptr<NoticeConnection> connection_;
};

}  // namespace irismux
