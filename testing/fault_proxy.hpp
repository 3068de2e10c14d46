// A TCP proxy between two processes that injects faults: per proxy and direction, and through callbacks at a
// chosen chunk of data.
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
        /// Holds back data and ends of connections. FaultProxy::hold(direction, false) forwards them.
        bool hold = false;
        /// Delay of each chunk.
        Duration delay;
        /// Throughput limit; zero is unlimited.
        std::size_t bytes_per_second = 0;
        /// Resets both ends of a connection after this many more bytes; zero is never.
        std::size_t reset_after_bytes = 0;
    };

    FaultProxy(EventLoop& loop, std::string target);
    ~FaultProxy();
    const std::string& address() const { return address_; }
    // Connects new connections to this address; open ones keep theirs.
    void set_target(std::string target) { target_ = std::move(target); }

    Faults& faults(Direction direction) { return faults_[static_cast<std::size_t>(direction)]; }
    void hold(Direction direction, bool enabled);
    // Holds back both directions: new connections are accepted, and no data passes.
    void set_partitioned(bool enabled);
    // Resets all connections and stops listening, so that the kernel refuses new ones.
    void set_down(bool enabled);
    void reset_all();

    // Called with each chunk on arrival, before the proxy handles it.
    std::function<void(Direction, std::string_view)> on_chunk = [](Direction, std::string_view) {};
    // Like on_chunk, with the number of the connection. A number is never used twice.
    std::function<void(std::uint64_t connection, Direction, std::string_view)> on_connection_chunk =
        [](std::uint64_t, Direction, std::string_view) {};
    std::function<void(std::uint64_t connection)> on_connection_closed = [](std::uint64_t) {};
    std::uint64_t chunk_count(Direction direction) const {
        return chunk_counts_[static_cast<std::size_t>(direction)];
    }

private:
    // The two connections of one proxied connection.
    struct Pair {
        std::uint64_t number = 0;
        std::array<std::shared_ptr<TestConnection>, 2> ends;  // to the client, to the server
        std::array<std::deque<std::string>, 2> held_chunks;
        std::array<TimePoint, 2> next_send;  // when the chunks before have been sent
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
