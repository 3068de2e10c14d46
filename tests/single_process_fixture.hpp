// Support for tests with one gateway process: a configuration with one object kind for each Effect, and a
// client socket outside the event loop.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cerrno>
#include <fstream>
#include <string>

#include "testing/single_process.hpp"

namespace irismux::testing {

using nlohmann::json;

struct ConfigurationOverrides {
    double deadline_s = 5, dedup_window_s = 0.3, connect_timeout_s = 3;
    int descriptors = 256;
};

inline test_support::SingleProcess::Options process_options(std::size_t caches,
                                                            ConfigurationOverrides overrides = {},
                                                            int backlog = 64) {
    test_support::SingleProcess::Options options;
    options.program = IRISMUX_PROGRAM;
    options.caches = caches;
    options.backlog = backlog;
    options.adjust_configuration = [overrides](json& c) {
        json& settings = c["settings"];
        json lane = settings["lanes"][0], keyed = lane, once = lane;
        lane["hardLimitS"] = keyed["hardLimitS"] = once["hardLimitS"] = overrides.deadline_s;
        keyed.update({{"name", "keyed"}, {"effect", "by_key"}, {"windowS", overrides.dedup_window_s}});
        once.update({{"name", "bids"}, {"effect", "once"}});
        settings["lanes"] = {lane, keyed, once};
        settings["specifics"]["neverKept"] = {false, true, true};
        settings["ceilings"]["connectTimeoutS"] = overrides.connect_timeout_s;
        c["limits"]["sockets"] = overrides.descriptors;
    };
    return options;
}

inline test_support::SingleProcess::Options with_immediate_answers(
    test_support::SingleProcess::Options options) {
    options.answer_at_once = true;
    return options;
}

inline std::string id_of(int n) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(n));
    return id;
}

// A client connection that reads only when the test calls read_available(). It distinguishes a regular end of
// the connection from a reset.
class RawClient {
public:
    explicit RawClient(const std::string& address) { socket_.connect(Poco::Net::SocketAddress(address)); }
    void send(std::string_view bytes) {
        ::send(socket_.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    enum class State { open, ended, reset };
    // Reads everything that has arrived.
    State read_available() {
        char chunk[4096];
        for (;;) {
            const ssize_t size = ::recv(socket_.impl()->sockfd(), chunk, sizeof chunk, MSG_DONTWAIT);
            if (size > 0) received.append(chunk, static_cast<std::size_t>(size));
            if (size == 0) return State::ended;
            if (size < 0) return errno == EAGAIN ? State::open : State::reset;
        }
    }
    std::string received;
    std::uint16_t port() const { return socket_.address().port(); }

private:
    Poco::Net::StreamSocket socket_;
};

}  // namespace irismux::testing
