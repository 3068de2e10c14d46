#include "registry/registry_connection.hpp"

#include <Poco/Exception.h>

#include <optional>

#include "codec/http.hpp"
#include "net/connection.hpp"

namespace irismux::registry {
class RegistrySocket final : public Connection {
public:
    RegistrySocket(RegistryConnection& asker, MemberIndex member)
        : Connection(asker.event_loop_, Poco::Net::StreamSocket(), ConnectionState::connecting),
          asker_(&asker),
          member_(member) {}

    bool start(const std::string& address) {
        return connect(Poco::Net::SocketAddress(address)) == ConnectResult::started;
    }
    MemberIndex member() const { return member_; }
    bool idle() const { return state() != ConnectionState::closed && !busy_; }
    void post(const std::string& host, const etcd::Request& r, const std::string& token, bool stream) {
        busy_ = true;
        stream_ = stream;
        body_.reset();
        http::write_post(output_, host, r.target, token, r.body);
        schedule_write();
    }
    void stop() {
        asker_ = nullptr;
        close();
    }

protected:
    void on_open() override { schedule_write(); }
    void on_data() override {
        const auto alive = shared_from_this();
        while (asker_ && busy_ && state() == ConnectionState::open)
            if (!(body_ ? take_body() : take_head())) return;
        if (asker_ && !busy_ && !input_.empty()) end("bytes that nobody asked for");
    }
    void on_closed() override { end("connection lost"); }

private:
    // Each: whether there may be more to take.
    bool take_head() {
        std::size_t used = 0;
        const ParseStatus parsed = http::parse_head(input_.view(), head_, used);
        if (parsed == ParseStatus::incomplete) return false;
        if (parsed == ParseStatus::invalid || !head_.framed()) return end("an answer that is not HTTP/1.1");
        // A stream that was refused is answered as any other question.
        stream_ = stream_ && head_.status == 200 && head_.chunked;
        if (head_.sized && head_.length > max_reply_bytes) return refuse();
        input_.consumed(used);
        text_.clear();
        body_.emplace(head_);
        return true;
    }
    // Guards against a bound on chunks, which are as long as the other side likes: what counts is the length
    // of a message, or of the whole answer.
    bool take_body() {
        std::string_view piece;
        std::size_t used = 0;
        const ParseStatus parsed = body_->next(input_.view(), piece, used);
        if (parsed == ParseStatus::invalid) return end("a body that is not HTTP/1.1");
        text_.append(piece);
        input_.consumed(used);
        const bool ended = parsed == ParseStatus::complete;
        if (stream_) {
            take_messages();
            if (asker_ && ended) return end("the watch was ended");
        } else if (text_.size() > max_reply_bytes) {
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
        asker_->on_reply(head_.status, text);
    }
    // Messages stand on lines of their own; a piece may hold a part of one, or several.
    void take_messages() {
        std::size_t first = 0;
        for (std::size_t line; asker_ && (line = text_.find('\n', first)) != std::string::npos;
             first = line + 1)
            if (line > first)
                asker_->reply_handler_.on_stream_message(std::string_view(text_).substr(first, line - first));
        text_.erase(0, first);
        if (asker_ && text_.size() > max_reply_bytes) asker_->reply_handler_.on_message_too_long();
    }
    // The answer is too long: the rest of it is not read.
    bool refuse() {
        const auto alive = shared_from_this();
        RegistryConnection* const asker = std::exchange(asker_, nullptr);
        close();
        asker->on_refused();
        return false;
    }
    // Always false: there is no more to take.
    bool end(const char* why) {
        const auto alive = shared_from_this();
        RegistryConnection* const asker = std::exchange(asker_, nullptr);
        close();
        if (asker) asker->reply_handler_.on_connection_lost(why);
        return false;
    }

    RegistryConnection* asker_;
    MemberIndex member_;
    bool busy_ = false, stream_ = false;
    http::Head head_;
    std::optional<http::BodyReader> body_;  // none: its head has not come
    std::string text_;                      // of the answer or of a stream's message, so far
};

RegistryConnection::RegistryConnection(EventLoop& loop, ReplyHandler& replies, const Settings& settings)
    : event_loop_(loop), reply_handler_(replies), settings_(settings) {}

RegistryConnection::~RegistryConnection() {
    event_loop_.cancel(failure_timer_);
    if (socket_) socket_->stop();
}

void RegistryConnection::send_request(MemberIndex member, etcd::Request request, bool stream) {
    event_loop_.cancel(failure_timer_);
    member_ = member;
    request_ = std::move(request);
    stream_ = stream;
    request_pending_ = true;
    token_tried_ = false;
    if (socket_ && (!socket_->idle() || socket_->member() != member_)) {
        socket_->stop();
        socket_.reset();
    }
    write_request();
}

void RegistryConnection::close() {
    event_loop_.cancel(failure_timer_);
    if (socket_) socket_->stop();
    socket_.reset();
    request_pending_ = authenticating_ = false;
}

void RegistryConnection::write_request() {
    const std::string& address = settings_.members[member_.raw()];
    if (!socket_) {
        socket_ = std::make_shared<RegistrySocket>(*this, member_);
        bool possible = false;
        try {
            possible = socket_->start(address);
        } catch (const Poco::Exception&) {
            // Told below, as any connection that does not come up.
        }
        if (!possible) {
            socket_->stop();
            socket_.reset();
            // Nobody is told from within their own calls.
            event_loop_.cancel(failure_timer_);
            failure_timer_ = event_loop_.schedule_now([this] {
                if (!socket_ && request_pending_)
                    reply_handler_.on_connection_lost("no attempt to connect was possible");
            });
            return;
        }
    }
    authenticating_ = !settings_.user.empty() && token_.empty();
    if (authenticating_)
        socket_->post(address, etcd::authenticate(settings_.user, settings_.password), {}, false);
    else
        socket_->post(address, request_, token_, stream_);
}

void RegistryConnection::on_reply(int status, const std::string& body) {
    if (socket_ && socket_->state() == ConnectionState::closed) socket_.reset();
    if (!authenticating_) return reply_handler_.on_reply(status, body);
    const auto read = etcd::read_token(status, body);
    if (const auto* wrong = std::get_if<etcd::Error>(&read))
        return reply_handler_.on_connection_lost(wrong->message.c_str());
    token_ = std::get<std::string>(read);
    write_request();
}

void RegistryConnection::on_refused() {
    if (authenticating_) return reply_handler_.on_connection_lost("an answer that is too long");
    reply_handler_.on_reply_too_long();
}

bool RegistryConnection::retry_with_new_token() {
    if (settings_.user.empty() || std::exchange(token_tried_, true)) return false;
    token_.clear();
    if (socket_ && !socket_->idle()) {
        socket_->stop();
        socket_.reset();
    }
    write_request();
    return true;
}

}  // namespace irismux::registry
