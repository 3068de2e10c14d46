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
constexpr Span memory_pause = Span::micros(2'000);

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

Link::Link(Loop& loop, Poco::Net::StreamSocket socket, LinkState state)
    : loop_(loop), socket_(std::move(socket)), state_(state) {}

Link::~Link() { close(); }

void Link::join() {
    socket_.setBlocking(false);
    set_if_possible([this] { socket_.setNoDelay(true); });
    watch(state_ == LinkState::open, state_ == LinkState::connecting);
}

void Link::hold_in_system(int bytes) {
    set_if_possible([&] { socket_.setSendBufferSize(bytes); });
}

Link::Attempt Link::connect(const Poco::Net::SocketAddress& to) {
    try {
        socket_.connectNB(to);
        join();
        return Attempt::begun;
    } catch (const Poco::Exception& e) {
        const bool no_way = e.code() == ENETUNREACH || e.code() == EHOSTUNREACH;
        log::event(log::Level::info, "connect_failed",
                   {{"reason", e.displayText()}, {"to", to.toString()}, {"errno", e.code()}});
        close();
        return no_way ? Attempt::unreachable : Attempt::short_of_resources;
    }
}

// A port that could not be had reads like an attempt under way, and ends without an error.
bool Link::is_connected() const {
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    return ::getpeername(socket_.impl()->sockfd(), reinterpret_cast<sockaddr*>(&peer), &size) == 0 ||
           errno != ENOTCONN;
}

void Link::close() {
    if (state_ == LinkState::ended) return;
    state_ = LinkState::ended;
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
void Link::linger(Span most) {
    if (lingering_ || state_ == LinkState::ended) return;
    if (state_ == LinkState::connecting || failed_) return broke();
    lingering_ = reading_ = true;
    loop_.at(loop_.now() + most, [self = weak_from_this()] {
        if (const auto alive = self.lock()) alive->broke();
    });
    // From the loop: the caller may be anywhere.
    loop_.soon([self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive || alive->state_ == LinkState::ended) return;
        alive->send_out();
        alive->end_own_direction();
    });
    watch(true, wants_room_);
}

void Link::end_own_direction() {
    if (!lingering_ || shut_ || failed_ || !out_.empty()) return;
    shut_ = true;
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
}

bool Link::ended_unheard() const {
    char byte = 0;
    if (state_ != LinkState::open) return false;
    const ssize_t n = ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && !would_block() && !out_of_memory());
}

bool Link::holds_unread() const {
    char byte = 0;
    if (state_ != LinkState::open) return false;
    const ssize_t n = ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Where the system could not say, there may be some.
    return n > 0 || (n < 0 && (errno == EINTR || out_of_memory()));
}

void Link::read_on(bool wanted) {
    if (reading_ == wanted || lingering_) return;
    reading_ = wanted;
    if (state_ == LinkState::open) watch(wanted, wants_room_);
}

// POCO 1.11 narrows what it polls a socket for only when the socket's last handler goes (seen in a trace:
// with a handler left, the poll goes on asking for room and the loop spins). So the last one always goes
// first. Errors wake either handler: the kernel reports them unasked.
void Link::watch(bool for_bytes, bool for_room) {
    wants_bytes_ = for_bytes;
    wants_room_ = for_room;
    update_watch();
}

void Link::update_watch() {
    const bool bytes_wanted = wants_bytes_ && !reads_later_, room_wanted = wants_room_ && !writes_later_;
    const Poco::NObserver<Link, ReadableNotification> bytes(*this, &Link::on_readable);
    const Poco::NObserver<Link, WritableNotification> room(*this, &Link::on_writable);
    if ((for_bytes_ && !bytes_wanted) || (for_room_ && !room_wanted)) {
        if (for_bytes_) remove_handler(bytes);
        if (for_room_) remove_handler(room);
        for_bytes_ = for_room_ = false;
    }
    if (bytes_wanted && !for_bytes_) for_bytes_ = add_handler(bytes);
    if (room_wanted && !for_room_) for_room_ = add_handler(room);
    if (for_bytes_ != bytes_wanted || for_room_ != room_wanted) watch_again_later();
}

// False: the system had no memory for it.
template <class Observer>
bool Link::add_handler(const Observer& observer) {
    try {
        loop_.addEventHandler(socket_, observer);
        return true;
    } catch (const Poco::Exception&) {
        remove_handler(observer);
        return false;
    }
}

template <class Observer>
void Link::remove_handler(const Observer& observer) {
    try {
        loop_.removeEventHandler(socket_, observer);
    } catch (const Poco::Exception&) {
        // The system did not know of it.
    }
}

void Link::watch_again_later() {
    if (std::exchange(watches_later_, true)) return;
    loop_.at(loop_.now() + memory_pause, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive || alive->state_ == LinkState::ended) return;
        alive->watches_later_ = false;
        alive->update_watch();
    });
}

// Guards the loop against turns that do nothing but fail again.
void Link::pause_reading() {
    if (std::exchange(reads_later_, true)) return;
    update_watch();
    loop_.at(loop_.now() + memory_pause, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive || alive->state_ == LinkState::ended) return;
        alive->reads_later_ = false;
        alive->update_watch();
    });
}

void Link::pause_writing() {
    if (std::exchange(writes_later_, true)) return;
    loop_.at(loop_.now() + memory_pause, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive || alive->state_ == LinkState::ended) return;
        alive->writes_later_ = false;
        alive->update_watch();
    });
}

void Link::broke() {
    if (state_ == LinkState::ended) return;
    close();
    on_end();
}

// Exceptions stop here: they end this connection and nothing else.
template <class Step>
void Link::guarded(Step step) {
    const std::shared_ptr<Link> alive = weak_from_this().lock();
    if (!alive || state_ == LinkState::ended) return;
    try {
        step();
    } catch (const std::exception& e) {
        log::write(log::Level::info, std::string("a connection ends: ") + e.what());
        broke();
    }
    loop_.settle();
}

void Link::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
    guarded([&] {
        if (state_ == LinkState::connecting) return;
        for (int i = 0; i < reads_a_turn && state_ == LinkState::open && reading_; ++i)
            if (!(lingering_ ? discard_some() : read_some())) return;
    });
}

// False when there is no more for now.
bool Link::read_some() {
    char* const room = in_.room(read_size);
    const std::size_t most = in_.free_room();
    const ssize_t n = ::recv(socket_.impl()->sockfd(), room, most, 0);
    if (n < 0 && would_block()) return false;
    if (n < 0 && out_of_memory()) return pause_reading(), false;
    if (n <= 0) {
        broke();
        return false;
    }
    in_.filled(static_cast<std::size_t>(n));
    on_bytes();
    return static_cast<std::size_t>(n) == most;
}

bool Link::discard_some() {
    char away[read_size];
    const ssize_t n = ::recv(socket_.impl()->sockfd(), away, sizeof away, 0);
    if (n < 0 && would_block()) return false;
    if (n < 0 && out_of_memory()) return pause_reading(), false;
    if (n > 0) discarded_ += static_cast<std::size_t>(n);
    if (n <= 0 || discarded_ > most_discarded) {
        broke();
        return false;
    }
    return static_cast<std::size_t>(n) == sizeof away;
}

void Link::on_writable(const Poco::AutoPtr<WritableNotification>&) {
    guarded([&] {
        if (state_ == LinkState::connecting) {
            const int error = socket_.impl()->socketError();
            reset_ = error == ECONNRESET || error == EPIPE;
            if (error != 0 || !is_connected()) return broke();
            state_ = LinkState::open;
            watch(reading_, false);
            on_open();
        }
        if (!lingering_) return on_room();
        send_out();
        end_own_direction();
    });
}

void Link::flush() {
    if (flushing_ || state_ == LinkState::ended) return;
    flushing_ = true;
    loop_.next_turn([self = weak_from_this()] {
        const auto alive = self.lock();
        if (!alive) return;
        alive->flushing_ = false;
        // While the socket is full the loop tells when it has room again.
        if (alive->state_ == LinkState::open && !alive->wants_room_ && !alive->lingering_) alive->on_room();
    });
}

void Link::send_out() {
    if (!writable()) return;
    while (!out_.empty()) {
        const std::string_view bytes = out_.view();
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
            loop_.soon([self = weak_from_this()] {
                if (const auto alive = self.lock()) alive->broke();
            });
            return watch(reading_, false);
        }
        out_.taken(static_cast<std::size_t>(n));
        written_ += static_cast<std::uint64_t>(n);
    }
    watch(reading_, !out_.empty());
}

}  // namespace irismux
