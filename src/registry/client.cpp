#include "registry/client.hpp"

#include <algorithm>

namespace irismux::registry {
namespace {

// A page that takes less than this lets the next ones grow again.
constexpr std::size_t grows_below = most_answer / 4;

}  // namespace

Client::Client(Loop& loop, Knows& knows, Settings settings, std::uint64_t seed, Sort sort)
    : loop_(loop),
      settings_(std::move(settings)),
      watch_(*this, knows, settings_.pace, seed, sort),
      page_(settings_.page),
      asker_(loop, *this, settings_) {}

Client::~Client() { loop_.forget(wake_); }

void Client::read(MemberNo m, const std::optional<RecordKey>& after, Revision at) {
    go({Kind::read, m, after, at});
}
void Client::check(MemberNo m, Revision at) { go({Kind::check, m, std::nullopt, at}); }
void Client::follow(MemberNo m, Revision from) { go({Kind::follow, m, std::nullopt, from}); }

void Client::hang_up() {
    asker_.hang_up();
    ask_ = Ask{};
}

void Client::wake(Instant at) {
    loop_.forget(wake_);
    wake_ = loop_.at(at, [this] { watch_.on_wake(loop_.now()); });
}

void Client::go(Ask ask) {
    ask_ = std::move(ask);
    asker_.ask(ask_.member, request(), ask_.kind == Kind::follow);
}

etcd::Request Client::request() const {
    if (ask_.kind == Kind::check) return etcd::last(settings_.prefix, ask_.at, last_changed);
    if (ask_.kind == Kind::follow) return etcd::watch(settings_.prefix, ask_.at);
    return etcd::range(settings_.prefix, ask_.after, ask_.at, page_);
}

void Client::replied(int status, const std::string& body) {
    if (ask_.kind == Kind::follow) {
        // The stream was refused.
        const auto read = etcd::read_watch(body, settings_.prefix);
        const auto* wrong = std::get_if<etcd::Problem>(&read);
        return went_wrong(wrong ? *wrong : etcd::Problem{etcd::Fault::other, "the watch was refused"});
    }
    const auto read = etcd::read_range(status, body, settings_.prefix);
    if (const auto* wrong = std::get_if<etcd::Problem>(&read)) return went_wrong(*wrong);
    const auto& range = std::get<etcd::Range>(read);
    if (std::exchange(ask_.kind, Kind::none) == Kind::check)
        watch_.on_checked(loop_.now(), range.page.from, range.count, range.page.records);
    else
        take_page(range.page, body.size());
}

void Client::take_page(const Page& page, std::size_t bytes) {
    if (bytes < grows_below) page_ = std::min(page_ * 2, settings_.page);
    watch_.on_page(loop_.now(), page);
}

void Client::streamed(std::string_view message) {
    const auto read = etcd::read_watch(message, settings_.prefix);
    if (const auto* wrong = std::get_if<etcd::Problem>(&read)) return went_wrong(*wrong);
    const auto& said = std::get<etcd::Said>(read);
    if (said.canceled) return broke("the watch was cancelled");
    if (said.created)
        watch_.on_watching(loop_.now(), said.from);
    else
        watch_.on_changes(loop_.now(), said.from, said.changes, said.goes_on);
}

void Client::went_wrong(const etcd::Problem& problem) {
    if (problem.fault == etcd::Fault::refused && asker_.with_a_new_token()) return;
    if (problem.fault == etcd::Fault::compacted) return watch_.on_compacted(loop_.now());
    if (problem.fault == etcd::Fault::not_there) return watch_.on_not_there(loop_.now());
    broke(problem.words.c_str());
}

void Client::too_long() { went_wrong({etcd::Fault::compacted, "a message that is too long"}); }

// Guards against the same long answer again and again: a page is asked for anew with half the records, and a
// history that can't be compared is read whole.
void Client::answer_too_long() {
    if (ask_.kind == Kind::check) return watch_.on_compacted(loop_.now());
    if (ask_.kind != Kind::read || page_ <= 1) return broke("a record that is too long");
    page_ /= 2;
    go(Ask(ask_));
}

void Client::broke(const char* why) {
    asker_.hang_up();
    ask_.kind = Kind::none;
    watch_.on_broken(loop_.now(), why);
}

}  // namespace irismux::registry
