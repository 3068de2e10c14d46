// The notice board answers each poll late. A cache begins to drain, and is taken away much later. The case
// looks for new attempts at that cache after the drain counts as told.
#include <set>

#include "lab/lab.hpp"

namespace {

using namespace lab;

constexpr std::int64_t request_interval_ms = 40;
constexpr std::int64_t late_answer_ms = 1'600;  // BENCH: a call to discovery may take 2,000 ms
constexpr std::int64_t slow_from_ms = 3'000;
constexpr std::int64_t drain_at_ms = 6'000;
constexpr std::int64_t end_at_ms = 24'000;
// PROTOCOL: what the board has to tell counts as told 7 s later at the latest. plant-desk-net: nothing new
// later than 250 ms after that. PROTOCOL: each time limit is 50 ms longer on sockets.
constexpr std::int64_t told_ms = 7'000;
constexpr std::int64_t grace_ms = 250 + 50;

bool run(const std::string& root, Record& record) {
    Plant plant(root, record);
    Cache& drained = *plant.caches.front();
    std::int64_t published_at = -1;
    std::int64_t last_at = -1;
    std::size_t after_limit = 0;
    std::set<std::string> bids_after_limit;
    drained.on_attempt = [&](const Cache::Attempt& attempt) {
        last_at = attempt.at;
        if (published_at < 0 || attempt.at <= published_at + told_ms + grace_ms) return;
        ++after_limit;
        if (attempt.kind == "bid-submit") bids_after_limit.insert(attempt.id);
        record.line("AFTER THE LIMIT: " + drained.id() + " got a new " + attempt.kind + " " + attempt.id +
                    ", " + std::to_string(attempt.at - published_at) + " ms after its drain was published");
    };
    for (const auto& cache : plant.caches)
        cache->service_time = [](const Cache::Attempt& attempt) {
            return attempt.kind == "bid-submit" ? ms(600) : ms(60);
        };
    plant.start_gateway();

    std::uint64_t id = 0x7000;
    std::uint16_t number = 0;
    std::size_t answered = 0, bids_failed = 0;
    std::map<std::uint16_t, std::string> bids;
    auto client = std::make_shared<Client>(plant.loop, plant.listen);
    client->on_answer = [&](std::uint16_t ended, const std::string& answer) {
        answered += answer == "Status: 200 OK";
        const auto bid = bids.find(ended);
        if (answer == "Status: 200 OK" || bid == bids.end() || !bids_after_limit.contains(bid->second))
            return;
        ++bids_failed;
        record.line("client: bid " + bid->second + ", sent to c1 after the limit, got " + answer);
    };
    for (std::int64_t at = 0; at < end_at_ms; at += request_interval_ms) {
        if (trouble() && at == slow_from_ms) {
            plant.board.late = ms(late_answer_ms);
            record.line("board: from here on each answer comes " + std::to_string(late_answer_ms) +
                        " ms late");
        }
        if (at == drain_at_ms) {
            plant.board.post({{"pool",
                               {{"version", 2},
                                {"full", false},
                                {"servers", json::array({listed("c1", "small-node", "plant-1",
                                                                drained.address(), "Terminating")})}}}});
            published_at = record.now();
            record.line("board: has an event, c1 is Terminating");
        }
        ++id;
        const bool bid = id % 5 == 0;
        if (bid) bids[static_cast<std::uint16_t>(number + 1)] = hex16(id);
        client->send(++number, {.id = hex16(id),
                                .object = hex16(id * 7919 % 499 + 1),
                                .kind = bid ? "bid-submit" : "price-pages",
                                .body = bid ? "a bid" : ""});
        plant.pass(ms(request_interval_ms));
    }
    record.line("platform: c1, which has been draining for " + std::to_string(record.now() - published_at) +
                " ms, is taken away");
    drained.end();
    plant.pass(ms(1'000));
    record.line("c1: the last new attempt came " + std::to_string(last_at - published_at) +
                " ms after its drain was published; " + std::to_string(after_limit) + " after the limit of " +
                std::to_string(told_ms + grace_ms) + " ms");
    record.line("board: " + std::to_string(plant.board.polls) + " polls, " +
                std::to_string(plant.board.answers) + " answered, " + std::to_string(plant.board.broken_off) +
                " broken off by the gateway; clients: " + std::to_string(answered) + " served; " +
                std::to_string(bids_after_limit.size()) + " bids went to c1 after the limit, " +
                std::to_string(bids_failed) + " of them failed with it");
    std::printf(
        "last attempt at the draining cache %lld ms after the drain was published, %zu after the limit\n",
        static_cast<long long>(last_at - published_at), after_limit);
    if (answered < 100) throw std::runtime_error("too few requests were served");
    return after_limit == 0;
}

}  // namespace

int main(int argc, char** argv) { return lab::run_case(argc, argv, run); }
