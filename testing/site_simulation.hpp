// All sites of an installation in virtual time, from one seed: members that acknowledge events of a notice
// board round one registry, and readers who ask what is in force everywhere. Messages are lost, late and
// repeated, processes stop, die and start anew with old state, links to the registry and to the board are
// cut, and both go back to backups. Whenever a reader says `everywhere`, or `all but these`, every process is
// looked into: whether one of those that it means acts without the event.
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
    // Chances: of a message, and, of the others, a second and a member (of restores a second).
    struct FaultRates {
        double lose = 0, late = 0, repeat = 0;
        double stop = 0, crash = 0, partition = 0, board_partition = 0, registry_restore = 0,
               board_restore = 0;
    };
    struct Options {
        std::vector<std::size_t> sites = {3, 3};            // members of each
        std::size_t legacy_members = 0;                     // members outside of all sites, that say nothing
        std::map<std::string, std::size_t> inventory = {};  // besides the sites above
        double drift = 0.05;
        Duration publish_every = Duration::micros(1'000'000);
        bool readers = true;
    };
    // What a reader said last of the newest event that it asked about.
    struct ReportedVerdict {
        TimePoint at;
        std::int64_t event = 0;
        fleet::FleetStatus::Verdict verdict;
    };

    SiteSimulation(std::uint32_t seed, const Options& shape, const fleet::SharedConfig& shared_config);
    ~SiteSimulation();

    void start_all();
    void run(Duration time, const FaultRates& troubles);
    void run(Duration time) { run(time, FaultRates{}); }
    std::size_t member(std::size_t site, std::size_t place) const;  // its number among all
    std::size_t members() const;
    std::size_t owner(std::size_t site) const;  // of its digest; members() if nobody
    std::int64_t newest() const;                // event of the board

    void kill(std::size_t member);
    // With the state of so many events ago; the board's own, if none.
    void start(std::size_t member, std::size_t events_ago = 0);
    void leave(std::size_t member);
    void stop(std::size_t member);
    void resume(std::size_t member);
    void partition(std::size_t member, bool in, bool out);
    void partition_board(std::size_t member, bool is);
    void recover(std::size_t member);
    void set_publishing(bool is) { publishing_ = is; }
    void publish();
    // The board, to what it was so many events ago; announced: with the operator's word before it goes on.
    void restore_board(std::size_t events, bool announced);
    void restore_registry(Duration age);
    void forget_member(std::size_t member);  // an operator's command

    TimePoint now() const { return now_; }
    const ReportedVerdict& last_verdict() const { return last_verdicts_.front(); }
    // What the first reader said last of that event; it is asked about until it is everywhere, however old it
    // is.
    fleet::FleetStatus::Verdict verdict_of(std::int64_t event);
    // At that instant no process acts without the newest event.
    bool in_force_everywhere() const;
    std::string debug_state() const;

    std::vector<std::string> violations;
    std::uint64_t transactions = 0, deliveries = 0;               // at the registry; to watches
    std::uint64_t everywhere_verdicts = 0, all_but_verdicts = 0;  // verdicts, of all events asked about
    Duration longest_verdict_delay;  // from an event's being in force everywhere until the reader said so,
                                     // since mark()
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
    void submit(Process& p, const fleet::Transaction& deal);
    void settle(std::size_t member, std::uint64_t ask, std::uint64_t life, const fleet::Transaction& deal);
    void deliver_records(Process& p);
    void fail_poll(Process& p, std::uint64_t life);
    void answer_poll(Process& p, std::uint64_t life, std::int64_t from);
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
    std::uint64_t restores_ = 0;  // of the registry
    struct Backup {
        TimePoint taken;
        TransactionLedger::Records records;
        Revision revision;
    };
    std::vector<Backup> backups_;

    std::vector<int> board_;  // its events, by number; each event ever published is a number of its own
    int published_ = 0;
    bool publishing_ = true;
    std::map<int, TimePoint> in_force_since_;  // everywhere for the first time
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
