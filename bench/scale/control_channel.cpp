#include "bench/scale/control_channel.hpp"

#include <stdexcept>

namespace irismux::scale {

ControlChannel::ControlChannel(std::shared_ptr<test_support::TestConnection> wire, Heard heard,
                               std::function<void()> ended)
    : wire_(std::move(wire)) {
    wire_->on_received = [heard = std::move(heard)](Buffer& in) {
        for (;;) {
            const std::string_view all = in.view();
            const std::size_t end = all.find('\n');
            if (end == std::string_view::npos) return;
            const auto message = nlohmann::json::parse(all.substr(0, end), nullptr, false);
            in.consume(end + 1);
            if (!message.is_discarded()) heard(message);
        }
    };
    wire_->on_end = std::move(ended);
}

std::unique_ptr<ControlChannel> ControlChannel::connect(EventLoop& loop, const std::string& address,
                                                        Heard heard, std::function<void()> ended) {
    auto wire = std::make_shared<test_support::TestConnection>(loop);
    auto channel = std::make_unique<ControlChannel>(wire, std::move(heard), std::move(ended));
    if (!wire->start(address)) throw std::runtime_error("no connection to " + address + " was possible");
    return channel;
}

ControlChannel::~ControlChannel() {
    wire_->on_received = [](Buffer&) {};
    wire_->on_end = [] {};
    wire_->close();
}

void ControlChannel::say(const nlohmann::json& message) {
    wire_->output().append(message.dump() + '\n');
    if (wire_->state() == ConnectionState::open) wire_->write();
}

}  // namespace irismux::scale
