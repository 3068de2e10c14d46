// A type of its own for each kind of id, so that they cannot be confused.
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

/// A request within one process. A number is never given twice, so that a timer or a late response of a
/// request that is over finds nothing.
using RequestId = Id<struct RequestTag, std::uint64_t>;
/// The client's own name for a request. It is data, logged and passed on to caches; nothing is looked up by
/// it, since clients may use a name again.
using ClientRequestId = Id<struct ClientRequestTag, std::string>;
/// An edge cache, a parent cache or the origin.
using CacheId = Id<struct CacheTag, std::string>;
using ObjectName = Id<struct ObjectTag, std::string>;
using LocationId = Id<struct LocationTag, std::string>;
/// A model of machine; edge caches, parents and the origin are of different types.
using MachineType = Id<struct MachineTypeTag, std::string>;
/// Objects that are purged together.
using PurgeGroupId = Id<struct PurgeGroupTag, std::int64_t>;
/// Caches that drop each other's duplicate requests.
using CellId = Id<struct CellTag, std::int64_t>;
/// Position of an object kind in Deployment::kinds.
using ObjectKindIndex = Id<struct ObjectKindTag, std::size_t>;
/// Position of an attempt within its request, from 0.
using AttemptIndex = Id<struct AttemptTag, std::size_t>;
using TimerId = Id<struct TimerTag, std::uint64_t>;

}  // namespace irismux
