// A web server's connection carries ordinary requests for objects whose bytes differ. Bad clients send the
// ids of open ones with other objects, and some good answers of the caches are spoilt on their way. The case
// looks for an ordinary request that is answered 'served' with the bytes of another object.
#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <string_view>

#include "lab/lab.hpp"

namespace {

using namespace lab;

constexpr int rounds = 80;
constexpr int steps = 15;  // of a round; an ordinary request is sent at each
constexpr std::int64_t step_ms = 66;
constexpr int curve_step = 2;       // the step at which a curve file is asked for
constexpr int bad_clients = 3;      // per round, each with one request
constexpr int bad_timeout_ms = 50;  // how long a bad client waits
constexpr std::int64_t late_by_ms = 750;

// TROUBLE=clients: the bad clients alone. TROUBLE=answers: the spoilt answers alone.
bool takes_place(std::string_view part) {
    const char* const value = ::getenv("TROUBLE");
    const std::string only = value ? value : "";
    return trouble() && ((only != "clients" && only != "answers") || only == part);
}

std::string asset_of(const Cache::Attempt& attempt) {
    return std::string(irismux::resp::field(attempt.fields, "asset"));
}
std::string bytes_of_object(const std::string& object) { return "the bytes of object " + object; }

struct Sent {
    Client::Request request;
    std::string answer;  // first line of the answer
};

class WebServer {
public:
    WebServer(Plant& plant, Record& record)
        : record_(record), client_(plant.loop, plant.gateways.front().listen) {
        client_.on_answer = [this](std::uint16_t number, const std::string& answer) {
            const auto it = open_.find(number);
            if (it != open_.end()) on_answer(*it->second, answer);
            open_.erase(number);
        };
    }

    const Client::Request& send(const std::string& kind, const std::string& id, const std::string& object) {
        sent_.push_back({.request = {.id = id,
                                     .object = object,
                                     .kind = kind,
                                     .timeout_ms = kind == "price-pages" ? 3000 : 5000},
                         .answer = {}});
        open_[++last_number_] = &sent_.back();
        client_.send(last_number_, sent_.back().request);
        record_.line("client: sent " + kind + " " + id + " for object " + object);
        return sent_.back().request;
    }
    std::size_t sent() const { return sent_.size(); }
    std::size_t open() const { return open_.size(); }
    std::size_t served() const {
        return static_cast<std::size_t>(std::count_if(sent_.begin(), sent_.end(), is_served));
    }
    std::size_t foreign() const { return foreign_; }
    bool ended() const { return client_.ended(); }

private:
    static bool is_served(const Sent& sent) { return sent.answer.find("200") != std::string::npos; }
    void on_answer(Sent& sent, const std::string& answer) {
        sent.answer = answer.empty() ? "END_REQUEST" : answer;
        const std::string& body = client_.body_of_answer();
        record_.line("client: " + sent.request.id + " got " + sent.answer + ", '" + body + "'");
        if (!is_served(sent) || body == bytes_of_object(sent.request.object)) return;
        ++foreign_;
        record_.line("WRONG BYTES: " + sent.request.kind + " " + sent.request.id + " asked for object " +
                     sent.request.object + " and was served '" + body + "'");
    }

    Record& record_;
    Client client_;
    std::deque<Sent> sent_;
    std::map<std::uint16_t, Sent*> open_;  // by the number on the connection
    std::uint16_t last_number_ = 0;
    std::size_t foreign_ = 0;
};

class Day {
public:
    Day(Plant& plant, Record& record) : plant_(plant), record_(record), web_server_(plant, record) {
        for (const auto& cache : plant.caches) {
            cache->bytes_of = [](const Cache::Attempt& attempt) {
                return bytes_of_object(asset_of(attempt));
            };
            cache->service_time = [](const Cache::Attempt& attempt) {
                return attempt.kind == "curve-files" ? ms(600) : ms(80);
            };
            cache->delivery = [this, id = cache->id()](const Cache::Attempt& attempt) {
                return delivery_of(id, attempt);
            };
            cache->late_by = ms(late_by_ms);
        }
    }

    void play() {
        for (int round = 0; round < rounds; ++round) {
            for (int step = 0; step < steps; ++step) {
                if (step == curve_step)
                    ask_for_curve_file();
                else
                    web_server_.send("price-pages", new_id(), new_object());
                plant_.pass(ms(step_ms));
            }
            bad_.clear();
        }
        (void)plant_.wait([this] { return web_server_.open() == 0; }, ms(5'600));
    }
    const WebServer& web_server() const { return web_server_; }
    std::size_t bad_served() const { return bad_served_; }

private:
    // An ordinary request, and the bad ones that name its id while it is open.
    void ask_for_curve_file() {
        const Client::Request& curve = web_server_.send("curve-files", new_id(), new_object());
        if (takes_place("answers")) cut_short_.insert(curve.object);
        for (int n = 0; n < bad_clients && takes_place("clients"); ++n) {
            const std::string object = new_object();
            if (takes_place("answers")) late_.insert(object);
            bad_.push_back(std::make_unique<Client>(plant_.loop, plant_.gateways.front().listen));
            bad_.back()->on_answer = [this, id = curve.id](std::uint16_t, const std::string& answer) {
                record_.line("bad client: " + id + " got " + answer);
                bad_served_ += answer.find("200") != std::string::npos;
            };
            bad_.back()->send(
                1, {.id = curve.id, .object = object, .kind = "price-pages", .timeout_ms = bad_timeout_ms});
            record_.line("bad client: sent price-pages " + curve.id + " for object " + object);
        }
    }
    // Only the first answer for an object is spoilt.
    Cache::Delivery delivery_of(const std::string& cache, const Cache::Attempt& attempt) {
        const std::string object = asset_of(attempt);
        const bool late = late_.erase(object) > 0, cut_short = cut_short_.erase(object) > 0;
        record_.line("cache " + cache + ": runs " + attempt.kind + " " + attempt.id + " for object " +
                     object + (late ? ", its answer arrives late" : "") +
                     (cut_short ? ", will be cut short" : ""));
        if (late) return Cache::Delivery::late;
        return cut_short ? Cache::Delivery::cut_short : Cache::Delivery::whole;
    }
    std::string new_id() { return hex16(random_()); }
    std::string new_object() { return hex16(random_()); }

    Plant& plant_;
    Record& record_;
    WebServer web_server_;
    std::vector<std::unique_ptr<Client>> bad_;
    std::size_t bad_served_ = 0;
    std::set<std::string> late_, cut_short_;  // objects whose next answer is spoilt
    std::mt19937_64 random_{48};
};

bool run(const std::string& root, Record& record) {
    Plant plant(root, record);
    plant.start_gateways();
    auto day = std::make_unique<Day>(plant, record);
    day->play();
    const WebServer& web_server = day->web_server();
    const std::string result =
        std::to_string(web_server.sent()) + " requests sent, " + std::to_string(web_server.served()) +
        " served, " + std::to_string(web_server.foreign()) + " of them with another object's bytes; " +
        std::to_string(day->bad_served()) + " requests of bad clients served";
    record.line(result);
    std::printf("%s\n", result.c_str());
    if (!plant.gateway().running()) throw std::runtime_error("the gateway has ended");
    if (web_server.ended()) throw std::runtime_error("the web server's connection has ended");
    if (web_server.served() < 500) throw std::runtime_error("too few requests were served");
    return web_server.foreign() == 0;
}

}  // namespace

int main(int argc, char** argv) { return lab::run_case(argc, argv, run); }
