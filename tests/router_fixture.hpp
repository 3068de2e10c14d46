// Fixture with a router in the test deployment, and helpers that simulate whole requests.
#pragma once

#include "router_test_support.hpp"

namespace irismux::testing {

inline const Duration second = Duration::seconds(1);

class RouterTest : public ::testing::Test {
protected:
    RouterHarness harness;
    int made = 0;

    Request new_request(const std::string& object, std::size_t kind = 0) {
        return request_for("l" + std::to_string(made++), object, harness.now + second * 5, kind);
    }
    // Simulates a request. Its first attempt ends with `outcome`, and the client then has its final response.
    // @return the first attempt, or an empty StartedAttempt if the request is rejected
    StartedAttempt request_and_end(const std::string& object, Outcome outcome,
                                   CacheStatus status = CacheStatus::none) {
        const StartedAttempt* started = harness.request(new_request(object));
        if (!started) return {};
        StartedAttempt copy = *started;
        harness.end_attempt(harness.callbacks.attempts.size() - 1, outcome, status, true);
        return copy;
    }
    // Simulates a request for an object of which no cache has a copy.
    // @return the attempt that fills the object, or an empty StartedAttempt if the request is rejected
    StartedAttempt request_fill(const std::string& object, CacheStatus status = CacheStatus::filled) {
        std::vector<StartedAttempt>& attempts = harness.callbacks.attempts;
        if (!harness.request(new_request(object))) return {};
        if (attempts.back().plan.only_if_cached)
            harness.end_attempt(attempts.size() - 1, Outcome::cache_miss);
        StartedAttempt copy = attempts.back();
        harness.end_attempt(attempts.size() - 1, Outcome::completed, status);
        return copy;
    }
    // @return the name of an object whose requests go to this cache first
    std::string object_of_cache(const std::string& cache) {
        return object_with([&](const AttemptPlan& plan) { return plan.cache == CacheId{cache}; });
    }
    // @return the name of an object whose requests have this parent as their first source
    std::string object_of_parent(const std::string& parent) {
        return object_with([&](const AttemptPlan& plan) { return plan.source == CacheId{parent}; });
    }
    void TearDown() override {
        EXPECT_TRUE(harness.callbacks.violations.empty()) << harness.callbacks.violations.front();
    }

private:
    template <class Predicate>
    std::string object_with(Predicate is_wanted) {
        for (int n = 0; n < 200; ++n) {
            std::string name = "o" + std::to_string(n);
            if (is_wanted(request_and_end(name, Outcome::completed, CacheStatus::hit).plan)) return name;
        }
        ADD_FAILURE() << "none of 200 objects meets the condition";
        return "";
    }
};

}  // namespace irismux::testing
