#include "bench/scale/counting.hpp"

#include <algorithm>

namespace irismux::scale {
namespace {

using nlohmann::json;

// Registry keys are encoded in base 64 in requests. These constants are the encoded beginnings of the key
// prefixes that the rig uses.
constexpr std::string_view coded_list = "\"L2NhY2hlc", coded_fleet = "\"L2ZsZWV0";

Channel channel_of(std::string_view first_bytes) {
    const auto holds = [&](std::string_view part) {
        return first_bytes.find(part) != std::string_view::npos;
    };
    if (holds("/board/poll")) return Channel::board;
    if (holds("/v3/kv/txn")) return Channel::transactions;
    if (holds(coded_list)) return Channel::list;
    if (holds(coded_fleet)) return Channel::fleet;
    return Channel::unknown;
}

}  // namespace

const char* name_of(Channel channel) {
    switch (channel) {
        case Channel::board:
            return "board";
        case Channel::list:
            return "list";
        case Channel::fleet:
            return "fleet";
        case Channel::transactions:
            return "transactions";
        case Channel::unknown:
            break;
    }
    return "unknown";
}

Traffic& Traffic::operator+=(const Traffic& other) {
    bytes_out += other.bytes_out;
    bytes_back += other.bytes_back;
    messages_out += other.messages_out;
    messages_back += other.messages_back;
    return *this;
}

std::uint64_t MessageScanner::scan(std::string_view bytes) {
    std::uint64_t found = 0;
    for (const char c : bytes) {
        if (c == '\n') {
            const bool head_ends = last_ == '\r' && before_ == '\n' && first_ == '\r';
            const bool line_ends = last_ != '\r';
            found += head_ends || line_ends;
        }
        first_ = before_;
        before_ = last_;
        last_ = c;
    }
    return found;
}

Traffic ConnectionCounter::count(test_support::Direction way, std::string_view bytes) {
    Traffic traffic;
    if (way == test_support::Direction::to_server) {
        if (channel_ == Channel::unknown) channel_ = channel_of(bytes);
        traffic.bytes_out = bytes.size();
        traffic.messages_out = out_.scan(bytes);
    } else {
        traffic.bytes_back = bytes.size();
        traffic.messages_back = back_.scan(bytes);
    }
    return traffic;
}

json to_json(std::int64_t second, const std::map<TrafficKey, Traffic>& rows) {
    json all = json::array();
    for (const auto& [key, t] : rows)
        all.push_back({key.gateway, key.machine, static_cast<int>(key.channel), t.bytes_out, t.bytes_back,
                       t.messages_out, t.messages_back});
    return {{"traffic", all}, {"second", second}};
}

void add_from_json(TrafficBySecond& to, const json& message) {
    auto& rows = to[message.at("second").get<std::int64_t>()];
    for (const json& r : message.at("traffic")) {
        const TrafficKey key{r[0].get<std::size_t>(), r[1].get<std::size_t>(),
                             static_cast<Channel>(r[2].get<int>())};
        rows[key] += Traffic{r[3].get<std::uint64_t>(), r[4].get<std::uint64_t>(), r[5].get<std::uint64_t>(),
                             r[6].get<std::uint64_t>()};
    }
}

Rate rate_over(const TrafficBySecond& traffic, std::int64_t from, std::int64_t until,
               std::size_t first_gateway, std::size_t gateways) {
    Rate rate;
    if (until <= from || gateways == 0) return rate;
    const double seconds = static_cast<double>(until - from), n = static_cast<double>(gateways);
    Traffic all;
    std::map<Channel, Traffic> by_channel;
    std::map<std::size_t, Traffic> by_machine;
    for (auto it = traffic.lower_bound(from); it != traffic.end() && it->first < until; ++it) {
        Traffic in_second;
        std::map<std::size_t, Traffic> by_gateway, machine_in_second;
        for (const auto& [key, t] : it->second) {
            if (key.gateway < first_gateway || key.gateway >= first_gateway + gateways) continue;
            in_second += t;
            by_channel[key.channel] += t;
            by_gateway[key.gateway] += t;
            machine_in_second[key.machine] += t;
        }
        all += in_second;
        rate.worst_bytes = std::max(rate.worst_bytes, static_cast<double>(in_second.bytes()) / n);
        rate.worst_messages = std::max(rate.worst_messages, static_cast<double>(in_second.messages()) / n);
        for (const auto& [g, t] : by_gateway)
            rate.worst_gateway_bytes = std::max(rate.worst_gateway_bytes, static_cast<double>(t.bytes()));
        for (const auto& [m, t] : machine_in_second) {
            by_machine[m] += t;
            rate.machine_worst_bytes = std::max(rate.machine_worst_bytes, static_cast<double>(t.bytes()));
            rate.machine_worst_messages =
                std::max(rate.machine_worst_messages, static_cast<double>(t.messages()));
        }
    }
    rate.control_bytes = static_cast<double>(all.bytes()) / seconds;
    rate.control_messages = static_cast<double>(all.messages()) / seconds;
    rate.bytes = rate.control_bytes / n;
    rate.bytes_out = static_cast<double>(all.bytes_out) / seconds / n;
    rate.bytes_back = static_cast<double>(all.bytes_back) / seconds / n;
    rate.messages = rate.control_messages / n;
    for (const auto& [c, t] : by_channel) {
        rate.bytes_by_channel[name_of(c)] = static_cast<double>(t.bytes()) / seconds / n;
        rate.messages_by_channel[name_of(c)] = static_cast<double>(t.messages()) / seconds / n;
    }
    for (const auto& [m, t] : by_machine) {
        rate.machine_bytes = std::max(rate.machine_bytes, static_cast<double>(t.bytes()) / seconds);
        rate.machine_messages = std::max(rate.machine_messages, static_cast<double>(t.messages()) / seconds);
    }
    return rate;
}

json to_json(const Rate& r) {
    return {{"messages", r.messages},
            {"bytes", r.bytes},
            {"bytes_out", r.bytes_out},
            {"bytes_back", r.bytes_back},
            {"worst_second_messages", r.worst_messages},
            {"worst_second_bytes", r.worst_bytes},
            {"worst_gateway_second_bytes", r.worst_gateway_bytes},
            {"bytes_by_channel", r.bytes_by_channel},
            {"messages_by_channel", r.messages_by_channel},
            {"busiest_machine_bytes", r.machine_bytes},
            {"busiest_machine_messages", r.machine_messages},
            {"busiest_machine_worst_bytes", r.machine_worst_bytes},
            {"busiest_machine_worst_messages", r.machine_worst_messages},
            {"control_bytes", r.control_bytes},
            {"control_messages", r.control_messages}};
}

}  // namespace irismux::scale
