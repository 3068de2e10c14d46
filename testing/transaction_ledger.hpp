// An in-memory registry that runs an Agent's transactions. It has records, one revision, a history for
// watches, and restores from backups. The simulations use it. FakeRegistry is a fake registry that serves
// sockets.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/agent.hpp"

namespace irismux::test_support {

using fleet::Key;
using fleet::KeyValue;
using fleet::Transaction;
using registry::Revision;

class TransactionLedger {
public:
    using Records = std::map<Key, std::string>;

    explicit TransactionLedger(std::size_t max_history = 2048) : max_history_(max_history) {}

    struct Outcome {
        Revision revision;
        bool succeeded = false;
        std::vector<KeyValue> values;
    };
    Outcome settle(const Transaction& transaction);

    const Records& records() const { return records_; }
    Revision revision() const { return revision_; }
    std::vector<KeyValue> watched_records()
        const;  // all records that a new watch delivers, without heartbeats
    // Returns the changes with revisions in (after, upto] that a watch delivers. A watch delivers either all
    // changes of a revision or none of them.
    std::vector<KeyValue> changes(Revision after, Revision upto) const;
    bool compacted(Revision after) const { return after < oldest_; }
    // Restores the records and the revision of a backup and drops the history.
    void restore(const Records& backup, Revision at);

private:
    std::size_t max_history_;  // number of revisions with changes that are kept
    Records records_;
    Revision revision_{1}, oldest_;
    std::map<Revision, std::vector<KeyValue>> history_;
};

}  // namespace irismux::test_support
