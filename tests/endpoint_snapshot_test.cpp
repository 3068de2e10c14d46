// Tests that a stored endpoint list is either parsed completely or rejected with a reason.
#include "registry/endpoint_snapshot.hpp"

#include <gtest/gtest.h>

#include "testing/registry_model.hpp"

namespace irismux::registry {
namespace {

using test_support::endpoint_value;

const Duration ms = Duration::micros(1000);

// A gateway must not start from a wrong endpoint list. A snapshot of the list must contain only the records
// that were readable. Parsing must reject a snapshot with the matching reason if the snapshot has another
// owner, is too old, has a time in the future, is truncated, or has any changed byte.
TEST(EndpointSnapshot, IsParsedCompletelyOrRejectedWithAReason) {
    const TimePoint stored_at = TimePoint::at_seconds(1000);
    EndpointView view;
    view.replace(Revision{9},
                 {{RecordKey{"c1"}, endpoint_value("c1", "Ready"), Revision{2}, Revision{3}},
                  {RecordKey{"c2"}, "unreadable", Revision{4}, Revision{4}},
                  {RecordKey{"c3"}, endpoint_value("c3", "Terminating"), Revision{5}, Revision{9}}},
                 stored_at);
    const std::string owner = "here /caches/";
    const std::string bytes = serialize_snapshot(view, ClusterId{"77"}, stored_at, owner);
    const auto error_of = [&](const std::string& snapshot_bytes, const std::string& reader, TimePoint now) {
        return std::get<SnapshotError>(parse_snapshot(snapshot_bytes, reader, now, Duration::seconds(60)));
    };
    const auto parsed =
        parse_snapshot(bytes, owner, stored_at + Duration::seconds(59), Duration::seconds(60));
    const auto* snapshot = std::get_if<EndpointSnapshot>(&parsed);
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot->cluster, ClusterId{"77"});
    EXPECT_EQ(snapshot->revision, Revision{9});
    EXPECT_EQ(snapshot->as_of, stored_at);
    ASSERT_EQ(snapshot->records.size(), 2u)
        << "the snapshot does not hold exactly the two readable records of the three";
    EXPECT_EQ(snapshot->records[1].modified, Revision{9});
    EXPECT_EQ(error_of(bytes, "there /caches/", stored_at), SnapshotError::other_owner);
    EXPECT_EQ(error_of(bytes, owner, stored_at + Duration::seconds(61)), SnapshotError::too_old);
    EXPECT_EQ(error_of(bytes, owner, stored_at - ms), SnapshotError::from_future);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
        EXPECT_EQ(error_of(damaged, owner, stored_at), SnapshotError::checksum_mismatch) << at;
        EXPECT_EQ(error_of(bytes.substr(0, at), owner, stored_at), SnapshotError::checksum_mismatch) << at;
    }
}

}  // namespace
}  // namespace irismux::registry
