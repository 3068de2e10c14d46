// Tests fleets of up to sixty stub gateways with fake control machines. The assertions use counts taken at
// the fake services and the relays; durations only limit how long a test waits.
#include <gtest/gtest.h>

#include <cmath>

#include "bench/scale/rig.hpp"

using namespace irismux;
using namespace irismux::scale;

namespace {

using nlohmann::json;

const Duration wait_limit = Duration::micros(60'000'000);

RigSettings rig_settings(std::size_t gateways) {
    RigSettings settings;
    settings.topology.gateways = gateways;
    settings.topology.caches = 40;
    settings.self = IRISMUX_SCALE;
    settings.term = "3s";
    return settings;
}

bool wait_until_complete(Rig& rig, std::int64_t expected) {
    return rig.wait_until([&] { return rig.in_force("whole", expected).size() >= rig.topology().gateways; },
                          wait_limit);
}

void start_all(Rig& rig) {
    rig.start(rig.topology().all());
    ASSERT_TRUE(wait_until_complete(rig, rig.expect(rig.topology().gateways)));
}

struct Ledger {
    double transactions = 0;
    double delivered_changes = 0;  // each change counts once for each watch that received it
};

Ledger ledger_of(Rig& rig) {
    const json l = rig.registry_ledger();
    return {l["transactions"].get<double>(), l["told"].get<double>()};
}

// Runs until the gateways have made `a_gateway` further registry transactions each, on average.
void run_for_transactions(Rig& rig, double a_gateway) {
    const double upto =
        ledger_of(rig).transactions + a_gateway * static_cast<double>(rig.topology().gateways);
    for (int tries = 0; ledger_of(rig).transactions < upto; ++tries) {
        ASSERT_LT(tries, 600);
        rig.run_for(Duration::micros(100'000));
    }
}

Traffic all_traffic(const Rig& rig, Channel channel) {
    Traffic sum;
    for (const auto& [second, rows] : rig.traffic())
        for (const auto& [key, traffic] : rows)
            if (key.channel == channel) sum += traffic;
    return sum;
}

// Costs of a fleet, counted at the registry and the relays.
struct Cost {
    // Changes that the registry delivered, per gateway.
    double changes_at_rest = 0, changes_by_list = 0, changes_by_ejections = 0;
    double bytes_per_transaction = 0, bytes_per_poll = 0;
};

Cost cost_of(std::size_t gateways) {
    constexpr std::size_t ejecting = 10;
    const auto n = static_cast<double>(gateways);
    Cost cost;
    Rig rig(rig_settings(gateways));
    start_all(rig);
    if (::testing::Test::HasFatalFailure()) return cost;
    run_for_transactions(rig, 8);  // The duties have been claimed by then.
    const Ledger before = ledger_of(rig);
    run_for_transactions(rig, 4);
    const Ledger rest = ledger_of(rig);
    cost.changes_at_rest = (rest.delivered_changes - before.delivered_changes) / n;

    const std::int64_t version = rig.change_list();
    EXPECT_TRUE(rig.wait_until([&] { return rig.in_force("list", version).size() == gateways; }, wait_limit));
    const Ledger listed = ledger_of(rig);
    cost.changes_by_list = (listed.delivered_changes - rest.delivered_changes) / n;

    std::vector<std::size_t> some;
    for (std::size_t g = 0; g < ejecting; ++g) some.push_back(g);
    rig.set_ejected(Topology::cache_name(20), true, some);
    EXPECT_TRUE(rig.wait_until([&] { return rig.in_force("trial", 0).size() == ejecting; }, wait_limit));
    cost.changes_by_ejections = (ledger_of(rig).delivered_changes - listed.delivered_changes) / n;

    const Traffic transactions = all_traffic(rig, Channel::transactions),
                  polls = all_traffic(rig, Channel::board);
    cost.bytes_per_transaction =
        static_cast<double>(transactions.bytes()) / static_cast<double>(transactions.messages_out);
    cost.bytes_per_poll = static_cast<double>(polls.bytes()) / static_cast<double>(polls.messages_out);
    return cost;
}

}  // namespace

// The cost of an event per gateway must not grow with the number of gateways. The test compares fleets of 20
// and of 60 gateways.
TEST(Scale, CostPerGatewayDoesNotGrowWithTheFleet) {
    const Cost small = cost_of(20), large = cost_of(60);
    ASSERT_FALSE(HasFailure());
    for (const Cost& c : {small, large}) {
        // The bound allows for the progress record of a garbage collection pass.
        EXPECT_LE(c.changes_at_rest, 4)
            << "at rest the gateways write records that the registry delivers to all of them";
        EXPECT_GE(c.changes_by_list, 1);
        EXPECT_LE(c.changes_by_list, 1 + 2)
            << "the registry delivered too many changes to a gateway for one change of the endpoint list";
        // Each ejecting gateway publishes its ejection. The registry also delivers the claim of the health
        // check duty, and the results that the duty's owner publishes until each ejecting gateway has
        // received one.
        EXPECT_GE(c.changes_by_ejections, 10);
        EXPECT_LE(c.changes_by_ejections, 10 + 10) << "the registry delivered too many changes to a gateway "
                                                      "for the ejections of one cache by ten gateways";
        EXPECT_LE(c.bytes_per_transaction, 6'000);
        EXPECT_LE(c.bytes_per_poll, 400);
    }
    EXPECT_LE(large.bytes_per_transaction, small.bytes_per_transaction * 1.5);
    RecordProperty("bytes_a_transaction", std::to_string(large.bytes_per_transaction));
}

// Gateways are cut off, killed and restarted, as whole sites and individually, while purges are published and
// the endpoint list changes. All gateways must end in the same state.
TEST(Scale, AllGatewaysEndInTheSameStateAfterOutages) {
    Rig rig(rig_settings(60));
    start_all(rig);
    ASSERT_FALSE(HasFatalFailure());
    const Topology& t = rig.topology();
    const std::vector<std::size_t> one = {t.of_site(2).front()};

    rig.change_links(t.of_site(0), {{"cut", true}});
    rig.kill(t.of_site(1));
    rig.kill(one);
    rig.change_links(t.of_site(3), {{"bytes_a_second", 20'000}, {"delay_ms", 20}});
    rig.purge(200);
    rig.change_list();
    rig.set_caches_removed(4, true);
    // The other gateways must evict the members of the cut site and of the killed site, and the single killed
    // gateway.
    const std::size_t left = 60 - t.of_site(0).size() - t.of_site(1).size() - one.size();
    const std::int64_t without = rig.expect(left);
    EXPECT_TRUE(rig.wait_until([&] { return rig.in_force("whole", without).size() >= left; }, wait_limit));
    rig.purge(200);

    rig.change_links(t.of_site(0), {{"cut", false}});
    rig.change_links(t.of_site(3), {{"bytes_a_second", 0}, {"delay_ms", 0}});
    rig.start(t.of_site(1));
    rig.start(one);
    rig.change_links(t.of_site(2), {{"break", true}});
    rig.set_caches_removed(4, false);
    rig.change_list();
    rig.purge(1);
    ASSERT_TRUE(wait_until_complete(rig, rig.expect(60)));

    // Waits until all gateways have the same members, with the new incarnations of the restarted gateways,
    // and the same number of endpoints.
    json states;
    const auto same = [&](const char* what) {
        for (const auto& [gateway, state] : states.items())
            if (state[what] != states.begin().value()[what]) return false;
        return true;
    };
    for (int tries = 0; tries < 200; ++tries) {
        states = rig.states();
        if (same("member_digest") && same("listed")) break;
        rig.run_for(Duration::micros(100'000));
    }
    ASSERT_EQ(states.size(), 60u);
    for (const char* what :
         {"joined", "members", "member_digest", "listed", "list_version", "purges", "purge_digest"})
        EXPECT_TRUE(same(what)) << what << ' ' << states.dump();
    const json& any = states.begin().value();
    EXPECT_EQ(any["purges"], 401);
    EXPECT_EQ(any["listed"], 40);
    EXPECT_EQ(any["members"], 60);
    EXPECT_EQ(any["list_version"], rig.list_version());
}

TEST(Scale, MessagesAreCountedHoweverTheBytesAreSplit) {
    const std::string back =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\n{1}\n\r\n8\r\n{2}\n{3}\n\r\n";
    for (std::size_t piece = 1; piece <= back.size(); ++piece) {
        MessageScanner scanner;
        std::uint64_t found = 0;
        for (std::size_t at = 0; at < back.size(); at += piece)
            found += scanner.scan(std::string_view(back).substr(at, piece));
        EXPECT_EQ(found, 5u) << "the scanner did not find five messages in pieces of " << piece << " bytes";
    }
}

TEST(Scale, RateCoversOnlyTheRequestedGatewaysAndSeconds) {
    TrafficBySecond traffic;
    const Traffic one{100, 200, 1, 2};
    traffic[10][{0, 0, Channel::board}] = one;  // a real gateway, not included
    traffic[10][{1, 0, Channel::board}] = one;
    traffic[10][{2, 1, Channel::list}] = one;
    traffic[11][{1, 1, Channel::list}] = one;
    traffic[13][{1, 1, Channel::list}] = one;  // after the requested period
    const Rate rate = rate_over(traffic, 10, 12, 1, 2);
    EXPECT_DOUBLE_EQ(rate.bytes, 900.0 / 2 / 2);
    EXPECT_DOUBLE_EQ(rate.messages, 9.0 / 2 / 2);
    EXPECT_DOUBLE_EQ(rate.worst_bytes, 300);
    EXPECT_DOUBLE_EQ(rate.worst_gateway_bytes, 300);
    EXPECT_DOUBLE_EQ(rate.machine_bytes, 300);
    EXPECT_DOUBLE_EQ(rate.bytes_by_channel.at("board"), 75);
}

TEST(Scale, RigThatNeedsTooManyProcessesIsRejected) {
    try {
        Rig rig(rig_settings(5'000));
        FAIL() << "the rig was set up although it needs more than 200 processes";
    } catch (const std::runtime_error& e) {
        EXPECT_STREQ(e.what(), "more than 200 processes would be needed");
    }
}
