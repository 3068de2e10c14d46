/// The records that a fleet keeps in its registry, all under one prefix:
///
///   about          the shared configuration; a member with another configuration does not join
///   member/NAME    the live instance of that name: written at its join, removed at its leave or eviction,
///                  and rewritten only to publish refused tokens and ejected caches
///   beat/NAME      the last heartbeat of that instance; no two heartbeats ever written are equal
///   duty/NAME      the owner of a duty and its fencing token; the owner is empty if the duty was given up
///   floor          the highest token of all removed duty records; a new duty record gets a higher token
///   aside/DUTY     an operator's release: the named instance must leave the duty to other members
///   swept          the progress of the garbage collector
///   seen/CACHE     the result of the last health check of that cache
///
/// Values are JSON objects. A value that can't be parsed is treated as absent. All functions of this file are
/// pure functions of bytes.
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
/// Number of a member's join. Each join under a member name gets a higher number than all earlier joins under
/// that name, and a number above the registry's revision at the time of the join.
using Incarnation = Id<struct IncarnationTag, std::int64_t>;
/// Random identifier of a process, which distinguishes instances of one name.
using InstanceId = Id<struct InstanceIdTag, std::string>;
/// Number that increases with each new owner of a duty; zero if the duty has had no owner. Writes and
/// instructions under a lower token are refused.
using FencingToken = Id<struct FencingTokenTag, std::int64_t>;
/// Number of a heartbeat, which increases with each heartbeat of one instance.
using HeartbeatNumber = Id<struct HeartbeatNumberTag, std::int64_t>;
/// A record's key, relative to the fleet's prefix.
using Key = Id<struct FleetKeyTag, std::string>;

/// Settings that must be equal at all members, since the safety of each member depends on all other members
/// using equal settings.
struct SharedConfig {
    std::string installation;
    /// Time for which a heartbeat allows its sender to act. The sender reduces this time by the drift.
    Duration term = Duration::micros(12'000'000);
    /// Largest relative error of a clock's rate in either direction; at most 0.5.
    double drift = 0.01;
    bool operator==(const SharedConfig&) const = default;
};

/// Maximum number of refused tokens in a member's record. While the record has this many tokens, the member
/// also refuses a token of a further duty, but neither stores nor publishes this refusal. Later the member
/// publishes a refusal for the further duty only if two things happen in this order: one of the stored
/// refusals ends, and the duty's record changes to another refused token. A reader ignores the tokens beyond
/// this number, in the order of the duties' names.
constexpr std::size_t max_published_refusals = 16;
/// Maximum number of ejected caches in a member's record. If the member has ejected more caches, it publishes
/// the first ones in the order of their names.
constexpr std::size_t max_published_ejections = 64;

/// One live member.
struct MemberRecord {
    Incarnation incarnation;
    InstanceId instance_id;
    std::string version;  ///< of the program
    /// For each duty whose record this member refuses: the highest token of the duty that this member has
    /// seen. A member refuses a record that has a lower token.
    std::map<DutyName, FencingToken> refused_tokens;
    /// Caches that the member does not use because they do not answer.
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
    MemberName owner;         ///< empty if the duty was given up
    Incarnation incarnation;  ///< of the owner
};

/// The reference to one instance of a member in the records of other members.
struct Instance {
    MemberName name;
    Incarnation incarnation;
    bool operator==(const Instance&) const = default;
};

/// The outcome of the last health checks of a cache, written by the owner of the duty to check this cache.
struct HealthRecord {
    FencingToken token;
    Instance owner;
    bool healthy = false;     ///< the last check was answered
    std::int64_t streak = 0;  ///< number of consecutive checks with that outcome
};

/// The progress of the garbage collector. The next owner of the duty to collect garbage continues from here.
struct CollectionProgress {
    FencingToken token;
    Instance owner;
    std::int64_t pass = 0;             ///< passes begun, by all owners together
    std::int64_t removed_records = 0;  ///< records removed, by all owners together
    std::string last_key;              ///< last key handled in this pass; empty at the start of a pass
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

/// Each function returns the name that the key contains, or std::nullopt if the key is of another kind.
std::optional<MemberName> member_of(const Key&);
std::optional<MemberName> heartbeat_owner(const Key&);
std::optional<DutyName> duty_of(const Key&);
std::optional<DutyName> released_duty_of(const Key&);
std::optional<CacheId> health_record_cache(const Key&);

/// Returns the duty to check the health of this cache. Each cache has its own duty.
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
/// Each function returns std::nullopt if the value can't be parsed.
std::optional<MemberRecord> parse_member(std::string_view);
std::optional<HeartbeatRecord> parse_heartbeat(std::string_view);
std::optional<DutyRecord> parse_duty(std::string_view);
std::optional<Instance> parse_release(std::string_view);
std::optional<HealthRecord> parse_health_record(std::string_view);
std::optional<CollectionProgress> parse_collection_progress(std::string_view);
FencingToken parse_floor(std::string_view);  ///< zero if the value can't be parsed

}  // namespace irismux::fleet
