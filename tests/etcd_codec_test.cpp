// Tests that the etcd codec parses replies and maps errors to their codes.
#include "registry/etcd_codec.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace irismux::registry {
namespace {

const std::string prefix = "/caches/";

template <class T>
void expect_value_or_one_line(const etcd::ReadResult<T>& result) {
    const auto* error = std::get_if<etcd::Error>(&result);
    if (!error) return;
    EXPECT_LE(error->message.size(), 200u);
    EXPECT_EQ(error->message.find('\n'), std::string::npos);
}

// The parsers must return the fields of a valid reply. For a reply that is truncated or mutated at random,
// the parsers must return a value or an error with a message of one short line, and must not crash.
TEST(EtcdCodec, MutatedRepliesGiveAValueOrAShortError) {
    const std::string good =
        R"({"header":{"cluster_id":"14841639068965178418","revision":"9"},"kvs":[{"key":"L2NhY2hlcy9jMQ==",)"
        R"("create_revision":"4","mod_revision":"9","value":"eyJ4IjoxfQ=="}],"more":true,"count":"3"})";
    const auto read = etcd::read_range(200, good, prefix);
    ASSERT_TRUE(std::holds_alternative<etcd::Range>(read));
    const auto& range = std::get<etcd::Range>(read);
    EXPECT_EQ(range.page.records.at(0).key, RecordKey{"c1"});
    EXPECT_EQ(range.page.records.at(0).value, "{\"x\":1}");
    EXPECT_EQ(range.page.header.revision, Revision{9});
    EXPECT_TRUE(range.page.more);
    EXPECT_EQ(range.count, 3u);
    std::mt19937 random(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string mutated = good.substr(0, n % 3 ? good.size() : random() % good.size());
        for (auto k = random() % 4; k > 0 && !mutated.empty(); --k)
            mutated[random() % mutated.size()] = static_cast<char>(random());
        expect_value_or_one_line(etcd::read_range(200, mutated, prefix));
        expect_value_or_one_line(etcd::read_watch("{\"result\":" + mutated + "}", prefix));
        expect_value_or_one_line(etcd::read_token(200, mutated));
        expect_value_or_one_line(etcd::read_lease(200, mutated));
        expect_value_or_one_line(etcd::read_conditional_write_result(200, mutated));
    }
}

// Each published form of an error reply must map to its error code. RegistryClient decides by this code what
// it reports to the Watch.
TEST(EtcdCodec, ErrorsHaveTheirCodes) {
    const auto code_of = [](int status, const std::string& body) {
        const auto read = etcd::read_range(status, body, prefix);
        return std::get<etcd::Error>(read).code;
    };
    EXPECT_EQ(code_of(400, R"({"error":"etcdserver: mvcc: required revision has been compacted","code":11})"),
              etcd::ErrorCode::compacted);
    EXPECT_EQ(
        code_of(400, R"({"error":"etcdserver: mvcc: required revision is a future revision","code":11})"),
        etcd::ErrorCode::revision_not_reached);
    EXPECT_EQ(code_of(401, R"({"error":"etcdserver: invalid auth token","code":16})"),
              etcd::ErrorCode::unauthenticated);
    EXPECT_EQ(code_of(503, "busy"), etcd::ErrorCode::other);
    EXPECT_EQ(code_of(200, "{}"), etcd::ErrorCode::unreadable);
    EXPECT_EQ(code_of(200, R"({"header":{"revision":"x"}})"), etcd::ErrorCode::unreadable);
    EXPECT_EQ(code_of(200, R"({"header":{"revision":"1"},"kvs":[{"key":"bm90IG91cnM="}]})"),
              etcd::ErrorCode::unreadable);
    const auto compacted = etcd::read_watch(
        R"({"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"7"}})", prefix);
    EXPECT_EQ(std::get<etcd::Error>(compacted).code, etcd::ErrorCode::compacted);
}

// A transaction with two comparisons must request both compared records for the case that a comparison fails.
// Parsing the reply to the failed transaction must return the compared record that exists.
TEST(EtcdCodec, AFailedTransactionReturnsTheRecordsCompared) {
    const auto body = etcd::transaction({{prefix + "c1", "other"}, {prefix + "c8", std::nullopt}},
                                        {{prefix + "c8", "x"}}, {prefix + "c1"})
                          .body;
    const auto request = nlohmann::json::parse(body);
    EXPECT_EQ(request["compare"].size(), 2u);
    EXPECT_EQ(request["compare"][1]["target"], "CREATE");
    EXPECT_EQ(request["failure"].size(), 2u);
    EXPECT_EQ(request["success"].size(), 2u);
    const auto read = etcd::read_transaction_result(
        200,
        R"({"header":{"cluster_id":"7","revision":"9"},"responses":[{"response_range":{"kvs":[)"
        R"({"key":"L2NhY2hlcy9jMQ==","value":"eA==","create_revision":"2","mod_revision":"5"}]}},)"
        R"({"response_range":{}}]})",
        prefix);
    const auto& result = std::get<etcd::TransactionResult>(read);
    EXPECT_FALSE(result.succeeded);
    ASSERT_EQ(result.records.size(), 1u);
    EXPECT_EQ(result.records[0].key, RecordKey{"c1"});
    EXPECT_EQ(result.records[0].value, "x");
    EXPECT_TRUE(std::holds_alternative<etcd::Error>(etcd::read_transaction_result(200, "{", prefix)));
}

}  // namespace
}  // namespace irismux::registry
