// A web server sends 32 requests at once on one connection, for objects of the largest size, and reads the
// answers at full speed. The case looks for requests whose connection the gateway ends with no whole answer.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "lab/lab.hpp"

namespace {

using namespace lab;

constexpr int requests_per_round = 32;  // PROTOCOL: a connection carries up to 32 open requests
constexpr int rounds = 8;
constexpr std::int64_t spread_ms = 100;  // TROUBLE=0: the time from one request to the next
constexpr int timeout_ms = 5'000;
// STANDING: an answer up to half a second after the request's time only earns nothing. PROTOCOL: each time
// limit is 50 ms longer on sockets.
constexpr std::int64_t late_ms = 500 + 50;
constexpr std::size_t object_bytes = 240'000;  // PROTOCOL: objects hold 240,000 bytes at most

struct Sent {
    std::string id, answer;
    std::int64_t at = -1, answered_at = -1;
    std::size_t bytes = 0;
};

// One connection of a web server, in a thread of its own that does nothing but send, and read what has come.
class WebServer {
public:
    WebServer(const std::string& gateway, std::uint64_t first_id, std::int64_t interval_ms)
        : gateway_(gateway), interval_ms_(interval_ms) {
        for (int n = 0; n < requests_per_round; ++n)
            sent.push_back({hex16(first_id + static_cast<std::uint64_t>(n)), {}});
        thread_ = std::thread([this] {
            run();
            done = true;
        });
    }
    ~WebServer() { thread_.join(); }

    std::vector<Sent> sent;  // to be read when `done` is set
    std::int64_t closed_at = -1;
    std::atomic<bool> done = false;

private:
    static std::string encode(std::uint16_t number, const std::string& id) {
        std::string parameters;
        const auto put = [&](const char* name, const std::string& value) {
            irismux::fastcgi::write_pair(parameters, name, value);
        };
        put("SCRIPT_NAME", "/api/v2/curve-files");
        put("HTTP_X_REQUEST_ID", id);
        put("HTTP_X_TIMEOUT_MS", std::to_string(timeout_ms));
        put("HTTP_X_OBJECT", id);
        put("HTTP_X_BLOCK", "0");
        put("HTTP_X_FAMILY", "1");
        using irismux::fastcgi::Type;
        Buffer out;
        irismux::fastcgi::write_begin_request(out, number, {irismux::fastcgi::responder, true});
        irismux::fastcgi::write_record(out, Type::params, number, parameters);
        irismux::fastcgi::write_record(out, Type::params, number, {});
        irismux::fastcgi::write_record(out, Type::std_in, number, {});
        return std::string(out.view());
    }
    void run() {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        const std::size_t colon = gateway_.find(':');
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(gateway_.substr(colon + 1))));
        ::inet_pton(AF_INET, gateway_.substr(0, colon).c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) talk(fd);
        ::close(fd);
    }
    void talk(int fd) {
        const std::int64_t begun = unix_ms();
        const std::int64_t end = begun + interval_ms_ * requests_per_round + timeout_ms + late_ms + 100;
        std::size_t next = 0;
        while (unix_ms() < end && closed_at < 0) {
            while (next < sent.size() &&
                   unix_ms() >= begun + interval_ms_ * static_cast<std::int64_t>(next)) {
                const std::string bytes = encode(static_cast<std::uint16_t>(next + 1), sent[next].id);
                if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) break;
                sent[next++].at = unix_ms();
            }
            pollfd readable{fd, POLLIN, 0};
            if (::poll(&readable, 1, 5) > 0) read_all(fd);
            const bool all =
                std::all_of(sent.begin(), sent.end(), [](const Sent& s) { return !s.answer.empty(); });
            if (all) return;
        }
    }
    void read_all(int fd) {
        const std::size_t room = 4 << 20;
        const ssize_t n = ::recv(fd, in_.prepare(room), room, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN)) closed_at = unix_ms();
        if (n <= 0) return;
        in_.commit(static_cast<std::size_t>(n));
        irismux::fastcgi::Record record;
        std::size_t used = 0;
        while (irismux::fastcgi::parse_record(in_.view(), record, used) == ParseStatus::complete) {
            if (record.request >= 1 && record.request <= sent.size()) take(record, sent[record.request - 1u]);
            in_.consume(used);
        }
    }
    void take(const irismux::fastcgi::Record& record, Sent& request) {
        std::string& text = received_[record.request];
        if (record.type == irismux::fastcgi::Type::std_out) text += record.content;
        if (record.type != irismux::fastcgi::Type::end_request) return;
        request.answer = text.empty() ? "END_REQUEST" : text.substr(0, text.find("\r\n"));
        request.answered_at = unix_ms();
        request.bytes = text.size();
    }

    std::string gateway_;
    std::int64_t interval_ms_;
    Buffer in_;
    std::map<std::uint16_t, std::string> received_;
    std::thread thread_;
};

bool run(const std::string& root, Record& record) {
    // LATER: each gateway has 32 to 192 MB and 256 to 1,024 descriptors.
    Plant plant(root, record, {.memory_mb = 32, .sockets = 256});
    for (const auto& cache : plant.caches) {
        cache->object = std::string(object_bytes, 'o');
        cache->service_time = [](const Cache::Attempt&) { return ms(300); };
    }
    plant.start_gateways();
    std::size_t total = 0, served = 0, refused = 0, lost = 0;
    std::uint64_t id = 0x9000;
    for (int round = 1; round <= rounds; ++round) {
        WebServer web_server(plant.gateways.front().listen, id, trouble() ? 0 : spread_ms);
        id += requests_per_round;
        if (!plant.wait([&] { return web_server.done.load(); }, ms(20'000)))
            throw std::runtime_error("the client does not end");
        const std::int64_t begun = unix_ms() - record.now();
        std::int64_t first_answer_at = -1;
        for (const Sent& sent : web_server.sent) {
            ++total;
            record.line_at(sent.at - begun, "client: sent curve-files " + sent.id);
            const bool in_time = sent.answered_at >= 0 && sent.answered_at <= sent.at + timeout_ms + late_ms;
            if (in_time) {
                record.line_at(sent.answered_at - begun, "client: " + sent.id + " got " + sent.answer + ", " +
                                                             std::to_string(sent.bytes) + " bytes");
                ++(sent.answer == "Status: 200 OK" ? served : refused);
                if (first_answer_at < 0 || sent.answered_at < first_answer_at)
                    first_answer_at = sent.answered_at;
                continue;
            }
            ++lost;
            record.line("LOST: " + sent.id + " got no whole answer");
        }
        if (web_server.closed_at >= 0)
            record.line_at(web_server.closed_at - begun,
                           "client: the gateway has ended the connection, " +
                               std::to_string(web_server.closed_at - first_answer_at) +
                               " ms after the first whole answer on it");
        plant.pass(ms(500));
    }
    std::string log = plant.log();
    if (const std::size_t at = log.find("slow_client_closed"); at != std::string::npos)
        record.line("gateway's log: " + log.substr(at, log.find('\n', at) - at));
    record.line("gateway: resident memory " +
                std::to_string(irismux::test_support::resident_bytes(plant.gateway().id()) >> 20) +
                " of 32 MB");
    const std::string sum = std::to_string(total) + " requests sent: " + std::to_string(served) +
                            " served, " + std::to_string(refused) + " refused or failed, " +
                            std::to_string(lost) + " lost (no whole answer)";
    record.line(sum);
    std::printf("%s\n", sum.c_str());
    if (!plant.gateway().running()) throw std::runtime_error("the gateway has ended");
    if (served == 0) throw std::runtime_error("nothing was served");
    return lost == 0;
}

}  // namespace

int main(int argc, char** argv) { return lab::run_case(argc, argv, run); }
