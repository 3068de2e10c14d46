// Listening sockets and connections for the fakes, and a runner for the event loop that the fakes share with
// the test.
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

// Listens on an address and passes each accepted connection to a callback.
class Acceptor {
public:
    Acceptor(EventLoop& loop, std::function<void(const Poco::Net::StreamSocket&)> on_connection,
             int backlog = 64, const std::string& address = "127.0.0.1:0")
        : loop_(loop),
          on_connection_(std::move(on_connection)),
          socket_(Poco::Net::SocketAddress(address), backlog) {
        socket_.setBlocking(false);
        loop_.addEventHandler(socket_, observer());
    }
    ~Acceptor() { stop(); }
    // Stops accepting connections. New connections wait in the backlog.
    void stop() { loop_.removeEventHandler(socket_, observer()); }
    void resume() { loop_.addEventHandler(socket_, observer()); }
    std::string address() const { return socket_.address().toString(); }
    int descriptor() const { return socket_.impl()->sockfd(); }

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

// One end of a connection. Passes the input buffer to a callback after each read.
class TestConnection final : public Connection {
public:
    TestConnection(EventLoop& loop, const Poco::Net::StreamSocket& s)
        : Connection(loop, s, ConnectionState::open), socket_(s) {}
    explicit TestConnection(EventLoop& loop)
        : TestConnection(loop, Poco::Net::StreamSocket(), ConnectionState::connecting) {}
    std::function<void(Buffer&)> on_received = [](Buffer&) {};
    std::function<void()> on_end = [] {};
    void start() { register_handlers(); }
    bool start(const std::string& address) {
        return connect(Poco::Net::SocketAddress(address)) == ConnectResult::started;
    }
    Buffer& output() { return output_; }
    void write() { schedule_write(); }
    // Returns whether the kernel has taken all output.
    bool all_written() const { return output_.empty(); }
    // Resumes reading if `enabled` is true; otherwise pauses reading, so that input stays in the kernel's
    // buffer.
    void enable_reading(bool enabled) { set_reading(enabled); }
    // Sets the smallest receive buffer that the kernel allows, so that the peer's writes block early. This
    // function must be called before start().
    void shrink_receive_buffer() { socket_.setReceiveBufferSize(1); }
    // Closes the connection so that the peer gets a reset.
    void reset() {
        if (state() != ConnectionState::closed) try {
                socket_.setLinger(true, 0);
            } catch (const Poco::Exception&) {
                // The socket is not connected, so there is no peer to reset.
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
    Poco::Net::StreamSocket socket_;  // shares its handle with the base class's socket
};

// Runs an event loop only during run_until(). Between two calls of run_until() the loop is paused, and the
// caller may use the loop and the objects on it. A reactor of POCO 1.11 can be run only once, so the loop
// runs in a thread of its own. At any time only one of the two threads runs: the caller's thread or the
// loop's.
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

    // Runs the loop until the condition holds or the timeout is over. Returns whether the condition holds.
    bool run_until(std::function<bool()> condition, Duration timeout = Duration::micros(10'000'000)) {
        condition_ = std::move(condition);
        deadline_ = loop_.now() + timeout;
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
        // Pauses the loop only in its next iteration, because this function can be called from a socket's
        // handler, and the reactor holds a lock while the handler runs.
        if (condition_met_ || loop_.now() > deadline_) return loop_.run_next_iteration([this] { pause(); });
        loop_.schedule_at(loop_.now() + Duration::micros(500), [this] { check_condition(); });
    }

    EventLoop& loop_;
    Acceptor keep_alive_;  // a reactor without sockets runs no timers
    std::function<bool()> condition_;
    TimePoint deadline_;
    bool finished_ = false, condition_met_ = false;
    std::binary_semaphore resumed_{0}, paused_{0};
    std::thread thread_;
};

}  // namespace irismux::test_support
