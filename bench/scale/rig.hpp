// The rig: starts the processes, gives them orders, and reads what the far ends and the system show of them.
#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/scale/control_channel.hpp"
#include "bench/scale/counting.hpp"
#include "bench/scale/topology.hpp"
#include "testing/process.hpp"
#include "testing/sockets.hpp"

namespace irismux::scale {

struct RigSettings {
    Topology topology;
    std::size_t real_gateways = 0;  // the first ones; the others are hollow
    std::size_t members = 4;        // of the registry
    std::string program;            // irismux; needed for real gateways
    std::string self;               // the program with the roles
    std::uint64_t seed = 1;
    // More lines of each gateway's [fleet]; "{site}" in them stands for the name of its site.
    std::vector<std::string> fleet_lines;
    std::string term = "12s";
};

// When something came into force at each gateway that it reached.
using InForceTimes = std::map<std::size_t, std::int64_t>;  // microseconds of the Unix clock

class Rig {
public:
    // Throws std::runtime_error with one plain line where the machine does not suffice or a process does not
    // start.
    explicit Rig(const RigSettings& settings);
    ~Rig();
    Rig(const Rig&) = delete;
    Rig& operator=(const Rig&) = delete;

    const Topology& topology() const { return settings_.topology; }
    const RigSettings& settings() const { return settings_; }
    std::size_t stub_gateways() const { return topology().gateways - settings_.real_gateways; }

    // --- orders
    void start(
        const std::vector<std::size_t>& gateways);  // those that run are started anew, as after SIGKILL
    void kill(const std::vector<std::size_t>& gateways);
    void start_lookups();      // lookups, from now on
    nlohmann::json lookups();  // of each real gateway: asked, satisfied, nacked, failed
    // To their relays: {"cut": true}, {"down": false}, {"delay_ms": 5}, {"bytes_a_second": 10000}, {"break":
    // true}.
    void change_links(const std::vector<std::size_t>& gateways, nlohmann::json change);
    void set_ejected(const std::string& cache, bool ejected, const std::vector<std::size_t>& gateways);
    void set_continuous_ejections(bool enabled);  // of all hollow gateways
    // All at once; the instants that they carry are milliseconds of the Unix clock and differ.
    std::vector<std::int64_t> purge(std::size_t count);
    std::int64_t change_list();                                // the new version
    void set_caches_removed(std::size_t count, bool removed);  // the last ones of the list
    void set_purge_reports(bool enabled);
    // Whether members know only those of their own site, by a line of [fleet].
    bool membership_by_site() const;
    // From now on gateways that know of all this tell so, as "whole" under the number returned.
    std::int64_t expect(std::size_t members);

    // --- time
    bool wait_until(std::function<bool()> condition, Duration most);
    void run_for(Duration time);
    void to_next_second();
    std::int64_t now_us() const { return (loop_.now() - TimePoint{}).micros(); }
    std::int64_t now_second() const { return now_us() / 1'000'000; }

    // --- what is seen
    const InForceTimes& in_force(const std::string& kind, std::int64_t id) {
        return in_force_times_[{kind, id}];
    }
    void clear_in_force() { in_force_times_.clear(); }
    const TrafficBySecond& traffic() const { return traffic_; }
    nlohmann::json states();  // of hollow gateways, by number
    nlohmann::json registry_ledger();
    std::map<std::string, double> processor_seconds();    // by role
    std::map<std::string, std::size_t> resident_bytes();  // by role, together
    std::size_t resident_of_empty_stub_process() const { return empty_stub_process_bytes_; }
    void check_memory();  // throws where the rig's processes hold more than they may
    std::size_t processes() const { return children_.size() + real_.size(); }
    std::int64_t list_version() const { return list_version_; }
    std::uint64_t purges_posted() const { return purges_posted_; }

private:
    // Of this rig's own; goes with it, also where it could not be set up.
    struct Folder {
        Folder();
        ~Folder();
        std::filesystem::path path;
    };
    struct Child {
        std::string role;
        std::size_t number = 0;
        std::unique_ptr<test_support::Process> process;
        std::unique_ptr<ControlChannel> channel;
        std::map<std::int64_t, nlohmann::json> answers;
    };
    struct RealGateway {
        void end();
        double processor_seconds() const;

        std::string configuration, parts, log, listen;
        double spent = 0;  // processor time of its processes that have ended
        std::unique_ptr<test_support::Process> process;
    };

    void check_descriptors() const;
    void on_accept(const Poco::Net::StreamSocket& socket);
    void on_message(const std::shared_ptr<Child*>& child, const nlohmann::json& message,
                    const std::shared_ptr<test_support::TestConnection>&);
    Child& start_child(const std::string& role, std::size_t number);
    void start_children(const std::string& role, std::size_t count);
    std::vector<Child*> all_of(const std::string& role);
    std::int64_t send_order(Child& child, nlohmann::json order);
    nlohmann::json answer(Child& child, std::int64_t id);
    nlohmann::json ask(Child& child, const nlohmann::json& order) {
        return answer(child, send_order(child, order));
    }
    std::vector<nlohmann::json> ask_all(const std::string& role, const nlohmann::json& order);
    void start_registry();
    void write_endpoint_list();
    void start_relays();
    void set_up_stub_gateways();
    void set_up_real_gateways();
    std::string parts_file_text(std::size_t gateway, const nlohmann::json& addresses) const;
    nlohmann::json endpoint_record_of(std::size_t cache) const;

    RigSettings settings_;
    Folder folder_;
    EventLoop loop_;
    std::unique_ptr<test_support::Acceptor> acceptor_;
    std::vector<std::unique_ptr<Child>> children_;
    std::map<std::size_t, RealGateway> real_;
    std::vector<std::shared_ptr<test_support::TestConnection>> unidentified_connections_;
    std::vector<std::unique_ptr<ControlChannel>> unidentified_channels_;
    nlohmann::json registry_addresses_, notice_board_address_;  // addresses
    std::map<std::size_t, nlohmann::json> relay_addresses_;     // its relays' addresses
    std::vector<std::string> cache_addresses_;
    std::map<std::pair<std::string, std::int64_t>, InForceTimes> in_force_times_;
    TrafficBySecond traffic_;
    std::int64_t next_order_ = 1, next_expected_ = 1, list_version_ = 1000, last_purge_ms_ = 0;
    std::uint64_t purges_posted_ = 0;
    std::size_t empty_stub_process_bytes_ = 0;
    std::unique_ptr<test_support::LoopRunner>
        loop_runner_;  // the last: nothing of the above may go while the loop runs
};

}  // namespace irismux::scale
