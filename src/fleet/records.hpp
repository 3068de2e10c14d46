// What the fleet writes into its registry, under one prefix of its own:
//
//   about          the fleet's articles; who reads others than its own stays out
//   member/NAME    one living instance under that name; written when it joins, taken away when it leaves or
//   is
//                  evicted, and written anew only to publish what it refuses
//   beat/NAME      its last sign of life; each differs from all others ever written
//   duty/NAME      who owns a duty under which epoch; nobody: it was given up
//   floor          the highest epoch of any duty whose record has been swept: what has no record begins above
//   it aside/DUTY     an operator's word that one instance is to leave that duty to others swept          how
//   far the sweeping has come seen/CACHE     what the watch over that cache saw last
//
// Values are JSON; a value that can't be read is none. Pure functions of bytes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux::fleet {

using MemberName = Id<struct MemberNameTag, std::string>;
using DutyName = Id<struct DutyNameTag, std::string>;
using Incarnation =
    Id<struct StartTag,
       std::int64_t>;  // of a name: higher at each join, above the registry's revision by then
using InstanceId = Id<struct MarkTag, std::string>;        // of one instance, drawn by chance
using FencingToken = Id<struct EpochTag, std::int64_t>;    // of a duty: higher with each owner; zero: none
using HeartbeatNumber = Id<struct BeatTag, std::int64_t>;  // of one join, rising
using Key = Id<struct FleetKeyTag, std::string>;           // behind the prefix

// What all members must have in common, since each one's safety rests on the others' keeping it.
struct SharedConfig {
    std::string installation;
    Span term = Span::micros(12'000'000);  // a member acts for so long after a sign of life, less the drift
    double drift = 0.01;                   // how far the rate of a clock may be off, either way; 0.5 at most
    bool operator==(const SharedConfig&) const = default;
};

constexpr std::size_t most_refusals = 16;  // in a member's record; beyond, the lowest names wait
constexpr std::size_t most_marks = 64;     // as above

struct MemberRecord {
    Incarnation start;
    InstanceId instance_id;
    std::string version;
    std::map<DutyName, FencingToken>
        refuses;                   // epochs that it has seen and that the record of the duty is below
    std::set<CacheId> marks = {};  // caches that it passes over since they do not answer
};
struct HeartbeatRecord {
    Incarnation start;
    InstanceId instance_id;
    HeartbeatNumber number;
};
struct DutyRecord {
    FencingToken token;
    MemberName owner;   // empty: given up
    Incarnation start;  // the owner's
};

// One instance of a member, as others name it.
struct Instance {
    MemberName name;
    Incarnation start;
    bool operator==(const Instance&) const = default;
};
// What a duty's owner has written of it: under which epoch, and what it says.
struct ProbeResult {
    FencingToken token;
    Instance by;
    bool well = false;        // the last look was answered
    std::int64_t streak = 0;  // in a row that ended so
};
// Where the sweeping stands, for whoever goes on with it.
struct CollectionProgress {
    FencingToken token;
    Instance by;
    std::int64_t pass = 0, taken = 0;  // passes begun; records taken away, by all owners together
    std::string behind;  // the key that was dealt with last in this pass; empty: it is at its start
};

Key shared_config_key();
Key floor_key();
Key collection_progress_key();
Key release_key(const DutyName&);
Key probe_result_key(const CacheId&);
std::optional<DutyName> released_duty_of(const Key&);
std::optional<CacheId> probed_cache_of(const Key&);
// The watch over a cache is a duty of its own.
DutyName health_watch_duty(const CacheId&);
std::optional<CacheId> watched_cache_of(const DutyName&);
Key member_key(const MemberName&);
Key heartbeat_key(const MemberName&);
Key duty_key(const DutyName&);
// What a key names, if it is of that sort.
std::optional<MemberName> member_of(const Key&);
std::optional<MemberName> heartbeat_owner(const Key&);
std::optional<DutyName> duty_of(const Key&);

std::string serialize(const SharedConfig&);
std::string serialize(const MemberRecord&);
std::string serialize(const HeartbeatRecord&);
std::string serialize(const DutyRecord&);
std::string serialize(const Instance&);
std::string serialize(const ProbeResult&);
std::string serialize(const CollectionProgress&);
std::string serialize_floor(FencingToken);
std::optional<MemberRecord> read_member(std::string_view);
std::optional<HeartbeatRecord> read_heartbeat(std::string_view);
std::optional<DutyRecord> read_duty(std::string_view);
std::optional<Instance> read_release(std::string_view);
std::optional<ProbeResult> read_probe_result(std::string_view);
std::optional<CollectionProgress> read_collection_progress(std::string_view);
FencingToken read_floor(std::string_view);  // zero: it can't be read

}  // namespace irismux::fleet
