// Case 10: a gateway of a site reads the board's history anew while it serves, and puts the first list in
// force again: caches that drained long ago get requests.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double drain_grace_ms = 250, slack_ms = 50;  // safety.drainGraceS, and the sockets' slack

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, [](const Place& place, Record& record) {
        const auto answers = [](const Pull& p) { return good_answer(p, 30, 2'000); };
        std::vector<std::unique_ptr<Cache>> caches;
        for (const char* id : {"c1", "c2", "c3", "u1", "m1"})
            caches.push_back(std::make_unique<Cache>(id, record, answers));
        Board board(record);
        json servers = json::array();
        for (std::size_t n = 0; n < caches.size(); ++n)
            servers.push_back(server(caches[n]->id(),
                                     n < 3    ? "node"
                                     : n == 3 ? "upper"
                                              : "core",
                                     n < 3 ? "central" : "west", caches[n]->address(), "Ready"));
        board.post(pool_event(true, servers));

        Process registry(place.root + "/build/review-2/registry", place.temporary,
                         {{"CASE_FOLDER", place.temporary}}, place.temporary + "/registry.log", true);
        const std::string members = registry.read_line(now_ms() + 5'000);

        // From the second poll behind event 0 on, once: the board stops in the middle of its second event.
        std::atomic<int> whole_histories{0};
        std::atomic<double> drained_at{0}, stopped_at{0};
        std::atomic<bool> reread{false};
        board.stop_in_answer = [&](std::int64_t watch,
                                   const std::string& body) -> std::optional<std::size_t> {
            if (watch != 0 || drained_at.load() == 0) return std::nullopt;
            record.line("board: the history is asked for anew, %.1f s after the drain was told",
                        (now_ms() - drained_at.load()) / 1000);
            reread = true;
            if (!place.trouble || stopped_at.load() > 0) return std::nullopt;
            stopped_at = now_ms();
            return body.find("Terminating") - 40;  // the first event is whole, the second is not
        };

        const int port = free_port();
        const std::string config = place.temporary + "/config.json", parts = place.temporary + "/parts.toml";
        write_file(config, configuration("g1", port, board.address(), board.known()).dump());
        write_file(
            parts,
            "[fleet]\nmembers = [\"" + members +
                "\"]\ninstallation = \"north\"\nprefix = \"/fleet/\"\nsite = \"central-1\"\nterm = \"4s\"\n");
        Process gateway(deploy_value(place, "run") + " serve --parts " + parts, place.root,
                        {{"NODE_CONFIG", config}, {"CASE_FOLDER", place.temporary}},
                        place.temporary + "/gateway.log");
        wait_until_healthy(port, 30'000);
        record.line("gateway: healthy");

        Client client(port);
        // The drain is told, and the gateway has heard of it within a second.
        board.post(pool_event(
            false, json::array({server("c1", "node", "central", caches[0]->address(), "Terminating")})));
        const double told = now_ms();
        drained_at = told;

        int number = 0;
        const double end = now_ms() + 40'000;
        double stop_at = end;
        while (now_ms() < std::min(end, stop_at)) {
            number = number % 60'000 + 1;
            client.send_request(number, {hex16(0xa000 + static_cast<std::uint64_t>(number)),
                                         "price-pages",
                                         hex16(0x9e3779b97f4a7c15ull * static_cast<std::uint64_t>(number)),
                                         3000,
                                         {}});
            if (reread && stop_at == end) stop_at = now_ms() + 5'000;
            sleep_ms(20);
        }
        if (!reread) throw CannotRun("the gateway has not read the history anew");
        int late = 0;
        double first = 0, last = 0;
        for (const Pull& pull : caches[0]->pulls())
            if (pull.first_byte_ms > told + drain_grace_ms + slack_ms) {
                ++late;
                if (first == 0) first = pull.first_byte_ms;
                last = pull.first_byte_ms;
            }
        record.result("c1 told as draining; requests sent to it later than %.0f ms after that: %d",
                      drain_grace_ms + slack_ms, late);
        if (late > 0)
            record.result("the first %.1f s and the last %.1f s after the drain was told",
                          (first - told) / 1000, (last - told) / 1000);
        return late > 0;
    });
}
