// Records of a key-value registry, and how the registry numbers its changes.
//
// Source: the published interface of etcd 3 (KV and Watch services): one revision for the whole store, raised
// by each transaction; every record carries the revision at which it was created and the revision at which it
// was last changed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "irismux/ids.hpp"

namespace irismux::registry {

using Revision = Id<struct RevisionTag, std::int64_t>;   ///< zero: none
using ClusterId = Id<struct ClusterTag, std::string>;    ///< empty: unknown
using MemberIndex = Id<struct MemberTag, std::size_t>;   ///< position of a registry member in the settings
using RecordKey = Id<struct RecordKeyTag, std::string>;  ///< the key without the prefix

struct Record {
    RecordKey key;
    std::string value;
    Revision created, modified;
};

/// The state of a record after one transaction, or its deletion.
struct Change {
    /// For a deletion only `key` and `modified` are set, and `modified` is the revision of the deletion.
    Record record;
    bool deleted = false;
};

/// The cluster that a reply comes from, and the newest revision that the sender of the reply has.
struct ReplyHeader {
    ClusterId cluster;
    Revision revision;
};

/// One reply of a full read, with a part of the records.
struct Page {
    ReplyHeader header;
    std::vector<Record> records;  ///< in ascending order of keys
    bool more = false;            ///< more records follow the last one
};

}  // namespace irismux::registry
