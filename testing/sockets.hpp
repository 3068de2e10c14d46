// Both ends of a connection for stand-ins, on the loop that they share with what they stand against.
#pragma once

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <semaphore>
#include <string>
#include <thread>

#include "net/connection.hpp"

namespace irismux::lab {

// A listening stand-in; whoever connects is handed on.
class Acceptor {
public:
    Acceptor(Loop& loop, std::function<void(Poco::Net::StreamSocket)> got, int backlog = 64,
             const std::string& at = "127.0.0.1:0")
        : loop_(loop), got_(std::move(got)), socket_(Poco::Net::SocketAddress(at), backlog) {
        socket_.setBlocking(false);
        loop_.addEventHandler(socket_, observer());
    }
    ~Acceptor() { stop(); }
    // From now on connections are left waiting.
    void stop() { loop_.removeEventHandler(socket_, observer()); }
    void take_again() { loop_.addEventHandler(socket_, observer()); }
    std::string address() const { return socket_.address().toString(); }

private:
    Poco::NObserver<Acceptor, Poco::Net::ReadableNotification> observer() {
        return {*this, &Acceptor::acceptable};
    }
    void acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
        got_(socket_.acceptConnection());
        loop_.settle();
    }
    Loop& loop_;
    std::function<void(Poco::Net::StreamSocket)> got_;
    Poco::Net::ServerSocket socket_;
};

// A stand-in's end of a connection: what comes is handed on as it stands in the buffer.
class Wire final : public Link {
public:
    Wire(Loop& loop, Poco::Net::StreamSocket s) : Link(loop, s, LinkState::open), socket_(s) {}
    explicit Wire(Loop& loop) : Wire(loop, Poco::Net::StreamSocket(), LinkState::connecting) {}
    std::function<void(Buffer&)> got = [](Buffer&) {};
    std::function<void()> ended = [] {};
    void start() { join(); }
    bool start(const std::string& to) { return connect(Poco::Net::SocketAddress(to)) == Attempt::begun; }
    Buffer& out() { return out_; }
    void say() { flush(); }
    bool all_said() const { return out_.empty(); }  // the system has it
    // Reads on, or lets what comes lie in the system.
    void hear(bool is) { read_on(is); }
    // As little as the system allows lies there; then the other side finds no room. Before it is started.
    void hear_little() { socket_.setReceiveBufferSize(1); }
    // Ends it so that the other side sees a reset.
    void reset() {
        if (state() != LinkState::ended) try {
                socket_.setLinger(true, 0);
            } catch (const Poco::Exception&) {
                // Not connected: there is nobody to see it.
            }
        close();
    }

protected:
    void on_open() override { flush(); }
    void on_bytes() override { got(in_); }
    void on_end() override { ended(); }

private:
    Wire(Loop& loop, Poco::Net::StreamSocket s, LinkState state) : Link(loop, s, state), socket_(s) {}
    Poco::Net::StreamSocket socket_;  // the same as the link's
};

// Runs a loop in stretches: it stands still, and may be touched, but within until(). A reactor of POCO 1.11
// can be run only once; so it runs in a thread of its own, and only one of the two threads is ever awake.
class Stretches {
public:
    explicit Stretches(Loop& loop) : loop_(loop), awake_(loop, [](Poco::Net::StreamSocket) {}) {
        loop_.next_turn([this] { stand_still(); });
        thread_ = std::thread([this] { loop_.run(); });
        still_.acquire();
    }
    ~Stretches() {
        over_ = true;
        go_.release();
        thread_.join();
    }

    // Until that is so, for so long at most; whether it is.
    bool until(std::function<bool()> so, Span most = Span::micros(10'000'000)) {
        so_ = std::move(so);
        end_ = loop_.now() + most;
        go_.release();
        still_.acquire();
        return so_has_come_;
    }

private:
    void stand_still() {
        still_.release();
        go_.acquire();
        if (over_) return loop_.stop();
        look();
    }
    void look() {
        so_has_come_ = so_();
        // Not from within a socket's handler, which holds a lock of the reactor's.
        if (so_has_come_ || loop_.now() > end_) return loop_.next_turn([this] { stand_still(); });
        loop_.at(loop_.now() + Span::micros(500), [this] { look(); });
    }

    Loop& loop_;
    Acceptor awake_;  // a reactor without sockets runs no alarms
    std::function<bool()> so_;
    Instant end_;
    bool over_ = false, so_has_come_ = false;
    std::binary_semaphore go_{0}, still_{0};
    std::thread thread_;
};

}  // namespace irismux::lab
