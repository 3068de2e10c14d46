#include "registry/asker.hpp"

#include <Poco/Exception.h>

#include "wire/http.hpp"
#include "wire/link.hpp"

namespace irismux::registry {
namespace {

// A message of a watch is bounded as any answer is; one that is longer asks for a full read, in pages.
constexpr std::size_t most_message = 1 << 20;

}  // namespace

class AskerLink final : public Link {
public:
    AskerLink(Asker& asker, MemberNo member)
        : Link(asker.loop_, Poco::Net::StreamSocket(), LinkState::connecting),
          asker_(&asker),
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
        asker_ = nullptr;
        close();
    }

protected:
    void on_open() override { flush(); }
    void on_bytes() override {
        const auto alive = shared_from_this();
        while (asker_ && busy_ && state() == LinkState::open)
            if (!(stream_ ? take_streamed() : take_whole())) return;
        if (asker_ && !busy_ && !in_.empty()) end("bytes that nobody asked for");
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
        asker_->answered(answer.status, answer.body);
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
        for (std::size_t line; asker_ && (line = message_.find('\n', first)) != std::string::npos;
             first = line + 1)
            if (line > first)
                asker_->replies_.streamed(std::string_view(message_).substr(first, line - first));
        message_.erase(0, first);
        if (asker_ && message_.size() > most_message) asker_->replies_.too_long();
        return true;
    }
    void end(const char* why) {
        const auto alive = shared_from_this();
        Asker* const asker = std::exchange(asker_, nullptr);
        close();
        if (asker) asker->replies_.broke(why);
    }

    Asker* asker_;
    MemberNo member_;
    bool busy_ = false, stream_ = false, headed_ = false;
    std::string message_;
};

Asker::Asker(Loop& loop, Replies& replies, const Settings& settings)
    : loop_(loop), replies_(replies), settings_(settings) {}

Asker::~Asker() {
    loop_.forget(no_attempt_);
    if (link_) link_->stop();
}

void Asker::ask(MemberNo member, etcd::Request request, bool stream) {
    loop_.forget(no_attempt_);
    member_ = member;
    request_ = std::move(request);
    stream_ = stream;
    asked_ = true;
    token_tried_ = false;
    if (link_ && (!link_->idle() || link_->member() != member_)) {
        link_->stop();
        link_.reset();
    }
    say();
}

void Asker::hang_up() {
    loop_.forget(no_attempt_);
    if (link_) link_->stop();
    link_.reset();
    asked_ = authenticating_ = false;
}

void Asker::say() {
    const std::string& address = settings_.members[member_.raw()];
    if (!link_) {
        link_ = std::make_shared<AskerLink>(*this, member_);
        bool possible = false;
        try {
            possible = link_->start(address);
        } catch (const Poco::Exception&) {
            // Told below, as any connection that does not come up.
        }
        if (!possible) {
            link_->stop();
            link_.reset();
            // Nobody is told from within their own calls.
            loop_.forget(no_attempt_);
            no_attempt_ = loop_.soon([this] {
                if (!link_ && asked_) replies_.broke("no attempt to connect was possible");
            });
            return;
        }
    }
    authenticating_ = !settings_.user.empty() && token_.empty();
    if (authenticating_)
        link_->post(address, etcd::authenticate(settings_.user, settings_.password), {}, false);
    else
        link_->post(address, request_, token_, stream_);
}

void Asker::answered(int status, const std::string& body) {
    if (link_ && link_->state() == LinkState::ended) link_.reset();
    if (!authenticating_) return replies_.replied(status, body);
    const auto read = etcd::read_token(status, body);
    if (const auto* wrong = std::get_if<etcd::Problem>(&read)) return replies_.broke(wrong->words.c_str());
    token_ = std::get<std::string>(read);
    say();
}

bool Asker::with_a_new_token() {
    if (settings_.user.empty() || std::exchange(token_tried_, true)) return false;
    token_.clear();
    if (link_ && !link_->idle()) {
        link_->stop();
        link_.reset();
    }
    say();
    return true;
}

}  // namespace irismux::registry
