// Tests CacheConnectionPool with caches that close their connections, stall, or send invalid responses.
#include "cache_connection_pool_scenario.hpp"

namespace irismux::testing {
namespace {

// Attempts that start just as the cache resets the idle connection must be sent on another connection. The
// pool must not try to write to the reset connection for ever.
TEST(CacheConnectionPool, MovesAttemptsOffAConnectionThatIsReset) {
    PoolScenario scenario(1);
    scenario.start("b1");
    scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.2), [&] {
        scenario.connections.at(0)->close();
        scenario.start("b2");
        scenario.start("b3");
    });
    scenario.run(0.6);
    EXPECT_EQ(scenario.received, (std::vector<std::string>{"b1", "b2", "b3"}));
    for (const char* id : {"b1", "b2", "b3"}) EXPECT_EQ(scenario.outcomes.at(id), Outcome::cache_miss) << id;
}

// Invalid or incomplete responses must not be used: both attempts on the connection must soon end as
// connection_reset.
TEST(CacheConnectionPool, ClosesAConnectionAfterAnInvalidResponse) {
    const std::string head = "*4\r\n$2\r\nb2\r\n$3\r\nHIT\r\n", fields = "$16\r\ntag=k1,minted=99\r\n";
    const std::vector<std::string> invalid = {
        "noise and no line",
        "*4\r\n$2\r\nb2\r\n$3\r\nHIT\r\n$3000000000\r\n",
        head + fields + "$3000000000\r\nabc",
        head + fields + "$240001\r\nabc",
        head + fields + "$2\r\nabc\r\n",
        head + "$1\r\n-\r\n$2\r\nab\r\n",
        head + "$16\r\ntag=k1,minted=x9\r\n$2\r\nab\r\n",
        head + "$16\r\ntag=k1,minted 99\r\n$2\r\nab\r\n",
        "*3\r\n$2\r\nb2\r\n$3\r\nHIT\r\n" + fields,
        "*4\r\n$2\r\nb2\r\n$3\r\nHIX\r\n" + fields + "$2\r\nab\r\n",
        "*4\r\n$2\r\nb2\r\n$5\r\nVALID\r\n$16\r\ntag=k2,minted=99\r\n$0\r\n\r\n",
        "*4\r\n$2\r\nb2\r\n$5\r\nVALID\r\n" + fields + "$1\r\na\r\n",
        head + fields + "$9\r\nabc"};
    for (const std::string& bytes : invalid) {
        PoolScenario scenario(1);
        scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
            if (id == "b1") return;  // no response
            cache.output().append(bytes);
            cache.write();
        };
        scenario.start("b1");
        scenario.start("b2");
        scenario.run(0.35);
        ASSERT_EQ(scenario.outcomes.size(), 2u) << bytes;
        EXPECT_EQ(scenario.outcomes.at("b1"), Outcome::connection_reset) << bytes;
        EXPECT_EQ(scenario.outcomes.at("b2"), Outcome::connection_reset) << bytes;
    }
}

// Duplicate responses and responses to an unknown id must be ignored: each of three attempts must end exactly
// once.
TEST(CacheConnectionPool, IgnoresDuplicateResponsesAndUnknownIds) {
    PoolScenario scenario(1);
    scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
        scenario.respond(cache, "ffff", "HIT", "tag=k1,minted=99", "of nobody");
        for (int i = 0; i < 2; ++i) scenario.respond(cache, id, "VALID", "tag=k1,minted=99,n=cached", "");
    };
    for (const char* id : {"b1", "b2", "b3"}) scenario.start(id);
    scenario.run(0.2);
    EXPECT_EQ(scenario.ended, (std::vector<std::string>{"b1", "b2", "b3"}));
    for (const auto& [id, o] : scenario.outcomes) EXPECT_EQ(o, Outcome::completed) << id;
}

// The pool has two caches but is allowed only one connection. If a cache accepts the connection and resets
// it, the attempt must end as overloaded or connection_reset. If a cache refuses the connection, the attempt
// must end as connection_refused. If the other cache uses the only connection, the attempt must wait, and the
// wait must not count as a failure of the attempt's cache.
TEST(CacheConnectionPool, DistinguishesResetsRefusalsAndConnectionShortage) {
    PoolScenario scenario(1);
    bool resetting = true;
    scenario.on_accepted = [&](Poco::Net::StreamSocket& s) {
        if (resetting) s.close();
        return !resetting;
    };
    scenario.start("b1");
    scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.1), [&] {
        // The outcome depends on whether the attempt was written completely before the reset arrived.
        EXPECT_TRUE(scenario.outcomes.at("b1") == Outcome::overloaded ||
                    scenario.outcomes.at("b1") == Outcome::connection_reset);
        resetting = false;
        scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
            scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.15), [&scenario, &cache, id] {
                scenario.respond(cache, id, "NONE", "-", "");
            });
        };
        scenario.start("b2", "e1");
        scenario.start("b3", "e2");  // the only connection is in use
    });
    scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.8), [&] {
        EXPECT_EQ(scenario.outcomes.at("b2"), Outcome::cache_miss);
        EXPECT_EQ(scenario.outcomes.at("b3"), Outcome::cache_miss);
        EXPECT_GT(scenario.elapsed.at("b3"), Duration::seconds(0.15));
        scenario.listeners.at("e1").reset();
        for (const auto& connection : scenario.connections) connection->close();
        scenario.start("b4", "e1");
    });
    scenario.run(1.0);
    EXPECT_EQ(scenario.outcomes.at("b4"), Outcome::connection_refused);
}

// If a new connection is not established while the cache responds on another connection, an attempt must not
// wait for the new connection. The attempt must be sent on the other connection after the next response.
TEST(CacheConnectionPool, MovesQueuedAttemptsToAConnectionThatResponds) {
    PoolScenario scenario(8, 0);
    std::vector<Poco::Net::StreamSocket> backlog(3);
    scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
        scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.05),
                                  [&scenario, &cache, id] { scenario.respond(cache, id, "NONE", "-", ""); });
    };
    scenario.start("b1");
    scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.02), [&] {
        scenario.listeners.at("e1")->stop();
        for (auto& s : backlog) s.connectNB(Poco::Net::SocketAddress(scenario.listeners.at("e1")->address()));
        scenario.start("b2");
    });
    scenario.run(0.18);  // ends before the connect timeout
    EXPECT_EQ(scenario.received, (std::vector<std::string>{"b1", "b2"}));
    EXPECT_EQ(scenario.ended, (std::vector<std::string>{"b1", "b2"}));
}

// The cache reads nothing on its first connection, whose socket is full. No further connection may be opened.
// A new attempt must go to the second connection, although both carry one attempt.
TEST(CacheConnectionPool, PrefersAConnectionWhoseSocketHasRoom) {
    PoolScenario scenario(8);  // two connections for each cache
    scenario.caches_read = false;
    scenario.on_attempt = [](TestConnection&, const std::string&) {};
    scenario.start("b1", "e1", std::string(16 << 20, 'w'));
    scenario.run_steps(
        {{[&] { return scenario.requests.at(0)->attempt(0).progress == TransmitProgress::partially_written; },
          [&] {
              scenario.caches_read = true;
              scenario.start("b2");
          }},
         {[&] { return scenario.received.size() == 1; }, [&] { scenario.start("b3"); }},
         {[&] { return scenario.received.size() == 2; }, [] {}}});
    EXPECT_EQ(scenario.received, (std::vector<std::string>{"b2", "b3"}));
}

// Responses must wait while the clients' unread responses fill the memory, also on a connection that is
// opened in that time. A partial response must not fail because its rest was not received: the wait is longer
// than the connect timeout, which limits partial responses.
TEST(CacheConnectionPool, ResponsesWaitWhileReceivingIsStopped) {
    PoolScenario scenario(8);
    scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
        cache.output().append("*4\r\n$2\r\n" + id + "\r\n$4\r\nNONE\r\n");
        cache.write();
        scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.1), [&cache] {
            cache.output().append("$1\r\n-\r\n$0\r\n\r\n");
            cache.write();
        });
    };
    const auto at = [&](double seconds, std::function<void()> action) {
        scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(seconds), std::move(action));
    };
    scenario.start("b1");
    at(0.05, [&] {
        ASSERT_EQ(scenario.received.size(), 1u);
        scenario.pool->set_receiving(false);
        scenario.start("b2");
    });
    at(0.5, [&] {
        EXPECT_EQ(scenario.received, (std::vector<std::string>{"b1", "b2"}));
        EXPECT_TRUE(scenario.ended.empty());
        scenario.pool->set_receiving(true);
    });
    scenario.run(0.6);
    EXPECT_EQ(scenario.ended.size(), 2u);
    for (const char* id : {"b1", "b2"}) EXPECT_EQ(scenario.outcomes.at(id), Outcome::cache_miss) << id;
}

// The cache may close an idle connection just before an attempt is written to it. The attempt must then be
// sent on another connection and must not end as connection_reset. CacheConnection::on_write_ready ensures
// this.
TEST(CacheConnectionPool, DoesNotWriteToAConnectionThatWasJustClosed) {
    PoolScenario scenario(4);
    scenario.caches_close_gracefully = true;
    scenario.start("b1");
    scenario.run_steps(
        {{[&] { return scenario.ended.size() == 1; },
          [&] {
              scenario.connections.at(0)->close();  // the pool reads the close in a later iteration
              scenario.start("b2");
          }},
         {[&] { return scenario.ended.size() == 2; }, [] {}}});
    EXPECT_EQ(scenario.received, (std::vector<std::string>{"b1", "b2"}));
    EXPECT_EQ(scenario.outcomes.at("b2"), Outcome::cache_miss);
}

// Attempts whose clients have closed their connections must not reach the cache unless they were written
// completely. In the test, the cache does not read. The first attempt is too large for the socket, and the
// second attempt waits behind the first. CacheConnectionPool::withdraw_unstarted_attempts must withdraw both
// attempts.
TEST(CacheConnectionPool, WithdrawsAttemptsThatAreNotWrittenWhole) {
    PoolScenario scenario(1);
    scenario.caches_read = false;
    scenario.start("b1", "e1", std::string(16 << 20, 'w'));
    const auto close_client = [&](std::size_t n) {
        scenario.requests.at(n)->on_client_closed();
        // This call must not report a result, since the observer may release the request when it gets a
        // result.
        scenario.expect_no_result = true;
        scenario.pool->withdraw_unstarted_attempts(*scenario.requests.at(n));
        scenario.expect_no_result = false;
    };
    scenario.run_steps(
        {{[&] { return scenario.requests.at(0)->attempt(0).progress == TransmitProgress::partially_written; },
          [&] {
              scenario.start("b2");
              EXPECT_EQ(scenario.requests.at(1)->attempt(0).progress, TransmitProgress::not_connected);
              close_client(1);
              close_client(0);
              scenario.caches_read = true;
              for (const auto& connection : scenario.connections) connection->enable_reading(true);
              scenario.start("b3");
          }},
         {[&] { return scenario.outcomes.contains("b3"); }, [] {}}});
    EXPECT_EQ(scenario.received, std::vector<std::string>{"b3"});
}

// A health check that waited for its connection must be sent only if it is still wanted once the connection
// is open. CacheConnection::on_open checks this.
TEST(CacheConnectionPool, SendsADeferredHealthCheckOnlyIfStillWanted) {
    for (const bool still_wanted : {true, false}) {
        PoolScenario scenario(4);
        bool is_wanted = true;
        scenario.pool->start_health_check(CacheId{"e1"}, [&] { return is_wanted; });
        is_wanted = still_wanted;
        scenario.start("b1");  // on the same connection, behind the health check
        scenario.run_steps({{[&] { return scenario.ended.size() == 1; }, [] {}}});
        EXPECT_EQ(scenario.health_checks_received, still_wanted ? 1 : 0);
        EXPECT_EQ(scenario.connections.size(), 1u);
    }
}

// A queued attempt that may no longer begin must end as overloaded, and the next attempt in the queue must be
// sent.
TEST(CacheConnectionPool, DoesNotSendAnAttemptThatMayNoLongerBegin) {
    PoolScenario scenario(1);
    scenario.start("b1");
    scenario.start("b2");
    scenario.refused_ids.insert("b1");
    scenario.run_steps({{[&] { return scenario.ended.size() == 2; }, [] {}}});
    EXPECT_EQ(scenario.received, std::vector<std::string>{"b2"});
    EXPECT_EQ(scenario.outcomes.at("b1"), Outcome::overloaded);
}

}  // namespace
}  // namespace irismux::testing
