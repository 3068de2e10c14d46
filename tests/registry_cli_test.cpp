// `irismux registry put|drain` as processes, against a stand-in with transactions, lost answers included.
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
    fs::path root = fs::temp_directory_path() / ("irismux_cli." + std::to_string(::getpid()));
    test_support::LoopRunner intervals{loop};  // the last: nothing of the above may go while the loop runs

    void SetUp() override {
        fs::create_directories(root);
        std::ofstream(root / "parts.toml")
            << "[registry]\nmembers = [\"" << registry.address(0) << "\", \"" << registry.address(1)
            << "\"]\nprefix = \"" << prefix << "\"\nanswer_in = \"300ms\"\n";
        registry.model.put(prefix + "c1", test_support::endpoint_value("c1", "Ready"));
    }
    void TearDown() override { fs::remove_all(root); }

    // Exit code, and what it output.
    std::pair<int, std::string> run(const std::vector<std::string>& words) {
        fs::remove(root / "out");
        std::vector<std::string> all = {IRISMUX_PROGRAM, "registry", "--parts",
                                        (root / "parts.toml").string()};
        all.insert(all.end(), words.begin(), words.end());
        test_support::Process p({all, {"PATH=/usr/bin:/bin"}, "", (root / "out").string()});
        EXPECT_TRUE(intervals.run_until([&] { return !p.running(); }));
        std::ifstream out(root / "out");
        const std::string output((std::istreambuf_iterator<char>(out)), {});
        return {WEXITSTATUS(p.status().value_or(0xff00)), output};
    }
    std::string value(const std::string& id) {
        const auto* state = registry.model.at(registry.model.newest());
        const auto it = state->find(irismux::registry::RecordKey{prefix + id});
        return it == state->end() ? "" : it->second.value;
    }
    bool draining(const std::string& id) { return value(id).find("Terminating") != std::string::npos; }
};

// Given: one record. When: it is drained, an unknown one is drained, and a new one is put. Then: the
// known ones are written, in one transaction each, and the unknown one is an error.
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

// Given: a member that loses the reply to a write. When: a record is drained. Then: a read shows that it
// was written, and it is not written again.
TEST_F(RegistryCommands, AWriteWithALostReplyIsNotRepeated) {
    registry.faults(0).drop_write_response = true;
    const auto newest = registry.model.newest();
    EXPECT_EQ(run({"drain", "c1"}),
              (std::pair{0, std::string("written; the reply to the write was lost\n")}));
    EXPECT_TRUE(draining("c1"));
    EXPECT_EQ(registry.model.newest().raw(), newest.raw() + 1);
}

// Given: a first member that accepts connections and reads nothing. When: a record is drained. Then:
// reads go to the second member, and the command reports that it was not written; once the first member
// is down, the second one is written.
TEST_F(RegistryCommands, AWriteThatDidNotArriveIsReported) {
    registry.faults(0).unresponsive = true;
    const auto [code, output] = run({"drain", "c1"});
    EXPECT_EQ(code, 1);
    EXPECT_NE(output.find("the last read showed that none had taken effect"), std::string::npos) << output;
    EXPECT_FALSE(draining("c1"));
    registry.faults(0).unresponsive = false;
    registry.stop_member(0);
    EXPECT_EQ(run({"drain", "c1"}).first, 0);
    EXPECT_TRUE(draining("c1"));
}

}  // namespace
