// Case 9: the list comes from a registry, the registry hangs, a cache begins to drain, and the operator moves
// the list back to the notice board with SIGHUP: the gateway never hears of the drain that the board told
// before.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double drain_grace_ms = 250, slack_ms = 50;  // safety.drainGraceS, and the sockets' slack
constexpr double told_after_reload_ms = 4'000;         // "counts as told 4 s after SIGHUP"
constexpr double outage_ms = 8'000;                    // "discovery is down for 8 s"

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, [](const Place& place, Record& record) {
        const auto answers = [](const Pull& p) { return good_answer(p, 30, 2'000); };
        std::vector<std::unique_ptr<Cache>> caches;
        for (const char* id : {"c1", "c2", "c3", "u1", "m1"})
            caches.push_back(std::make_unique<Cache>(id, record, answers));
        Board board(record);
        Process registry(place.root + "/build/review-2/registry", place.temporary,
                         {{"CASE_FOLDER", place.temporary}}, place.temporary + "/registry.log", true);
        const std::string members = registry.read_line(now_ms() + 5'000);

        // The board and the registry tell the same list.
        json servers = json::array();
        for (std::size_t n = 0; n < caches.size(); ++n) {
            servers.push_back(server(caches[n]->id(),
                                     n < 3    ? "node"
                                     : n == 3 ? "upper"
                                              : "core",
                                     n < 3 ? "central" : "west", caches[n]->address(), "Ready"));
            registry.say("put /caches/" + caches[n]->id() + " " + servers.back().dump());
            registry.read_line(now_ms() + 5'000);
        }
        board.post(pool_event(true, servers));

        const int port = free_port();
        const std::string config = place.temporary + "/config.json", parts = place.temporary + "/parts.toml";
        write_file(config, configuration("g1", port, board.address(), board.known()).dump());
        write_file(parts, "[registry]\nmembers = [\"" + members + "\"]\nprefix = \"/caches/\"\n");
        Process gateway(deploy_value(place, "run"), place.root,
                        {{"NODE_CONFIG", config}, {"IRISMUX_PARTS", parts}, {"CASE_FOLDER", place.temporary}},
                        place.temporary + "/gateway.log");
        wait_until_healthy(port, 10'000);
        record.line("gateway: healthy");
        Client client(port);
        int number = 0;
        const auto send_until = [&](double until_ms) {
            while (now_ms() < until_ms) {
                ++number;
                client.send_request(number,
                                    {hex16(0xa000 + static_cast<std::uint64_t>(number)),
                                     "price-pages",
                                     hex16(0x9e3779b97f4a7c15ull * static_cast<std::uint64_t>(number)),
                                     3000,
                                     {}});
                sleep_ms(20);
            }
        };

        const double start = now_ms();
        send_until(start + 2'000);
        if (place.trouble) {
            registry.signal(SIGSTOP);
            record.line("registry: stands still");
        }
        send_until(start + 4'000);
        // c1 begins to drain. The operators say so wherever they can.
        const json draining = server("c1", "node", "central", caches[0]->address(), "Terminating");
        board.post(pool_event(false, json::array({draining})));
        if (!place.trouble) {
            registry.say("put /caches/c1 " + draining.dump());
            record.line("registry: c1 drains, revision %s", registry.read_line(now_ms() + 5'000).c_str());
        }
        send_until(start + 6'000);
        write_file(parts, "# the list comes from the notice board\n");
        gateway.signal(SIGHUP);
        const double reloaded = now_ms();
        record.line("operator: the table [registry] is gone, SIGHUP");
        send_until(start + 2'000 + outage_ms);
        registry.signal(SIGCONT);
        if (place.trouble) record.line("registry: goes on");
        const double told = reloaded + told_after_reload_ms;
        send_until(reloaded + 12'000);

        int late = 0;
        double last = 0;
        for (const Pull& pull : caches[0]->pulls())
            if (pull.first_byte_ms > told + drain_grace_ms + slack_ms) {
                ++late;
                last = pull.first_byte_ms;
            }
        record.result(
            "requests sent to c1 later than %.0f ms after the drain counts as told (4 s after SIGHUP): %d",
            drain_grace_ms + slack_ms, late);
        if (late > 0)
            record.result("the last one %.1f s after SIGHUP, as long as the case looked",
                          (last - reloaded) / 1000);
        return late > 0;
    });
}
