// Tests the log records of the fleet's events, as docs/operations/fleet.md lists them.
#include "fleet/fleet_event.hpp"

#include <gtest/gtest.h>

namespace irismux::fleet {
namespace {

std::string logged(const FleetEvent& event) {
    ::testing::internal::CaptureStderr();
    write_to_log(event);
    return ::testing::internal::GetCapturedStderr();
}

// Each event that needs an operator's action must be logged as a warning with the name and the fields listed
// in docs/operations/fleet.md.
TEST(FleetEvents, WarningsHaveTheDocumentedNamesAndFields) {
    const MemberName member{"g1"};
    const DutyName duty{"sweep"};
    EXPECT_EQ(logged(LeaseStateChanged{duty, LeaseState::lost, FencingToken{5}}),
              "warning: fleet_lease_lost duty=sweep token=5\n");
    EXPECT_EQ(logged(MembershipEnded{MembershipEnd::evicted, member}),
              "warning: fleet_membership_lost reason=evicted member=g1\n");
    EXPECT_EQ(logged(MembershipEnded{MembershipEnd::registry_restored, member}),
              "warning: fleet_membership_lost reason=registry_restored member=g1\n");
    EXPECT_EQ(logged(JoinRefused{JoinRefusal::name_in_use, member, ""}),
              "warning: fleet_join_refused reason=name_in_use member=g1\n");
    EXPECT_EQ(logged(JoinRefused{JoinRefusal::shared_config_differs, member, "{}"}),
              "warning: fleet_join_refused reason=shared_config_differs member=g1 registry_config={}\n");
    EXPECT_EQ(logged(JoinRefused{JoinRefusal::roster_unreadable, member, ""}),
              "warning: fleet_join_refused reason=roster_unreadable member=g1\n");
    EXPECT_EQ(logged(FencingTokenRegressed{duty, FencingToken{7}, FencingToken{40}}),
              "warning: fleet_fencing_token_regressed duty=sweep recorded_token=7 highest_token=40\n");
    EXPECT_EQ(logged(DutyRecordUnreadable{duty}), "warning: fleet_duty_record_unreadable duty=sweep\n");
    EXPECT_EQ(logged(DutyLimitExceeded{4096}), "warning: fleet_duty_limit_exceeded limit=4096\n");
    EXPECT_EQ(logged(RegistryConnectionChanged{false}), "warning: fleet_registry_disconnected\n");
    EXPECT_EQ(logged(RegistryWatchWarning{registry::WatchWarningKind::history_diverged, "", ""}),
              "warning: fleet_registry_watch_warning reason=registry_history_diverged failure= detail=\n");
    EXPECT_EQ(logged(RegistryWatchWarning{registry::WatchWarningKind::request_failed, "connection_lost", ""}),
              "warning: fleet_registry_watch_warning reason=registry_request_failed failure=connection_lost "
              "detail=\n");
    EXPECT_EQ(logged(TokenStoreFailed{TokenStoreOperation::write, "write_failed", "/store: full"}),
              "warning: fleet_token_store_failed operation=write reason=write_failed detail=/store: full\n");
}

// Events that need no operator's action must be logged with level info.
TEST(FleetEvents, EventsThatNeedNoActionAreLoggedAtLevelInfo) {
    EXPECT_EQ(logged(LeaseStateChanged{DutyName{"sweep"}, LeaseState::expiring, FencingToken{5}}),
              "info: fleet_lease_changed duty=sweep state=expiring token=5\n");
    EXPECT_EQ(logged(MembershipEnded{MembershipEnd::left, MemberName{"g1"}}), "info: fleet_left member=g1\n");
    EXPECT_EQ(logged(RegistryConnectionChanged{true}), "info: fleet_registry_connected\n");
}

}  // namespace
}  // namespace irismux::fleet
