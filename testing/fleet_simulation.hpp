// A whole fleet in virtual time, from one seed: Agents whose clocks drift, round one registry, with messages
// that are lost, late and repeated, processes that stop, die and start anew, links that are cut, and a
// registry that goes back to a backup. After every event the guarantees are checked, from the registry's own
// ledger and by asking every process, stopped ones too, what it would do at that instant.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/agent.hpp"
#include "testing/transaction_ledger.hpp"

namespace irismux::test_support {

class FleetSimulation {
public:
    // Chances: of a message, and, of the others, a second and a member (of `restore` a second).
    struct FaultRates {
        double lose = 0, late = 0, repeat = 0;
        double stop = 0, crash = 0, partition = 0, restore = 0;
    };
    struct Options {
        std::size_t members = 3, duties = 2;
        double drift = 0.01;  // that of the clocks; the shared configuration has its own
        bool randomized = true;
        bool fenced_writes = true;  // owners write on behalf of the fleet all the while
    };
    FleetSimulation(std::uint32_t seed, const Options& shape, const fleet::SharedConfig& shared_config);
    ~FleetSimulation();

    void start_all();
    void run(Duration time, const FaultRates& troubles);
    void kill(std::size_t member);
    void start(std::size_t member);
    void stop(std::size_t member);
    void resume(std::size_t member);
    void recover(std::size_t member);  // runs and is linked, whatever it was
    void set_registry_down(bool is);   // the registry, for all
    void restore_backup(
        Duration age);  // the registry, to a backup at least so old; one more than a term old is expected
    void partition(std::size_t member, bool in, bool out);
    std::size_t max_transactions_within(
        Duration window) const;  // transactions that reached the registry within such a stretch, since mark()

    TimePoint now() const { return now_; }
    std::optional<std::size_t> owner(std::size_t duty) const;  // who may act on it at this instant
    std::string debug_state() const;

    std::vector<std::string> violations;  // guarantees, each with its instant; checked on each event
    std::uint64_t transactions = 0, accepted_writes = 0, refused_writes = 0,
                  owner_changes = 0;           // of the registry; owners: changes of
    std::vector<TimePoint> transaction_times;  // of transactions as they reached the registry
    Duration longest_unowned;                  // of any duty, since the last mark()
    void reset_measurements();

private:
    struct Node;
    void schedule(TimePoint due, std::function<void()> then);
    void check(bool all);
    void inject_fault(const FaultRates& t);
    void on_submit(Node& n, const Transaction& transaction);
    void check_fenced_write(const std::string& value);
    void check_owner(const fleet::Key& key, const std::string& value);
    void check_writes(const fleet::Transaction& transaction, bool succeeded);
    void settle(std::size_t member, std::uint64_t ask, const Transaction& transaction);
    void deliver_records(Node& n);
    void send_order(const fleet::DutyName& duty, const fleet::LeaseHolder& holder);
    void wake(Node& n);
    bool with_probability(double p) { return p > 0 && random_fraction() < p; }
    double random_fraction() {
        return static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
    }
    Duration delay(double late);

    Options options_;
    fleet::SharedConfig shared_config_;
    std::ranlux24_base random_;
    TimePoint now_ = TimePoint::at_seconds(1000);
    std::uint64_t next_event_number_ = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
    TransactionLedger ledger_;
    std::uint64_t restores_ = 0;
    bool registry_down_ = false;
    struct Backup {
        TimePoint taken;
        TransactionLedger::Records records;
        Revision revision;
    };
    std::vector<Backup> backups_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<fleet::DutyName> duties_;
    std::map<std::string, std::int64_t> highest_token_;  // token of accepted writes, of this history
    std::map<std::pair<std::string, std::int64_t>, std::string> token_owners_;
    std::map<std::pair<std::size_t, fleet::DutyName>, fleet::FencingToken>
        accepted_tokens_;  // by each, restarts and all
    std::vector<std::optional<std::size_t>> owned_;
    std::vector<TimePoint> unowned_since_;
    FaultRates fault_rates_;
    TimePoint next_fault_, next_backup_, next_write_;
    std::uint64_t fenced_writes_ = 0, checks_ = 0;
};

}  // namespace irismux::test_support
