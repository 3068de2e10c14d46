// Bytes and messages of control traffic, counted on the relays between gateways and the control machines, by
// second.
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

// What a connection is for, read off its first request.
enum class Channel { unknown, board, list, fleet, transactions };
constexpr std::size_t channels = 5;
const char* name_of(Channel channel);

struct Traffic {
    std::uint64_t bytes_out = 0, bytes_back = 0, messages_out = 0, messages_back = 0;

    Traffic& operator+=(const Traffic& other);
    std::uint64_t bytes() const { return bytes_out + bytes_back; }
    std::uint64_t messages() const { return messages_out + messages_back; }
};

// Finds messages in the bytes of one direction of a connection, however they are cut: the head of a request
// or an answer, and each line of a watch's stream (bodies hold no line ends of their own).
class MessageScanner {
public:
    std::uint64_t scan(std::string_view bytes);

private:
    char last_ = 0, before_ = 0, first_ = 0;  // the three bytes before
};

// One connection, from the first byte on.
class ConnectionCounter {
public:
    Channel channel() const { return channel_; }
    Traffic count(test_support::Direction way, std::string_view bytes);

private:
    Channel channel_ = Channel::unknown;
    MessageScanner out_, back_;
};

// A row: whose traffic with which control machine (the board is one behind the last of the registry's
// members).
struct TrafficKey {
    std::size_t gateway = 0, machine = 0;
    Channel channel = Channel::unknown;
    auto operator<=>(const TrafficKey&) const = default;
};

// Seconds of the Unix clock, each with all rows that are not zero.
using TrafficBySecond = std::map<std::int64_t, std::map<TrafficKey, Traffic>>;

nlohmann::json to_json(std::int64_t second, const std::map<TrafficKey, Traffic>& rows);
void add_from_json(TrafficBySecond& to, const nlohmann::json& message);

// Mean and worst second over a stretch of time, each a gateway.
struct Rate {
    double messages = 0, bytes = 0;              // a second and gateway, at the mean
    double bytes_out = 0, bytes_back = 0;        // of them from and to the gateway
    double worst_messages = 0, worst_bytes = 0;  // in the worst second, over all gateways
    double worst_gateway_bytes = 0;              // of one gateway in one second
    std::map<std::string, double> bytes_by_channel, messages_by_channel;  // at the mean
    double machine_bytes = 0, machine_messages = 0;  // a second at the busiest control machine, at the mean
    double machine_worst_bytes = 0, machine_worst_messages = 0;
    double control_bytes = 0, control_messages = 0;  // a second at all control machines together, at the mean
};
Rate rate_over(const TrafficBySecond& traffic, std::int64_t from, std::int64_t until,
               std::size_t first_gateway, std::size_t gateways);

nlohmann::json to_json(const Rate& rate);

}  // namespace irismux::scale
