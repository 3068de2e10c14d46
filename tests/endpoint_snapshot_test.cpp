// The stored endpoint list: read back whole, or refused with a reason.
#include "registry/endpoint_snapshot.hpp"

#include <gtest/gtest.h>

#include "testing/registry_model.hpp"

namespace irismux::registry {
namespace {

using test_support::endpoint_value;

const Duration ms = Duration::micros(1000);

// Given: a snapshot of three records, one of them never readable. When: it is parsed. Then: the two
// readable ones are there; of another owner, too old, from the future, cut or changed in any byte it is
// refused with that reason.
TEST(EndpointSnapshot, IsReadBackWholeOrRefusedWithAReason) {
    const TimePoint then = TimePoint::at_seconds(1000);
    EndpointView view;
    view.replace(Revision{9},
                 {{RecordKey{"c1"}, endpoint_value("c1", "Ready"), Revision{2}, Revision{3}},
                  {RecordKey{"c2"}, "unreadable", Revision{4}, Revision{4}},
                  {RecordKey{"c3"}, endpoint_value("c3", "Terminating"), Revision{5}, Revision{9}}},
                 then);
    const std::string owner = "here /caches/";
    const std::string bytes = serialize_snapshot(view, ClusterId{"77"}, then, owner);
    const auto error_of = [&](const std::string& b, const std::string& reader, TimePoint now) {
        return std::get<SnapshotError>(parse_snapshot(b, reader, now, Duration::seconds(60)));
    };
    const auto good = parse_snapshot(bytes, owner, then + Duration::seconds(59), Duration::seconds(60));
    const auto* snapshot = std::get_if<EndpointSnapshot>(&good);
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot->cluster, ClusterId{"77"});
    EXPECT_EQ(snapshot->revision, Revision{9});
    EXPECT_EQ(snapshot->as_of, then);
    ASSERT_EQ(snapshot->records.size(), 2u) << "one that was never readable is not stored";
    EXPECT_EQ(snapshot->records[1].modified, Revision{9});
    EXPECT_EQ(error_of(bytes, "there /caches/", then), SnapshotError::other_owner);
    EXPECT_EQ(error_of(bytes, owner, then + Duration::seconds(61)), SnapshotError::too_old);
    EXPECT_EQ(error_of(bytes, owner, then - ms), SnapshotError::from_future);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
        EXPECT_EQ(error_of(damaged, owner, then), SnapshotError::checksum_mismatch) << at;
        EXPECT_EQ(error_of(bytes.substr(0, at), owner, then), SnapshotError::checksum_mismatch) << at;
    }
}

}  // namespace
}  // namespace irismux::registry
