#include "registry/client.hpp"

#include <Poco/Exception.h>

#include "wire/http.hpp"
#include "wire/link.hpp"

namespace irismux::registry {
namespace {

// A message of a watch is bounded as any answer is; one that is longer asks for a full read, in pages.
constexpr std::size_t most_message = 1 << 20;

}  // namespace

class ClientLink final : public Link {
public:
    ClientLink(Client& client, MemberNo member)
        : Link(client.loop_, Poco::Net::StreamSocket(), LinkState::connecting),
          client_(&client),
          member_(member) {}

    bool start(const std::string& address) { return connect(Poco::Net::SocketAddress(address)); }
    MemberNo member() const { return member_; }
    bool idle() const { return state() != LinkState::ended && !busy_; }
    void post(const std::string& host, const etcd::Request& r, const std::string& token, bool stream) {
        busy_ = true;
        stream_ = stream;
        http::write_post(out_, host, r.target, token, r.body);
        flush();
    }
    void stop() {
        client_ = nullptr;
        close();
    }

protected:
    void on_open() override { flush(); }
    void on_bytes() override {
        const auto alive = shared_from_this();
        while (client_ && busy_ && state() == LinkState::open)
            if (!(stream_ ? take_streamed() : take_whole())) return;
        if (client_ && !busy_ && !in_.empty()) end("bytes that nobody asked for");
    }
    void on_end() override { end("connection lost"); }

private:
    // Each: whether there may be more to take.
    bool take_whole() {
        http::Answer answer;
        std::size_t used = 0;
        const Parsed p = http::parse_answer(in_.view(), answer, used);
        if (p == Parsed::more) return false;
        if (p == Parsed::bad) return end("an answer that is not HTTP/1.1"), false;
        in_.taken(used);
        busy_ = false;
        if (answer.close) close();
        client_->answered(answer.status, answer.body);
        return true;
    }
    bool take_streamed() {
        std::size_t used = 0;
        if (!headed_) {
            http::Head head;
            const Parsed p = http::parse_head(in_.view(), head, used);
            if (p == Parsed::more) return false;
            if (p == Parsed::bad) return end("an answer that is not HTTP/1.1"), false;
            if (head.status != 200 || !head.chunked) {
                stream_ = false;
                return true;
            }
            in_.taken(used);
            headed_ = true;
        }
        std::string_view chunk;
        const Parsed p = http::parse_chunk(in_.view(), chunk, used);
        if (p == Parsed::more) return false;
        if (p == Parsed::bad) return end("a stream that is not in chunks"), false;
        if (chunk.empty()) return end("the watch was ended"), false;
        message_.append(chunk);
        in_.taken(used);
        // Messages stand on lines of their own; a chunk may hold a part of one, or several.
        std::size_t first = 0;
        for (std::size_t line; client_ && (line = message_.find('\n', first)) != std::string::npos;
             first = line + 1)
            if (line > first) client_->streamed(std::string_view(message_).substr(first, line - first));
        message_.erase(0, first);
        if (client_ && message_.size() > most_message)
            client_->went_wrong({etcd::Fault::compacted, "a message that is too long"});
        return true;
    }
    void end(const char* why) {
        const auto alive = shared_from_this();
        Client* const client = std::exchange(client_, nullptr);
        close();
        if (client) client->broke(why);
    }

    Client* client_;
    MemberNo member_;
    bool busy_ = false, stream_ = false, headed_ = false;
    std::string message_;
};

Client::Client(Loop& loop, Knows& knows, Shelf shelf, std::uint64_t seed)
    : loop_(loop), shelf_(std::move(shelf)), watch_(*this, knows, shelf_.pace, seed) {}

Client::~Client() {
    loop_.forget(wake_);
    loop_.forget(no_attempt_);
    if (link_) link_->stop();
}

void Client::read(MemberNo m, const std::optional<RecordKey>& after, Revision at) {
    go({Kind::read, m, after, at});
}
void Client::check(MemberNo m, Revision at) { go({Kind::check, m, std::nullopt, at}); }
void Client::follow(MemberNo m, Revision from) { go({Kind::follow, m, std::nullopt, from}); }

void Client::hang_up() {
    if (link_) link_->stop();
    link_.reset();
    ask_ = Ask{};
}

void Client::wake(Instant at) {
    loop_.forget(wake_);
    wake_ = loop_.at(at, [this] { watch_.on_wake(loop_.now()); });
}

void Client::go(Ask ask) {
    loop_.forget(no_attempt_);
    ask_ = std::move(ask);
    token_tried_ = false;
    if (link_ && (!link_->idle() || link_->member() != ask_.member)) {
        link_->stop();
        link_.reset();
    }
    say();
}

void Client::say() {
    const std::string& address = shelf_.members[ask_.member.raw()];
    if (!link_) {
        link_ = std::make_shared<ClientLink>(*this, ask_.member);
        bool possible = false;
        try {
            possible = link_->start(address);
        } catch (const Poco::Exception&) {
            // Told below, as any connection that does not come up.
        }
        if (!possible) {
            link_->stop();
            link_.reset();
            // The Watch is not called from within its own calls.
            loop_.forget(no_attempt_);
            no_attempt_ = loop_.soon([this] {
                if (!link_ && ask_.kind != Kind::none) broke("no attempt to connect was possible");
            });
            return;
        }
    }
    authenticating_ = !shelf_.user.empty() && token_.empty();
    if (authenticating_)
        link_->post(address, etcd::authenticate(shelf_.user, shelf_.password), {}, false);
    else
        link_->post(address, request(), token_, ask_.kind == Kind::follow);
}

etcd::Request Client::request() const {
    if (ask_.kind == Kind::check) return etcd::last(shelf_.prefix, ask_.at, last_changed);
    if (ask_.kind == Kind::follow) return etcd::watch(shelf_.prefix, ask_.at);
    return etcd::range(shelf_.prefix, ask_.after, ask_.at, shelf_.page);
}

void Client::answered(int status, const std::string& body) {
    if (link_ && link_->state() == LinkState::ended) link_.reset();
    if (authenticating_) {
        const auto read = etcd::read_token(status, body);
        if (const auto* wrong = std::get_if<etcd::Problem>(&read)) return broke(wrong->words.c_str());
        token_ = std::get<std::string>(read);
        return say();
    }
    if (ask_.kind == Kind::follow) {
        // The stream was refused.
        const auto read = etcd::read_watch(body, shelf_.prefix);
        const auto* wrong = std::get_if<etcd::Problem>(&read);
        return went_wrong(wrong ? *wrong : etcd::Problem{etcd::Fault::other, "the watch was refused"});
    }
    const auto read = etcd::read_range(status, body, shelf_.prefix);
    if (const auto* wrong = std::get_if<etcd::Problem>(&read)) return went_wrong(*wrong);
    const auto& range = std::get<etcd::Range>(read);
    if (std::exchange(ask_.kind, Kind::none) == Kind::check)
        watch_.on_checked(loop_.now(), range.page.from, range.count, range.page.records);
    else
        watch_.on_page(loop_.now(), range.page);
}

void Client::streamed(std::string_view message) {
    const auto read = etcd::read_watch(message, shelf_.prefix);
    if (const auto* wrong = std::get_if<etcd::Problem>(&read)) return went_wrong(*wrong);
    const auto& said = std::get<etcd::Said>(read);
    if (said.canceled) return broke("the watch was cancelled");
    if (said.created)
        watch_.on_watching(loop_.now(), said.from);
    else
        watch_.on_changes(loop_.now(), said.from, said.changes, said.goes_on);
}

// A token is renewed once for each ask that it was refused for.
void Client::went_wrong(const etcd::Problem& problem) {
    if (problem.fault == etcd::Fault::refused && !shelf_.user.empty() && !std::exchange(token_tried_, true)) {
        token_.clear();
        if (link_ && !link_->idle()) {
            link_->stop();
            link_.reset();
        }
        return say();
    }
    if (problem.fault == etcd::Fault::compacted) return watch_.on_compacted(loop_.now());
    if (problem.fault == etcd::Fault::not_there) return watch_.on_not_there(loop_.now());
    broke(problem.words.c_str());
}

void Client::broke(const char* why) {
    if (link_) link_->stop();
    link_.reset();
    ask_.kind = Kind::none;
    watch_.on_broken(loop_.now(), why);
}

}  // namespace irismux::registry
