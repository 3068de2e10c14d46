// `irismux registry put|drain` as processes, against a stand-in with transactions, lost answers included.
#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "registry/etcd_codec.hpp"
#include "testing/process.hpp"
#include "testing/registry_stand_in.hpp"

using namespace irismux;
namespace fs = std::filesystem;

namespace {

const Duration ms = Duration::micros(1000);
const std::string prefix = "/caches/";

class Cli : public ::testing::Test {
protected:
    EventLoop loop;
    stand_ins::RegistryStandIn r{loop, 2, ms * 20};
    fs::path root = fs::temp_directory_path() / ("irismux_cli." + std::to_string(::getpid()));
    stand_ins::Intervals stretches{loop};  // the last: nothing of the above may go while the loop runs

    void SetUp() override {
        fs::create_directories(root);
        std::ofstream(root / "parts.toml")
            << "[registry]\nmembers = [\"" << r.address(0) << "\", \"" << r.address(1) << "\"]\nprefix = \""
            << prefix << "\"\nanswer_in = \"300ms\"\n";
        r.model.put(prefix + "c1", stand_ins::list_value("c1", "Ready"));
    }
    void TearDown() override { fs::remove_all(root); }

    // Exit code, and what it said.
    std::pair<int, std::string> run(const std::vector<std::string>& words) {
        fs::remove(root / "out");
        std::vector<std::string> all = {IRISMUX_PROGRAM, "registry", "--parts",
                                        (root / "parts.toml").string()};
        all.insert(all.end(), words.begin(), words.end());
        stand_ins::Process p({all, {"PATH=/usr/bin:/bin"}, "", (root / "out").string()});
        EXPECT_TRUE(stretches.until([&] { return !p.running(); }));
        std::ifstream out(root / "out");
        const std::string said((std::istreambuf_iterator<char>(out)), {});
        return {WEXITSTATUS(p.status().value_or(0xff00)), said};
    }
    std::string value(const std::string& id) {
        const auto* state = r.model.at(r.model.newest());
        const auto it = state->find(registry::RecordKey{prefix + id});
        return it == state->end() ? "" : it->second.value;
    }
    bool draining(const std::string& id) { return value(id).find("Terminating") != std::string::npos; }
};

TEST_F(Cli, DrainAndPutWriteOnceAndOnlyWhatNobodyElseChanged) {
    EXPECT_EQ(run({"drain", "c1"}), (std::pair{0, std::string("written\n")}));
    EXPECT_TRUE(draining("c1"));
    EXPECT_EQ(run({"drain", "c9"}).first, 1);
    const std::string line = stand_ins::list_value("c2", "Ready");
    EXPECT_EQ(run({"put", line}).first, 0);
    EXPECT_EQ(value("c2"), line);
    EXPECT_EQ(r.ledger.txns, 2);
    EXPECT_EQ(r.ledger.held, 2);
}

TEST_F(Cli, AWriteWhoseAnswerIsLostIsLookedUpAndNotDoneTwice) {
    r.faults(0).vanish = true;
    const auto newest = r.model.newest();
    EXPECT_EQ(run({"drain", "c1"}), (std::pair{0, std::string("written; its answer was lost\n")}));
    EXPECT_TRUE(draining("c1"));
    EXPECT_EQ(r.model.newest().raw(), newest.raw() + 1);
}

TEST_F(Cli, AWriteThatNeverArrivedIsDoneOverAndOneThatCannotBeLookedUpIsSaidToBeUnknown) {
    // The first member takes nothing in: reads go to the second, and so does the write in the end, or not.
    r.faults(0).mute = true;
    const auto [code, said] = run({"drain", "c1"});
    EXPECT_EQ(code, 1);
    EXPECT_NE(said.find("it was not written when last looked at"), std::string::npos) << said;
    EXPECT_FALSE(draining("c1"));
    r.faults(0).mute = false;
    r.down(0);
    EXPECT_EQ(run({"drain", "c1"}).first, 0);
    EXPECT_TRUE(draining("c1"));
}

TEST_F(Cli, ATransactionShowsWhatStoodInItsWay) {
    using namespace registry;
    // The same records by the codec that the fleet's deals go by.
    const auto body = etcd::transaction({{prefix + "c1", "other"}, {prefix + "c8", std::nullopt}},
                                        {{prefix + "c8", "x"}}, {prefix + "c1"})
                          .body;
    const auto asked = nlohmann::json::parse(body);
    EXPECT_EQ(asked["compare"].size(), 2u);
    EXPECT_EQ(asked["compare"][1]["target"], "CREATE");
    EXPECT_EQ(asked["failure"].size(), 2u);
    EXPECT_EQ(asked["success"].size(), 2u);
    const auto read = etcd::read_transaction_result(
        200,
        R"({"header":{"cluster_id":"7","revision":"9"},"responses":[{"response_range":{"kvs":[)"
        R"({"key":"L2NhY2hlcy9jMQ==","value":"eA==","create_revision":"2","mod_revision":"5"}]}},)"
        R"({"response_range":{}}]})",
        prefix);
    const auto& settled = std::get<etcd::TransactionResult>(read);
    EXPECT_FALSE(settled.succeeded);
    ASSERT_EQ(settled.records.size(), 1u);
    EXPECT_EQ(settled.records[0].key, RecordKey{"c1"});
    EXPECT_EQ(settled.records[0].value, "x");
    EXPECT_TRUE(std::holds_alternative<etcd::Error>(etcd::read_transaction_result(200, "{", prefix)));
}

}  // namespace
