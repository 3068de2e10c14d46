// Tests the commands `irismux registry put` and `irismux registry drain`, run as processes against a fake
// registry that can lose replies.
#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "testing/fake_registry.hpp"
#include "testing/process.hpp"

using namespace irismux;
namespace fs = std::filesystem;

namespace {

const Duration ms = Duration::micros(1000);
const std::string prefix = "/caches/";

class RegistryCommands : public ::testing::Test {
protected:
    EventLoop loop;
    test_support::FakeRegistry registry{loop, 2, ms * 20};
    fs::path folder = fs::temp_directory_path() / ("irismux_cli." + std::to_string(::getpid()));
    // Declared last, so that it is destroyed before the fields above, which the running loop uses.
    test_support::LoopRunner loop_runner{loop};

    void SetUp() override {
        fs::create_directories(folder);
        std::ofstream(folder / "parts.toml")
            << "[registry]\nmembers = [\"" << registry.address(0) << "\", \"" << registry.address(1)
            << "\"]\nprefix = \"" << prefix << "\"\nanswer_in = \"300ms\"\n";
        registry.model.put(prefix + "c1", test_support::endpoint_value("c1", "Ready"));
    }
    void TearDown() override { fs::remove_all(folder); }

    // Runs the command and returns its exit code and its output.
    std::pair<int, std::string> run(const std::vector<std::string>& arguments) {
        fs::remove(folder / "out");
        std::vector<std::string> command = {IRISMUX_PROGRAM, "registry", "--parts",
                                            (folder / "parts.toml").string()};
        command.insert(command.end(), arguments.begin(), arguments.end());
        test_support::Process process({command, {"PATH=/usr/bin:/bin"}, "", (folder / "out").string()});
        EXPECT_TRUE(loop_runner.run_until([&] { return !process.running(); }));
        std::ifstream out(folder / "out");
        const std::string output((std::istreambuf_iterator<char>(out)), {});
        return {WEXITSTATUS(process.status().value_or(0xff00)), output};
    }
    std::string value(const std::string& id) {
        const auto* state = registry.model.at(registry.model.newest());
        const auto it = state->find(irismux::registry::RecordKey{prefix + id});
        return it == state->end() ? "" : it->second.value;
    }
    bool draining(const std::string& id) { return value(id).find("Terminating") != std::string::npos; }
};

// `drain` of a known record and `put` of a new record must make one transaction each. `drain` of an unknown
// record must fail and write nothing.
TEST_F(RegistryCommands, DrainAndPutWriteOnce) {
    EXPECT_EQ(run({"drain", "c1"}), (std::pair{0, std::string("written\n")}));
    EXPECT_TRUE(draining("c1"));
    EXPECT_EQ(run({"drain", "c9"}).first, 1);
    const std::string line = test_support::endpoint_value("c2", "Ready");
    EXPECT_EQ(run({"put", line}).first, 0);
    EXPECT_EQ(value("c2"), line);
    EXPECT_EQ(registry.ledger.transactions, 2);
    EXPECT_EQ(registry.ledger.successful_transactions, 2);
}

// A registry member executes a write, but its reply is lost. The command must find out by a read that the
// record was written, and must not write the record again.
TEST_F(RegistryCommands, AWriteWithALostReplyIsNotRepeated) {
    registry.faults(0).drop_write_response = true;
    const auto newest = registry.model.newest();
    EXPECT_EQ(run({"drain", "c1"}),
              (std::pair{0, std::string("written; the reply to the write was lost\n")}));
    EXPECT_TRUE(draining("c1"));
    EXPECT_EQ(registry.model.newest().raw(), newest.raw() + 1);
}

// The first registry member accepts connections but reads nothing, so that the write does not arrive; reads
// go to the second registry member. The command must report that nothing was written. Once the first registry
// member is down, the command must write to the second registry member.
TEST_F(RegistryCommands, AWriteThatDidNotArriveIsReported) {
    registry.faults(0).unresponsive = true;
    const auto [code, output] = run({"drain", "c1"});
    EXPECT_EQ(code, 1);
    EXPECT_NE(output.find("the last read showed that no write had taken effect"), std::string::npos)
        << output;
    EXPECT_FALSE(draining("c1"));
    registry.faults(0).unresponsive = false;
    registry.stop_member(0);
    EXPECT_EQ(run({"drain", "c1"}).first, 0);
    EXPECT_TRUE(draining("c1"));
}

}  // namespace
