#include "bench/scale/control_channel.hpp"

#include <stdexcept>

namespace irismux::scale {

ControlChannel::ControlChannel(std::shared_ptr<test_support::TestConnection> connection,
                               MessageHandler on_message, std::function<void()> on_end_of_connection)
    : connection_(std::move(connection)) {
    connection_->on_received = [on_message = std::move(on_message)](Buffer& in) {
        for (;;) {
            const std::string_view all = in.view();
            const std::size_t end = all.find('\n');
            if (end == std::string_view::npos) return;
            const auto message = nlohmann::json::parse(all.substr(0, end), nullptr, false);
            in.consume(end + 1);
            if (!message.is_discarded()) on_message(message);
        }
    };
    connection_->on_end = std::move(on_end_of_connection);
}

std::unique_ptr<ControlChannel> ControlChannel::connect(EventLoop& loop, const std::string& address,
                                                        MessageHandler on_message,
                                                        std::function<void()> on_end_of_connection) {
    auto connection = std::make_shared<test_support::TestConnection>(loop);
    auto channel =
        std::make_unique<ControlChannel>(connection, std::move(on_message), std::move(on_end_of_connection));
    if (!connection->start(address)) throw std::runtime_error("connecting to " + address + " failed");
    return channel;
}

ControlChannel::~ControlChannel() {
    connection_->on_received = [](Buffer&) {};
    connection_->on_end = [] {};
    connection_->close();
}

void ControlChannel::send(const nlohmann::json& message) {
    connection_->output().append(message.dump() + '\n');
    if (connection_->state() == ConnectionState::open) connection_->write();
}

}  // namespace irismux::scale
