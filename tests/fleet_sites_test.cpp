// What `irismux fleet in-force` says of processes of the program with faults between them: two sites, g1 and
// g2 in `a`, g3 alone in `b`. The boards' ledgers tell what each gateway has taken.
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
    std::string said;  // by the command line, last

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
        said.assign((std::istreambuf_iterator<char>(in)), {});
        return WEXITSTATUS(p.status().value_or(0xff00));
    }
    int in_force(std::int64_t event, double wait_s = 0) {
        return run({"in-force", "--event", std::to_string(event), "--board",
                    a->gateways[0].notice_board->address(), "--wait", std::to_string(wait_s)});
    }
    // Asks again until the answer is that one, in those words. None on the way may be `everywhere`. How long
    // it takes until digests are fresh depends on the machine; the verdict must not.
    bool comes_to(int answer, const std::string& words, const std::vector<std::string>& question) {
        const TimePoint by = a->loop.now() + ms * 60'000;
        while (a->loop.now() < by) {
            const int given = run(question);
            if (given == everywhere) return false;
            if (given == answer && said.find(words) != std::string::npos) return true;
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
    // A purge, told by each gateway's board under one number.
    std::int64_t purge() {
        std::int64_t number = 0;
        for (const auto& g : a->gateways)
            number = g.notice_board->post({{"flush", {{"ms", 1'000}, {"asset", "x"}}}});
        return number;
    }
    // It asks for what comes after that event: it has taken it.
    bool has(std::size_t n, std::int64_t event) const {
        return a->gateways[n].notice_board->last_poll_since() >= event;
    }
    void deaf(std::size_t n, bool is) {
        for (const test_support::Direction way :
             {test_support::Direction::to_server, test_support::Direction::to_client})
            a->gateways[n].notice_board_proxy->hold(way, is);
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
    ASSERT_EQ(in_force(1, 30), everywhere) << said;
    EXPECT_EQ(run({"in-force", "--configuration", "7", "--wait", "20"}), everywhere) << said;
    EXPECT_TRUE(comes_to(not_yet, "", {"in-force", "--configuration", "8"})) << said;
    deaf(1, true);
    const std::int64_t event = purge();
    EXPECT_TRUE(comes_to(not_yet, "site a g2 live, but has not applied the event or configuration",
                         question_of(event)))
        << said;
    EXPECT_FALSE(has(1, event));
    deaf(1, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << said;
    for (std::size_t n = 0; n < 3; ++n) EXPECT_TRUE(has(n, event)) << n;
}

// Given: a purge that the digest's owner does not receive. When: the owner is stopped and resumed. Then:
// everywhere is not answered until it has applied the purge.
TEST_F(SitesOfProcesses, ADigestOwnerThatIsStoppedAndResumedAnswersNothingUntrue) {
    ASSERT_EQ(in_force(1, 30), everywhere) << said;
    const std::size_t first = owner();
    deaf(first, true);
    a->stop(first);
    const std::int64_t event = purge();
    EXPECT_NE(in_force(event, some_terms), everywhere) << said;
    a->resume(first);
    EXPECT_NE(in_force(event, some_terms), everywhere) << said;
    EXPECT_FALSE(has(first, event));
    deaf(first, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << said;
}

class DigestOwnerCutOff : public SitesOfProcesses,
                          public ::testing::WithParamInterface<std::pair<bool, bool>> {};

// Given: a purge that the digest's owner does not receive. When: its link to the registry is cut, one way
// or both. Then: the answer names it, and is not everywhere until it has applied the purge.
TEST_P(DigestOwnerCutOff, IsNamedAndNothingUntrueIsAnswered) {
    ASSERT_EQ(in_force(1, 30), everywhere) << said;
    const std::size_t first = owner();
    deaf(first, true);
    a->partition_registry(first, GetParam().first, GetParam().second);
    const std::int64_t event = purge();
    EXPECT_NE(in_force(event, some_terms), everywhere) << said;
    // The other one of its site has the duty by and by, and names it.
    EXPECT_TRUE(comes_to(all_but,
                         "site a g" + std::to_string(first + 1) +
                             " absent: cut off from the registry, dead or has left the fleet, since ",
                         question_of(event)))
        << said;
    a->partition_registry(first, false, false);
    EXPECT_NE(in_force(event, some_terms), everywhere) << said;
    EXPECT_FALSE(has(first, event));
    deaf(first, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << said;
}

INSTANTIATE_TEST_SUITE_P(Ways, DigestOwnerCutOff,
                         ::testing::Values(std::pair{true, true}, std::pair{true, false},
                                           std::pair{false, true}));

// Given: a site cut off while a purge is under way. When: its gateway is restarted with old state, and
// returns. Then: everywhere is not answered until it has applied the purge.
TEST_F(SitesOfProcesses, ASiteThatReturnsWithOldStateDoesNotCount) {
    ASSERT_EQ(in_force(1, 30), everywhere) << said;
    deaf(2, true);
    a->partition_registry(2, true, true);
    const std::int64_t event = purge();
    a->kill(2);
    a->start(2);  // its configuration's state is that of the first event
    EXPECT_TRUE(comes_to(all_but, "site b has no recent digest", question_of(event))) << said;
    a->partition_registry(2, false, false);
    EXPECT_NE(in_force(event, some_terms), everywhere) << said;
    EXPECT_FALSE(has(2, event));
    deaf(2, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << said;
}

// Given: a member that has reported a purge. When: it dies and is restarted at once without it. Then: it
// takes no requests while its former report may still count.
TEST_F(SitesOfProcesses, AMemberThatDiesAfterItsReportTakesNoRequestsWithOldState) {
    const std::int64_t event = purge();
    ASSERT_EQ(in_force(event, 30), everywhere) << said;
    deaf(1, true);
    a->kill(1);
    a->start(1);
    const TimePoint started = a->loop.now();
    const Duration counted = max_counted_time(term, drift);
    ASSERT_TRUE(a->wait_until([&] { return listens(1) || a->loop.now() - started > counted * 0.8; }));
    EXPECT_FALSE(listens(1));
    EXPECT_TRUE(a->wait_until([&] { return listens(1); }));
    EXPECT_GE(a->loop.now() - started, counted * 0.95);
    EXPECT_TRUE(comes_to(not_yet, "site a", question_of(event))) << said;
    deaf(1, false);
    EXPECT_EQ(in_force(event, 30), everywhere) << said;
}

TEST_F(SitesOfProcesses, AForgottenMemberIsNotWaitedForAndAGenerationBeginsAnew) {
    ASSERT_EQ(in_force(1, 30), everywhere) << said;
    EXPECT_EQ(run({"forget", "a", "g2"}), 1) << said;  // it lives
    a->kill(1);
    ASSERT_TRUE(a->wait_until([&] { return !record("site/a/roll/member/g2"); }));
    EXPECT_TRUE(comes_to(all_but, "site a g2", question_of(1))) << said;
    EXPECT_EQ(run({"forget", "a", "g2"}), 0) << said;
    EXPECT_TRUE(comes_to(not_yet, "", question_of(1))) << said;  // fewer than the inventory has
    a->start(1);
    EXPECT_EQ(in_force(1, 30), everywhere) << said;
    EXPECT_EQ(run({"new-generation"}), 0) << said;
    EXPECT_EQ(in_force(1, 30), everywhere) << said;
}

}  // namespace
