// Tests the parts file. The file must either be read completely or be refused with one line that names the
// file, the line and what is allowed.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <random>

#include "gateway/parts.hpp"

using namespace irismux;

namespace {

const std::string valid_text =
    "[registry]\n"
    "members = [\"127.0.0.1:2379\", \"10.0.0.2:2379\"]\n"
    "prefix = \"/caches/\"\n"
    "quiet = \"1.5s\"\n"
    "retry_base = \"20ms\"\n"
    "retry_cap = \"1min\"\n"
    "page = 100\n";

std::string error_of(const std::string& text) {
    const auto read = read_parts_text(text, "p.toml");
    const auto* error = std::get_if<PartsError>(&read);
    return error ? error->text() : "";
}

std::string valid_text_with(const std::string& from, const std::string& to) {
    std::string text = valid_text;
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(Parts, ReadsTheValuesOfAValidFile) {
    const auto read = read_parts_text(valid_text, "p.toml");
    const auto* parts = std::get_if<Parts>(&read);
    ASSERT_TRUE(parts && parts->registry) << std::get<PartsError>(read).text();
    EXPECT_EQ(parts->registry->members.size(), 2u);
    EXPECT_EQ(parts->registry->poll_policy.members, 2u);
    EXPECT_EQ(parts->registry->poll_policy.watch_timeout, Duration::seconds(1.5));
    EXPECT_EQ(parts->registry->poll_policy.backoff_base, Duration::seconds(0.02));
    EXPECT_EQ(parts->registry->poll_policy.backoff_cap, Duration::seconds(60));
    EXPECT_EQ(parts->registry->page_size, 100u);
    const auto none = read_parts_text("", "p.toml");
    EXPECT_FALSE(std::get<Parts>(none).registry)
        << "the registry is enabled although the file does not name it";
}

TEST(Parts, ReportsEachMistakeWithItsLineAndWhatIsAllowed) {
    const std::vector<std::pair<std::string, std::string>> mistakes = {
        {valid_text_with("quiet", "quite"),
         "p.toml:4: unknown key 'quite' in [registry]; the most similar known key is 'quiet'"},
        {valid_text_with("[registry]", "[register]"),
         "p.toml:1: unknown key 'register'; the most similar known key is 'registry'"},
        {valid_text_with("\"1.5s\"", "\"1.5\""),
         "p.toml:4: 'quiet' must be a duration with a unit, as in \"250ms\", \"2s\" or \"1min\""},
        {valid_text_with("\"1.5s\"", "2"),
         "p.toml:4: 'quiet' must be a duration with a unit, as in \"250ms\", \"2s\" or \"1min\""},
        {valid_text_with("\"1.5s\"", "\"1ms\""), "p.toml:4: 'quiet' must be 50ms or more"},
        {valid_text_with("\"1min\"", "\"10ms\""), "p.toml:6: 'retry_cap' must be 20ms or more"},
        {valid_text_with("page = 100", "page = 0"), "p.toml:7: 'page' must be a whole number from 1 to 2000"},
        {valid_text_with("page = 100", "page = \"100\""),
         "p.toml:7: 'page' must be a whole number from 1 to 2000"},
        {valid_text_with("10.0.0.2:2379", "registry.example:2379"),
         "p.toml:2: 'registry.example:2379' is not a numeric address with a port, such as \"10.0.0.7:2379\""},
        {valid_text_with("10.0.0.2:2379", "10.0.0.2"),
         "p.toml:2: '10.0.0.2' is not a numeric address with a port, such as \"10.0.0.7:2379\""},
        {valid_text_with("\"/caches/\"", "\"\""),
         "p.toml:3: 'prefix' must not be empty: the whole registry would be read"},
        {valid_text_with("prefix", "#prefix"), "p.toml:1: [registry] needs 'prefix'"},
        {valid_text + "user = \"x\"\n",
         "p.toml:1: [registry] needs both 'user' and 'password_file', or neither"},
        {valid_text + "password_file = \"/nowhere/at/all\"\n",
         "p.toml:8: the first line of /nowhere/at/all can't be read or is empty"},
    };
    for (const auto& [text, line] : mistakes) EXPECT_EQ(error_of(text), line);
    EXPECT_EQ(error_of("[registry\n").substr(0, 9), "p.toml:1:");
    const std::string empty = ::testing::TempDir() + "irismux_empty_parts.toml";
    std::ofstream(empty).flush();
    EXPECT_TRUE(std::holds_alternative<Parts>(read_parts(empty)))
        << "an empty file is refused, although it is valid and names no part";
    std::remove(empty.c_str());
    EXPECT_EQ(std::get<PartsError>(read_parts("/nowhere/p.toml")).text(), "cannot read /nowhere/p.toml");
}

TEST(Parts, RefusesAFleetWithAnOverlappingPrefixOrUnsuitableTimes) {
    const std::string fleet = "[fleet]\ninstallation = \"north\"\nprefix = \"/fleet/\"\n";
    const auto fleet_of = [&](const std::string& text) {
        const auto read = read_parts_text(text, "p.toml");
        return std::holds_alternative<Parts>(read) ? std::get<Parts>(read).fleet : std::nullopt;
    };
    const auto settings = fleet_of(valid_text + fleet + "term = \"8s\"\n");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->registry.members.size(), 2u);
    EXPECT_EQ(settings->registry.prefix, "/fleet/");
    EXPECT_EQ(settings->shared_config.term, Duration::seconds(8));
    EXPECT_LE(settings->registry.poll_policy.reply_timeout, Duration::seconds(2));
    EXPECT_TRUE(fleet_of(fleet + "members = [\"127.0.0.1:2379\"]\n"))
        << "[fleet] is refused without [registry], although it has members of its own";
    EXPECT_FALSE(fleet_of(valid_text));
    const std::vector<std::pair<std::string, std::string>> mistakes = {
        {fleet, "p.toml:1: [fleet] needs 'members'"},
        {valid_text + "[fleet]\nprefix = \"/f/\"\n", "p.toml:8: [fleet] needs 'installation'"},
        {valid_text + fleet + "term = \"100ms\"\n", "p.toml:11: 'term' must be 400ms or more"},
        {valid_text + fleet + "drift = 0.5\n",
         "p.toml:11: 'drift' must be a number from 0.0001 to 0.25: the largest relative error of a clock's "
         "rate"},
        {valid_text + fleet + "term = \"2s\"\nanswer_in = \"600ms\"\n",
         "p.toml:12: 'answer_in' must be at most a quarter of 'term': otherwise heartbeats would be late"},
        {valid_text + fleet + "name = \"a/b\"\n", "p.toml:11: 'name' must not contain '/'"},
        {valid_text + "[fleet]\ninstallation = \"n\"\nprefix = \"/caches/fleet/\"\n",
         "p.toml:10: 'prefix' must not overlap with the prefix of [registry], '/caches/'"},
        {valid_text + "keep_in = \"/k\"\n" + fleet + "keep_in = \"/k\"\n",
         "p.toml:12: 'keep_in' in [fleet] must not name the same folder as 'keep_in' in [registry]"},
    };
    for (const auto& [text, line] : mistakes) EXPECT_EQ(error_of(text), line);
}

TEST(Parts, CorruptedTextGivesPartsOrAnErrorOfOneLine) {
    std::mt19937 random(11);
    for (int n = 0; n < 5'000; ++n) {
        std::string corrupted =
            valid_text.substr(0, n % 2 ? valid_text.size() : random() % valid_text.size());
        for (auto changes = random() % 5; changes > 0 && !corrupted.empty(); --changes)
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        const std::string line = error_of(corrupted);
        EXPECT_EQ(line.find('\n'), std::string::npos) << line;
        EXPECT_TRUE(line.empty() || line.substr(0, 7) == "p.toml:") << line;
    }
}

}  // namespace
