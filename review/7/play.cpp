// Case 7: a bad client sends the id of an open request with another object, and the answer to it arrives
// after its time. The next attempt of the sound request goes out on that connection, and the sound client
// gets the other object's bytes.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int rounds = 20, sound_timeout_ms = 5000, bad_timeout_ms = 50;
constexpr double refused_after_ms =
    600;  // the cache turns the sound request away after this wait in its queue
constexpr double bad_answer_after_ms = 800, good_answer_after_ms = 400;
constexpr double round_ms = 1'500;

std::string content_of(const std::string& object) { return "the bytes of " + object; }

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, [](const Place& place, Record& record) {
        std::mutex mutex;
        std::map<std::string, int> attempts;  // by object
        // A copy of the object asked for. Objects of bad clients begin with "bad0": the answers to these
        // arrive after their time. Of a sound request the first attempt is turned away, as the cache is full.
        const auto rule = [&](const Pull& pull) {
            const std::lock_guard lock(mutex);
            const std::string object = pull.field("asset");
            const int attempt = ++attempts[object];
            Answer answer = good_answer(pull, good_answer_after_ms, 0);
            answer.body = content_of(object);
            if (object.rfind("bad0", 0) == 0) {
                answer.after_ms = bad_answer_after_ms;
                answer.after_its_time = true;
            } else if (attempt == 1) {
                answer = Answer{};
                answer.after_ms = refused_after_ms;
                answer.word = "SHED";
            }
            return answer;
        };
        // A plant with two caches, one of which is being taken out of service.
        std::vector<std::unique_ptr<Cache>> caches;
        for (const char* id : {"c1", "c2", "u1", "m1"})
            caches.push_back(std::make_unique<Cache>(id, record, rule));
        Board board(record);
        json servers = json::array();
        for (std::size_t n = 0; n < caches.size(); ++n)
            servers.push_back(server(caches[n]->id(),
                                     n < 2    ? "node"
                                     : n == 2 ? "upper"
                                              : "core",
                                     n < 2 ? "central" : "west", caches[n]->address(),
                                     n == 1 ? "Terminating" : "Ready"));
        board.post(pool_event(true, servers));

        const int port = free_port();
        const std::string config = place.temporary + "/config.json";
        write_file(config, configuration("g1", port, board.address(), board.known()).dump());
        Process gateway(deploy_value(place, "run"), place.root,
                        {{"NODE_CONFIG", config}, {"CASE_FOLDER", place.temporary}},
                        place.temporary + "/gateway.log");
        wait_until_healthy(port, 10'000);
        Client sound(port);
        int served = 0, foreign = 0, other = 0, bad_served = 0;
        for (int n = 1; n <= rounds; ++n) {
            const double round = now_ms();
            const std::string id = hex16(0x50000000 + static_cast<std::uint64_t>(n));
            const std::string object = hex16(0x900d000000000000ull + static_cast<std::uint64_t>(n));
            sound.send_request(n, {id, "curve-files", object, sound_timeout_ms, {}});
            Client bad(port);
            if (place.trouble) {
                sleep_ms(5);
                bad.send_request(1, {id,
                                     "curve-files",
                                     hex16(0xbad0000000000000ull + static_cast<std::uint64_t>(n)),
                                     bad_timeout_ms,
                                     {}});
            }
            sound.wait_for(n, round + sound_timeout_ms + 550);
            const Client::Outcome o = sound.outcome(n);
            const std::size_t head = o.text.find("\r\n\r\n");
            const std::string body = head == std::string::npos ? "" : o.text.substr(head + 4);
            const bool right = o.status() == "200" && body == content_of(object);
            served += right;
            foreign += o.status() == "200" && !right;
            other += o.status() != "200";
            bad_served += bad.outcome(1).status() == "200";
            record.line("client: %s of %s: status %s, '%s'", id.c_str(), object.c_str(), o.status().c_str(),
                        body.c_str());
            sleep_until(round + round_ms);
        }
        record.result(
            "%d sound requests: %d got the bytes of their object, %d got FOREIGN bytes with status 200, %d "
            "other",
            rounds, served, foreign, other);
        record.result("bad clients served: %d", bad_served);
        return foreign > 0;
    });
}
