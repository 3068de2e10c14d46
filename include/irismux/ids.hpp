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
using LookupId = Id<struct LookupTag, std::uint64_t>;
using RequestId = Id<struct RequestTag, std::string>;
using CacheId = Id<struct CacheTag, std::string>;  // an edge cache, a parent or the origin
using ObjectName = Id<struct ObjectTag, std::string>;
using LocationId = Id<struct LocationTag, std::string>;
using MachineId = Id<struct MachineTag, std::string>;  // a model of machine
using GroupNo = Id<struct GroupTag, std::int64_t>;     // objects that can be purged together
using CellNo = Id<struct CellTag, std::int64_t>;       // caches that drop each other's repeats
using KindNo = Id<struct KindTag, std::size_t>;        // place of an object kind in the deployment
using SendNo = Id<struct SendTag, std::size_t>;        // counted from 0 within a lookup
using AlarmNo = Id<struct AlarmTag, std::uint64_t>;

}  // namespace irismux
