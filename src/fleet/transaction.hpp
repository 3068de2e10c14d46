/// Transactions on the registry, independent of the registry's protocol.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/records.hpp"

namespace irismux::fleet {

/// A record's value, or std::nullopt if there is no such record.
using RecordValue = std::optional<std::string>;
/// A record's key and value.
using KeyValue = std::pair<Key, RecordValue>;

/// The registry does the writes of a transaction only if all records in `compares` have the given values. The
/// result shows the records in `reads` as they are after the transaction or, if a comparison failed, all
/// records in `compares`.
struct Transaction {
    std::vector<KeyValue> compares;
    std::vector<KeyValue> writes;
    std::vector<Key> reads;
};

/// A write that is committed only while its writer owns a duty and the records in `compares` have the given
/// values.
struct FencedWrite {
    std::vector<KeyValue> compares;
    std::vector<KeyValue> writes;
};

/// `refused` means that a comparison failed or that the member lost the duty before the write was sent.
/// `unknown` means that the write had no reply.
enum class WriteOutcome { written, refused, unknown };

}  // namespace irismux::fleet
