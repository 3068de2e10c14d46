// Control connection between the rig and the processes that it starts: one JSON message per line, over
// loopback.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "testing/sockets.hpp"

namespace irismux::scale {

// One end of a control connection.
class ControlChannel {
public:
    using MessageHandler = std::function<void(const nlohmann::json&)>;

    ControlChannel(std::shared_ptr<test_support::TestConnection> connection, MessageHandler on_message,
                   std::function<void()> on_end_of_connection);
    // Connects to the listener at `address`; throws std::runtime_error on failure.
    static std::unique_ptr<ControlChannel> connect(EventLoop& loop, const std::string& address,
                                                   MessageHandler on_message,
                                                   std::function<void()> on_end_of_connection);
    ~ControlChannel();
    void send(const nlohmann::json& message);

private:
    std::shared_ptr<test_support::TestConnection> connection_;
};

}  // namespace irismux::scale
