#include "net/connection.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <sys/socket.h>

#include <cerrno>

#include "base/log.hpp"

namespace irismux {
namespace {

using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr std::size_t read_size = 4 * 1024;  // at least; as much as the buffer has grown to
// POCO 1.11 throws where a socket that does not block has no room; here that is a value like any other.
bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }
// The system's want of memory says nothing of the connection: the call is made again after a pause.
bool out_of_memory() { return errno == ENOMEM || errno == ENOBUFS; }
constexpr Duration memory_pause = Duration::micros(2'000);

// Options that make things better: one that can't be set even at a second try is done without.
template <class Set>
void set_if_possible(Set set) {
    constexpr int tries = 3;
    for (int n = 0; n < tries; ++n) try {
            return set();
        } catch (const Poco::Exception& e) {
            if (n + 1 == tries)
                log::write(log::Level::info, "a socket without an option: " + e.displayText());
        }
}

constexpr int reads_a_turn = 4;  // so that one busy connection does not hold up the others
// Of a connection that lingers: a few of the largest requests. Who says more is cut off.
constexpr std::size_t most_discarded = 256 * 1024;

}  // namespace

Connection::Connection(EventLoop& loop, Poco::Net::StreamSocket socket, ConnectionState state)
    : loop_(loop), socket_(std::move(socket)), state_(state) {}

Connection::~Connection() { close(); }

void Connection::register_handlers() {
    socket_.setBlocking(false);
    set_if_possible([this] { socket_.setNoDelay(true); });
    watch(state_ == ConnectionState::open, state_ == ConnectionState::connecting);
}

void Connection::limit_send_buffer(int bytes) {
    set_if_possible([&] { socket_.setSendBufferSize(bytes); });
}

Connection::ConnectResult Connection::connect(const Poco::Net::SocketAddress& to) {
    try {
        socket_.connectNB(to);
        register_handlers();
        return ConnectResult::started;
    } catch (const Poco::Exception& e) {
        const bool no_way = e.code() == ENETUNREACH || e.code() == EHOSTUNREACH;
        log::event(log::Level::info, "connect_failed",
                   {{"reason", e.displayText()}, {"to", to.toString()}, {"errno", e.code()}});
        close();
        return no_way ? ConnectResult::unreachable : ConnectResult::short_of_resources;
    }
}

// A port that could not be had reads like an attempt under way, and ends without an error.
bool Connection::is_connected() const {
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    return ::getpeername(socket_.impl()->sockfd(), reinterpret_cast<sockaddr*>(&peer), &size) == 0 ||
           errno != ENOTCONN;
}

void Connection::close() {
    if (state_ == ConnectionState::closed) return;
    state_ = ConnectionState::closed;
    for (ScopedTimer* const timer : {&linger_timer_, &rewatch_timer_, &read_pause_, &write_pause_})
        timer->cancel();
    // The reactor must forget the socket before its descriptor can be given to another one.
    watch(false, false);
    try {
        socket_.close();
    } catch (const Poco::Exception&) {
        // Nothing is left to be closed.
    }
}

// Guards answers just written, and the last of a client's questions, against the reset that a close over
// unread bytes is.
void Connection::linger(Duration most) {
    if (lingering_ || state_ == ConnectionState::closed) return;
    if (state_ == ConnectionState::connecting || failed_) return on_broken();
    lingering_ = reading_ = true;
    linger_timer_ = ScopedTimer(loop_, loop_.now() + most, [this] {
        const auto alive = shared_from_this();
        on_broken();
    });
    // From the loop: the caller may be anywhere.
    loop_.schedule_now([self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive || alive->state_ == ConnectionState::closed) return;
        alive->write_pending();
        alive->shut_down_sending();
    });
    watch(true, wants_writes_);
}

void Connection::shut_down_sending() {
    if (!lingering_ || sending_shut_down_ || failed_ || !output_.empty()) return;
    sending_shut_down_ = true;
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
}

bool Connection::peer_closed() const {
    char byte = 0;
    if (state_ != ConnectionState::open) return false;
    const ssize_t n = ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && !would_block() && !out_of_memory());
}

bool Connection::has_unread_data() const {
    char byte = 0;
    if (state_ != ConnectionState::open) return false;
    const ssize_t n = ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Where the system could not say, there may be some.
    return n > 0 || (n < 0 && (errno == EINTR || out_of_memory()));
}

void Connection::set_reading(bool wanted) {
    if (reading_ == wanted || lingering_) return;
    reading_ = wanted;
    if (state_ == ConnectionState::open) watch(wanted, wants_writes_);
}

// POCO 1.11 narrows what it polls a socket for only when the socket's last handler goes (seen in a trace:
// with a handler left, the poll goes on asking for room and the loop spins). So the last one always goes
// first. Errors wake either handler: the kernel reports them unasked.
void Connection::watch(bool for_bytes, bool for_room) {
    wants_reads_ = for_bytes;
    wants_writes_ = for_room;
    update_watch();
}

void Connection::update_watch() {
    const bool bytes_wanted = wants_reads_ && !read_pause_.pending();
    const bool room_wanted = wants_writes_ && !write_pause_.pending();
    const Poco::NObserver<Connection, ReadableNotification> bytes(*this, &Connection::on_readable);
    const Poco::NObserver<Connection, WritableNotification> room(*this, &Connection::on_writable);
    if ((watching_reads_ && !bytes_wanted) || (watching_writes_ && !room_wanted)) {
        if (watching_reads_) remove_handler(bytes);
        if (watching_writes_) remove_handler(room);
        watching_reads_ = watching_writes_ = false;
    }
    if (bytes_wanted && !watching_reads_) watching_reads_ = add_handler(bytes);
    if (room_wanted && !watching_writes_) watching_writes_ = add_handler(room);
    if (watching_reads_ != bytes_wanted || watching_writes_ != room_wanted) retry_watch_later();
}

// False: the system had no memory for it.
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
        // The system did not know of it.
    }
}

void Connection::retry_watch_later() {
    if (rewatch_timer_.pending()) return;
    rewatch_timer_ = ScopedTimer(loop_, loop_.now() + memory_pause, [this] { update_watch(); });
}

// Guards the loop against turns that do nothing but fail again.
void Connection::pause_reading() {
    if (read_pause_.pending()) return;
    read_pause_ = ScopedTimer(loop_, loop_.now() + memory_pause, [this] { update_watch(); });
    update_watch();
}

void Connection::pause_writing() {
    if (write_pause_.pending()) return;
    write_pause_ = ScopedTimer(loop_, loop_.now() + memory_pause, [this] { update_watch(); });
}

void Connection::on_broken() {
    if (state_ == ConnectionState::closed) return;
    close();
    on_closed();
}

// Exceptions stop here: they end this connection and nothing else.
template <class Step>
void Connection::guarded(Step step) {
    const std::shared_ptr<Connection> alive = weak_from_this().lock();
    if (!alive || state_ == ConnectionState::closed) return;
    try {
        step();
    } catch (const std::exception& e) {
        log::write(log::Level::info, std::string("a connection ends: ") + e.what());
        on_broken();
    }
    loop_.run_due_timers();
}

void Connection::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
    guarded([&] {
        if (state_ == ConnectionState::connecting) return;
        for (int i = 0; i < reads_a_turn && state_ == ConnectionState::open && reading_; ++i)
            if (!(lingering_ ? discard_some() : read_some())) return;
    });
}

// False when there is no more for now.
bool Connection::read_some() {
    char* const room = input_.prepare(read_size);
    const std::size_t most = input_.free_room();
    const ssize_t n = ::recv(socket_.impl()->sockfd(), room, most, 0);
    if (n < 0 && would_block()) return false;
    if (n < 0 && out_of_memory()) return pause_reading(), false;
    if (n <= 0) {
        on_broken();
        return false;
    }
    input_.commit(static_cast<std::size_t>(n));
    on_data();
    return static_cast<std::size_t>(n) == most;
}

bool Connection::discard_some() {
    char away[read_size];
    const ssize_t n = ::recv(socket_.impl()->sockfd(), away, sizeof away, 0);
    if (n < 0 && would_block()) return false;
    if (n < 0 && out_of_memory()) return pause_reading(), false;
    if (n > 0) discarded_ += static_cast<std::size_t>(n);
    if (n <= 0 || discarded_ > most_discarded) {
        on_broken();
        return false;
    }
    return static_cast<std::size_t>(n) == sizeof away;
}

void Connection::on_writable(const Poco::AutoPtr<WritableNotification>&) {
    guarded([&] {
        if (state_ == ConnectionState::connecting) {
            const int error = socket_.impl()->socketError();
            reset_ = error == ECONNRESET || error == EPIPE;
            if (error != 0 || !is_connected()) return on_broken();
            state_ = ConnectionState::open;
            watch(reading_, false);
            on_open();
        }
        if (!lingering_) return on_write_ready();
        write_pending();
        shut_down_sending();
    });
}

void Connection::schedule_write() {
    if (write_scheduled_ || state_ == ConnectionState::closed) return;
    write_scheduled_ = true;
    loop_.run_next_iteration([self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive) return;
        alive->write_scheduled_ = false;
        // While the socket is full the loop tells when it has room again.
        if (alive->state_ == ConnectionState::open && !alive->wants_writes_ && !alive->lingering_)
            alive->on_write_ready();
    });
}

void Connection::write_pending() {
    if (!writable()) return;
    while (!output_.empty()) {
        const std::string_view bytes = output_.view();
        const ssize_t n = ::send(socket_.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && would_block()) break;
        if (n < 0 && out_of_memory()) {
            pause_writing();
            break;
        }
        if (n < 0) {
            // The caller may be anywhere: the end is told from the loop. Until then nothing more is written:
            // who writes as long as there is something to say would never come to an end.
            failed_ = true;
            loop_.schedule_now([self = weak_from_this()] {
                if (const auto alive = self.lock()) alive->on_broken();
            });
            return watch(reading_, false);
        }
        output_.consumed(static_cast<std::size_t>(n));
        bytes_written_ += static_cast<std::uint64_t>(n);
    }
    watch(reading_, !output_.empty());
}

}  // namespace irismux
