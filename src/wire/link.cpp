#include "wire/link.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <sys/socket.h>

#include "process/log.hpp"

namespace irismux {
namespace {

using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr std::size_t read_size = 64 * 1024;
constexpr int reads_a_turn = 4;  // so that one busy connection does not hold up the others

}  // namespace

Link::Link(Loop& loop, Poco::Net::StreamSocket socket, LinkState state)
    : loop_(loop), socket_(std::move(socket)), state_(state) {}

Link::~Link() { close(); }

void Link::join() {
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    joined_ = true;
    loop_.addEventHandler(socket_, Poco::NObserver<Link, ErrorNotification>(*this, &Link::error));
    if (state_ == LinkState::connecting) want_room(true);
    read_on(true);
}

bool Link::connect(const Poco::Net::SocketAddress& to) {
    try {
        socket_.connectNB(to);
        join();
        return true;
    } catch (const Poco::Exception& e) {
        log::write(log::Level::info, "no attempt to connect to " + to.toString() + ": " + e.displayText());
        close();
        return false;
    }
}

void Link::close() {
    if (state_ == LinkState::ended) return;
    state_ = LinkState::ended;
    if (joined_) {
        // The reactor must forget the socket before its descriptor can be given to another one.
        loop_.removeEventHandler(socket_, Poco::NObserver<Link, ErrorNotification>(*this, &Link::error));
        read_on(false);
        want_room(false);
    }
    try {
        socket_.close();
    } catch (const Poco::Exception&) {
        // Nothing is left to be closed.
    }
}

void Link::read_on(bool wanted) {
    if (reading_ == wanted) return;
    reading_ = wanted;
    const Poco::NObserver<Link, ReadableNotification> observer(*this, &Link::readable);
    if (wanted)
        loop_.addEventHandler(socket_, observer);
    else
        loop_.removeEventHandler(socket_, observer);
}

void Link::want_room(bool wanted) {
    if (waits_for_room_ == wanted) return;
    waits_for_room_ = wanted;
    const Poco::NObserver<Link, WritableNotification> observer(*this, &Link::writable);
    if (wanted)
        loop_.addEventHandler(socket_, observer);
    else
        loop_.removeEventHandler(socket_, observer);
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

void Link::readable(const Poco::AutoPtr<ReadableNotification>&) {
    guarded([&] {
        if (state_ == LinkState::connecting) return;
        for (int i = 0; i < reads_a_turn && state_ == LinkState::open && reading_; ++i)
            if (!read_some()) return;
    });
}

// False when there is no more for now.
bool Link::read_some() {
    char* const room = in_.room(read_size);
    const int most = static_cast<int>(std::min(in_.free_room(), read_size * 4));
    const int n = socket_.receiveBytes(room, most);
    if (n < 0) return false;
    if (n == 0) {
        other_closed_ = true;
        broke();
        return false;
    }
    in_.filled(static_cast<std::size_t>(n));
    on_bytes();
    return n == most;
}

void Link::writable(const Poco::AutoPtr<WritableNotification>&) {
    guarded([&] {
        if (state_ == LinkState::connecting) {
            if (socket_.impl()->socketError() != 0) return broke();
            state_ = LinkState::open;
            want_room(false);
            on_open();
        }
        flush();
    });
}

void Link::error(const Poco::AutoPtr<ErrorNotification>&) {
    guarded([&] {
        // What came before the end still counts.
        while (state_ == LinkState::open && read_some()) {
        }
        broke();
    });
}

void Link::flush() {
    if (state_ != LinkState::open) return;
    try {
        while (!out_.empty()) {
            const std::string_view bytes = out_.view();
            const int n = socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
            if (n <= 0) break;
            out_.taken(static_cast<std::size_t>(n));
            written_ += static_cast<std::uint64_t>(n);
        }
    } catch (const Poco::Exception&) {
        // The caller may be anywhere: the end is told from the loop.
        loop_.soon([self = weak_from_this()] {
            if (const auto alive = self.lock()) alive->broke();
        });
        return want_room(false);
    }
    want_room(!out_.empty());
    if (out_.empty()) on_written();
}

}  // namespace irismux
