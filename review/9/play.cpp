// Case 9: the notice board is slow: each of its answers comes 2 s late. The gateway gives each poll up before, so it
// hears of nothing for as long as the board is slow.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double drain_grace_ms = 250, slack_ms = 50;  // safety.drainGraceS, and the sockets' slack
constexpr double told_at_the_latest_ms = 7'000;
constexpr int late_by_ms = 2'000;

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, [](const Place& place, Record& record) {
        const auto answers = [](const Pull& p) { return good_answer(p, 30, 2'000); };
        std::vector<std::unique_ptr<Cache>> caches;
        for (const char* id : {"c1", "c2", "c3", "u1", "m1"}) caches.push_back(std::make_unique<Cache>(id, record, answers));
        Board board(record);
        json servers = json::array();
        for (std::size_t n = 0; n < caches.size(); ++n)
            servers.push_back(server(caches[n]->id(), n < 3 ? "node" : n == 3 ? "upper" : "core",
                                     n < 3 ? "central" : "west", caches[n]->address(), "Ready"));
        board.post(pool_event(true, servers));

        const int port = free_port();
        const std::string config = place.temporary + "/config.json";
        write_file(config, configuration("g1", port, board.address(), board.known()).dump());
        Process gateway(deploy_value(place, "run"), place.root,
                        {{"NODE_CONFIG", config}, {"CASE_FOLDER", place.temporary}}, place.temporary + "/gateway.log");
        wait_until_healthy(port, 10'000);
        Client client(port);
        int number = 0;
        const auto send_until = [&](double until_ms) {
            while (now_ms() < until_ms) {
                ++number;
                client.send_request(number, {hex16(0xa000 + static_cast<std::uint64_t>(number)), "price-pages",
                                             hex16(0x9e3779b97f4a7c15ull * static_cast<std::uint64_t>(number)), 3000, {}});
                sleep_ms(20);
            }
        };
        const double start = now_ms();
        send_until(start + 3'000);
        if (place.trouble) {
            board.answers_late_by_ms = late_by_ms;
            record.line("board: each answer comes %d ms late from here on", late_by_ms);
        }
        send_until(start + 5'000);
        board.post(pool_event(false, json::array({server("c1", "node", "central", caches[0]->address(), "Terminating")})));
        const double posted = now_ms();
        send_until(posted + 25'000);
        int late = 0;
        double last = 0;
        for (const Pull& pull : caches[0]->pulls())
            if (pull.first_byte_ms > posted + told_at_the_latest_ms + drain_grace_ms + slack_ms) {
                ++late;
                last = pull.first_byte_ms;
            }
        record.result("requests sent to c1 later than %.0f ms after the drain counts as told (7 s after it was posted): %d",
                      drain_grace_ms + slack_ms, late);
        if (late > 0) record.result("the last one %.1f s after it was posted, as long as the case looked", (last - posted) / 1000);
        return late > 0;
    });
}
