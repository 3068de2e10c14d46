#include "registry/registry_client.hpp"

#include <algorithm>

namespace irismux::registry {
namespace {

// A page that takes less than this lets the next ones grow again.
constexpr std::size_t grows_below = max_reply_bytes / 4;

}  // namespace

RegistryClient::RegistryClient(EventLoop& loop, WatchObserver& knows, Settings settings, std::uint64_t seed,
                               RecordKind sort)
    : event_loop_(loop),
      settings_(std::move(settings)),
      watch_(*this, knows, settings_.poll_policy, seed, sort),
      page_size_(settings_.page_size),
      connection_(loop, *this, settings_) {}

RegistryClient::~RegistryClient() { event_loop_.cancel(wake_timer_); }

void RegistryClient::read_page(MemberIndex m, const std::optional<RecordKey>& after, Revision at) {
    send({Kind::read, m, after, at});
}
void RegistryClient::check_revision(MemberIndex m, Revision at) { send({Kind::check, m, std::nullopt, at}); }
void RegistryClient::open_watch(MemberIndex m, Revision from) { send({Kind::follow, m, std::nullopt, from}); }

void RegistryClient::close() {
    connection_.close();
    pending_ = PendingRequest{};
}

void RegistryClient::schedule_wake(TimePoint at) {
    event_loop_.cancel(wake_timer_);
    wake_timer_ = event_loop_.schedule_at(at, [this] { watch_.on_wake(event_loop_.now()); });
}

void RegistryClient::send(PendingRequest ask) {
    pending_ = std::move(ask);
    connection_.send_request(pending_.member, request(), pending_.kind == Kind::follow);
}

etcd::Request RegistryClient::request() const {
    if (pending_.kind == Kind::check)
        return etcd::most_recently_changed(settings_.prefix, pending_.at, max_checked_records);
    if (pending_.kind == Kind::follow) return etcd::watch(settings_.prefix, pending_.at);
    return etcd::range(settings_.prefix, pending_.after, pending_.at, page_size_);
}

void RegistryClient::on_reply(int status, const std::string& body) {
    if (pending_.kind == Kind::follow) {
        // The stream was refused.
        const auto read = etcd::read_watch(body, settings_.prefix);
        const auto* wrong = std::get_if<etcd::Error>(&read);
        return on_error(wrong ? *wrong : etcd::Error{etcd::ErrorCode::other, "the watch was refused"});
    }
    const auto read = etcd::read_range(status, body, settings_.prefix);
    if (const auto* wrong = std::get_if<etcd::Error>(&read)) return on_error(*wrong);
    const auto& range = std::get<etcd::Range>(read);
    if (std::exchange(pending_.kind, Kind::none) == Kind::check)
        watch_.on_check_result(event_loop_.now(), range.page.origin, range.count, range.page.records);
    else
        take_page(range.page, body.size());
}

void RegistryClient::take_page(const Page& page, std::size_t bytes) {
    if (bytes < grows_below) page_size_ = std::min(page_size_ * 2, settings_.page_size);
    watch_.on_page(event_loop_.now(), page);
}

void RegistryClient::on_stream_message(std::string_view message) {
    const auto read = etcd::read_watch(message, settings_.prefix);
    if (const auto* wrong = std::get_if<etcd::Error>(&read)) return on_error(*wrong);
    const auto& said = std::get<etcd::WatchMessage>(read);
    if (said.canceled) return on_connection_lost("the watch was cancelled");
    if (said.created)
        watch_.on_watch_opened(event_loop_.now(), said.origin);
    else
        watch_.on_changes(event_loop_.now(), said.origin, said.changes, said.fragment);
}

void RegistryClient::on_error(const etcd::Error& problem) {
    if (problem.code == etcd::ErrorCode::refused && connection_.retry_with_new_token()) return;
    if (problem.code == etcd::ErrorCode::compacted) return watch_.on_compacted(event_loop_.now());
    if (problem.code == etcd::ErrorCode::revision_not_reached)
        return watch_.on_revision_not_reached(event_loop_.now());
    on_connection_lost(problem.message.c_str());
}

void RegistryClient::on_message_too_long() {
    on_error({etcd::ErrorCode::compacted, "a message that is too long"});
}

// Guards against the same long answer again and again: a page is asked for anew with half the records, and a
// history that can't be compared is read whole.
void RegistryClient::on_reply_too_long() {
    if (pending_.kind == Kind::check) return watch_.on_compacted(event_loop_.now());
    if (pending_.kind != Kind::read || page_size_ <= 1)
        return on_connection_lost("a record that is too long");
    page_size_ /= 2;
    send(PendingRequest(pending_));
}

void RegistryClient::on_connection_lost(const char* why) {
    connection_.close();
    pending_.kind = Kind::none;
    watch_.on_broken(event_loop_.now(), why);
}

}  // namespace irismux::registry
