// What the tests of crossings share: a gateway process with kinds of each effect, and sockets without a loop.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cerrno>
#include <fstream>
#include <string>

#include "testing/single_process.hpp"

namespace irismux::testing {

using nlohmann::json;

struct Spans {
    double deadline = 5, window = 0.3, connect = 3;
    int descriptors = 256;
};

inline test_support::SingleProcess::Options solo_shape(std::size_t caches, Spans s = {}, int backlog = 64) {
    test_support::SingleProcess::Options shape;
    shape.program = IRISMUX_PROGRAM;
    shape.caches = caches;
    shape.backlog = backlog;
    shape.adjust_configuration = [s](json& c) {
        json& settings = c["settings"];
        json lane = settings["lanes"][0], keyed = lane, once = lane;
        lane["hardLimitS"] = keyed["hardLimitS"] = once["hardLimitS"] = s.deadline;
        keyed.update({{"name", "keyed"}, {"effect", "by_key"}, {"windowS", s.window}});
        once.update({{"name", "bids"}, {"effect", "once"}});
        settings["lanes"] = {lane, keyed, once};
        settings["specifics"]["neverKept"] = {false, true, true};
        settings["ceilings"]["connectTimeoutS"] = s.connect;
        c["limits"]["sockets"] = s.descriptors;
    };
    return shape;
}

inline test_support::SingleProcess::Options answering(test_support::SingleProcess::Options shape) {
    shape.answer_at_once = true;
    return shape;
}

inline std::string id_of(int n) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(n));
    return id;
}

// A connection that nobody reads from until the test does, and that tells an end from a reset.
class Raw {
public:
    explicit Raw(const std::string& to) { socket_.connect(Poco::Net::SocketAddress(to)); }
    void say(std::string_view bytes) {
        ::send(socket_.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    enum class Now { open, ended, reset };
    // Takes what has come.
    Now look() {
        char some[4096];
        for (;;) {
            const ssize_t n = ::recv(socket_.impl()->sockfd(), some, sizeof some, MSG_DONTWAIT);
            if (n > 0) heard.append(some, static_cast<std::size_t>(n));
            if (n == 0) return Now::ended;
            if (n < 0) return errno == EAGAIN ? Now::open : Now::reset;
        }
    }
    std::string heard;

private:
    Poco::Net::StreamSocket socket_;
};

}  // namespace irismux::testing
