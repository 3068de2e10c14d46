// A simulation of a fleet in virtual time, from one seed. Agents with drifting clocks share one registry.
// Messages are lost, delayed and repeated, processes stop, crash and restart, links are partitioned, and the
// registry is restored from a backup. After every event the simulation checks the invariants: it checks the
// registry's ledger and asks each process, including stopped processes, whether the process would act at this
// time.
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
    // `lose`, `late` and `repeat` are probabilities per message. `stop`, `crash` and `partition` are rates
    // per second and member. `restore` is a rate per second.
    struct FaultRates {
        double lose = 0, late = 0, repeat = 0;
        double stop = 0, crash = 0, partition = 0, restore = 0;
    };
    struct Options {
        std::size_t members = 3, duties = 2;
        double drift = 0.01;  // drift of the simulated clocks; independent of SharedConfig::drift
        bool randomized = true;
        bool fenced_writes = true;  // owners of duties make fenced writes all the time
    };
    FleetSimulation(std::uint32_t seed, const Options& options, const fleet::SharedConfig& shared_config);
    ~FleetSimulation();

    void start_all();
    void run(Duration time, const FaultRates& fault_rates);
    void kill(std::size_t member);
    void start(std::size_t member);
    void stop(std::size_t member);
    void resume(std::size_t member);
    // Starts the member if its process has ended, otherwise resumes it. Ends the member's partition.
    void recover(std::size_t member);
    void set_registry_down(bool down);  // the registry is down for all members
    // Restores the registry from the newest backup that is older than `age`. The fleet's guarantees hold only
    // if `age` is longer than a term.
    void restore_backup(Duration age);
    void partition(std::size_t member, bool inbound, bool outbound);
    // Returns the largest number of transactions that reached the registry within any period of length
    // `window` since the last call of reset_measurements().
    std::size_t max_transactions_within(Duration window) const;

    TimePoint now() const { return now_; }
    std::optional<std::size_t> owner(std::size_t duty) const;  // the member allowed to act on the duty now
    std::string debug_state() const;

    std::vector<std::string> violations;  // broken invariants, checked on each event
    // The simulated registry counts the transactions that it has run, the fenced writes that it has accepted
    // and refused, and the writes that gave a duty to an owner.
    std::uint64_t transactions = 0, accepted_writes = 0, refused_writes = 0, owner_changes = 0;
    std::vector<TimePoint> transaction_times;  // arrival of each transaction at the registry
    // Longest time for which a duty had no owner since the last call of reset_measurements().
    Duration longest_unowned;
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
    void settle(std::size_t member, std::uint64_t number, const Transaction& transaction);
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
    // Highest token of the writes that the registry has accepted since its last restore, by duty.
    std::map<std::string, std::int64_t> highest_token_;
    std::map<std::pair<std::string, std::int64_t>, std::string> token_owners_;
    // Highest token of the orders that a member has accepted, by member and duty. A restart of the member
    // does not clear the token.
    std::map<std::pair<std::size_t, fleet::DutyName>, fleet::FencingToken> accepted_tokens_;
    std::vector<std::optional<std::size_t>> owned_;
    std::vector<TimePoint> unowned_since_;
    FaultRates fault_rates_;
    TimePoint next_fault_, next_backup_, next_write_;
    std::uint64_t fenced_writes_ = 0, checks_ = 0;
};

}  // namespace irismux::test_support
