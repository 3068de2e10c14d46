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

namespace irismux::stand_ins {

// A listening stand-in; whoever connects is handed on.
class Acceptor {
public:
    Acceptor(EventLoop& loop, std::function<void(const Poco::Net::StreamSocket&)> got, int backlog = 64,
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
        loop_.run_due_timers();
    }
    EventLoop& loop_;
    std::function<void(const Poco::Net::StreamSocket&)> got_;
    Poco::Net::ServerSocket socket_;
};

// A stand-in's end of a connection: what comes is handed on as it stands in the buffer.
class StandInConnection final : public Connection {
public:
    StandInConnection(EventLoop& loop, const Poco::Net::StreamSocket& s)
        : Connection(loop, s, ConnectionState::open), socket_(s) {}
    explicit StandInConnection(EventLoop& loop)
        : StandInConnection(loop, Poco::Net::StreamSocket(), ConnectionState::connecting) {}
    std::function<void(Buffer&)> got = [](Buffer&) {};
    std::function<void()> ended = [] {};
    void start() { register_handlers(); }
    bool start(const std::string& to) {
        return connect(Poco::Net::SocketAddress(to)) == ConnectResult::started;
    }
    Buffer& out() { return output_; }
    void write() { schedule_write(); }
    bool all_written() const { return output_.empty(); }  // the system has it
    // Reads on, or lets what comes lie in the system.
    void start_reading(bool is) { set_reading(is); }
    // As little as the system allows lies there; then the other side finds no room. Before it is started.
    void hear_little() { socket_.setReceiveBufferSize(1); }
    // Ends it so that the other side sees a reset.
    void reset() {
        if (state() != ConnectionState::closed) try {
                socket_.setLinger(true, 0);
            } catch (const Poco::Exception&) {
                // Not connected: there is nobody to see it.
            }
        close();
    }

protected:
    void on_open() override { schedule_write(); }
    void on_data() override { got(input_); }
    void on_closed() override { ended(); }

private:
    StandInConnection(EventLoop& loop, const Poco::Net::StreamSocket& s, ConnectionState state)
        : Connection(loop, s, state), socket_(s) {}
    Poco::Net::StreamSocket socket_;  // the same as the link's
};

// Runs a loop in stretches: it stands still, and may be touched, but within until(). A reactor of POCO 1.11
// can be run only once; so it runs in a thread of its own, and only one of the two threads is ever awake.
class Intervals {
public:
    explicit Intervals(EventLoop& loop) : loop_(loop), awake_(loop, [](const Poco::Net::StreamSocket&) {}) {
        loop_.run_next_iteration([this] { stand_still(); });
        thread_ = std::thread([this] { loop_.run(); });
        still_.acquire();
    }
    ~Intervals() {
        over_ = true;
        go_.release();
        thread_.join();
    }

    // Until that is so, for so long at most; whether it is.
    bool until(std::function<bool()> so, Duration most = Duration::micros(10'000'000)) {
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
        if (so_has_come_ || loop_.now() > end_) return loop_.run_next_iteration([this] { stand_still(); });
        loop_.schedule_at(loop_.now() + Duration::micros(500), [this] { look(); });
    }

    EventLoop& loop_;
    Acceptor awake_;  // a reactor without sockets runs no alarms
    std::function<bool()> so_;
    TimePoint end_;
    bool over_ = false, so_has_come_ = false;
    std::binary_semaphore go_{0}, still_{0};
    std::thread thread_;
};

}  // namespace irismux::stand_ins
