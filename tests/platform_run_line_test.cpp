// A file or a variable that happens to be present must not enable an optional part. The tests run exactly the
// `run` line of deploy/balancer.toml, with parts files in the directories and unknown variables in the
// environment, and observe the process from outside.
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

std::set<std::string> list_files(const fs::path& root) {
    std::set<std::string> all;
    for (const auto& entry : fs::recursive_directory_iterator(root)) all.insert(entry.path().string());
    return all;
}

class Platform : public ::testing::Test {
protected:
    EventLoop loop;
    fs::path root = fs::temp_directory_path() / ("irismux_guard." + std::to_string(::getpid()));
    test_support::FakeNoticeBoard notice_board{loop};
    std::vector<std::unique_ptr<test_support::FakeCache>> caches;
    std::vector<Poco::Net::StreamSocket> trapped;  // connections to the address in the parts files
    test_support::Acceptor trap{
        loop, [this](Poco::Net::StreamSocket socket) { trapped.push_back(std::move(socket)); }};
    std::string listen;
    std::set<std::string> deviations;
    test_support::LoopRunner runner{loop};  // last member: nothing above may be destroyed while the loop runs

    void SetUp() override {
        nlohmann::json endpoints = nlohmann::json::array();
        for (const char* id : {"c1", "c2", "c3"}) {
            caches.push_back(std::make_unique<test_support::FakeCache>(loop, id, ms));
            endpoints.push_back(
                test_support::endpoint_json(id, "node", "plant", caches.back()->address(), "Ready"));
        }
        notice_board.post({{"pool", {{"version", 1}, {"full", true}, {"servers", endpoints}}}});
        {
            Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
            listen = free.address().toString();
        }
        for (const char* folder : {"build", "deploy", "home/.config/irismux", "tmp"})
            fs::create_directories(root / folder);
        fs::create_symlink(IRISMUX_PROGRAM, root / "build/irismux");
        std::ofstream(root / "node.json")
            << test_support::configuration(listen, notice_board.address(), notice_board.known());
        for (const char* file : {"deploy/irismux.toml", "irismux.toml", "parts.toml",
                                 "home/.config/irismux/irismux.toml", "home/.irismux.toml"})
            std::ofstream(root / file)
                << "[registry]\nmembers = [\"" << trap.address() << "\"]\nprefix = \"/caches/\"\nkeep_in = \""
                << (root / "kept").string() << "\"\n[fleet]\ninstallation = \"trap\"\nprefix = \"/fleet/\"\n"
                << "keep_in = \"" << (root / "kept_fleet").string() << "\"\n";
    }
    void TearDown() override { fs::remove_all(root); }

    test_support::Process::Options launch_options(const std::string& line) const {
        const std::string parts = (root / "parts.toml").string(), trap_address = trap.address();
        return {
            {"/bin/sh", "-c", line},
            {"PATH=/usr/bin:/bin", "NODE_NAME=n1", "NODE_CONFIG=" + (root / "node.json").string(),
             "NODE_LISTEN=" + listen, "HOME=" + (root / "home").string(), "TMPDIR=" + (root / "tmp").string(),
             "XDG_CONFIG_HOME=" + (root / "home/.config").string(), "IRISMUX_LOG=error",
             "IRISMUX_CONFIG=" + parts, "IRISMUX_PARTS_FILE=" + parts, "IRISMUX_FLEET=" + parts,
             "IRISMUX_REGISTRY=" + trap_address, "IRISMUX_POLICY=" + parts, "NODE_PARTS=" + parts,
             "PARTS=" + parts, "ETCD_ENDPOINTS=" + trap_address, "ETCDCTL_ENDPOINTS=" + trap_address},
            root.string(),
            "",
            false};
    }

    // Records each property that the process has at this instant and that the rules of the platform do not
    // allow.
    void check_process(test_support::Process& process) {
        std::set<std::string> known = {notice_board.address()};
        for (const auto& c : caches) known.insert(c->address());
        for (const test_support::SocketInfo& socket : test_support::sockets_of(process.id())) {
            if (socket.listening && socket.local != listen) deviations.insert("listens on " + socket.local);
            if (socket.family != "tcp")
                deviations.insert("has a socket of " + socket.family + " at " + socket.local);
            if (!socket.listening && socket.local != listen && !known.contains(socket.remote))
                deviations.insert("connects to " + socket.remote);
        }
        if (!test_support::maps(process.id(), "/libc.so")) deviations.insert("is not linked dynamically");
        if (const auto n = test_support::threads_of(process.id()); n > 1)
            deviations.insert("has " + std::to_string(n) + " threads");
        if (test_support::children_of(process.id()) > 0) deviations.insert("starts other programs");
    }

    // Runs the process under load until `request_count` requests are served or the time limit has passed.
    // Half way, SIGHUP makes the process read its configuration again. At the end, SIGTERM ends the process.
    void serve_and_check(test_support::Process& process, std::uint64_t request_count, Duration time_limit) {
        ASSERT_TRUE(runner.run_until([&] {
            const auto sockets = test_support::sockets_of(process.id());
            return !process.running() ||
                   std::any_of(sockets.begin(), sockets.end(), [](auto& socket) { return socket.listening; });
        }));
        test_support::ClientLoad clients(loop, listen, "pages", ms * 4, ms * 1500);
        if (process.running()) clients.start();
        bool reloaded = false;
        runner.run_until(
            [&] {
                if (!process.running()) return true;
                check_process(process);
                if (clients.served > request_count / 2 && !std::exchange(reloaded, true))
                    process.signal(SIGHUP);
                return clients.served >= request_count;
            },
            time_limit);
        clients.stop();
        served = clients.served;
        runner.run_until([&] { return clients.open_requests() == 0; }, ms * 2000);
        process.signal(SIGTERM);
        runner.run_until([&] { return !process.running(); });
    }
    std::uint64_t served = 0;
};

TEST_F(Platform, TheRunLineEnablesNoPart) {
    const std::string line = run_line();
    EXPECT_EQ(line.rfind("exec ", 0), 0u) << line;
    const std::set<std::string> before = list_files(root);
    test_support::Process process(launch_options(line));
    ASSERT_TRUE(runner.run_until(
        [&] { return test_support::program_of(process.id()) == fs::canonical(IRISMUX_PROGRAM); }));
    serve_and_check(process, 200, ms * 10'000);
    EXPECT_GE(served, 200u);
    EXPECT_EQ(deviations, std::set<std::string>{});
    EXPECT_TRUE(trapped.empty());
    EXPECT_TRUE(process.exited_cleanly()) << process.status().value_or(-1);
    EXPECT_EQ(list_files(root), before);
}

// Shows that the checks of the previous test detect a part that is enabled: here the command line names a
// parts file.
TEST_F(Platform, TheSameLineWithPartsConnectsAndWrites) {
    const std::set<std::string> before = list_files(root);
    test_support::Process::Options start = launch_options(run_line() + " serve --parts parts.toml");
    test_support::Process write_forbidden(start);
    runner.run_until([&] { return !write_forbidden.running(); }, ms * 10'000);
    EXPECT_EQ(write_forbidden.status().value_or(0) & 0x7f, SIGXFSZ);
    start.may_write = true;
    test_support::Process process(start);
    runner.run_until([&] { return !trapped.empty(); });
    serve_and_check(process, 1000, ms * 1'500);
    EXPECT_FALSE(trapped.empty());
    EXPECT_TRUE(deviations.contains("connects to " + trap.address()));
    EXPECT_GT(list_files(root).size(), before.size());
}

}  // namespace
