// Bytes and messages of control traffic per second, counted at the relays between the gateways and the
// control machines.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "irismux/time.hpp"
#include "testing/fault_proxy.hpp"

namespace irismux::scale {

// Purpose of a connection, detected from the connection's first request.
enum class Channel { unknown, board, list, fleet, transactions };
constexpr std::size_t channels = 5;
const char* name_of(Channel channel);

struct Traffic {
    std::uint64_t bytes_out = 0, bytes_back = 0, messages_out = 0, messages_back = 0;

    Traffic& operator+=(const Traffic& other);
    std::uint64_t bytes() const { return bytes_out + bytes_back; }
    std::uint64_t messages() const { return messages_out + messages_back; }
};

// Counts the messages in one direction of a connection, however the bytes are split into chunks. A message is
// the head of a request or a response, or a line of a watch stream. All other bodies contain no line breaks.
class MessageScanner {
public:
    std::uint64_t scan(std::string_view bytes);

private:
    char last_ = 0, before_ = 0, first_ = 0;  // the previous three bytes, latest first
};

// Counts the traffic of one connection from its first byte.
class ConnectionCounter {
public:
    Channel channel() const { return channel_; }
    Traffic count(test_support::Direction way, std::string_view bytes);

private:
    Channel channel_ = Channel::unknown;
    MessageScanner out_, back_;
};

// Key of a traffic row: a gateway, a control machine and a channel. The notice board's machine index follows
// the index of the last registry member.
struct TrafficKey {
    std::size_t gateway = 0, machine = 0;
    Channel channel = Channel::unknown;
    auto operator<=>(const TrafficKey&) const = default;
};

// Traffic rows by second of the Unix clock. Rows without traffic are absent.
using TrafficBySecond = std::map<std::int64_t, std::map<TrafficKey, Traffic>>;

nlohmann::json to_json(std::int64_t second, const std::map<TrafficKey, Traffic>& rows);
void add_from_json(TrafficBySecond& to, const nlohmann::json& message);

// Traffic rates over a period. Each rate is either the mean over all seconds of the period or the value of
// the worst second. Rates are per gateway unless stated otherwise.
struct Rate {
    double messages = 0, bytes = 0;              // mean, per second and gateway
    double bytes_out = 0, bytes_back = 0;        // the parts of `bytes` that the gateway sent and received
    double worst_messages = 0, worst_bytes = 0;  // worst second, mean over all gateways
    double worst_gateway_bytes = 0;              // largest value of a single gateway in one second
    std::map<std::string, double> bytes_by_channel, messages_by_channel;  // mean, per second and gateway
    double machine_bytes = 0, machine_messages = 0;  // mean per second at the busiest control machine
    double machine_worst_bytes = 0, machine_worst_messages = 0;
    double control_bytes = 0, control_messages = 0;  // mean per second, sum over all control machines
};
Rate rate_over(const TrafficBySecond& traffic, std::int64_t from, std::int64_t until,
               std::size_t first_gateway, std::size_t gateways);

nlohmann::json to_json(const Rate& rate);

}  // namespace irismux::scale
