// One connection on the loop: bytes in, bytes out, and its end. What the bytes mean is for those that derive
// from it.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>

#include "codec/buffer.hpp"
#include "net/event_loop.hpp"

namespace irismux {

enum class ConnectionState { connecting, open, closed };

class Connection : public std::enable_shared_from_this<Connection> {
public:
    virtual ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    ConnectionState state() const { return state_; }
    // Open, and no write has failed; the end of one that has is told in the next turn.
    bool writable() const { return state_ == ConnectionState::open && !failed_; }
    // Closes at once; what waits to be written is lost, and so is what the other side has yet to read if
    // bytes of its own lie unread here: the system resets such a connection. Tells nobody.
    void close();
    // Closes as a conversation: what waits is written, the own direction ends, and what still comes is read
    // and discarded until the other side ends too, or to a bound. on_bytes() is not called any more; on_end()
    // is, in the end.
    void linger(Duration most);
    bool lingering() const { return lingering_; }
    // Whether the other side has ended or reset it, though the loop has not told yet.
    bool peer_closed() const;
    // Whether bytes wait to be read.
    bool has_unread_data() const;

protected:
    Connection(EventLoop& loop, Poco::Net::StreamSocket socket, ConnectionState state);

    // From here on the loop tells this connection what happens.
    void register_handlers();
    // How an attempt to connect began, or why it did not: for want of something of ours (a descriptor, a
    // port, memory), or because the system knows no way there.
    enum class ConnectResult { started, short_of_resources, unreachable };
    ConnectResult connect(const Poco::Net::SocketAddress& to);

    virtual void on_open() {}
    virtual void on_data() = 0;
    // The socket can be written to: the time to say more. What it did not take is still in out_.
    virtual void on_write_ready() { write_pending(); }
    virtual void on_closed() = 0;  // broken or ended by the other side; never called within send_out()
    // Whether an attempt to connect ended with a reset: then somebody had taken it.
    bool was_reset() const { return reset_; }

    // Has on_room() called before the loop waits again.
    void schedule_write();
    // Writes what waits, as far as the socket takes it.
    void write_pending();
    void set_reading(bool wanted);
    // What the system may hold of our output; the rest stays here.
    void limit_send_buffer(int bytes);
    std::uint64_t bytes_written() const { return bytes_written_; }  // bytes handed to the socket so far

    EventLoop& loop_;
    Buffer input_, output_;

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
    template <class Step>
    void guarded(Step step);
    void watch(bool for_bytes, bool for_room);
    void update_watch();
    void retry_watch_later();
    template <class Observer>
    bool add_handler(const Observer& observer);
    template <class Observer>
    void remove_handler(const Observer& observer);
    void pause_reading();
    void pause_writing();
    bool is_connected() const;
    void on_broken();
    bool read_some();
    bool discard_some();
    void shut_down_sending();

    Poco::Net::StreamSocket socket_;
    ConnectionState state_;
    bool failed_ = false;  // a write has failed
    bool reset_ = false;
    bool reading_ = true;  // bytes are wanted
    bool write_scheduled_ = false;
    bool lingering_ = false, sending_shut_down_ = false;  // shut: the own direction has ended
    std::size_t discarded_ = 0;
    bool wants_reads_ = false, wants_writes_ = false;        // what the loop is to watch for
    bool watching_reads_ = false, watching_writes_ = false;  // what it watches for
    ScopedTimer linger_timer_;
    // While one is pending the system is short of memory: the watch could not be set, nothing is read,
    // nothing is written.
    ScopedTimer rewatch_timer_, read_pause_, write_pause_;
    std::uint64_t bytes_written_ = 0;
};

}  // namespace irismux
