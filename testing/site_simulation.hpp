// A simulation of all sites of an installation in virtual time, from one seed. Fleet members share one
// registry and acknowledge the events of a notice board. Readers judge which events are in force everywhere.
// Messages are lost, delayed and repeated, processes stop, crash and restart with old state, links to the
// registry and to the board are partitioned, and both the registry and the board are restored from backups.
// Whenever a reader reports `everywhere` or `all_but`, the simulation inspects every process that the verdict
// covers. It is a violation if one of these processes acts without the event.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_status.hpp"
#include "fleet/site_reporter.hpp"
#include "testing/transaction_ledger.hpp"

namespace irismux::test_support {

class SiteSimulation {
public:
    // `lose`, `late` and `repeat` are probabilities per message. `registry_restore` and `board_restore` are
    // rates per second. The others are rates per second and member.
    struct FaultRates {
        double lose = 0, late = 0, repeat = 0;
        double stop = 0, crash = 0, partition = 0, board_partition = 0, registry_restore = 0,
               board_restore = 0;
    };
    struct Options {
        /// Number of members at each site.
        std::vector<std::size_t> sites = {3, 3};
        /// Number of fleet members that belong to no site and report nothing.
        std::size_t legacy_members = 0;
        /// Entries of the readers' inventory that differ from `sites`: additional sites, and other member
        /// counts for the sites in `sites`.
        std::map<std::string, std::size_t> inventory = {};
        double drift = 0.05;
        Duration publish_every = Duration::micros(1'000'000);
        bool readers = true;
    };
    // A reader's last verdict on the event that was the newest at the time of the verdict.
    struct ReportedVerdict {
        TimePoint at;
        std::int64_t event = 0;
        fleet::FleetStatus::Verdict verdict;
    };

    SiteSimulation(std::uint32_t seed, const Options& options, const fleet::SharedConfig& shared_config);
    ~SiteSimulation();

    void start_all();
    void run(Duration time, const FaultRates& fault_rates);
    void run(Duration time) { run(time, FaultRates{}); }
    std::size_t member(std::size_t site, std::size_t place) const;  // number among all members
    std::size_t members() const;
    std::size_t owner(std::size_t site) const;  // owner of the site's digest duty; members() if there is none
    std::int64_t newest() const;                // number of the board's newest event

    void kill(std::size_t member);
    // Starts the member with an old state: all events of the board are in force at the member except the
    // newest `events_ago`. Zero means the board's current state.
    void start(std::size_t member, std::size_t events_ago = 0);
    void leave(std::size_t member);
    void stop(std::size_t member);
    void resume(std::size_t member);
    void partition(std::size_t member, bool inbound, bool outbound);
    void partition_board(std::size_t member, bool enabled);
    void recover(std::size_t member);
    void set_publishing(bool enabled) { publishing_ = enabled; }
    void publish();
    // Restores the board to its state before the newest `events` events. If `announced` is true, the operator
    // starts a new generation before the board continues.
    void restore_board(std::size_t events, bool announced);
    void restore_registry(Duration age);
    void forget_member(std::size_t member);  // the operator's command `forget`

    TimePoint now() const { return now_; }
    const ReportedVerdict& last_verdict() const { return last_verdicts_.front(); }
    // Returns the first reader's last verdict on this event. After the first call for an event, the readers
    // judge the event at each reading, however old the event is.
    fleet::FleetStatus::Verdict verdict_of(std::int64_t event);
    // Returns whether no process acts without the board's newest event now.
    bool in_force_everywhere() const;
    std::string debug_state() const;

    std::vector<std::string> violations;
    std::uint64_t transactions = 0, deliveries = 0;  // transactions run; records sent to watches
    std::uint64_t everywhere_verdicts = 0, all_but_verdicts = 0;
    // Longest delay since the last call of reset_measurements(). The delay of an event begins when the event
    // is in force everywhere and ends when reader 0 reports `everywhere` for this event.
    Duration longest_verdict_delay;
    void reset_measurements();

private:
    struct Process;
    struct Reader;
    using Key = fleet::Key;

    void schedule(TimePoint due, std::function<void()> then);
    Duration delay(double late);
    bool with_probability(double p) { return p > 0 && random_fraction() < p; }
    double random_fraction() {
        return static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
    }
    void submit(Process& p, const fleet::Transaction& transaction);
    void settle(std::size_t member, std::uint64_t number, std::uint64_t process_number,
                const fleet::Transaction& transaction);
    void deliver_records(Process& p);
    void fail_poll(Process& p, std::uint64_t process_number);
    void answer_poll(Process& p, std::uint64_t process_number, std::int64_t from);
    void apply_notices(Process& p, std::int64_t from, std::int64_t newest, const std::vector<int>& notices);
    void poll(Process& p);
    void wake(Process& p);
    void step(Process& p);
    void read(Reader& r);
    void judge(Reader& r);
    void judge(Reader& r, std::int64_t event);
    bool acts_without(const Process& p, int event) const;
    void note_in_force();
    void inject_fault(const FaultRates& t);

    Options options_;
    fleet::SharedConfig shared_config_;
    std::ranlux24_base random_;
    TimePoint now_ = TimePoint::at_seconds(1000);
    std::uint64_t next_event_number_ = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;

    TransactionLedger ledger_;
    std::uint64_t restores_ = 0;  // number of restores of the registry
    struct Backup {
        TimePoint taken;
        TransactionLedger::Records records;
        Revision revision;
    };
    std::vector<Backup> backups_;

    std::vector<int> board_;  // the board's events, in order; each published event has an identity of its own
    int published_ = 0;
    bool publishing_ = true;
    std::map<int, TimePoint> in_force_since_;  // when an event was in force everywhere for the first time
    std::set<int> reported_everywhere_;

    std::vector<std::string> site_names_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::vector<std::unique_ptr<Reader>> readers_;
    std::vector<ReportedVerdict> last_verdicts_;
    std::map<std::int64_t, fleet::FleetStatus::Verdict> asked_about_;
    FaultRates fault_rates_;
    TimePoint next_fault_, next_backup_, next_publication_;
};

}  // namespace irismux::test_support
