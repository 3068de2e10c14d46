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

namespace irismux::test_support {

// A listening stand-in; whoever connects is handed on.
class Acceptor {
public:
    Acceptor(EventLoop& loop, std::function<void(const Poco::Net::StreamSocket&)> got, int backlog = 64,
             const std::string& at = "127.0.0.1:0")
        : loop_(loop), on_connection_(std::move(got)), socket_(Poco::Net::SocketAddress(at), backlog) {
        socket_.setBlocking(false);
        loop_.addEventHandler(socket_, observer());
    }
    ~Acceptor() { stop(); }
    // From now on connections are left waiting.
    void stop() { loop_.removeEventHandler(socket_, observer()); }
    void resume() { loop_.addEventHandler(socket_, observer()); }
    std::string address() const { return socket_.address().toString(); }

private:
    Poco::NObserver<Acceptor, Poco::Net::ReadableNotification> observer() {
        return {*this, &Acceptor::on_readable};
    }
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
        on_connection_(socket_.acceptConnection());
        loop_.run_due_timers();
    }
    EventLoop& loop_;
    std::function<void(const Poco::Net::StreamSocket&)> on_connection_;
    Poco::Net::ServerSocket socket_;
};

// A stand-in's end of a connection: what comes is handed on as it stands in the buffer.
class TestConnection final : public Connection {
public:
    TestConnection(EventLoop& loop, const Poco::Net::StreamSocket& s)
        : Connection(loop, s, ConnectionState::open), socket_(s) {}
    explicit TestConnection(EventLoop& loop)
        : TestConnection(loop, Poco::Net::StreamSocket(), ConnectionState::connecting) {}
    std::function<void(Buffer&)> on_received = [](Buffer&) {};
    std::function<void()> on_end = [] {};
    void start() { register_handlers(); }
    bool start(const std::string& to) {
        return connect(Poco::Net::SocketAddress(to)) == ConnectResult::started;
    }
    Buffer& output() { return output_; }
    void write() { schedule_write(); }
    bool all_written() const { return output_.empty(); }  // the system has it
    // Reads on, or lets what comes lie in the system.
    void enable_reading(bool is) { set_reading(is); }
    // As little as the system allows lies there; then the other side finds no room. Before it is started.
    void shrink_receive_buffer() { socket_.setReceiveBufferSize(1); }
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
    void on_data() override { on_received(input_); }
    void on_closed() override { on_end(); }

private:
    TestConnection(EventLoop& loop, const Poco::Net::StreamSocket& s, ConnectionState state)
        : Connection(loop, s, state), socket_(s) {}
    Poco::Net::StreamSocket socket_;  // the same as the link's
};

// Runs a loop in stretches: it stands still, and may be touched, but within until(). A reactor of POCO 1.11
// can be run only once; so it runs in a thread of its own, and only one of the two threads is ever awake.
class LoopRunner {
public:
    explicit LoopRunner(EventLoop& loop)
        : loop_(loop), keep_alive_(loop, [](const Poco::Net::StreamSocket&) {}) {
        loop_.run_next_iteration([this] { pause(); });
        thread_ = std::thread([this] { loop_.run(); });
        paused_.acquire();
    }
    ~LoopRunner() {
        finished_ = true;
        resumed_.release();
        thread_.join();
    }

    // Until that is so, for so long at most; whether it is.
    bool run_until(std::function<bool()> so, Duration most = Duration::micros(10'000'000)) {
        condition_ = std::move(so);
        deadline_ = loop_.now() + most;
        resumed_.release();
        paused_.acquire();
        return condition_met_;
    }

private:
    void pause() {
        paused_.release();
        resumed_.acquire();
        if (finished_) return loop_.stop();
        check_condition();
    }
    void check_condition() {
        condition_met_ = condition_();
        // Not from within a socket's handler, which holds a lock of the reactor's.
        if (condition_met_ || loop_.now() > deadline_) return loop_.run_next_iteration([this] { pause(); });
        loop_.schedule_at(loop_.now() + Duration::micros(500), [this] { check_condition(); });
    }

    EventLoop& loop_;
    Acceptor keep_alive_;  // a reactor without sockets runs no alarms
    std::function<bool()> condition_;
    TimePoint deadline_;
    bool finished_ = false, condition_met_ = false;
    std::binary_semaphore resumed_{0}, paused_{0};
    std::thread thread_;
};

}  // namespace irismux::test_support
