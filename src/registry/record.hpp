// What a key-value registry holds and how it numbers it.
//
// Source: the published interface of etcd 3 (KV and Watch services): one revision for the whole store, raised
// by each transaction; every record carries the revision that created it and the one that last changed it.
#pragma once

#include <string>
#include <vector>

#include "irismux/ids.hpp"

namespace irismux::registry {

using Revision = Id<struct RevisionTag, std::int64_t>;   // zero: none
using ClusterId = Id<struct ClusterTag, std::string>;    // empty: not told
using MemberIndex = Id<struct MemberTag, std::size_t>;   // place of a registry's member in the settings
using RecordKey = Id<struct RecordKeyTag, std::string>;  // behind the prefix

struct Record {
    RecordKey key;
    std::string value;
    Revision created, modified;
};

// A record as one transaction left it, or that it took it away.
struct Change {
    Record record;  // deleted: its key, and in `modified` the revision of the deletion
    bool deleted = false;
};

// Where an answer comes from, and the newest revision that its sender has.
struct Origin {
    ClusterId cluster;
    Revision revision;
};

struct Page {
    Origin origin;
    std::vector<Record> records;  // by key, rising
    bool more = false;
};

}  // namespace irismux::registry
