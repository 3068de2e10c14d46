// A socket connection on the event loop: reads input, writes output and reports when the connection ends.
// Derived classes implement the protocol.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <span>
#include <utility>

#include "codec/buffer.hpp"
#include "net/event_loop.hpp"

namespace irismux {

enum class ConnectionState { connecting, open, closed };

/// Must be owned by a std::shared_ptr. An exception in a handler closes only the handler's connection.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    virtual ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    [[nodiscard]] ConnectionState state() const { return state_; }
    /// Whether the connection is open and no write has failed. After a failed write, on_closed() is called in
    /// the next iteration.
    [[nodiscard]] bool writable() const {
        return state_ == ConnectionState::open && write_state_ != WriteState::failed;
    }
    /// Closes the connection at once, without a call to on_closed(). Pending output is lost. If input is
    /// unread, the system resets the connection, and the peer may lose output that it has not read.
    void close();
    /// Closes gracefully: writes pending output, shuts down sending, and discards input until the peer closes
    /// too, for at most `timeout`. on_data() is no longer called; on_closed() is called at the end.
    void linger(Duration timeout);
    [[nodiscard]] bool lingering() const { return read_state_ == ReadState::discard; }
    /// Whether the peer has closed or reset the connection, even if on_closed() has not been called yet.
    [[nodiscard]] bool peer_closed() const;
    /// Whether the peer has ended or reset its side of the connection, even if unread input precedes the end.
    [[nodiscard]] bool peer_has_left() const;
    /// Whether the system holds unread input of the connection. Also returns true if the check fails for lack
    /// of memory or is interrupted.
    [[nodiscard]] bool has_unread_data() const;

protected:
    Connection(EventLoop& loop, const Poco::Net::StreamSocket& socket, ConnectionState state);

    /// Starts watching the socket; the virtual functions below may be called from now on.
    void register_handlers();
    enum class ConnectResult {
        started,             ///< on_open() or on_closed() will be called
        short_of_resources,  ///< no descriptor, port or memory was available
        unreachable          ///< there is no route to the address
    };
    [[nodiscard]] ConnectResult connect(const Poco::Net::SocketAddress& address);

    virtual void on_open() {}
    /// Called when new bytes have been appended to input_.
    virtual void on_data() = 0;
    /// Called when the socket has room for output. Bytes that the socket has not taken yet are in output_.
    virtual void on_write_ready() { write_pending(); }
    /// Called when the peer has closed the connection or the connection has failed. Never called from within
    /// write_pending().
    virtual void on_closed() = 0;
    /// Whether connecting failed with a reset. Such a reset means that the peer had accepted the connection.
    [[nodiscard]] bool was_reset() const { return reset_while_connecting_; }

    /// Schedules a call of on_write_ready() before the loop waits again.
    void schedule_write();
    /// Writes as much of output_ as the socket takes.
    void write_pending();
    /// Whether the last write left output behind. on_write_ready() is called as soon as the socket has room.
    /// Until then, a further write would take nothing.
    [[nodiscard]] bool waits_for_room() const { return state_ == ConnectionState::open && wanted_.writable; }
    void set_reading(bool wanted);
    /// Limits the output that the system buffers. Further output stays in output_.
    void limit_send_buffer(int bytes);
    /// Number of bytes that the socket has taken so far.
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

    /// Runs `step` from the loop after the current handler, unless this object has been destroyed by then.
    template <class Step>
    void run_soon(Step step) {
        loop_.schedule_now([self = weak_from_this(), step = std::move(step)] {
            if (const auto alive = self.lock()) step();
        });
    }

    EventLoop& loop_;
    Buffer input_, output_;

private:
    enum class ReadState { deliver, pause, discard };
    enum class WriteState { open, failed, shut_down };
    struct Events {
        bool readable = false, writable = false;
        bool operator==(const Events&) const = default;
    };
    enum class ReceiveStatus { received, none_yet, ended };
    struct Received {
        ReceiveStatus status;
        std::size_t bytes = 0;
    };
    enum class PeekResult { data, nothing, unknown, ended };

    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
    void finish_connecting();
    template <class Step>
    void guarded(Step step);
    void watch(Events wanted);
    void update_watch();
    void retry_watch_later();
    template <class Observer>
    bool add_handler(const Observer& observer);
    template <class Observer>
    void remove_handler(const Observer& observer);
    void pause_reading();
    void pause_writing();
    void on_broken();
    void on_write_failed();
    Received receive(std::span<char> room);
    bool read_some();
    bool discard_some();
    void shut_down_sending();
    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] PeekResult peek() const;
    [[nodiscard]] int descriptor() const { return socket_.impl()->sockfd(); }

    Poco::Net::StreamSocket socket_;
    ConnectionState state_;
    ReadState read_state_ = ReadState::deliver;
    WriteState write_state_ = WriteState::open;
    bool reset_while_connecting_ = false;
    bool write_scheduled_ = false;
    Events wanted_, watched_;  // events to watch for, and events that the loop currently watches for
    std::size_t discarded_bytes_ = 0;
    std::uint64_t bytes_written_ = 0;
    ScopedTimer linger_timer_;
    // The timers are pending while the system is out of memory, either because a handler could not be
    // registered or because reading or writing is paused.
    ScopedTimer rewatch_timer_, read_pause_, write_pause_;
};

}  // namespace irismux
