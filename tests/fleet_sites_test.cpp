// Tests the command `irismux fleet in-force`, which gives a verdict on whether an event is in force at all
// sites. The tests use gateway processes with faults on their links: gateways g1 and g2 are in site `a`, and
// g3 is alone in site `b`. The polls at the boards show which events each gateway has applied.
#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "fleet/digest.hpp"
#include "testing/process_fleet.hpp"

using namespace irismux;
using namespace irismux::fleet;
namespace fs = std::filesystem;

namespace {

const Duration ms = Duration::micros(1000);
const Duration term = ms * 1'000;
constexpr double drift = 0.05;

const double some_terms = term.seconds() * 2.5;
constexpr int everywhere = 0, all_but = 3, not_yet = 4;

std::string site_of(std::size_t n) { return n < 2 ? "a" : "b"; }

class SitesOfProcesses : public ::testing::Test {
protected:
    fs::path root = fs::temp_directory_path() / ("irismux_sites." + std::to_string(::getpid()));
    std::unique_ptr<test_support::ProcessFleet> a;
    std::string parts;
    std::string output;  // output of the last command

    void SetUp() override {
        fs::create_directories(root);
        test_support::ProcessFleet::Options shape;
        shape.program = IRISMUX_PROGRAM;
        shape.term = term;
        shape.drift = drift;
        shape.fleet_lines = [](std::size_t n) {
            return "site = \"" + site_of(n) + "\"\nacknowledge_every = \"100ms\"\nconfiguration = 7\n";
        };
        a = std::make_unique<test_support::ProcessFleet>(shape, root.string());
        parts = (root / "operator.toml").string();
        std::ofstream(parts) << "[fleet]\nmembers = [\"" << a->registry.address(0)
                             << "\"]\ninstallation = \"arena\"\nprefix = \""
                             << test_support::ProcessFleet::prefix << "\"\nterm = \"" << term.micros() / 1000
                             << "ms\"\ndrift = " << drift << "\nsites = { a = 2, b = 1 }\n";
        a->start_all();
    }
    void TearDown() override {
        if (HasFailure())
            for (const auto& g : a->gateways)
                std::system(("echo --- " + g.name + "; tail -30 " + g.log).c_str());
        a.reset();
        fs::remove_all(root);
    }

    int run(const std::vector<std::string>& words) {
        const std::string out = (root / "out").string();
        fs::remove(out);
        std::vector<std::string> all = {IRISMUX_PROGRAM, "fleet", "--parts", parts};
        all.insert(all.end(), words.begin(), words.end());
        test_support::Process p({all, {"PATH=/usr/bin:/bin"}, "", out});
        EXPECT_TRUE(a->wait_until([&] { return !p.running(); }, ms * 60'000));
        std::ifstream in(out);
        output.assign((std::istreambuf_iterator<char>(in)), {});
        return WEXITSTATUS(p.status().value_or(0xff00));
    }
    int in_force(std::int64_t event, double wait_s = 0) {
        return run({"in-force", "--event", std::to_string(event), "--board",
                    a->gateways[0].notice_board->address(), "--wait", std::to_string(wait_s)});
    }
    // Repeats the command until its verdict is `answer` and its output contains `words`. Returns false if the
    // verdict is `everywhere`, or if 60 s have passed. The command is repeated because the time until the
    // digests are fresh depends on the machine.
    bool eventually_answers(int answer, const std::string& words, const std::vector<std::string>& question) {
        const TimePoint by = a->loop.now() + ms * 60'000;
        while (a->loop.now() < by) {
            const int given = run(question);
            if (given == everywhere) return false;
            if (given == answer && output.find(words) != std::string::npos) return true;
        }
        return false;
    }
    std::vector<std::string> question_of(std::int64_t event) const {
        return {"in-force",
                "--event",
                std::to_string(event),
                "--board",
                a->gateways[0].notice_board->address(),
                "--wait",
                std::to_string(some_terms)};
    }
    // Publishes a purge under the same event number at each gateway's board.
    std::int64_t purge() {
        std::int64_t number = 0;
        for (const auto& g : a->gateways)
            number = g.notice_board->post({{"flush", {{"ms", 1'000}, {"asset", "x"}}}});
        return number;
    }
    // Returns whether the gateway has applied the event. A gateway that has applied it polls its board for
    // later events.
    bool has_applied(std::size_t n, std::int64_t event) const {
        return a->gateways[n].notice_board->last_poll_since() >= event;
    }
    void set_board_cut_off(std::size_t n, bool cut_off) {
        for (const test_support::Direction way :
             {test_support::Direction::to_server, test_support::Direction::to_client})
            a->gateways[n].notice_board_proxy->hold(way, cut_off);
    }
    bool listens(std::size_t n) const {
        const auto seen = test_support::sockets_of(a->gateways[n].process->id());
        return std::any_of(seen.begin(), seen.end(),
                           [](const test_support::SocketInfo& s) { return s.listening; });
    }
    std::size_t owner() const {
        const auto text = record("digest/a");
        const auto digest = text ? parse_digest(*text) : std::nullopt;
        return digest && digest->owner == MemberName{"g1"} ? 0 : 1;
    }
    std::optional<std::string> record(const std::string& path) const {
        const auto* state = a->registry.model.at(a->registry.model.newest());
        const auto it = state->find(registry::RecordKey{test_support::ProcessFleet::prefix + path});
        return it == state->end() ? std::nullopt : std::optional(it->second.value);
    }
};

TEST_F(SitesOfProcesses, AnswersEverywhereOnceItIsAndNamesTheMemberThatLacksIt) {
    ASSERT_EQ(in_force(1, 30), everywhere) << output;
    EXPECT_EQ(run({"in-force", "--configuration", "7", "--wait", "20"}), everywhere) << output;
    EXPECT_TRUE(eventually_answers(not_yet, "", {"in-force", "--configuration", "8"})) << output;
    set_board_cut_off(1, true);
    const std::int64_t event = purge();
    EXPECT_TRUE(eventually_answers(not_yet, "site a g2 live, but has not applied the event or configuration",
                                   question_of(event)))
        << output;
    EXPECT_FALSE(has_applied(1, event));
    set_board_cut_off(1, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << output;
    for (std::size_t n = 0; n < 3; ++n) EXPECT_TRUE(has_applied(n, event)) << n;
}

// The digest's owner is cut off from its board, so that it does not receive a purge, and is stopped and
// resumed. The command's verdict must not be `everywhere` until the owner has applied the purge.
TEST_F(SitesOfProcesses, ADigestOwnerThatIsStoppedAndResumedAnswersNothingUntrue) {
    ASSERT_EQ(in_force(1, 30), everywhere) << output;
    const std::size_t first = owner();
    set_board_cut_off(first, true);
    a->stop(first);
    const std::int64_t event = purge();
    EXPECT_NE(in_force(event, some_terms), everywhere) << output;
    a->resume(first);
    EXPECT_NE(in_force(event, some_terms), everywhere) << output;
    EXPECT_FALSE(has_applied(first, event));
    set_board_cut_off(first, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << output;
}

class DigestOwnerCutOff : public SitesOfProcesses,
                          public ::testing::WithParamInterface<std::pair<bool, bool>> {};

// The digest's owner is cut off from its board, so that it does not receive a purge, and its link to the
// registry is cut in one or both directions. The command's verdict must name the owner, and must not be
// `everywhere` until the owner has applied the purge.
TEST_P(DigestOwnerCutOff, IsNamedAndNothingUntrueIsAnswered) {
    ASSERT_EQ(in_force(1, 30), everywhere) << output;
    const std::size_t first = owner();
    set_board_cut_off(first, true);
    a->partition_registry(first, GetParam().first, GetParam().second);
    const std::int64_t event = purge();
    EXPECT_NE(in_force(event, some_terms), everywhere) << output;
    // The site's other gateway takes the duty over after a while, and its digest names the former owner as
    // absent.
    EXPECT_TRUE(
        eventually_answers(all_but,
                           "site a g" + std::to_string(first + 1) +
                               " absent: cut off from the registry, dead or has left the fleet, since ",
                           question_of(event)))
        << output;
    a->partition_registry(first, false, false);
    EXPECT_NE(in_force(event, some_terms), everywhere) << output;
    EXPECT_FALSE(has_applied(first, event));
    set_board_cut_off(first, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << output;
}

INSTANTIATE_TEST_SUITE_P(Ways, DigestOwnerCutOff,
                         ::testing::Values(std::pair{true, true}, std::pair{true, false},
                                           std::pair{false, true}));

// A site is cut off from the registry and the board while a purge is published, and its gateway is restarted
// with old state. After the link to the registry returns, the command's verdict must not be `everywhere`
// until the gateway has applied the purge.
TEST_F(SitesOfProcesses, ASiteThatReturnsWithOldStateDoesNotCount) {
    ASSERT_EQ(in_force(1, 30), everywhere) << output;
    set_board_cut_off(2, true);
    a->partition_registry(2, true, true);
    const std::int64_t event = purge();
    a->kill(2);
    a->start(2);  // its configuration has only the first event
    EXPECT_TRUE(eventually_answers(all_but, "site b has no recent digest", question_of(event))) << output;
    a->partition_registry(2, false, false);
    EXPECT_NE(in_force(event, some_terms), everywhere) << output;
    EXPECT_FALSE(has_applied(2, event));
    set_board_cut_off(2, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << output;
}

// A gateway that has reported a purge is killed and restarted at once without the purge. The new process must
// accept no requests for as long as a reader can count the former process's report.
TEST_F(SitesOfProcesses, AMemberThatDiesAfterItsReportTakesNoRequestsWithOldState) {
    const std::int64_t event = purge();
    ASSERT_EQ(in_force(event, 30), everywhere) << output;
    set_board_cut_off(1, true);
    a->kill(1);
    a->start(1);
    const TimePoint started = a->loop.now();
    const Duration counted = max_counted_time(term, drift);
    ASSERT_TRUE(a->wait_until([&] { return listens(1) || a->loop.now() - started > counted * 0.8; }));
    EXPECT_FALSE(listens(1));
    EXPECT_TRUE(a->wait_until([&] { return listens(1); }));
    EXPECT_GE(a->loop.now() - started, counted * 0.95);
    EXPECT_TRUE(eventually_answers(not_yet, "site a", question_of(event))) << output;
    set_board_cut_off(1, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << output;
}

TEST_F(SitesOfProcesses, AForgottenMemberIsNotWaitedForAndAGenerationBeginsAnew) {
    ASSERT_EQ(in_force(1, 30), everywhere) << output;
    EXPECT_EQ(run({"forget", "a", "g2"}), 1) << output;  // refused, since the gateway is live
    a->kill(1);
    ASSERT_TRUE(a->wait_until([&] { return !record("site/a/roll/member/g2"); }));
    EXPECT_TRUE(eventually_answers(all_but, "site a g2", question_of(1))) << output;
    EXPECT_EQ(run({"forget", "a", "g2"}), 0) << output;
    EXPECT_TRUE(eventually_answers(not_yet, "", question_of(1)))
        << output;  // the site has fewer members than the inventory
    a->start(1);
    EXPECT_EQ(in_force(1, 30), everywhere) << output;
    EXPECT_EQ(run({"new-generation"}), 0) << output;
    EXPECT_EQ(in_force(1, 30), everywhere) << output;
}

}  // namespace
