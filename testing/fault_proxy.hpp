// A link between two processes, with faults to order: on which link, in which direction, at which piece.
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

enum class Direction { to_server, to_client };  // from whoever connects, and to it

class FaultProxy {
public:
    struct Faults {
        bool hold = false;  // what comes is kept; ends of connections, too. Undone: it all goes on
        Duration delay;     // of each piece
        std::size_t bytes_per_second = 0;   // zero: as fast as it goes
        std::size_t reset_after_bytes = 0;  // so many bytes from now both ends are reset; zero: never
    };

    FaultProxy(EventLoop& loop, std::string to);
    ~FaultProxy();
    const std::string& address() const { return address_; }
    // From now on to there; open connections stay as they are.
    void set_target(std::string to) { target_ = std::move(to); }

    Faults& faults(Direction w) { return faults_[static_cast<std::size_t>(w)]; }
    void hold(Direction w, bool is);
    void set_partitioned(bool is);  // both ways; connections that come are taken, and nothing passes
    void set_down(bool is);         // connections are reset, those that come are refused by the system
    void reset_all();               // every connection, with a reset

    // Each piece as it comes in, before anything is done with it.
    std::function<void(Direction, std::string_view)> on_chunk = [](Direction, std::string_view) {};
    // As above, with the number of its connection, which is never given again.
    std::function<void(std::uint64_t connection, Direction, std::string_view)> on_connection_chunk =
        [](std::uint64_t, Direction, std::string_view) {};
    std::function<void(std::uint64_t connection)> on_connection_closed = [](std::uint64_t) {};
    std::uint64_t chunk_count(Direction w) const { return chunk_counts_[static_cast<std::size_t>(w)]; }

private:
    struct Pair {
        std::uint64_t number = 0;
        std::array<std::shared_ptr<TestConnection>, 2> ends;  // the near one, the far one
        std::array<std::deque<std::string>, 2> held_chunks;
        std::array<TimePoint, 2> next_send;  // by then what was passed on before has gone
        std::array<bool, 2> ended{};
        bool finished = false;
    };
    using PairPtr = std::shared_ptr<Pair>;

    void listen(const std::string& at);
    void on_connect(const Poco::Net::StreamSocket& socket);
    void on_received(const PairPtr& p, Direction w, std::string bytes);
    void forward(const PairPtr& p, Direction w, std::string bytes);
    void on_end_of_stream(const PairPtr& p, Direction w);
    void reset(const PairPtr& p);

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
