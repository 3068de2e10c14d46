// The test rig. It starts the processes, sends orders to them, and collects measurements from the processes
// that the gateways communicate with and from the operating system.
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
    // Gateways 0 to real_gateways - 1 run as real processes; the others are stubs (testing/stub_gateway.hpp).
    std::size_t real_gateways = 0;
    std::size_t members = 4;  // number of registry members
    std::string program;      // path of irismux; needed for real gateways
    std::string self;         // path of this program, which also runs the roles
    std::uint64_t seed = 1;
    // Additional lines for the [fleet] section of each gateway. "{site}" is replaced by the name of the
    // gateway's site.
    std::vector<std::string> fleet_lines;
    std::string term = "12s";
};

// The time at which a change came into force, by gateway. Gateways that the change did not reach are absent.
using InForceTimes = std::map<std::size_t, std::int64_t>;  // microseconds of the Unix clock

class Rig {
public:
    // Throws std::runtime_error with a one-line message if the machine's limits are too low or a process does
    // not start.
    explicit Rig(const RigSettings& settings);
    ~Rig();
    Rig(const Rig&) = delete;
    Rig& operator=(const Rig&) = delete;

    const Topology& topology() const { return settings_.topology; }
    const RigSettings& settings() const { return settings_; }
    std::size_t stub_gateways() const { return topology().gateways - settings_.real_gateways; }

    // --- orders
    // Starts the gateways. Gateways that already run are restarted as if SIGKILL had ended them.
    void start(const std::vector<std::size_t>& gateways);
    void kill(const std::vector<std::size_t>& gateways);
    void start_lookups();  // starts the clients of the real gateways
    // Returns for each real gateway how many lookups were sent, satisfied, nacked and failed.
    nlohmann::json lookups();
    // Changes the relays on the links of the gateways. `change` is a JSON object with one or several of these
    // keys:
    //    cut             true: the relays accept connections, but hold back all data; false: they forward
    //                    the data again
    //    down            true: the relays reset all connections and refuse new ones; false: they listen again
    //    delay_ms        the relays delay each chunk of data by this number of milliseconds
    //    bytes_a_second  limits the throughput of each connection in each direction; 0 removes the limit
    //    break           the relays reset all connections once, whatever the value of the key is
    void change_links(const std::vector<std::size_t>& gateways, nlohmann::json change);
    void set_ejected(const std::string& cache, bool ejected, const std::vector<std::size_t>& gateways);
    // If enabled, each stub gateway ejects one cache at a time and changes this cache once per second.
    void set_continuous_ejections(bool enabled);
    // Posts `count` purges in one batch. Returns the timestamps of the purges, which are all different, in
    // milliseconds of the Unix clock.
    std::vector<std::int64_t> purge(std::size_t count);
    std::int64_t change_list();  // returns the new version of the endpoint list
    // If `removed` is true, removes the last `count` caches from the endpoint list; otherwise adds them
    // again.
    void set_caches_removed(std::size_t count, bool removed);
    void set_purge_reports(bool enabled);
    // Returns whether one of the additional [fleet] lines restricts the member list of each gateway to the
    // gateways of its own site.
    bool membership_by_site() const;
    // Sets the state that the stub gateways have to reach: `members` fleet members, the current endpoint list
    // and all posted purges. Each stub gateway that has reached this state reports "whole" once, under the
    // number that this function returns.
    std::int64_t expect(std::size_t members);

    // --- time
    bool wait_until(std::function<bool()> condition, Duration most);
    void run_for(Duration time);
    void to_next_second();
    std::int64_t now_us() const { return (loop_.now() - TimePoint{}).micros(); }
    std::int64_t now_second() const { return now_us() / 1'000'000; }

    // --- measurements
    const InForceTimes& in_force(const std::string& kind, std::int64_t id) {
        return in_force_times_[{kind, id}];
    }
    void clear_in_force() { in_force_times_.clear(); }
    const TrafficBySecond& traffic() const { return traffic_; }
    nlohmann::json states();  // states of the stub gateways, by gateway number
    nlohmann::json registry_ledger();
    std::map<std::string, double> processor_seconds();    // sum over all processes of a role
    std::map<std::string, std::size_t> resident_bytes();  // sum over all processes of a role
    std::size_t resident_of_empty_stub_process() const { return empty_stub_process_bytes_; }
    void check_memory();  // Throws std::runtime_error if the rig's processes use more memory than allowed.
    std::size_t processes() const { return children_.size() + real_.size(); }
    std::int64_t list_version() const { return list_version_; }
    std::uint64_t purges_posted() const { return purges_posted_; }

private:
    // A temporary folder that is removed when the rig ends, also if the rig's constructor throws.
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
        double spent = 0;  // processor time of the gateway's earlier processes, in seconds
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
    // addresses of the registry members and of the notice board
    nlohmann::json registry_addresses_, notice_board_address_;
    std::map<std::size_t, nlohmann::json> relay_addresses_;  // addresses of each gateway's relays
    std::vector<std::string> cache_addresses_;
    std::map<std::pair<std::string, std::int64_t>, InForceTimes> in_force_times_;
    TrafficBySecond traffic_;
    std::int64_t next_order_ = 1, next_expected_ = 1, list_version_ = 1000, last_purge_ms_ = 0;
    std::uint64_t purges_posted_ = 0;
    std::size_t empty_stub_process_bytes_ = 0;
    // loop_runner_ is declared last, because the data members above must outlive the running loop.
    std::unique_ptr<test_support::LoopRunner> loop_runner_;
};

}  // namespace irismux::scale
