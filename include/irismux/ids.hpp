// Strong id types. Each kind of id is a distinct type, so that the compiler rejects a mix-up.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace irismux {

template <class Tag, class Rep>
class Id {
public:
    Id() = default;
    explicit Id(Rep raw) : raw_(std::move(raw)) {}
    const Rep& raw() const { return raw_; }
    auto operator<=>(const Id&) const = default;

private:
    Rep raw_{};
};

/// Identifies a request within one process. Numbers are never reused, so that a timer or a late response of a
/// finished request cannot match another request.
using RequestId = Id<struct RequestTag, std::uint64_t>;
/// The id that the client chose for a request. The gateway logs this id and passes it on to caches. Clients
/// may reuse an id, so the id alone does not identify a request.
using ClientRequestId = Id<struct ClientRequestTag, std::string>;
/// Identifies an edge cache, a parent cache or the origin.
using CacheId = Id<struct CacheTag, std::string>;
using ObjectName = Id<struct ObjectTag, std::string>;
using LocationId = Id<struct LocationTag, std::string>;
/// A machine model. Edge caches, parents and the origin have different machine types.
using MachineType = Id<struct MachineTypeTag, std::string>;
/// A group of objects that are purged together.
using PurgeGroupId = Id<struct PurgeGroupTag, std::int64_t>;
/// A group of caches that detect each other's duplicate requests.
using CellId = Id<struct CellTag, std::int64_t>;
/// Position of an object kind in Deployment::kinds.
using ObjectKindIndex = Id<struct ObjectKindTag, std::size_t>;
/// Position of an attempt within its request, counted from 0.
using AttemptIndex = Id<struct AttemptTag, std::size_t>;
using TimerId = Id<struct TimerTag, std::uint64_t>;

}  // namespace irismux
