// The notice board: polled over HTTP/1.1 for changes of the list of caches and for purges.
//
// An answer may be of any length: its notices take effect one by one as they arrive, for a few milliseconds a
// turn of the loop, and each counts at once, so that the next poll goes on behind the last one that came
// whole.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/notice_reader.hpp"
#include "endpoint/endpoint_record.hpp"
#include "irismux/router.hpp"
#include "net/event_loop.hpp"
#include "net/event_time_estimator.hpp"

namespace irismux {

// A purge of an object, or of a group.
struct PurgeNotice {
    TimePoint at;     // by the own clock, as late as it can have been
    TimePoint stamp;  // as the event bears it
    PurgeGroupId group;
    std::optional<ObjectName> object;
};

// Receives the board's events, in their order.
class NoticeObserver {
public:
    virtual ~NoticeObserver() = default;
    // Each line with its address.
    virtual void on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) = 0;
    virtual void on_purge_notice(const PurgeNotice& purge) = 0;

    // For those who say what is in force here. Asked before each poll: whether the board is to tell all that
    // it holds, from its first event on.
    virtual bool wants_full_history() const { return false; }
    virtual void on_poll_started(bool /*from_start*/) {}
    // All events up to `newest` took effect; the poll named `asked_from`.
    virtual void on_poll_completed(std::int64_t /*newest*/, std::int64_t /*asked_from*/) {}
    virtual void on_poll_failed() {}
    virtual void on_notice_skipped() {}
};

class NoticeConnection;

class NoticeClient {
public:
    // After polls that failed in a row the board is polled again no sooner than after `retry_delay`.
    NoticeClient(EventLoop& loop, NoticeObserver& observer, std::string address, Duration retry_delay);
    ~NoticeClient();

    // Events known from elsewhere, {"rev": ..., "notices": [...]}; throws on what is not that. An event that
    // can't be read is left out.
    void load_known(const nlohmann::json& known);
    void poll();
    // The board is at another address from now on; its event numbers go on.
    void set_address(const std::string& address);

private:
    friend class NoticeConnection;

    // False: the event can't be read and is to be asked for once more.
    bool apply(const Notice& notice);
    std::string deliver(const Notice& notice);
    void set_times(std::int64_t revision);
    void find_newest(const nlohmann::json& known);
    void deliver_list(const nlohmann::json& pool);
    void deliver_purge(const nlohmann::json& flush);
    void answer_complete(std::int64_t revision);
    void poll_failed(std::string_view why);
    void poll_at(TimePoint due);

    EventLoop& event_loop_;
    NoticeObserver& observer_;
    std::string address_;
    Duration retry_delay_;
    std::int64_t revision_ = 0;     // of the last event that took effect
    std::int64_t polled_from_ = 0;  // the revision that the last poll named
    // The event behind this revision could not be read when it was last asked for.
    std::optional<std::int64_t> unreadable_behind_;
    bool last_poll_failed_ = false;
    TimePoint polled_at_;
    // When events happened. Those up to `history_` were known at the start, and may be told again; what is
    // behind has happened since the last poll that was answered whole was sent.
    EventTimeEstimator times_;
    std::int64_t history_ = 0;
    TimePoint history_known_at_, newest_in_history_, told_all_at_;
    ScopedTimer next_poll_;
    std::shared_ptr<NoticeConnection> connection_;
};

}  // namespace irismux
