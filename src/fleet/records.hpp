/// The records that a fleet keeps in its registry, all under one prefix:
///
///   about          the shared configuration; a member whose own differs stays out
///   member/NAME    the living instance of that name: written at its join, removed at its leave or eviction,
///                  and rewritten only to publish refused tokens and ejected caches
///   beat/NAME      its last heartbeat; no two heartbeats ever written are equal
///   duty/NAME      the owner of a duty and its fencing token; an empty owner: the duty was given up
///   floor          the highest token of any removed duty record; a duty without a record starts above it
///   aside/DUTY     an operator's release: that instance is to leave the duty to others
///   swept          the progress of the garbage collector
///   seen/CACHE     the result of the last health check of that cache
///
/// Values are JSON objects; a value that can't be parsed is treated as absent. Pure functions of bytes.
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
/// Number of a member's join. Higher at each join of that name, and above the registry's revision at that
/// time.
using Incarnation = Id<struct IncarnationTag, std::int64_t>;
/// Drawn at random once a process, to tell apart instances of one name.
using InstanceId = Id<struct InstanceIdTag, std::string>;
/// Rises with each owner of a duty; zero: none. Writes and orders under a lower one are refused.
using FencingToken = Id<struct FencingTokenTag, std::int64_t>;
/// Rises with each heartbeat of one instance.
using HeartbeatNumber = Id<struct HeartbeatNumberTag, std::int64_t>;
/// A record's key, behind the fleet's prefix.
using Key = Id<struct FleetKeyTag, std::string>;

/// Settings that must be equal at all members, since the safety of each rests on the others' keeping them.
struct SharedConfig {
    std::string installation;
    /// For so long, less the drift, a heartbeat lets its sender act.
    Duration term = Duration::micros(12'000'000);
    /// Largest error of a clock's rate, either way; at most 0.5.
    double drift = 0.01;
    bool operator==(const SharedConfig&) const = default;
};

/// In a member's record; further ones, by duty's name, wait.
constexpr std::size_t max_published_refusals = 16;
/// In a member's record; further ones are not published.
constexpr std::size_t max_published_ejections = 64;

/// One living member.
struct MemberRecord {
    Incarnation incarnation;
    InstanceId instance_id;
    std::string version;  ///< of the program
    /// Tokens seen that are above that of the duty's record.
    std::map<DutyName, FencingToken> refused_tokens;
    /// Caches that it does not use because they do not answer.
    std::set<CacheId> ejected_caches = {};
};

/// A member's last heartbeat.
struct HeartbeatRecord {
    Incarnation incarnation;
    InstanceId instance_id;
    HeartbeatNumber number;
};

/// The owner of a duty.
struct DutyRecord {
    FencingToken token;
    MemberName owner;         ///< empty: given up
    Incarnation incarnation;  ///< of the owner
};

/// One instance of a member, as others refer to it.
struct Instance {
    MemberName name;
    Incarnation incarnation;
    bool operator==(const Instance&) const = default;
};

/// The outcome of the last health checks of a cache, written by the owner of its duty.
struct HealthRecord {
    FencingToken token;
    Instance owner;
    bool healthy = false;     ///< the last check was answered
    std::int64_t streak = 0;  ///< consecutive checks with that outcome
};

/// How far the garbage collector has come, for the next owner of its duty to continue.
struct CollectionProgress {
    FencingToken token;
    Instance owner;
    std::int64_t pass = 0;             ///< passes begun, by all owners together
    std::int64_t removed_records = 0;  ///< records removed, by all owners together
    std::string last_key;              ///< last key handled in this pass; empty: at the pass's start
};

// --- keys

Key shared_config_key();
Key floor_key();
Key collection_progress_key();
Key member_key(const MemberName&);
Key heartbeat_key(const MemberName&);
Key duty_key(const DutyName&);
Key release_key(const DutyName&);
Key health_record_key(const CacheId&);

/// What a key refers to; none if it is of another sort.
std::optional<MemberName> member_of(const Key&);
std::optional<MemberName> heartbeat_owner(const Key&);
std::optional<DutyName> duty_of(const Key&);
std::optional<DutyName> released_duty_of(const Key&);
std::optional<CacheId> health_record_cache(const Key&);

/// The health checks of one cache are a duty of their own.
DutyName health_check_duty(const CacheId&);
std::optional<CacheId> health_check_cache(const DutyName&);

// --- values

std::string serialize(const SharedConfig&);
std::string serialize(const MemberRecord&);
std::string serialize(const HeartbeatRecord&);
std::string serialize(const DutyRecord&);
std::string serialize(const Instance&);
std::string serialize(const HealthRecord&);
std::string serialize(const CollectionProgress&);
std::string serialize_floor(FencingToken);
/// None: it can't be parsed.
std::optional<MemberRecord> parse_member(std::string_view);
std::optional<HeartbeatRecord> parse_heartbeat(std::string_view);
std::optional<DutyRecord> parse_duty(std::string_view);
std::optional<Instance> parse_release(std::string_view);
std::optional<HealthRecord> parse_health_record(std::string_view);
std::optional<CollectionProgress> parse_collection_progress(std::string_view);
FencingToken parse_floor(std::string_view);  ///< zero: it can't be parsed

}  // namespace irismux::fleet
