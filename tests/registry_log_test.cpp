// Tests the names in the registry's log events, which docs/operations/registry.md lists.
#include "registry/registry_log.hpp"

#include <gtest/gtest.h>

#include "registry/endpoint_snapshot.hpp"
#include "store/store.hpp"

namespace irismux::registry {
namespace {

// Each kind of warning must be logged as the event that docs/operations/registry.md lists.
TEST(RegistryLog, EachWarningHasItsEvent) {
    using Kind = WatchWarningKind;
    EXPECT_EQ(event_name(Kind::request_failed), "registry_request_failed");
    EXPECT_EQ(event_name(Kind::registry_rolled_back), "registry_rolled_back");
    EXPECT_EQ(event_name(Kind::history_diverged), "registry_history_diverged");
    EXPECT_EQ(event_name(Kind::too_many_records), "registry_list_too_long");
    EXPECT_EQ(event_name(Kind::too_many_pending_changes), "registry_change_too_large");
    EXPECT_EQ(event_name(Kind::doubtful_read_rejected), "registry_list_doubtful");
    EXPECT_EQ(event_name(Kind::doubtful_read_confirmed), "registry_doubtful_list_applied");
}

// Each reason for a failed request must be logged under its own name.
TEST(RegistryLog, EachRequestFailureHasItsReason) {
    using Reason = RequestFailureReason;
    EXPECT_EQ(to_string(Reason::connect_failed), "connect_failed");
    EXPECT_EQ(to_string(Reason::connection_lost), "connection_lost");
    EXPECT_EQ(to_string(Reason::malformed_http), "malformed_http");
    EXPECT_EQ(to_string(Reason::unexpected_data), "unexpected_data");
    EXPECT_EQ(to_string(Reason::reply_too_long), "reply_too_long");
    EXPECT_EQ(to_string(Reason::record_too_long), "record_too_long");
    EXPECT_EQ(to_string(Reason::authentication_failed), "authentication_failed");
    EXPECT_EQ(to_string(Reason::error_reply), "error_reply");
    EXPECT_EQ(to_string(Reason::watch_refused), "watch_refused");
    EXPECT_EQ(to_string(Reason::watch_cancelled), "watch_cancelled");
    EXPECT_EQ(to_string(Reason::watch_ended), "watch_ended");
    EXPECT_EQ(to_string(Reason::empty_page), "empty_page");
    EXPECT_EQ(to_string(Reason::reply_timeout), "reply_timeout");
    EXPECT_EQ(to_string(Reason::watch_timeout), "watch_timeout");
}

// Each sync state, each reason for a rejected snapshot and each error of a store must be logged under its own
// name.
TEST(RegistryLog, StatesAndStorageErrorsHaveTheirNames) {
    EXPECT_EQ(to_string(SyncState::reading), "reading");
    EXPECT_EQ(to_string(SyncState::resuming), "resuming");
    EXPECT_EQ(to_string(SyncState::following), "following");
    EXPECT_EQ(to_string(SyncState::lagging), "lagging");
    EXPECT_EQ(to_string(SyncState::disconnected), "disconnected");
    EXPECT_EQ(to_string(SnapshotError::checksum_mismatch), "checksum_mismatch");
    EXPECT_EQ(to_string(SnapshotError::unsupported_format), "unsupported_format");
    EXPECT_EQ(to_string(SnapshotError::other_owner), "other_owner");
    EXPECT_EQ(to_string(SnapshotError::from_future), "from_future");
    EXPECT_EQ(to_string(SnapshotError::too_old), "too_old");
    EXPECT_EQ(to_string(SnapshotError::malformed), "malformed");
    const auto reason_of = [](StoreError::Code code) { return StoreError{code, {}, {}}.reason(); };
    EXPECT_EQ(reason_of(StoreError::Code::open_failed), "open_failed");
    EXPECT_EQ(reason_of(StoreError::Code::truncated), "truncated");
    EXPECT_EQ(reason_of(StoreError::Code::write_failed), "write_failed");
}

}  // namespace
}  // namespace irismux::registry
