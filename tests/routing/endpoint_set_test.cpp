#include "routing/endpoint_set.hpp"

#include "routing/link_capacity.hpp"
#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class EndpointSetTest : public ::testing::Test {
protected:
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    EndpointSet endpoints_ = endpoint_set(deployment_, now_);

    EndpointState* update(const EndpointUpdate& update) {
        EndpointState* restarted = endpoints_.apply(update, now_);
        endpoints_.finish_updates(now_);
        return restarted;
    }
};

TEST_F(EndpointSetTest, HasActiveEndpointsByRole) {
    EXPECT_EQ(endpoints_.active(EndpointRole::edge).size(), 3u);
    EXPECT_EQ(endpoints_.active(EndpointRole::parent).size(), 2u);
    EXPECT_EQ(endpoints_.active(EndpointRole::origin).size(), 1u);
    EndpointUpdate elsewhere = endpoint_update("far", edge_machine);
    elsewhere.location = LocationId{"there"};
    update(elsewhere);
    EXPECT_EQ(endpoints_.active(EndpointRole::edge).size(), 3u);
}

TEST_F(EndpointSetTest, DrainingAndRemovedEndpointsLeaveTheirRole) {
    for (const EndpointStatus status : {EndpointStatus::draining, EndpointStatus::removed}) {
        EndpointUpdate leaving = endpoint_update("e1", edge_machine);
        leaving.status = status;
        update(leaving);
        EXPECT_EQ(endpoints_.active(EndpointRole::edge).size(), 2u);
        update(endpoint_update("e1", edge_machine));
    }
}

TEST_F(EndpointSetTest, ACompleteListRemovesWhatItDoesNotName) {
    endpoints_.remove_all();
    update(endpoint_update("e2", edge_machine));
    ASSERT_EQ(endpoints_.active(EndpointRole::edge).size(), 1u);
    EXPECT_EQ(endpoints_.active(EndpointRole::edge)[0]->id, CacheId{"e2"});
}

TEST_F(EndpointSetTest, ReportsAStartOnceAndOnlyDuringTheWarmUp) {
    EndpointUpdate started = endpoint_update("e1", edge_machine);
    started.started_at = now_ - one_second;
    EXPECT_EQ(update(started), endpoints_.find(CacheId{"e1"}));
    EXPECT_EQ(update(started), nullptr);
    started.started_at = now_ - deployment_.edge_slow_start.window;
    EXPECT_EQ(update(started), nullptr);
}

// A removed endpoint is erased after the slow-start window, once no attempt at the endpoint is in flight. If
// removed endpoints were never erased, the EndpointSet would grow without bound as endpoints come and go. If
// an endpoint were erased earlier, an attempt that has yet to end could refer to an erased endpoint.
TEST_F(EndpointSetTest, ErasesRemovedEndpointsOnceTheyAreIdle) {
    EndpointUpdate leaving = endpoint_update("e1", edge_machine);
    leaving.status = EndpointStatus::removed;
    update(leaving);
    EndpointState* removed = endpoints_.find(CacheId{"e1"});
    ASSERT_TRUE(removed);
    removed->load.in_flight = 1;
    now_ = now_ + deployment_.parent_slow_start.window + one_second;
    endpoints_.finish_updates(now_);
    ASSERT_TRUE(endpoints_.find(CacheId{"e1"}));
    removed->load.in_flight = 0;
    endpoints_.finish_updates(now_);
    EXPECT_FALSE(endpoints_.find(CacheId{"e1"}));
}

// If the link weights of the caches are unknown, a gateway estimates the capacity of a cache from the link
// capacity of the location. If it divided the link capacity by the number of remaining caches, each estimate
// would grow when other caches leave, and gateways would overload the remaining caches.
// EndpointSet::max_active_edges prevents this. The test removes two of three caches, and expects that the
// capacity of the third cache stays the same.
TEST_F(EndpointSetTest, ACachesCapacityDoesNotGrowWhenItsPeersLeave) {
    deployment_.weights_known = false;
    deployment_.location_link_capacity_kb_per_s = 30 * deployment_.transfer_rate_kb_per_s;
    const LinkCapacity links{deployment_, endpoints_};
    const double before = links.endpoint(endpoints_.at(CacheId{"e1"}));
    EXPECT_DOUBLE_EQ(before, 20);
    endpoints_.remove_all();
    update(endpoint_update("e1", edge_machine));
    EXPECT_DOUBLE_EQ(links.endpoint(endpoints_.at(CacheId{"e1"})), before);
}

}  // namespace
}  // namespace irismux::testing
