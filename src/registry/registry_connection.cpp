#include "registry/registry_connection.hpp"

#include <Poco/Exception.h>

#include <optional>

#include "codec/http.hpp"
#include "net/connection.hpp"

namespace irismux::registry {
class AskerLink final : public Link {
public:
    AskerLink(Asker& asker, MemberNo member)
        : Link(asker.loop_, Poco::Net::StreamSocket(), LinkState::connecting),
          asker_(&asker),
          member_(member) {}

    bool start(const std::string& address) {
        return connect(Poco::Net::SocketAddress(address)) == Attempt::begun;
    }
    MemberNo member() const { return member_; }
    bool idle() const { return state() != LinkState::ended && !busy_; }
    void post(const std::string& host, const etcd::Request& r, const std::string& token, bool stream) {
        busy_ = true;
        stream_ = stream;
        body_.reset();
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
            if (!(body_ ? take_body() : take_head())) return;
        if (asker_ && !busy_ && !in_.empty()) end("bytes that nobody asked for");
    }
    void on_end() override { end("connection lost"); }

private:
    // Each: whether there may be more to take.
    bool take_head() {
        std::size_t used = 0;
        const Parsed parsed = http::parse_head(in_.view(), head_, used);
        if (parsed == Parsed::more) return false;
        if (parsed == Parsed::bad || !head_.framed()) return end("an answer that is not HTTP/1.1");
        // A stream that was refused is answered as any other question.
        stream_ = stream_ && head_.status == 200 && head_.chunked;
        if (head_.sized && head_.length > most_answer) return refuse();
        in_.taken(used);
        text_.clear();
        body_.emplace(head_);
        return true;
    }
    // Guards against a bound on chunks, which are as long as the other side likes: what counts is the length
    // of a message, or of the whole answer.
    bool take_body() {
        std::string_view piece;
        std::size_t used = 0;
        const Parsed parsed = body_->next(in_.view(), piece, used);
        if (parsed == Parsed::bad) return end("a body that is not HTTP/1.1");
        text_.append(piece);
        in_.taken(used);
        const bool ended = parsed == Parsed::whole;
        if (stream_) {
            take_messages();
            if (asker_ && ended) return end("the watch was ended");
        } else if (text_.size() > most_answer) {
            return refuse();
        } else if (ended) {
            finish();
        }
        return ended || used > 0;
    }
    void finish() {
        busy_ = false;
        body_.reset();
        if (head_.close) close();
        const std::string text = std::exchange(text_, {});
        asker_->answered(head_.status, text);
    }
    // Messages stand on lines of their own; a piece may hold a part of one, or several.
    void take_messages() {
        std::size_t first = 0;
        for (std::size_t line; asker_ && (line = text_.find('\n', first)) != std::string::npos;
             first = line + 1)
            if (line > first) asker_->replies_.streamed(std::string_view(text_).substr(first, line - first));
        text_.erase(0, first);
        if (asker_ && text_.size() > most_answer) asker_->replies_.too_long();
    }
    // The answer is too long: the rest of it is not read.
    bool refuse() {
        const auto alive = shared_from_this();
        Asker* const asker = std::exchange(asker_, nullptr);
        close();
        asker->refused();
        return false;
    }
    // Always false: there is no more to take.
    bool end(const char* why) {
        const auto alive = shared_from_this();
        Asker* const asker = std::exchange(asker_, nullptr);
        close();
        if (asker) asker->replies_.broke(why);
        return false;
    }

    Asker* asker_;
    MemberNo member_;
    bool busy_ = false, stream_ = false;
    http::Head head_;
    std::optional<http::BodyReader> body_;  // none: its head has not come
    std::string text_;                      // of the answer or of a stream's message, so far
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

void Asker::refused() {
    if (authenticating_) return replies_.broke("an answer that is too long");
    replies_.answer_too_long();
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
