// The parts file: read whole, or refused with one line that names the file, the line and what would be right.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <random>

#include "gateway/parts.hpp"

using namespace irismux;

namespace {

const std::string good =
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

std::string with(const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(Parts, AGoodFileIsReadWithItsValues) {
    const auto read = read_parts_text(good, "p.toml");
    const auto* parts = std::get_if<Parts>(&read);
    ASSERT_TRUE(parts && parts->registry) << std::get<PartsError>(read).text();
    EXPECT_EQ(parts->registry->members.size(), 2u);
    EXPECT_EQ(parts->registry->poll_policy.members, 2u);
    EXPECT_EQ(parts->registry->poll_policy.watch_timeout, Duration::seconds(1.5));
    EXPECT_EQ(parts->registry->poll_policy.backoff_base, Duration::seconds(0.02));
    EXPECT_EQ(parts->registry->poll_policy.backoff_cap, Duration::seconds(60));
    EXPECT_EQ(parts->registry->page_size, 100u);
    const auto none = read_parts_text("", "p.toml");
    EXPECT_FALSE(std::get<Parts>(none).registry) << "what is not named is off";
}

TEST(Parts, EachMistakeIsNamedWithItsLineAndWhatWouldBeRight) {
    const std::vector<std::pair<std::string, std::string>> mistakes = {
        {with("quiet", "quite"),
         "p.toml:4: unknown key 'quite' in [registry]; the nearest known one is 'quiet'"},
        {with("[registry]", "[register]"),
         "p.toml:1: unknown key 'register'; the nearest known one is 'registry'"},
        {with("\"1.5s\"", "\"1.5\""),
         "p.toml:4: 'quiet' must be a duration with a unit, as in \"250ms\", \"2s\" or \"1min\""},
        {with("\"1.5s\"", "2"),
         "p.toml:4: 'quiet' must be a duration with a unit, as in \"250ms\", \"2s\" or \"1min\""},
        {with("\"1.5s\"", "\"1ms\""), "p.toml:4: 'quiet' must be 50ms or more"},
        {with("\"1min\"", "\"10ms\""), "p.toml:6: 'retry_cap' must be 20ms or more"},
        {with("page = 100", "page = 0"), "p.toml:7: 'page' must be a whole number from 1 to 2000"},
        {with("page = 100", "page = \"100\""), "p.toml:7: 'page' must be a whole number from 1 to 2000"},
        {with("10.0.0.2:2379", "registry.example:2379"),
         "p.toml:2: 'registry.example:2379' is not a numeric address with a port, such as \"10.0.0.7:2379\""},
        {with("10.0.0.2:2379", "10.0.0.2"),
         "p.toml:2: '10.0.0.2' is not a numeric address with a port, such as \"10.0.0.7:2379\""},
        {with("\"/caches/\"", "\"\""),
         "p.toml:3: 'prefix' must not be empty: the whole registry would be read"},
        {with("prefix", "#prefix"), "p.toml:1: [registry] needs 'prefix'"},
        {good + "user = \"x\"\n", "p.toml:1: [registry] needs both 'user' and 'password_file', or neither"},
        {good + "password_file = \"/nowhere/at/all\"\n",
         "p.toml:8: the first line of /nowhere/at/all can't be read or is empty"},
    };
    for (const auto& [text, line] : mistakes) EXPECT_EQ(error_of(text), line);
    EXPECT_EQ(error_of("[registry\n").substr(0, 9), "p.toml:1:");
    const std::string empty = ::testing::TempDir() + "irismux_empty_parts.toml";
    std::ofstream(empty).flush();
    EXPECT_TRUE(std::holds_alternative<Parts>(read_parts(empty))) << "names no part, and can be read";
    std::remove(empty.c_str());
    EXPECT_EQ(std::get<PartsError>(read_parts("/nowhere/p.toml")).text(), "cannot read /nowhere/p.toml");
}

TEST(Parts, AFleetNeedsAPrefixOfItsOwnAndTimesThatFit) {
    const std::string fleet = "[fleet]\ninstallation = \"north\"\nprefix = \"/fleet/\"\n";
    const auto of = [&](const std::string& text) {
        const auto read = read_parts_text(text, "p.toml");
        return std::holds_alternative<Parts>(read) ? std::get<Parts>(read).fleet : std::nullopt;
    };
    const auto c = of(good + fleet + "term = \"8s\"\n");
    ASSERT_TRUE(c);
    EXPECT_EQ(c->registry.members.size(), 2u);
    EXPECT_EQ(c->registry.prefix, "/fleet/");
    EXPECT_EQ(c->shared_config.term, Duration::seconds(8));
    EXPECT_LE(c->registry.poll_policy.reply_timeout, Duration::seconds(2));
    EXPECT_TRUE(of(fleet + "members = [\"127.0.0.1:2379\"]\n")) << "without [registry]";
    EXPECT_FALSE(of(good));
    const std::vector<std::pair<std::string, std::string>> mistakes = {
        {fleet, "p.toml:1: [fleet] needs 'members'"},
        {good + "[fleet]\nprefix = \"/f/\"\n", "p.toml:8: [fleet] needs 'installation'"},
        {good + fleet + "term = \"100ms\"\n", "p.toml:11: 'term' must be 400ms or more"},
        {good + fleet + "drift = 0.5\n",
         "p.toml:11: 'drift' must be a number from 0.0001 to 0.25: the largest relative error of a clock's "
         "rate"},
        {good + fleet + "term = \"2s\"\nanswer_in = \"600ms\"\n",
         "p.toml:12: 'answer_in' must be at most a quarter of 'term': otherwise heartbeats would be late"},
        {good + fleet + "name = \"a/b\"\n", "p.toml:11: 'name' must not contain '/'"},
        {good + "[fleet]\ninstallation = \"n\"\nprefix = \"/caches/fleet/\"\n",
         "p.toml:10: 'prefix' must not overlap with the prefix of [registry], '/caches/'"},
        {good + "keep_in = \"/k\"\n" + fleet + "keep_in = \"/k\"\n",
         "p.toml:12: 'keep_in' must not be the folder of 'keep_in' in [registry]"},
    };
    for (const auto& [text, line] : mistakes) EXPECT_EQ(error_of(text), line);
}

TEST(Parts, AnyBytesGivePartsOrAnErrorOfOneLine) {
    std::mt19937 random(11);
    for (int n = 0; n < 5'000; ++n) {
        std::string odd = good.substr(0, n % 2 ? good.size() : random() % good.size());
        for (auto k = random() % 5; k > 0 && !odd.empty(); --k)
            odd[random() % odd.size()] = static_cast<char>(random());
        const std::string line = error_of(odd);
        EXPECT_EQ(line.find('\n'), std::string::npos) << line;
        EXPECT_TRUE(line.empty() || line.substr(0, 7) == "p.toml:") << line;
    }
}

}  // namespace
