// Nobody turns anything on by accident: the very `run` line of deploy/balancer.toml, with files of parts
// lying about and unknown variables in the environment, watched from outside.
#include <gtest/gtest.h>

#include <signal.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "testing/fake_services.hpp"
#include "testing/process.hpp"

using namespace irismux;
namespace fs = std::filesystem;

namespace {

const Duration ms = Duration::micros(1000);

std::string run_line() {
    const toml::table deploy = toml::parse_file(IRISMUX_ROOT "/deploy/balancer.toml");
    return deploy["run"].value_or<std::string>("");
}

std::set<std::string> tree(const fs::path& root) {
    std::set<std::string> all;
    for (const auto& entry : fs::recursive_directory_iterator(root)) all.insert(entry.path().string());
    return all;
}

class Platform : public ::testing::Test {
protected:
    EventLoop loop;
    fs::path root = fs::temp_directory_path() / ("irismux_guard." + std::to_string(::getpid()));
    test_support::FakeNoticeBoard board{loop};
    std::vector<std::unique_ptr<test_support::FakeCache>> caches;
    std::vector<Poco::Net::StreamSocket> trapped;  // connections to where the files of parts point
    test_support::Acceptor trap{loop, [this](Poco::Net::StreamSocket s) { trapped.push_back(std::move(s)); }};
    std::string listen;
    std::set<std::string> deviations;
    test_support::LoopRunner stretches{loop};  // the last: nothing of the above may go while the loop runs

    void SetUp() override {
        nlohmann::json lines = nlohmann::json::array();
        for (const char* id : {"c1", "c2", "c3"}) {
            caches.push_back(std::make_unique<test_support::FakeCache>(loop, id, ms));
            lines.push_back(
                test_support::endpoint_json(id, "node", "plant", caches.back()->address(), "Ready"));
        }
        board.post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
        {
            Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
            listen = free.address().toString();
        }
        for (const char* folder : {"build", "deploy", "home/.config/irismux", "tmp"})
            fs::create_directories(root / folder);
        fs::create_symlink(IRISMUX_PROGRAM, root / "build/irismux");
        std::ofstream(root / "node.json")
            << test_support::configuration(listen, board.address(), board.known());
        for (const char* file : {"deploy/irismux.toml", "irismux.toml", "parts.toml",
                                 "home/.config/irismux/irismux.toml", "home/.irismux.toml"})
            std::ofstream(root / file)
                << "[registry]\nmembers = [\"" << trap.address() << "\"]\nprefix = \"/caches/\"\nkeep_in = \""
                << (root / "kept").string() << "\"\n[fleet]\ninstallation = \"trap\"\nprefix = \"/fleet/\"\n"
                << "keep_in = \"" << (root / "kept_fleet").string() << "\"\n";
    }
    void TearDown() override { fs::remove_all(root); }

    test_support::Process::Options by(const std::string& line) const {
        const std::string parts = (root / "parts.toml").string(), at = trap.address();
        return {{"/bin/sh", "-c", line},
                {"PATH=/usr/bin:/bin", "NODE_NAME=n1", "NODE_CONFIG=" + (root / "node.json").string(),
                 "NODE_LISTEN=" + listen, "HOME=" + (root / "home").string(),
                 "TMPDIR=" + (root / "tmp").string(), "XDG_CONFIG_HOME=" + (root / "home/.config").string(),
                 "IRISMUX_LOG=error", "IRISMUX_CONFIG=" + parts, "IRISMUX_PARTS_FILE=" + parts,
                 "IRISMUX_FLEET=" + parts, "IRISMUX_REGISTRY=" + at, "IRISMUX_POLICY=" + parts,
                 "NODE_PARTS=" + parts, "PARTS=" + parts, "ETCD_ENDPOINTS=" + at, "ETCDCTL_ENDPOINTS=" + at},
                root.string(),
                "",
                false};
    }

    // Whatever the platform's page does not allow, as it stands this instant.
    void look_at(test_support::Process& p) {
        std::set<std::string> known = {board.address()};
        for (const auto& c : caches) known.insert(c->address());
        for (const test_support::SocketInfo& s : test_support::sockets_of(p.id())) {
            if (s.listening && s.local != listen) deviations.insert("listens on " + s.local);
            if (s.family != "tcp") deviations.insert("has a socket of " + s.family + " at " + s.local);
            if (!s.listening && s.local != listen && !known.contains(s.remote))
                deviations.insert("connects to " + s.remote);
        }
        if (!test_support::maps(p.id(), "/libc.so")) deviations.insert("is not linked dynamically");
        if (const auto n = test_support::threads_of(p.id()); n > 1)
            deviations.insert(std::to_string(n) + " threads");
        if (test_support::children_of(p.id()) > 0) deviations.insert("starts other programs");
    }

    // Under load until so many lookups are satisfied or the time is over; the configuration is reread on the
    // way; then it is asked to leave.
    void serve_and_look(test_support::Process& p, std::uint64_t lookups, Duration most) {
        ASSERT_TRUE(stretches.run_until([&] {
            const auto seen = test_support::sockets_of(p.id());
            return !p.running() || std::any_of(seen.begin(), seen.end(), [](auto& s) { return s.listening; });
        }));
        test_support::ClientLoad clients(loop, listen, "pages", ms * 4, ms * 1500);
        if (p.running()) clients.start();
        bool reread = false;
        stretches.run_until(
            [&] {
                if (!p.running()) return true;
                look_at(p);
                if (clients.served > lookups / 2 && !std::exchange(reread, true)) p.signal(SIGHUP);
                return clients.served >= lookups;
            },
            most);
        clients.stop();
        satisfied = clients.served;
        stretches.run_until([&] { return clients.open_requests() == 0; }, ms * 2000);
        p.signal(SIGTERM);
        stretches.run_until([&] { return !p.running(); });
    }
    std::uint64_t satisfied = 0;
};

TEST_F(Platform, TheRunLineTurnsNothingOn) {
    const std::string line = run_line();
    EXPECT_EQ(line.rfind("exec ", 0), 0u) << line;
    const std::set<std::string> before = tree(root);
    test_support::Process p(by(line));
    ASSERT_TRUE(stretches.run_until(
        [&] { return test_support::program_of(p.id()) == fs::canonical(IRISMUX_PROGRAM); }));
    serve_and_look(p, 200, ms * 10'000);
    EXPECT_GE(satisfied, 200u);
    EXPECT_EQ(deviations, std::set<std::string>{});
    EXPECT_TRUE(trapped.empty());
    EXPECT_TRUE(p.exited_cleanly()) << p.status().value_or(-1);
    EXPECT_EQ(tree(root), before);
}

// The same eyes see what there is to see: the parts named on the line.
TEST_F(Platform, TheSameLineWithPartsIsSeenToConnectAndToWrite) {
    const std::set<std::string> before = tree(root);
    test_support::Process::Options start = by(run_line() + " serve --parts parts.toml");
    test_support::Process barred(start);
    stretches.run_until([&] { return !barred.running(); }, ms * 10'000);
    EXPECT_EQ(barred.status().value_or(0) & 0x7f, SIGXFSZ);
    start.may_write = true;
    test_support::Process p(start);
    stretches.run_until([&] { return !trapped.empty(); });
    serve_and_look(p, 1000, ms * 1'500);
    EXPECT_FALSE(trapped.empty());
    EXPECT_TRUE(deviations.contains("connects to " + trap.address()));
    EXPECT_GT(tree(root).size(), before.size());
}

}  // namespace
