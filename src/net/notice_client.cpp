#include "net/notice_client.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

#include "base/log.hpp"

namespace irismux {
namespace {

// How long the board may hold a poll. The board would hold a poll for up to 5 s, but a board that no longer
// responds has to be detected well before 5 s have passed.
constexpr Duration poll_linger = Duration::micros(1'000'000);

}  // namespace

NoticeClient::NoticeClient(EventLoop& loop, NoticeObserver& observer, std::string address,
                           Duration retry_delay)
    : event_loop_(loop),
      observer_(observer),
      address_(std::move(address)),
      retry_delay_(retry_delay),
      last_complete_poll_at_(loop.now()) {}

NoticeClient::~NoticeClient() {
    if (connection_) connection_->stop();
}

// --- polls -----------------------------------------------------------------------------------------------

void NoticeClient::poll() {
    next_poll_.cancel();
    const bool from_start = observer_.wants_full_history();
    if (from_start) begin_full_history();
    observer_.on_poll_started(from_start);
    polled_from_ = revision_;
    polled_at_ = event_loop_.now();
    try {
        if (!connection_ || connection_->state() == ConnectionState::closed) {
            connection_ = std::make_shared<NoticeConnection>(event_loop_, static_cast<PollHandler&>(*this),
                                                             poll_linger + retry_delay_);
            if (!connection_->start(address_)) {
                connection_.reset();
                return on_poll_error(PollError::connect_failed, {});
            }
        }
        connection_->poll(address_, poll_target(revision_, poll_linger));
    } catch (const Poco::Exception& e) {
        connection_.reset();
        on_poll_error(PollError::connect_failed, e.displayText());
    }
}

// Events that are sent again are treated as history, even if the last poll was recent.
void NoticeClient::begin_full_history() {
    history_.revision = std::max(history_.revision, revision_);
    history_.known_at = event_loop_.now();
    revision_ = 0;
}

void NoticeClient::poll_at(TimePoint due) {
    next_poll_ = ScopedTimer(event_loop_, due, [this] { poll(); });
}

// Avoids polling the board in a busy loop: the next poll waits for the retry delay if the board has neither
// held the poll nor sent new events. For example, a board whose revisions have gone back responds in this
// way.
void NoticeClient::on_poll_response(std::int64_t revision) {
    observer_.on_poll_completed(revision, polled_from_);
    last_complete_poll_at_ = polled_at_;
    revision_ = std::max(revision_, revision);
    last_poll_failed_ = false;
    if (revision_ > polled_from_ || event_loop_.now() - polled_at_ >= retry_delay_) return poll();
    poll_at(polled_at_ + retry_delay_);
}

// The events received so far stay in effect. Events may be urgent, so the board is polled again at once.
// After a second failure in a row, the board is polled at once only if the failed poll brought new events.
void NoticeClient::on_poll_error(PollError error, std::string_view detail) {
    observer_.on_poll_failed();
    log::event(log::Level::info, "notice_poll_failed",
               {{"reason", to_string(error)},
                {"detail", detail},
                {"address", address_},
                {"revision", revision_},
                {"duration_ms", (event_loop_.now() - polled_at_).micros() / 1000}});
    const bool progress = revision_ > polled_from_;
    const bool at_once = !last_poll_failed_ || progress;
    last_poll_failed_ = true;
    poll_at(event_loop_.now() + (at_once ? Duration{} : retry_delay_));
}

// Prevents the loss of events when the address changes: the client requests from the new board every event
// that the old board has not sent completely.
void NoticeClient::set_address(const std::string& address) {
    if (address == address_) return;
    log::event(log::Level::info, "notice_board_changed", {{"address", address}, {"revision", revision_}});
    address_ = address;
    if (connection_) connection_->stop();
    connection_.reset();
    last_poll_failed_ = false;
    poll();
}

// --- events ----------------------------------------------------------------------------------------------

void NoticeClient::load_known_events(const nlohmann::json& known) {
    const KnownNotices notices = parse_known_notices(known);
    history_.revision = std::max(history_.revision, notices.revision);
    history_.known_at = event_loop_.now();
    history_.newest_timestamp = notices.newest_timestamp;
    for (const Notice& notice : notices.notices) {
        const bool applied = on_notice(notice);
        if (applied) continue;
        // The event can't be requested again. The second call skips the event if it still can't be read.
        (void)on_notice(notice);
    }
    revision_ = std::max(revision_, notices.revision);
}

// An event that can't be read is requested once more. If the event still can't be read, it is skipped.
// Otherwise this event would block all later events forever.
bool NoticeClient::on_notice(const Notice& notice) {
    if (notice.has_revision && notice.revision <= revision_) return true;
    if (const auto error = apply(notice)) {
        const bool failed_before = revision_before_unreadable_ == revision_;
        revision_before_unreadable_ = revision_;
        if (!failed_before) return false;
        log::event(log::Level::warning, "notice_skipped",
                   {{"reason", to_string(error->kind)},
                    {"detail", error->detail},
                    {"revision", notice.revision},
                    {"address", address_}});
        observer_.on_notice_skipped();
    }
    if (notice.has_revision) revision_ = notice.revision;
    return true;
}

// @return why the event can't be read, or std::nullopt if it has taken effect.
std::optional<EventError> NoticeClient::apply(const Notice& notice) {
    if (notice.error) return notice.error;
    begin_event_period(notice.revision);
    try {
        return deliver(parse_notice_event(notice));
    } catch (const std::exception& e) {
        return EventError{EventError::Kind::not_applicable, e.what()};
    }
}

std::optional<EventError> NoticeClient::deliver(NoticeEvent event) {
    if (auto* const endpoints = std::get_if<EndpointEvent>(&event)) deliver_endpoints(*endpoints);
    if (const auto* const purge = std::get_if<PurgeEvent>(&event)) deliver_purge(*purge);
    auto* const unreadable = std::get_if<UnreadableEvent>(&event);
    if (!unreadable) return std::nullopt;
    // Estimates the start times of caches even if the event can be read only in part, because the estimate
    // for a start is based on the first event that reports this start.
    estimate_starts(unreadable->endpoints);
    return unreadable->error;
}

void NoticeClient::deliver_endpoints(EndpointEvent& event) {
    estimate_starts(event.endpoints);
    observer_.on_endpoint_notice(event.endpoints, event.complete);
}

void NoticeClient::deliver_purge(const PurgeEvent& event) {
    PurgeNotice purge;
    purge.timestamp = event.timestamp;
    purge.group = event.group;
    purge.object = event.object;
    purge.at = times_.purge_time(event.timestamp);
    observer_.on_purge_notice(purge);
}

void NoticeClient::estimate_starts(std::vector<EndpointRecord>& endpoints) {
    for (auto& [update, address] : endpoints)
        update.started_at = times_.start_time(update.cache, update.started_at);
}

void NoticeClient::begin_event_period(std::int64_t revision) {
    if (revision <= history_.revision)
        times_.begin_history(history_.known_at, history_.newest_timestamp);
    else
        times_.begin_live(event_loop_.now(), last_complete_poll_at_);
}

}  // namespace irismux
