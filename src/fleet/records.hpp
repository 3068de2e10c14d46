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
using StartNo = Id<struct StartTag,
                   std::int64_t>;  // of a name: higher at each join, above the registry's revision by then
using Mark = Id<struct MarkTag, std::string>;       // of one instance, drawn by chance
using EpochNo = Id<struct EpochTag, std::int64_t>;  // of a duty: higher with each owner; zero: none
using BeatNo = Id<struct BeatTag, std::int64_t>;    // of one join, rising
using Key = Id<struct FleetKeyTag, std::string>;    // behind the prefix

// What all members must have in common, since each one's safety rests on the others' keeping it.
struct Articles {
    std::string installation;
    Span term = Span::micros(12'000'000);  // a member acts for so long after a sign of life, less the drift
    double drift = 0.01;                   // how far the rate of a clock may be off, either way; 0.5 at most
    bool operator==(const Articles&) const = default;
};

constexpr std::size_t most_refusals = 16;  // in a member's record; beyond, the lowest names wait
constexpr std::size_t most_marks = 64;     // as above

struct MemberRecord {
    StartNo start;
    Mark mark;
    std::string version;
    std::map<DutyName, EpochNo> refuses;  // epochs that it has seen and that the record of the duty is below
    std::set<CacheId> marks = {};         // caches that it passes over since they do not answer
};
struct BeatRecord {
    StartNo start;
    Mark mark;
    BeatNo beat;
};
struct DutyRecord {
    EpochNo epoch;
    MemberName owner;  // empty: given up
    StartNo start;     // the owner's
};

// One instance of a member, as others name it.
struct Instance {
    MemberName name;
    StartNo start;
    bool operator==(const Instance&) const = default;
};
// What a duty's owner has written of it: under which epoch, and what it says.
struct Finding {
    EpochNo epoch;
    Instance by;
    bool well = false;       // the last look was answered
    std::int64_t looks = 0;  // in a row that ended so
};
// Where the sweeping stands, for whoever goes on with it.
struct CollectionProgress {
    EpochNo epoch;
    Instance by;
    std::int64_t pass = 0, taken = 0;  // passes begun; records taken away, by all owners together
    std::string behind;  // the key that was dealt with last in this pass; empty: it is at its start
};

Key about_key();
Key floor_key();
Key collection_progress_key();
Key key_of_aside(const DutyName&);
Key key_of_finding(const CacheId&);
std::optional<DutyName> aside_of(const Key&);
std::optional<CacheId> finding_of(const Key&);
// The watch over a cache is a duty of its own.
DutyName watch_over(const CacheId&);
std::optional<CacheId> watched_by(const DutyName&);
Key key_of_member(const MemberName&);
Key key_of_beat(const MemberName&);
Key key_of_duty(const DutyName&);
// What a key names, if it is of that sort.
std::optional<MemberName> member_of(const Key&);
std::optional<MemberName> beat_of(const Key&);
std::optional<DutyName> duty_of(const Key&);

std::string write(const Articles&);
std::string write(const MemberRecord&);
std::string write(const BeatRecord&);
std::string write(const DutyRecord&);
std::string write(const Instance&);
std::string write(const Finding&);
std::string write(const CollectionProgress&);
std::string write_floor(EpochNo);
std::optional<MemberRecord> read_member(std::string_view);
std::optional<BeatRecord> read_beat(std::string_view);
std::optional<DutyRecord> read_duty(std::string_view);
std::optional<Instance> read_aside(std::string_view);
std::optional<Finding> read_finding(std::string_view);
std::optional<CollectionProgress> read_collection_progress(std::string_view);
EpochNo read_floor(std::string_view);  // zero: it can't be read

}  // namespace irismux::fleet
