// A CacheConnectionPool with two caches whose responses the test chooses.
#pragma once

#include <deque>

#include "base/log.hpp"
#include "codec/resp.hpp"
#include "gateway/gateway.hpp"
#include "router_test_support.hpp"
#include "testing/sockets.hpp"

namespace irismux::testing {

using test_support::Acceptor;
using test_support::TestConnection;

// A pool with two caches, e1 and e2, whose responses the test chooses.
struct PoolScenario final : AttemptObserver, ResponseSender {
    EventLoop loop;
    Deployment settings = deployment();
    EndpointTable endpoints{settings.purge_retention};
    std::unique_ptr<CacheConnectionPool> pool;
    std::vector<std::shared_ptr<TestConnection>> connections;
    std::map<std::string, std::unique_ptr<Acceptor>> listeners;  // by cache
    std::vector<std::string> received, ended;                    // client request ids in order
    std::map<std::string, Outcome> outcomes;
    std::map<std::string, Duration> elapsed;
    std::deque<std::shared_ptr<ActiveRequest>> requests;
    bool caches_close_gracefully = false;  // if not set, the caches reset their connections
    bool caches_read = true;
    int health_checks_received = 0;
    bool expect_no_result = false;  // while set, an attempt that ends fails the test
    std::function<void(TestConnection&, const std::string& id)> on_attempt;
    std::function<bool(Poco::Net::StreamSocket&)> on_accepted = [](auto&) { return true; };

    explicit PoolScenario(std::size_t max_connections, int backlog = 64) {
        log::set_level(log::Level::error);
        on_attempt = [this](TestConnection& cache, const std::string& id) {
            respond(cache, id, "NONE", "-", "");
        };
        std::vector<EndpointRecord> records;
        for (const char* id : {"e1", "e2"}) {
            listeners[id] = std::make_unique<Acceptor>(
                loop, [this](const Poco::Net::StreamSocket& socket) { add_connection(socket); }, backlog);
            records.emplace_back(endpoint_update(id, edge_machine), listeners[id]->address());
        }
        endpoints.apply(records, true);
        pool = std::make_unique<CacheConnectionPool>(
            loop, endpoints, *this, settings,
            CacheConnectionLimits{max_connections, 10, Duration::seconds(0.2), Duration::seconds(5),
                                  settings.timer_resolution, Duration::seconds(0.2)});
    }
    ~PoolScenario() override {
        pool->close_all();
        for (const auto& connection : connections) connection->close();
    }
    void add_connection(Poco::Net::StreamSocket socket) {
        if (!caches_close_gracefully) socket.setLinger(true, 0);
        if (!on_accepted(socket)) return;
        connections.push_back(std::make_shared<TestConnection>(loop, std::move(socket)));
        connections.back()->on_received = [this, raw = connections.back().get()](Buffer& in) {
            resp::Arguments arguments;
            std::size_t used = 0;
            while (raw->state() == ConnectionState::open &&
                   resp::parse_array(in.view(), arguments, used) == ParseStatus::complete) {
                const std::string command(arguments[0]), id(arguments[1]);
                in.consume(used);
                health_checks_received += command == "ECHO";
                if (command != "PULL") continue;
                received.push_back(id);
                on_attempt(*raw, id);
            }
        };
        if (!caches_read) connections.back()->shrink_receive_buffer();
        connections.back()->start();
        if (!caches_read) connections.back()->enable_reading(false);
    }
    void respond(TestConnection& cache, const std::string& id, const char* result, const char* fields,
                 const std::string& body) {
        resp::write_array(cache.output(), {id, result, fields, body});
        cache.write();
    }
    void start(const std::string& id, const std::string& cache = "e1", std::string body = {}) {
        ClientRequest client_request;
        client_request.body = std::move(body);
        client_request.request = request_for(id, "a1", loop.now() + Duration::seconds(1));
        client_request.client_request_id = ClientRequestId{id};
        client_request.client_etag = "k1";
        client_request.request.id = RequestId{requests.size() + 1};
        requests.push_back(std::make_shared<ActiveRequest>(*this, ClientStream{}, std::move(client_request)));
        start_attempt_of(*requests.back(), cache);
    }
    // Starts a further attempt of a request.
    void start_attempt_of(ActiveRequest& request, const std::string& cache = "e1") {
        Attempt attempt;
        attempt.cache = CacheId{cache};
        attempt.decided_at = loop.now();
        pool->start_attempt(request, request.add_attempt(std::move(attempt)));
    }
    void run(double seconds) {
        loop.schedule_at(loop.now() + Duration::seconds(seconds), [this] { loop.stop(); });
        loop.run();
    }
    // A step runs its action as soon as its condition holds; then the next step begins. run_steps() stops the
    // loop after the last step, and at the latest after 10 s.
    struct Step {
        std::function<bool()> condition;
        std::function<void()> action;
    };
    void run_steps(std::vector<Step> given_steps) {
        steps = std::move(given_steps);
        std::reverse(steps.begin(), steps.end());
        check_steps();
        run(10);
        EXPECT_TRUE(steps.empty()) << steps.size() << " steps were not reached";
    }
    void check_steps() {
        while (!steps.empty() && steps.back().condition()) {
            const auto action = steps.back().action;
            steps.pop_back();
            action();
        }
        if (steps.empty()) return loop.stop();
        loop.schedule_at(loop.now() + Duration::micros(500), [this] { check_steps(); });
    }
    std::vector<Step> steps;
    void on_attempt_ended(ActiveRequest& request, std::size_t n, const AttemptEnd& end) override {
        const std::string& id = request.client_request_id().raw();
        EXPECT_FALSE(expect_no_result) << id;
        outcomes[id] = end.outcome;
        elapsed[id] = loop.now() - request.attempt(n).decided_at;
        ended.push_back(id);
        request.attempt(n).state = AttemptState::reported;
        on_ended(request, end.outcome);
    }
    std::function<void(ActiveRequest&, Outcome)> on_ended = [](auto&, Outcome) {};
    void on_health_check_result(const HealthCheckResult&) override {}
    bool may_begin_attempt(ActiveRequest& request, std::size_t) override {
        return !refused_ids.contains(request.client_request_id().raw());
    }
    void on_request_id_in_use(ActiveRequest& request, std::size_t) override {
        ids_in_use.push_back(request.client_request_id().raw());
    }
    std::vector<std::string> ids_in_use;
    std::set<std::string> refused_ids;  // requests whose attempts may not begin
    void send_response(const ClientStream&, std::string_view, bool) override {}
    void send_rejection(const ClientStream&, Duration) override {}
    void send_failure(const ClientStream&) override {}
};

}  // namespace irismux::testing
