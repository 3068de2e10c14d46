#include "registry/registry_client.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace irismux::registry {

RegistryClient::RegistryClient(EventLoop& loop, WatchObserver& observer, Settings settings,
                               std::uint64_t seed, RecordKind kind)
    : event_loop_(loop),
      settings_(std::move(settings)),
      watch_(*this, observer, settings_.poll_policy, seed, kind),
      page_size_(settings_.page_size),
      connection_(loop, *this, settings_) {}

// --- requests of the watch -------------------------------------------------------------------------------

void RegistryClient::read_page(MemberIndex member, const std::optional<RecordKey>& after, Revision at) {
    send({Operation::read_page, member, after, at});
}

void RegistryClient::check_revision(MemberIndex member, Revision at) {
    send({Operation::check_revision, member, std::nullopt, at});
}

void RegistryClient::open_watch(MemberIndex member, Revision from) {
    send({Operation::watch, member, std::nullopt, from});
}

void RegistryClient::close() {
    connection_.close();
    pending_request_ = PendingRequest{};
}

void RegistryClient::schedule_wake(TimePoint at) {
    wake_timer_ = ScopedTimer(event_loop_, at, [this] { watch_.on_wake(event_loop_.now()); });
}

void RegistryClient::send(PendingRequest request) {
    pending_request_ = std::move(request);
    const bool watch = pending_request_.operation == Operation::watch;
    connection_.send_request(pending_request_.member, encode(pending_request_),
                             watch ? ReplyForm::stream : ReplyForm::whole);
}

etcd::Request RegistryClient::encode(const PendingRequest& request) const {
    switch (request.operation) {
        case Operation::check_revision:
            return etcd::most_recently_changed(settings_.prefix, request.at, max_checked_records);
        case Operation::watch:
            return etcd::watch(settings_.prefix, request.at);
        case Operation::none:
        case Operation::read_page:
            break;
    }
    return etcd::range(settings_.prefix, request.after, request.at, page_size_);
}

// --- replies ---------------------------------------------------------------------------------------------

void RegistryClient::on_reply(int status, const std::string& body) {
    if (pending_request_.operation == Operation::watch) return on_watch_refused(body);
    const auto reply = etcd::read_range(status, body, settings_.prefix);
    if (const auto* error = std::get_if<etcd::Error>(&reply)) return on_error(*error);
    on_range(std::get<etcd::Range>(reply), body.size());
}

void RegistryClient::on_watch_refused(const std::string& body) {
    const auto reply = etcd::read_watch(body, settings_.prefix);
    if (const auto* error = std::get_if<etcd::Error>(&reply)) return on_error(*error);
    on_request_failed({RequestFailureReason::watch_refused, {}});
}

void RegistryClient::on_range(const etcd::Range& range, std::size_t reply_bytes) {
    const Operation operation = std::exchange(pending_request_.operation, Operation::none);
    const Page& page = range.page;
    if (operation == Operation::check_revision)
        return watch_.on_check_result(event_loop_.now(), page.header, range.count, page.records);
    // Doubles the page size, up to the configured size, if on_reply_too_long() has halved it before and this
    // reply is far below the length limit.
    constexpr std::size_t small_reply_bytes = max_reply_bytes / 4;
    if (reply_bytes < small_reply_bytes) page_size_ = std::min(page_size_ * 2, settings_.page_size);
    watch_.on_page(event_loop_.now(), page);
}

void RegistryClient::on_stream_message(std::string_view message) {
    const auto read = etcd::read_watch(message, settings_.prefix);
    if (const auto* error = std::get_if<etcd::Error>(&read)) return on_error(*error);
    const auto& update = std::get<etcd::WatchMessage>(read);
    if (update.canceled) return on_request_failed({RequestFailureReason::watch_cancelled, {}});
    if (update.created) return watch_.on_watch_opened(event_loop_.now(), update.header);
    watch_.on_changes(event_loop_.now(), update.header, update.changes, update.fragment);
}

void RegistryClient::on_error(const etcd::Error& error) {
    switch (error.code) {
        case etcd::ErrorCode::unauthenticated:
            if (connection_.retry_with_new_token()) return;
            return on_request_failed({RequestFailureReason::authentication_failed, error.message});
        case etcd::ErrorCode::compacted:
            return watch_.on_compacted(event_loop_.now());
        case etcd::ErrorCode::revision_not_reached:
            return watch_.on_revision_not_reached(event_loop_.now());
        case etcd::ErrorCode::unreadable:
        case etcd::ErrorCode::other:
            return on_request_failed({RequestFailureReason::error_reply, error.message});
    }
}

// Reads all records again, as after a compaction. The full read uses pages below the limit and delivers the
// same changes.
void RegistryClient::on_message_too_long() { watch_.on_compacted(event_loop_.now()); }

// Sends a changed request, since the same request would lead to the same reply, which is too long. A page is
// requested again with half the records. A full read replaces a history check.
void RegistryClient::on_reply_too_long() {
    if (pending_request_.operation == Operation::check_revision)
        return watch_.on_compacted(event_loop_.now());
    if (pending_request_.operation != Operation::read_page || page_size_ <= 1)
        return on_request_failed({RequestFailureReason::record_too_long, {}});
    page_size_ /= 2;
    send(PendingRequest(pending_request_));
}

void RegistryClient::on_request_failed(const RequestFailure& failure) {
    connection_.close();
    pending_request_.operation = Operation::none;
    watch_.on_request_failed(event_loop_.now(), failure);
}

}  // namespace irismux::registry
