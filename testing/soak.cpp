#include "testing/soak.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <map>

#include "codec/resp.hpp"
#include "testing/soak_client.hpp"
#include "testing/soak_script.hpp"

namespace irismux::test_support {
namespace {

using nlohmann::json;

// Limits that the platform's documentation states.
constexpr Duration grace_after_drain = Duration::micros(700'000),
                   max_drain_time = Duration::micros(3'000'000);
constexpr Duration new_connections_after_term = Duration::micros(300'000);
constexpr Duration max_response_delay = Duration::micros(500'000),
                   max_close_crossing = Duration::micros(50'000);
constexpr Duration max_attempt_after_cancel = Duration::micros(100'000),
                   drain_grace = Duration::micros(250'000);
constexpr double timeout_slack_ms = 150;
constexpr std::size_t max_descriptors = 256;
// Delay that the checks allow for the fakes themselves, which run late on a machine with other load.
constexpr Duration slack = Duration::micros(60'000);
constexpr Duration tick = Duration::micros(2'000);
constexpr int large_delay_ms = 150;  // response time of caches for objects of the maximum size

std::int64_t unix_now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// An event of the notice board, and the time at which one of the gateway's polls showed that the gateway has
// received the event.
struct PostedEvent {
    TimePoint posted;
    std::int64_t revision = 0;
    std::string drained;  // the draining cache; empty for a purge
    std::optional<TimePoint> seen;
};

class Soak {
public:
    explicit Soak(const SoakOptions& options)
        : options_(options),
          script_(SoakScript::draw(options.seed)),
          random_(options.seed),
          disturbance_random_(~options.seed),
          shims_(options.shims) {
        gateway_ = std::make_unique<SingleProcess>(shape());
        if (script_.cache_falls_silent) gateway_->caches.front()->limit_receive_buffers();
        for (const auto& cache : gateway_->caches) misbehave(*cache);
    }

    SoakResult run() {
        start_clients();
        plan();
        started_ = gateway_->loop.now();
        while (gateway_->loop.now() < started_ + Duration::seconds(options_.seconds)) step(false);
        leave();
        check();
        result_.script = script_.text();
        result_.log_tail = gateway_->log_tail();
        return result_;
    }

private:
    int pick(int least, int most) {
        return least + static_cast<int>(random_() % static_cast<std::uint64_t>(most - least + 1));
    }
    void violation(const std::string& what) {
        constexpr std::size_t most = 20;
        if (result_.violations.size() < most) result_.violations.push_back(what);
    }

    SingleProcess::Options shape() {
        if (script_.clock_off_from_start) step_clock();
        if (script_.calls_fail_one_in > 0) {
            call_faults_.seed = options_.seed;
            for (std::uint32_t& one_in : call_faults_.one_in) one_in = script_.calls_fail_one_in;
            call_faults_.one_in[static_cast<std::size_t>(Call::write)] = 0;
            shims_.set_calls(call_faults_);
        }
        SingleProcess::Options shape;
        shape.program = options_.program;
        shape.caches = script_.caches;
        shape.environment = shims_.environment();
        shape.adjust_configuration = [this](json& c) {
            json lane = c["settings"]["lanes"][0], keyed = lane, once = lane;
            lane["hardLimitS"] = keyed["hardLimitS"] = once["hardLimitS"] = script_.deadline_s;
            keyed.update({{"name", "keyed"}, {"effect", "by_key"}, {"windowS", 0.5}});
            once.update({{"name", "bids"}, {"effect", "once"}});
            c["settings"]["lanes"] = {lane, keyed, once};
            c["settings"]["specifics"]["neverKept"] = {false, true, true};
            c["limits"]["sockets"] = max_descriptors;
        };
        return shape;
    }

    void step_clock() {
        ClockSkew skew;
        skew.wall_ahead_us = script_.clock_step_us;
        shims_.set_clock(skew);
    }

    void answer_attempt(ScriptedCache& cache, const ScriptedCache::ReceivedAttempt& attempt,
                        const std::string& word) {
        cache.answer(attempt, word, word == "HIT" ? soak_bytes(resp::field(attempt.fields, "asset")) : "");
    }

    void misbehave(ScriptedCache& cache) {
        cache.on_attempt = [this, &cache](const ScriptedCache::ReceivedAttempt& attempt) {
            const auto later = [&](int least_ms, int most_ms) {
                gateway_->loop.schedule_at(
                    gateway_->loop.now() + Duration::micros(std::int64_t{1000} * pick(least_ms, most_ms)),
                    [this, &cache, attempt] { answer_attempt(cache, attempt, "HIT"); });
            };
            if (hanging_) return;
            // The responses to a burst arrive together.
            if (is_large(resp::field(attempt.fields, "asset"))) return later(large_delay_ms, large_delay_ms);
            if (pick(1, 100) > script_.misbehaving) return later(0, 8);
            switch (pick(1, 8)) {
                case 1:
                    return later(50, 1500);
                case 2:
                    return answer_attempt(cache, attempt, "FAULT");
                case 3:
                    answer_attempt(cache, attempt, "HIT");
                    return later(1, 10);
                case 4:
                    return attempt.connection->close();
                case 5:
                    return attempt.connection->reset();
                case 6:
                    if (resp::field(attempt.fields, "sort") != "bids") answer_attempt(cache, attempt, "SHED");
                    return;
                case 7:
                    attempt.connection->output().append("*4\r\n$3\r\nspoilt");
                    return attempt.connection->write();
                default:
                    return;  // the cache does not respond
            }
        };
    }

    void start_clients() {
        const int longest_ms = static_cast<int>(script_.deadline_s * 1000);
        const auto add = [&](ClientBehaviour behaviour, int count, std::mt19937_64& random) {
            for (int n = 0; n < count; ++n)
                clients_.push_back(std::make_unique<SoakClient>(
                    *gateway_, random, behaviour, static_cast<int>(clients_.size()) + 1, longest_ms));
        };
        add(ClientBehaviour::good, script_.good, random_);
        add(ClientBehaviour::impatient, script_.impatient, random_);
        add(ClientBehaviour::repeating, script_.repeating, random_);
        add(ClientBehaviour::garbling, script_.garbling, random_);
        // These clients have a source of their own, so that a seed draws the same for the others as before.
        if (script_.bursts) add(ClientBehaviour::bursting, 1, disturbance_random_);
        if (script_.cache_falls_silent) add(ClientBehaviour::hasty, 2, disturbance_random_);
    }

    // Schedules the events of the script by their times after the start of the load.
    void plan() {
        const auto at = [&](double share, std::function<void()> what) {
            plan_.emplace(Duration::seconds(options_.seconds * share), std::move(what));
        };
        const auto any = [&] { return pick(5, 95) / 100.0; };
        if (!script_.clock_off_from_start) at(any(), [this] { step_clock(); });
        for (int n = 0; n < script_.reloads; ++n) at(any(), [this] { gateway_->process->signal(SIGHUP); });
        for (int n = 0; n < 3; ++n) at(any(), [this] { purge(); });
        if (script_.caches_drain) at(any(), [this] { drain(); });
        if (script_.board_breaks) at(any(), [this] { gateway_->notice_board->break_connections(); });
        if (script_.board_falls_silent) {
            at(0.3, [this] { gateway_->notice_board->silent = true; });
            at(0.6, [this] { gateway_->notice_board->silent = false; });
        }
        if (script_.cache_falls_silent) {
            at(0.35, [this] { gateway_->caches.front()->fall_silent(); });
            at(0.65, [this] { gateway_->caches.front()->come_back(); });
        }
        if (script_.sends_fail) {
            at(0.45, [this] { fail_sends_to(gateway_->caches.front()->address()); });
            at(0.6, [this] { shims_.set_calls(call_faults_); });
        }
        if (script_.idle_connections > 0) at(0.9, [this] { open_idle_connections(); });
        if (script_.hangs_at_end) at(0.95, [this] { hanging_ = true; });
    }

    void purge() {
        events_.push_back({gateway_->loop.now(), 0, "", {}});
        events_.back().revision =
            gateway_->notice_board->post({{"flush", {{"collection", 1}, {"ms", unix_now_ms()}}}});
    }
    // Drains the last cache. All other caches stay in service.
    void drain() {
        const ScriptedCache& cache = *gateway_->caches.back();
        events_.push_back({gateway_->loop.now(), 0, cache.id(), {}});
        json line = endpoint_json(cache.id(), "node", "plant", "", "Terminating");
        events_.back().revision =
            gateway_->notice_board->post({{"pool", {{"version", 2}, {"full", false}, {"servers", {line}}}}});
    }
    void fail_sends_to(const std::string& address) {
        CallFaults faults = call_faults_;
        faults.send_fails_to_port = Poco::Net::SocketAddress(address).port();
        faults.send_error = ENOBUFS;
        shims_.set_calls(faults);
    }
    void open_idle_connections() {
        for (int n = 0; n < script_.idle_connections; ++n)
            idle_connections_.push_back(gateway_->connect_client());
    }

    void step(bool stays) {
        const TimePoint now = gateway_->loop.now();
        while (!plan_.empty() && now >= started_ + plan_.begin()->first) {
            const auto what = plan_.begin()->second;
            plan_.erase(plan_.begin());
            what();
        }
        for (const auto& client : clients_) client->step(stays);
        gateway_->wait_until([] { return false; }, tick);
        for (PostedEvent& e : events_)
            if (!e.seen && gateway_->notice_board->last_poll_since() >= e.revision)
                e.seen = gateway_->loop.now();
        if (!gateway_->process->running() && !leaving_ && !std::exchange(died_, true))
            violation("the process ended before SIGTERM");
        if (descriptors_of(gateway_->process->id()) > max_descriptors)
            violation("the process has more open descriptors than its limit of " +
                      std::to_string(max_descriptors));
    }

    // Sends SIGTERM, further signals and, at the earliest allowed time, SIGKILL. The clients go on sending
    // requests until the process ends.
    void leave() {
        const TimePoint told = gateway_->loop.now();
        leaving_ = true;
        if (!died_) gateway_->process->signal(SIGTERM);
        const Duration longest = std::min(Duration::seconds(script_.deadline_s), max_drain_time);
        const TimePoint kill_at = told + longest + grace_after_drain;
        started_ = told;
        plan_.clear();
        for (int n = 0; n < script_.further_signals; ++n)
            plan_.emplace(longest * (pick(0, 100) / 100.0),
                          [this, n] { gateway_->process->signal(n % 2 == 0 ? SIGTERM : SIGHUP); });
        while (gateway_->loop.now() < kill_at && gateway_->process->running())
            step(gateway_->loop.now() > told + new_connections_after_term);
        // The platform's documentation states that a request without a response at SIGKILL is lost.
        // check_request() therefore judges such a request like any other request without a response.
        result_.killed = !died_ && gateway_->process->running();
        if (!died_ && !result_.killed && !gateway_->process->exited_cleanly())
            violation("the process exited with a status other than 0");
        gateway_->process->kill_and_wait();
        const TimePoint heard_by = gateway_->loop.now() + Duration::micros(100'000);
        while (gateway_->loop.now() < heard_by) {
            gateway_->wait_until([] { return false; }, tick);
            for (const auto& client : clients_) client->receive_responses();
        }
    }

    void check() {
        for (const auto& client : clients_) {
            for (const SoakRequest& r : client->requests()) check_request(r);
            for (const std::string& s : client->violations()) violation(s);
        }
        for (const auto& cache : gateway_->caches) {
            result_.attempts += cache->received.size();
            for (const ScriptedCache::ReceivedAttempt& attempt : cache->received)
                check_attempt(*cache, attempt);
        }
        check_effects();
    }

    void check_request(const SoakRequest& r) {
        ++result_.requests;
        if (r.behaviour != ClientBehaviour::repeating) by_id_[r.request.id] = &r;
        if (r.answered) {
            const bool served = r.status.starts_with("Status: 200");
            ++(served                                ? result_.served
               : r.status.starts_with("Status: 503") ? result_.rejected
                                                     : result_.failed);
            if (served && r.body != soak_bytes(r.request.object))
                violation("1: the response is not the content of the requested object: " + r.request.id);
            if (*r.answered > r.due() + max_response_delay + slack)
                violation("1: the response arrived too late: " + r.request.id);
            return;
        }
        if (r.cancelled || died_) return;
        if (!r.connection_ended)
            return violation("1: the request got no response although its connection did not end: " +
                             r.request.id);
        if (*r.connection_ended > r.sent + max_close_crossing + slack)
            violation("1: the connection ended without a response, " +
                      std::to_string((*r.connection_ended - r.sent).micros() / 1000) +
                      " ms after the request was sent: " + r.request.id);
    }

    void check_attempt(const ScriptedCache& cache, const ScriptedCache::ReceivedAttempt& attempt) {
        for (const PostedEvent& e : events_) {
            if (!e.seen || attempt.at <= *e.seen + slack) continue;
            if (e.drained == cache.id() && attempt.at > *e.seen + drain_grace + slack)
                violation("3: the gateway sent an attempt to a draining cache: " + attempt.request_id);
            if (e.drained.empty()) check_fresh(e, attempt);
        }
        const auto known = by_id_.find(attempt.request_id);
        if (known == by_id_.end()) return;
        const SoakRequest& r = *known->second;
        const double left_ms = (r.due() - attempt.at).seconds() * 1000;
        const std::string patience(resp::field(attempt.fields, "patience"));
        if (std::atof(patience.c_str()) > left_ms + timeout_slack_ms + slack.seconds() * 1000)
            violation("the attempt's timeout is longer than the time left until the client's timeout: " +
                      attempt.request_id);
        if (r.cancelled && attempt.at > *r.cancelled + max_attempt_after_cancel + slack)
            violation("1: the gateway started an attempt after the client had cancelled the request: " +
                      attempt.request_id);
    }

    void check_fresh(const PostedEvent& purge, const ScriptedCache::ReceivedAttempt& attempt) {
        constexpr double purge_done_s = 6;
        if ((attempt.at - purge.posted).seconds() > purge_done_s) return;
        const std::string fresh(resp::field(attempt.fields, "fresh"));
        if (fresh.empty() || std::atof(fresh.c_str()) > (attempt.at - purge.posted).seconds() * 1000 + 2)
            violation("5: the attempt accepts a copy from before a purge: " + attempt.request_id +
                      " fresh=" + fresh);
    }

    void check_effects() {
        std::map<std::string, std::vector<TimePoint>> runs;
        for (const auto& cache : gateway_->caches)
            for (const ScriptedCache::ReceivedAttempt& p : cache->received)
                if (resp::field(p.fields, "sort") == "bids")
                    runs[p.request_id + ' ' + std::string(resp::field(p.fields, "asset")) + ' ' + p.body]
                        .push_back(p.at);
        for (auto& [what, at] : runs) {
            std::sort(at.begin(), at.end());
            for (std::size_t n = 1; n < at.size(); ++n)
                if ((at[n] - at[n - 1]).seconds() < script_.deadline_s)
                    violation("2: a request that must not be repeated was executed twice: " + what);
        }
    }

    SoakOptions options_;
    SoakScript script_;
    std::mt19937_64 random_, disturbance_random_;
    Shims shims_;
    CallFaults call_faults_;
    std::unique_ptr<SingleProcess> gateway_;
    std::vector<std::unique_ptr<SoakClient>> clients_;
    std::vector<std::shared_ptr<FastCgiClient>> idle_connections_;
    std::multimap<Duration, std::function<void()>> plan_;
    std::vector<PostedEvent> events_;
    std::map<std::string, const SoakRequest*> by_id_;
    TimePoint started_;
    bool hanging_ = false, leaving_ = false, died_ = false;
    SoakResult result_;
};

}  // namespace

SoakResult run_soak(const SoakOptions& options) {
    try {
        return Soak(options).run();
    } catch (const std::exception& e) {
        SoakResult result;
        result.violations.push_back(e.what());
        result.script = SoakScript::draw(options.seed).text();
        return result;
    }
}

}  // namespace irismux::test_support
