// JSON, a line each, between the rig and the processes that it starts. Loopback.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "testing/sockets.hpp"

namespace irismux::scale {

// One end of a channel.
class ControlChannel {
public:
    using Heard = std::function<void(const nlohmann::json&)>;

    ControlChannel(std::shared_ptr<test_support::TestConnection> wire, Heard heard,
                   std::function<void()> ended);
    // Connects to whoever listens there; throws std::runtime_error where that is not possible.
    static std::unique_ptr<ControlChannel> connect(EventLoop& loop, const std::string& address, Heard heard,
                                                   std::function<void()> ended);
    ~ControlChannel();
    void say(const nlohmann::json& message);

private:
    std::shared_ptr<test_support::TestConnection> wire_;
};

}  // namespace irismux::scale
