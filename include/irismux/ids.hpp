// A type of its own for each kind of id.
#pragma once

#include <compare>
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

// A lookup's identity within one host, which never gives a number twice: what is left of a lookup that is
// over finds nothing. What its client calls it is a RequestId, and is data: logged and passed on, never
// looked up inside.
using RequestId = Id<struct RequestTag, std::uint64_t>;
using ClientRequestId = Id<struct ClientRequestTag, std::string>;
using CacheId = Id<struct CacheTag, std::string>;  // an edge cache, a parent or the origin
using ObjectName = Id<struct ObjectTag, std::string>;
using LocationId = Id<struct LocationTag, std::string>;
using MachineType = Id<struct MachineTypeTag, std::string>;     // a model of machine
using PurgeGroupId = Id<struct PurgeGroupTag, std::int64_t>;    // objects that can be purged together
using CellId = Id<struct CellTag, std::int64_t>;                // caches that drop each other's repeats
using ObjectKindIndex = Id<struct ObjectKindTag, std::size_t>;  // place of an object kind in the deployment
using AttemptIndex = Id<struct AttemptTag, std::size_t>;        // counted from 0 within a lookup
using TimerId = Id<struct TimerTag, std::uint64_t>;

}  // namespace irismux
