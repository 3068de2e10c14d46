// A TCP proxy between two processes that injects faults. Tests set faults for each direction, or inject a
// fault from a callback at a chosen chunk of data.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "testing/sockets.hpp"

namespace irismux::test_support {

enum class Direction { to_server, to_client };  // the client is the process that connects to the proxy

class FaultProxy {
public:
    struct Faults {
        /// Holds back the data of this direction and the ends of its connections. FaultProxy::hold(direction,
        /// false) forwards what was held back.
        bool hold = false;
        /// Delay before the proxy forwards a chunk.
        Duration delay;
        /// Throughput limit of each connection; zero means unlimited.
        std::size_t bytes_per_second = 0;
        /// Number of bytes that this direction still forwards before the proxy resets both ends of the
        /// connection that carried the last of these bytes. Zero disables the reset.
        std::size_t reset_after_bytes = 0;
    };

    FaultProxy(EventLoop& loop, std::string target);
    ~FaultProxy();
    const std::string& address() const { return address_; }
    // Sets the server address to which the proxy connects new connections. Open connections keep their
    // server.
    void set_target(std::string target) { target_ = std::move(target); }

    Faults& faults(Direction direction) { return faults_[static_cast<std::size_t>(direction)]; }
    void hold(Direction direction, bool enabled);
    // Holds back both directions: the proxy accepts new connections, but passes no data.
    void set_partitioned(bool enabled);
    // If enabled, resets all connections and stops listening, so that the kernel refuses new connections. If
    // disabled, listens again.
    void set_down(bool enabled);
    void reset_all();

    // Called with each chunk when it arrives, before the proxy forwards the chunk or holds it back.
    std::function<void(Direction, std::string_view)> on_chunk = [](Direction, std::string_view) {};
    // Called like on_chunk, with the number of the connection. Each connection gets a number that no other
    // connection had.
    std::function<void(std::uint64_t connection, Direction, std::string_view)> on_connection_chunk =
        [](std::uint64_t, Direction, std::string_view) {};
    std::function<void(std::uint64_t connection)> on_connection_closed = [](std::uint64_t) {};
    std::uint64_t chunk_count(Direction direction) const {
        return chunk_counts_[static_cast<std::size_t>(direction)];
    }

private:
    // A proxied connection, which consists of a connection to the client and a connection to the server.
    struct Pair {
        std::uint64_t number = 0;
        std::array<std::shared_ptr<TestConnection>, 2> ends;  // to the client, to the server
        std::array<std::deque<std::string>, 2> held_chunks;
        std::array<TimePoint, 2> next_send;  // earliest time to send the next chunk
        std::array<bool, 2> ended{};
        bool finished = false;
    };
    using PairPtr = std::shared_ptr<Pair>;

    void listen(const std::string& address);
    void on_connect(const Poco::Net::StreamSocket& socket);
    void on_received(const PairPtr& pair, Direction direction, std::string bytes);
    void forward(const PairPtr& pair, Direction direction, std::string bytes);
    void on_end_of_stream(const PairPtr& pair, Direction direction);
    void reset(const PairPtr& pair);

    EventLoop& loop_;
    std::string target_;
    std::array<Faults, 2> faults_;
    std::array<std::uint64_t, 2> chunk_counts_{};
    std::vector<PairPtr> pairs_;
    std::uint64_t last_number_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string address_;
    std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace irismux::test_support
