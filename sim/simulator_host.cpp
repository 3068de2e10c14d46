// irismux_simhost: runs routers for the simulator. Reads batches of messages from standard input, one batch
// per line, and writes the routers' decisions to standard output.
#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/json_reader.hpp"
#include "gateway/deployment_reader.hpp"
#include "irismux/router.hpp"
#include "sim/request_names.hpp"
#include "sim/simulator_codec.hpp"

namespace irismux::sim {
namespace {

// Collects the router's decisions as messages.
class MessageWriter final : public RouterCallbacks {
public:
    RequestNames names;

    [[nodiscard]] json take_messages() { return std::exchange(messages_, json::array()); }

    void start_direct_attempt(const RequestId& request, const CacheId& origin, Duration timeout) override {
        names.on_attempt_started(request);
        messages_.push_back(start_direct_attempt_message(names.name_of(request), origin, timeout));
    }
    void start_attempt(const RequestId& request, const AttemptPlan& plan) override {
        names.on_attempt_started(request);
        messages_.push_back(start_attempt_message(names.name_of(request), plan));
    }
    void cancel_attempt(const RequestId& request, AttemptIndex attempt) override {
        messages_.push_back(cancel_attempt_message(names.name_of(request), attempt));
    }
    void reject(const RequestId& request, Duration retry_after) override {
        messages_.push_back(reject_message(names.name_of(request), retry_after));
        names.on_request_finished(request);
    }
    void fail(const RequestId& request) override {
        messages_.push_back(fail_message(names.name_of(request)));
        names.on_request_finished(request);
    }
    void set_timer(TimerId timer, TimePoint due) override {
        messages_.push_back(set_timer_message(timer, due));
    }
    void subscribe_to_endpoints() override { messages_.push_back(subscribe_message()); }

private:
    json messages_ = json::array();
};

// One gateway of the simulation.
class SimulatedGateway {
public:
    SimulatedGateway(TimePoint now, const json& message) {
        DeploymentSettings settings = read_deployment(require(message, "setup"));
        kind_indexes_ = std::move(settings.kind_indexes);
        router_.emplace(writer_, settings.deployment, get<std::uint64_t>(message, "seed"), now);
    }

    [[nodiscard]] json take_messages() { return writer_.take_messages(); }

    void on_request(TimePoint now, const json& message) {
        const std::string kind = get<std::string>(message, "kind");
        const auto index = kind_indexes_.find(kind);
        if (index == kind_indexes_.end())
            throw_parse_error("'kind' is '" + kind + "', which is not among the 'lanes' of the setup");
        Request request = read_request(message);
        request.kind = index->second;
        request.id = writer_.names.add(get<std::string>(message, "xid"));
        router_->on_request(now, request);
        writer_.names.remove_if_finished(request.id);
    }

    void on_attempt_result(TimePoint now, const json& message) {
        const auto id = writer_.names.find(get<std::string>(message, "xid"));
        if (!id) return;
        const AttemptResult result = read_attempt_result(*id, message);
        writer_.names.on_attempt_ended(*id);
        if (result.request_finished || result.outcome == Outcome::completed)
            writer_.names.on_request_finished(*id);
        router_->on_attempt_result(now, result);
        writer_.names.remove_if_finished(*id);
    }

    void on_client_closed(TimePoint now, const json& message) {
        const auto id = writer_.names.find(get<std::string>(message, "xid"));
        if (!id) return;
        writer_.names.on_request_finished(*id);
        router_->on_client_closed(now, *id);
        writer_.names.remove_if_finished(*id);
    }

    void on_timer(TimePoint now, const json& message) {
        router_->on_timer(now, TimerId{get<std::uint64_t>(message, "tag")});
    }

    void on_purge(TimePoint now, const json& message) {
        std::optional<ObjectName> object;
        if (const auto name = get_or<std::string>(message, "contentId", ""); !name.empty())
            object = ObjectName{name};
        router_->on_purge(now, get_duration(message, "ageS"),
                          PurgeGroupId{get_or<std::int64_t>(message, "setNo", 0)}, object);
    }

    using EndpointLists = std::map<std::int64_t, std::vector<EndpointUpdate>>;
    void on_endpoint_list(TimePoint now, const json& message, const EndpointLists& lists) {
        const std::string kind = get<std::string>(message, "how");
        if (kind == "lost") return router_->on_endpoint_updates_lost(now);
        if (kind != "incr" && kind != "total" && kind != "warm_copy")
            throw_parse_error("'how' of a 'View' message must be incr, total, warm_copy or lost, not '" +
                              kind + "'");
        const auto number = get_or<std::int64_t>(message, "ref", 0);
        const auto list = lists.find(number);
        if (list == lists.end())
            throw_parse_error("'View' refers to endpoint list " + std::to_string(number) +
                              ", which no 'Ledger' message has sent");
        router_->on_endpoint_updates(now, list->second, kind != "incr");
    }

private:
    MessageWriter writer_;
    std::map<std::string, ObjectKindIndex> kind_indexes_;
    std::optional<Router> router_;  // constructed after writer_, which it calls
};

// Returns whether messages of this type are ignored: no decision of a router depends on them.
bool is_ignored(std::string_view type) {
    return type == "Opened" || type == "ProbeDone" || type == "NoteFrom";
}

class SimulatorHost {
public:
    [[nodiscard]] json reply_to(const json& batch) {
        const TimePoint now = TimePoint::at_seconds(get<double>(batch, "clockS"));
        json replies = json::array();
        for (const json& entry : get_array(batch, "gateways")) {
            const std::string name = get<std::string>(entry, "gatewayId");
            for (const json& message : get_array(entry, "items")) receive(now, name, message);
            const auto gateway = gateways_.find(name);
            if (gateway == gateways_.end()) continue;
            json messages = gateway->second->take_messages();
            if (!messages.empty()) replies.push_back({{"gatewayId", name}, {"outbox", std::move(messages)}});
        }
        return {{"gateways", std::move(replies)}};
    }

private:
    void receive(TimePoint now, const std::string& name, const json& message) {
        const std::string type = get<std::string>(message, "t");
        if (type == "Ledger")
            read_endpoint_list(message);
        else if (type == "OpenInstance")
            gateways_[name] = std::make_unique<SimulatedGateway>(now, message);
        else if (type == "Exit")
            gateways_.erase(name);
        else
            deliver(now, gateway_for(type, name), type, message);
    }

    SimulatedGateway& gateway_for(const std::string& type, const std::string& name) {
        const auto gateway = gateways_.find(name);
        if (gateway == gateways_.end())
            throw_parse_error("message '" + type + "' is for gateway '" + name + "', which is not running");
        return *gateway->second;
    }

    void deliver(TimePoint now, SimulatedGateway& gateway, const std::string& type, const json& message) {
        if (type == "Ingress")
            gateway.on_request(now, message);
        else if (type == "Resolved")
            gateway.on_attempt_result(now, message);
        else if (type == "Due")
            gateway.on_timer(now, message);
        else if (type == "View")
            gateway.on_endpoint_list(now, message, endpoint_lists_);
        else if (type == "Outdated")
            gateway.on_purge(now, message);
        else if (type == "ClientGone")
            gateway.on_client_closed(now, message);
        else if (!is_ignored(type))
            throw_parse_error("unknown message type '" + type + "'");
    }

    void read_endpoint_list(const json& message) {
        std::vector<EndpointUpdate> updates;
        for (const json& element : get_array(message, "elements"))
            updates.push_back(read_endpoint_update(element));
        endpoint_lists_[get_or<std::int64_t>(message, "ref", 0)] = std::move(updates);
    }

    std::map<std::string, std::unique_ptr<SimulatedGateway>> gateways_;
    SimulatedGateway::EndpointLists endpoint_lists_;
};

void run() {
    SimulatorHost host;
    std::string line;
    while (std::getline(std::cin, line)) {
        if (line.empty()) continue;
        const std::string reply = host.reply_to(json::parse(line)).dump();
        std::cout << reply << '\n' << std::flush;
    }
}

}  // namespace
}  // namespace irismux::sim

int main() {
    std::ios::sync_with_stdio(false);
    try {
        irismux::sim::run();
    } catch (const std::exception& e) {
        std::string text = e.what();
        std::replace_if(
            text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r'; }, ' ');
        std::cerr << "irismux_simhost: " << text << '\n';
        return 1;
    }
    return 0;
}
