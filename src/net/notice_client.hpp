// The client of the notice board: polls it over HTTP/1.1 for changes of the endpoint list and for purges.
//
// A response may have any length. Its events take effect one by one as they arrive. The next poll requests
// the events after the last event that took effect, even if the response broke off.
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

/// A purge of one object, or of all objects of a group.
struct PurgeNotice {
    TimePoint at;         ///< the latest time at which the purge can have happened, by this process's clock
    TimePoint timestamp;  ///< the timestamp in the event
    PurgeGroupId group;
    std::optional<ObjectName> object;  ///< std::nullopt to purge the whole group
};

/// Receives the events of the board in their order.
class NoticeObserver {
public:
    virtual ~NoticeObserver() = default;
    /// @param complete whether `endpoints` is the whole list, so that endpoints missing from it are removed.
    virtual void on_endpoint_notice(const std::vector<EndpointRecord>& endpoints, bool complete) = 0;
    virtual void on_purge_notice(const PurgeNotice& purge) = 0;

    /// Called before each poll.
    /// @return whether the client requests all events of the board again, from the first event on.
    virtual bool wants_full_history() const { return false; }
    virtual void on_poll_started(bool /*from_start*/) {}
    /// Called when all events up to the revision `newest` have taken effect. The poll requested the events
    /// after the revision `polled_from`.
    virtual void on_poll_completed(std::int64_t /*newest*/, std::int64_t /*polled_from*/) {}
    virtual void on_poll_failed() {}
    /// Called when an event has been skipped because two attempts to read the event have failed.
    virtual void on_notice_skipped() {}
};

class NoticeClient final : private PollHandler {
public:
    /// @param observer must outlive the client.
    /// @param retry_delay the delay between polls if several polls in a row have failed or have returned
    /// immediately without new events.
    NoticeClient(EventLoop& loop, NoticeObserver& observer, std::string address, Duration retry_delay);
    ~NoticeClient() override;
    NoticeClient(const NoticeClient&) = delete;
    NoticeClient& operator=(const NoticeClient&) = delete;

    /// Applies events from another source, in the form {"rev": ..., "notices": [...]}. Events that can't be
    /// read are skipped. @throws std::runtime_error if `known` does not have that form.
    void load_known_events(const nlohmann::json& known);
    /// Polls now, and again after each response.
    void poll();
    /// Sets a new address of the board. The client continues from the last revision.
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
    std::int64_t revision_ = 0;     // revision of the last event that took effect
    std::int64_t polled_from_ = 0;  // the last poll requested the events after this revision
    TimePoint polled_at_;
    bool last_poll_failed_ = false;
    // If set, the event after this revision could not be read when the client last received this event.
    std::optional<std::int64_t> revision_before_unreadable_;

    // The history consists of the events up to `revision`. They had happened by `known_at`; how long before
    // this time is unknown.
    struct History {
        std::int64_t revision = 0;
        TimePoint known_at;
        TimePoint newest_timestamp;
    };
    History history_;
    // Time at which the last poll with a complete response was sent. Events that are not part of the history
    // have happened since this time.
    TimePoint last_complete_poll_at_;
    EventTimeEstimator times_;

    ScopedTimer next_poll_;
    std::shared_ptr<NoticeConnection> connection_;
};

}  // namespace irismux
