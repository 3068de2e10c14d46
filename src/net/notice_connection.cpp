#include "net/notice_connection.hpp"

#include <algorithm>

namespace irismux {
namespace {

// Maximum time from a poll to the end of its response. A response that takes longer is broken off, and the
// next poll continues after the events that have arrived.
constexpr Duration max_response_time = Duration::micros(5'000'000);
// Maximum time per iteration of the loop in which events are applied. The remaining events wait for the next
// iteration.
constexpr Duration max_batch_time = Duration::micros(2'000);
constexpr int http_ok = 200;

}  // namespace

std::string_view to_string(PollError error) {
    switch (error) {
        case PollError::connect_failed:
            return "connect_failed";
        case PollError::connection_lost:
            return "connection_lost";
        case PollError::timeout:
            return "timeout";
        case PollError::not_http:
            return "not_http";
        case PollError::unexpected_status:
            return "unexpected_status";
        case PollError::unknown_length:
            return "unknown_length";
        case PollError::incomplete_json:
            return "incomplete_json";
        case PollError::invalid_answer:
            return "invalid_answer";
        case PollError::missing_revision:
            return "missing_revision";
        case PollError::unreadable_event:
            return "unreadable_event";
    }
    return "unknown";
}

NoticeConnection::NoticeConnection(EventLoop& loop, PollHandler& handler, Duration max_silence)
    : Connection(loop, Poco::Net::StreamSocket(), ConnectionState::connecting),
      handler_(handler),
      max_silence_(max_silence) {}

bool NoticeConnection::start(const std::string& address) {
    return connect(Poco::Net::SocketAddress(address)) == ConnectResult::started;
}

void NoticeConnection::poll(const std::string& host, const std::string& target) {
    http::write_get(output_, host, target);
    schedule_write();
    response_.emplace();
    polled_at_ = loop_.now();
    restart_response_timer();
}

void NoticeConnection::stop() {
    response_timer_.cancel();
    close();
}

void NoticeConnection::on_data() {
    // The received bytes belong to no poll, so the connection is closed and the next poll opens another
    // connection.
    if (!response_) return stop();
    restart_response_timer();
    read_response();
}

// Detects a stalled response: the timer is restarted whenever data arrives, up to the maximum time for the
// whole response.
void NoticeConnection::restart_response_timer() {
    const TimePoint due = std::min(loop_.now() + max_silence_, polled_at_ + max_response_time);
    response_timer_ = ScopedTimer(loop_, due, [this] {
        const auto alive = shared_from_this();
        if (state() != ConnectionState::closed) fail(PollError::timeout);
    });
}

// Keeps a long response from delaying requests: data that does not fit into this iteration's batch stays in
// the buffer, and nothing more is read until the next iteration.
void NoticeConnection::read_response() {
    const auto alive = shared_from_this();
    begin_batch();
    while (state() == ConnectionState::open && response_) {
        if (loop_.now() - batch_began_at_ >= max_batch_time) {
            batch_ = Batch::cut_short;
            return set_reading(false);
        }
        if (read_step() == Step::wait) return;
    }
}

void NoticeConnection::begin_batch() {
    if (batch_ != Batch::none) return;
    batch_ = Batch::running;
    batch_began_at_ = loop_.now();
    loop_.run_next_iteration([this, self = weak_from_this()] {
        if (const auto alive = self.lock()) end_batch();
    });
}

// Continues a batch of events in the next iteration only if the time limit has cut the batch short. A batch
// that waits for data must not wake the loop in each iteration.
void NoticeConnection::end_batch() {
    const Batch ended = std::exchange(batch_, Batch::none);
    if (ended != Batch::cut_short || state() != ConnectionState::open) return;
    set_reading(true);
    if (response_) read_response();
}

// Handles one event, or reads the next part of the response.
NoticeConnection::Step NoticeConnection::read_step() {
    NoticeReader& notices = response_->notices;
    if (const auto notice = notices.next()) {
        if (handler_.on_notice(*notice)) return Step::more;
        return fail(PollError::unreadable_event);
    }
    if (notices.error()) return fail(PollError::invalid_answer, to_string(*notices.error()));
    if (response_->body_ended) return finish();
    return response_->head ? read_body() : read_head();
}

NoticeConnection::Step NoticeConnection::read_head() {
    http::Head head;
    std::size_t used = 0;
    const ParseStatus status = http::parse_head(input_.view(), head, used);
    if (status == ParseStatus::incomplete) return Step::wait;
    if (status == ParseStatus::invalid) return fail(PollError::not_http);
    if (head.status != http_ok) return fail(PollError::unexpected_status, std::to_string(head.status));
    if (!head.framed()) return fail(PollError::unknown_length);
    input_.consume(used);
    response_->head = head;
    response_->body.emplace(head);
    return Step::more;
}

NoticeConnection::Step NoticeConnection::read_body() {
    std::string_view piece;
    std::size_t used = 0;
    const ParseStatus status = response_->body->next(input_.view(), piece, used);
    if (status == ParseStatus::invalid) return fail(PollError::not_http);
    response_->notices.feed(piece);
    input_.consume(used);
    response_->body_ended = status == ParseStatus::complete;
    return response_->body_ended || used > 0 ? Step::more : Step::wait;
}

NoticeConnection::Step NoticeConnection::finish() {
    if (!response_->notices.complete()) return fail(PollError::incomplete_json);
    const auto revision = response_->notices.revision();
    if (!revision) return fail(PollError::missing_revision);
    const bool reusable = !response_->head->close && input_.empty();
    response_.reset();
    response_timer_.cancel();
    if (!reusable) stop();
    handler_.on_poll_response(*revision);
    return Step::wait;
}

NoticeConnection::Step NoticeConnection::fail(PollError error, std::string_view detail) {
    const auto alive = shared_from_this();
    stop();
    response_.reset();
    handler_.on_poll_error(error, detail);
    return Step::wait;
}

}  // namespace irismux
