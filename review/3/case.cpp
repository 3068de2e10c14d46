// A web server's connection carries ordinary requests. Beside them one client of that web server writes the
// body of a bid slowly. The case looks for requests of the connection that were written whole and never got
// an answer.
#include <algorithm>
#include <deque>
#include <set>

#include "lab/lab.hpp"

namespace {

using namespace lab;

constexpr std::int64_t request_interval_ms = 50;
constexpr std::int64_t part_interval_ms = 100;  // the slow body: a part of 1,000 bytes at a time
constexpr int parts = 28;                       // 2.8 s for 28,000 bytes; a bid is given up after 3 s
constexpr std::int64_t rounds = 6;
constexpr std::int64_t round_ms = 4'000;
// PROTOCOL: a request that crosses a close within 50 ms is sent again. STANDING: an answer up to half a
// second after the request's time only earns nothing. PROTOCOL: each time limit is 50 ms longer on sockets.
constexpr std::int64_t crossing_ms = 50;
constexpr std::int64_t late_ms = 500 + 50;

struct Sent {
    Client::Request request;
    std::uint16_t number = 0;
    std::int64_t written_at = -1;  // when its last byte was written; -1: not yet
    std::string answer;            // first line of the answer
    bool sent_again = false;
};

class WebServer {
public:
    WebServer(Plant& plant, Record& record) : plant_(plant), record_(record) { connect(); }

    void send_ordinary() {
        const bool page = ++ordinary_ % 2 == 0;
        send({.id = hex16(++last_id_),
              .object = hex16(last_id_ * 7919 % 499 + 1),
              .kind = page ? "price-pages" : "curve-files",
              .timeout_ms = page ? 3000 : 5000});
    }
    void begin_bid(bool slowly) {
        Client::Request bid{.id = hex16(++last_id_), .object = hex16(last_id_), .kind = "bid-submit"};
        bid.body = std::string(1'000 * parts, 'b');
        if (!slowly) return send(bid);
        Sent& sent = add(bid);
        record_.line("client: begins bid " + bid.id + ", writes its body in " + std::to_string(parts) +
                     " parts over " + std::to_string(parts * part_interval_ms) + " ms");
        client_->begin(sent.number, bid);
        write_part(client_, &sent, 0);
    }
    // Judges what is due. @return the number of requests that were never answered so far.
    std::size_t judge(bool at_end) {
        const std::int64_t now = record_.now();
        for (Sent& sent : sent_) {
            if (!sent.answer.empty() || sent.written_at < 0 || judged_.contains(&sent)) continue;
            if (!at_end && now < sent.written_at + sent.request.timeout_ms + late_ms) continue;
            judged_.insert(&sent);
            record_.line("LOST: " + sent.request.kind + " " + sent.request.id + ", last byte written at " +
                         std::to_string(sent.written_at) + " ms, had no answer by its time and " +
                         std::to_string(late_ms) + " ms");
        }
        return judged_.size();
    }
    std::size_t answered() const {
        return static_cast<std::size_t>(
            std::count_if(sent_.begin(), sent_.end(), [](const Sent& s) { return !s.answer.empty(); }));
    }
    std::size_t written() const {
        return static_cast<std::size_t>(
            std::count_if(sent_.begin(), sent_.end(), [](const Sent& s) { return s.written_at >= 0; }));
    }

private:
    Sent& add(const Client::Request& request) {
        sent_.push_back({.request = request, .number = ++last_number_, .answer = {}});
        on_connection_.push_back(&sent_.back());
        return sent_.back();
    }
    void send(const Client::Request& request) {
        Sent& sent = add(request);
        client_->send(sent.number, request);
        sent.written_at = record_.now();
        record_.line("client: sent " + request.kind + " " + request.id);
    }
    void write_part(const std::shared_ptr<Client>& client, Sent* sent, int part) {
        if (client->ended() || !sent->answer.empty()) return;  // answered before it was whole
        if (part == parts) {
            client->body(sent->number, {});
            sent->written_at = record_.now();
            record_.line("client: wrote the last byte of bid " + sent->request.id);
            return;
        }
        client->body(sent->number, std::string(1'000, 'b'));
        plant_.loop.schedule_at(plant_.loop.now() + ms(part_interval_ms),
                                [this, client, sent, part] { write_part(client, sent, part + 1); });
    }
    void connect() {
        client_ = std::make_shared<Client>(plant_.loop, plant_.gateways.front().listen);
        on_connection_.clear();
        record_.line("client: connects");
        client_->on_answer = [this](std::uint16_t number, const std::string& answer) {
            for (Sent* const sent : on_connection_) {
                if (sent->number != number || !sent->answer.empty()) continue;
                sent->answer = answer.empty() ? "END_REQUEST" : answer;
                record_.line("client: " + sent->request.kind + " " + sent->request.id + " got " +
                             sent->answer);
            }
        };
        client_->on_end = [this] { plant_.loop.run_next_iteration([this] { on_closed(); }); };
    }
    // The gateway has closed the connection: what crossed the close is sent again, once, on a new connection.
    void on_closed() {
        const std::int64_t now = record_.now();
        const auto open = on_connection_;
        ended_.push_back(client_);
        record_.line("client: the gateway has closed the connection");
        connect();
        for (Sent* const sent : open) {
            const bool unanswered = sent->answer.empty() && sent->written_at >= 0;
            if (!unanswered || now - sent->written_at > crossing_ms || sent->sent_again) continue;
            sent->sent_again = true;
            sent->number = ++last_number_;
            sent->written_at = now;
            on_connection_.push_back(sent);
            client_->send(sent->number, sent->request);
            record_.line("client: sent " + sent->request.kind + " " + sent->request.id +
                         " again, as it crossed the close");
        }
    }

    Plant& plant_;
    Record& record_;
    std::shared_ptr<Client> client_;
    std::vector<std::shared_ptr<Client>> ended_;
    std::deque<Sent> sent_;
    std::vector<Sent*> on_connection_;  // sent on the present connection
    std::set<const Sent*> judged_;
    std::uint64_t last_id_ = 0x5000, ordinary_ = 0;
    std::uint16_t last_number_ = 0;
};

bool run(const std::string& root, Record& record) {
    Plant plant(root, record);
    for (const auto& cache : plant.caches)
        cache->service_time = [](const Cache::Attempt& attempt) {
            return attempt.kind == "curve-files" ? ms(400) : ms(80);
        };
    plant.start_gateways();
    auto web_server = std::make_unique<WebServer>(plant, record);
    for (std::int64_t at = 0; at < rounds * round_ms; at += request_interval_ms) {
        if (at % round_ms == 500) web_server->begin_bid(trouble());
        web_server->send_ordinary();
        plant.pass(ms(request_interval_ms));
        (void)web_server->judge(false);
    }
    plant.pass(ms(5'000 + late_ms + 100));
    const std::size_t lost = web_server->judge(true);
    record.line(std::to_string(web_server->written()) + " requests written whole, " +
                std::to_string(web_server->answered()) + " answered, " + std::to_string(lost) +
                " never answered");
    std::printf("%zu requests written whole, %zu answered, %zu never answered\n", web_server->written(),
                web_server->answered(), lost);
    if (!plant.gateway().running()) throw std::runtime_error("the gateway has ended");
    if (web_server->answered() < 100) throw std::runtime_error("too few requests were answered");
    return lost == 0;
}

}  // namespace

int main(int argc, char** argv) { return lab::run_case(argc, argv, run); }
