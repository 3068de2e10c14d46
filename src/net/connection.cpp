#include "net/connection.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string_view>

#include "base/log.hpp"

namespace irismux {
namespace {

using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

// Minimum free room in the input buffer for a read. If the buffer has grown, a read may fill all of its free
// room.
constexpr std::size_t min_read_bytes = 4'096;
// Limits the reads from one connection per iteration, so that a busy connection does not delay other
// connections.
constexpr int max_reads_per_iteration = 4;
// A lingering connection that sends more than this is closed. The limit allows a few requests of the maximum
// size.
constexpr std::size_t max_discarded_bytes = 262'144;
// A system call that failed because the system was out of memory is retried after this delay.
constexpr Duration memory_retry_delay = Duration::micros(2'000);
constexpr int max_option_attempts = 3;

// POCO 1.11 throws an exception where a non-blocking socket would have to wait, so this file makes the system
// calls directly.
bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }
// Returns whether the last system call failed for lack of memory, which is no failure of the connection
// itself.
bool out_of_memory() { return errno == ENOMEM || errno == ENOBUFS; }

// Sets a socket option. If this fails repeatedly, the failure is only logged, since the connection also works
// without the option, but more slowly.
template <class Set>
void set_option_if_possible(std::string_view option, Set set) {
    for (int attempt = 1; attempt <= max_option_attempts; ++attempt) {
        try {
            set();
            return;
        } catch (const Poco::Exception& e) {
            if (attempt < max_option_attempts) continue;
            log::event(log::Level::info, "socket_option_failed",
                       {{"reason", e.displayText()}, {"option", option}});
        }
    }
}

}  // namespace

Connection::Connection(EventLoop& loop, const Poco::Net::StreamSocket& socket, ConnectionState state)
    : loop_(loop), socket_(socket), state_(state) {}

Connection::~Connection() { close(); }

// --- connecting and closing ------------------------------------------------------------------------------

void Connection::register_handlers() {
    socket_.setBlocking(false);
    set_option_if_possible("TCP_NODELAY", [this] { socket_.setNoDelay(true); });
    watch({.readable = state_ == ConnectionState::open, .writable = state_ == ConnectionState::connecting});
}

void Connection::limit_send_buffer(int bytes) {
    set_option_if_possible("SO_SNDBUF", [&] { socket_.setSendBufferSize(bytes); });
}

Connection::ConnectResult Connection::connect(const Poco::Net::SocketAddress& address) {
    try {
        socket_.connectNB(address);
        register_handlers();
        return ConnectResult::started;
    } catch (const Poco::Exception& e) {
        const bool no_route = e.code() == ENETUNREACH || e.code() == EHOSTUNREACH;
        log::event(log::Level::info, "connect_failed",
                   {{"reason", e.displayText()}, {"address", address.toString()}, {"errno", e.code()}});
        close();
        return no_route ? ConnectResult::unreachable : ConnectResult::short_of_resources;
    }
}

// Detects a connection for which no local port was free. Such a connection appears to be connecting and then
// ends without an error.
bool Connection::is_connected() const {
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    return ::getpeername(descriptor(), reinterpret_cast<sockaddr*>(&peer), &size) == 0 || errno != ENOTCONN;
}

void Connection::finish_connecting() {
    const int error = socket_.impl()->socketError();
    reset_while_connecting_ = error == ECONNRESET || error == EPIPE;
    if (error != 0 || !is_connected()) return on_broken();
    state_ = ConnectionState::open;
    watch({.readable = read_state_ != ReadState::pause, .writable = false});
    on_open();
}

void Connection::close() {
    if (state_ == ConnectionState::closed) return;
    state_ = ConnectionState::closed;
    for (ScopedTimer* const timer : {&linger_timer_, &rewatch_timer_, &read_pause_, &write_pause_})
        timer->cancel();
    // The reactor must stop watching the socket before the system can reuse its descriptor.
    watch({});
    try {
        socket_.close();
    } catch (const Poco::Exception&) {
        // The descriptor is already closed.
    }
}

// Prevents a reset that could destroy responses just written or a client's last requests: the system resets a
// connection that is closed while input is unread.
void Connection::linger(Duration timeout) {
    if (lingering() || state_ == ConnectionState::closed) return;
    if (state_ == ConnectionState::connecting || !writable()) return on_broken();
    read_state_ = ReadState::discard;
    linger_timer_ = ScopedTimer(loop_, loop_.now() + timeout, [this] {
        const auto alive = shared_from_this();
        on_broken();
    });
    // The write is deferred to the loop, because linger() may have been called from within a handler.
    run_soon([this] {
        if (state_ == ConnectionState::closed) return;
        write_pending();
        shut_down_sending();
    });
    watch({.readable = true, .writable = wanted_.writable});
}

void Connection::shut_down_sending() {
    if (!lingering() || write_state_ != WriteState::open || !output_.empty()) return;
    write_state_ = WriteState::shut_down;
    ::shutdown(descriptor(), SHUT_WR);
}

void Connection::on_broken() {
    if (state_ == ConnectionState::closed) return;
    close();
    on_closed();
}

Connection::PeekResult Connection::peek() const {
    char byte = 0;
    const ssize_t n = ::recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return PeekResult::data;
    if (n == 0) return PeekResult::ended;
    if (errno == EINTR || out_of_memory()) return PeekResult::unknown;
    return would_block() ? PeekResult::nothing : PeekResult::ended;
}

bool Connection::peer_closed() const {
    return state_ == ConnectionState::open && peek() == PeekResult::ended;
}

bool Connection::peer_has_left() const {
    if (state_ != ConnectionState::open) return state_ == ConnectionState::closed;
    pollfd polled{.fd = descriptor(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Connection::has_unread_data() const {
    if (state_ != ConnectionState::open) return false;
    const PeekResult result = peek();
    return result == PeekResult::data || result == PeekResult::unknown;
}

// --- watching --------------------------------------------------------------------------------------------

void Connection::set_reading(bool wanted) {
    const ReadState mode = wanted ? ReadState::deliver : ReadState::pause;
    if (read_state_ == mode || lingering()) return;
    read_state_ = mode;
    if (state_ == ConnectionState::open) watch({.readable = wanted, .writable = wanted_.writable});
}

void Connection::watch(Events wanted) {
    wanted_ = wanted;
    update_watch();
}

// Prevents a busy loop: after one of a socket's two handlers is removed, POCO 1.11 still polls the socket for
// the events of the removed handler. POCO stops this polling only when the socket has no handler left. Both
// handlers are therefore removed, and the handler that is still needed is added again. This one handler is
// enough to detect errors: POCO reports a socket error to the registered handler, whether this handler is for
// input or for output.
void Connection::update_watch() {
    const Events wanted{.readable = wanted_.readable && !read_pause_.pending(),
                        .writable = wanted_.writable && !write_pause_.pending()};
    const Poco::NObserver<Connection, ReadableNotification> readable(*this, &Connection::on_readable);
    const Poco::NObserver<Connection, WritableNotification> writable(*this, &Connection::on_writable);
    if ((watched_.readable && !wanted.readable) || (watched_.writable && !wanted.writable)) {
        if (watched_.readable) remove_handler(readable);
        if (watched_.writable) remove_handler(writable);
        watched_ = {};
    }
    if (wanted.readable && !watched_.readable) watched_.readable = add_handler(readable);
    if (wanted.writable && !watched_.writable) watched_.writable = add_handler(writable);
    if (watched_ != wanted) retry_watch_later();
}

// @return false if the system was out of memory.
template <class Observer>
bool Connection::add_handler(const Observer& observer) {
    try {
        loop_.addEventHandler(socket_, observer);
        return true;
    } catch (const Poco::Exception&) {
        remove_handler(observer);
        return false;
    }
}

template <class Observer>
void Connection::remove_handler(const Observer& observer) {
    try {
        loop_.removeEventHandler(socket_, observer);
    } catch (const Poco::Exception&) {
        // The socket was not being watched.
    }
}

void Connection::retry_watch_later() {
    if (rewatch_timer_.pending()) return;
    rewatch_timer_ = ScopedTimer(loop_, loop_.now() + memory_retry_delay, [this] { update_watch(); });
}

// Prevents a busy loop while the system is out of memory: the socket stays readable, and each read fails
// again.
void Connection::pause_reading() {
    if (read_pause_.pending()) return;
    read_pause_ = ScopedTimer(loop_, loop_.now() + memory_retry_delay, [this] { update_watch(); });
    update_watch();
}

void Connection::pause_writing() {
    if (write_pause_.pending()) return;
    write_pause_ = ScopedTimer(loop_, loop_.now() + memory_retry_delay, [this] { update_watch(); });
}

// --- events ----------------------------------------------------------------------------------------------

template <class Step>
void Connection::guarded(Step step) {
    const std::shared_ptr<Connection> alive = weak_from_this().lock();
    if (!alive || state_ == ConnectionState::closed) return;
    try {
        step();
    } catch (const std::exception& e) {
        log::event(log::Level::info, "connection_failed", {{"reason", e.what()}});
        on_broken();
    }
    loop_.run_due_timers();
}

void Connection::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
    guarded([this] {
        if (state_ == ConnectionState::connecting) return;
        for (int reads = 0; reads < max_reads_per_iteration; ++reads) {
            if (state_ != ConnectionState::open || read_state_ == ReadState::pause) return;
            const bool may_have_more = lingering() ? discard_some() : read_some();
            if (!may_have_more) return;
        }
    });
}

Connection::Received Connection::receive(std::span<char> room) {
    const ssize_t n = ::recv(descriptor(), room.data(), room.size(), 0);
    if (n > 0) return {ReceiveStatus::received, static_cast<std::size_t>(n)};
    if (n == 0) return {ReceiveStatus::ended};
    if (would_block()) return {ReceiveStatus::none_yet};
    if (!out_of_memory()) return {ReceiveStatus::ended};
    pause_reading();
    return {ReceiveStatus::none_yet};
}

// @return whether the kernel may have more input for this connection.
bool Connection::read_some() {
    char* const first = input_.prepare(min_read_bytes);
    const std::span<char> room(first, input_.free_capacity());
    const Received received = receive(room);
    if (received.status == ReceiveStatus::ended) on_broken();
    if (received.status != ReceiveStatus::received) return false;
    input_.commit(received.bytes);
    on_data();
    return received.bytes == room.size();
}

// @return whether the kernel may have more input for this connection.
bool Connection::discard_some() {
    std::array<char, min_read_bytes> discarded{};
    const Received received = receive(discarded);
    discarded_bytes_ += received.bytes;
    if (received.status == ReceiveStatus::ended || discarded_bytes_ > max_discarded_bytes) {
        on_broken();
        return false;
    }
    return received.status == ReceiveStatus::received && received.bytes == discarded.size();
}

void Connection::on_writable(const Poco::AutoPtr<WritableNotification>&) {
    guarded([this] {
        if (state_ == ConnectionState::connecting) finish_connecting();
        if (state_ != ConnectionState::open) return;
        if (!lingering()) return on_write_ready();
        write_pending();
        shut_down_sending();
    });
}

void Connection::schedule_write() {
    if (write_scheduled_ || state_ == ConnectionState::closed) return;
    write_scheduled_ = true;
    loop_.run_next_iteration([this, self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive) return;
        write_scheduled_ = false;
        // If the socket is full, nothing is written now: on_writable() is called as soon as the socket has
        // room.
        if (state_ == ConnectionState::open && !waits_for_room() && !lingering()) on_write_ready();
    });
}

void Connection::write_pending() {
    if (!writable()) return;
    while (!output_.empty()) {
        const std::string_view bytes = output_.view();
        const ssize_t n = ::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            if (n < 0 && out_of_memory())
                pause_writing();
            else if (n < 0 && !would_block())
                return on_write_failed();
            break;
        }
        output_.consume(static_cast<std::size_t>(n));
        bytes_written_ += static_cast<std::uint64_t>(n);
    }
    watch({.readable = read_state_ != ReadState::pause, .writable = !output_.empty()});
}

// Reports the failure from the loop, because the caller of write_pending() may be a handler. Nothing more is
// written before the report. Otherwise a caller that writes as long as there is output would never finish.
void Connection::on_write_failed() {
    write_state_ = WriteState::failed;
    run_soon([this] { on_broken(); });
    watch({.readable = read_state_ != ReadState::pause, .writable = false});
}

}  // namespace irismux
