/// Transactions on the registry, as the fleet's cores ask for them.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/records.hpp"

namespace irismux::fleet {

/// A record's value; none: there is no such record.
using RecordValue = std::optional<std::string>;
using KeyValue = std::pair<Key, RecordValue>;

/// Writes only if all records compared are as given. Its result shows the records in `reads` as they are
/// after it or, where the comparison failed, all those in `compares`.
struct Transaction {
    std::vector<KeyValue> compares;
    std::vector<KeyValue> writes;
    std::vector<Key> reads;
};

/// A write that lands only while its writer owns a duty and the further records compared are as given.
struct FencedWrite {
    std::vector<KeyValue> compares;
    std::vector<KeyValue> writes;
};

/// `refused`: the comparison failed, or the duty was lost before it was sent. `unknown`: there was no answer.
enum class WriteOutcome { written, refused, unknown };

}  // namespace irismux::fleet
