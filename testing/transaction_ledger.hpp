// A registry as an Agent's transactions see it: records, one revision, a history to watch, and backups
// to go back to. In memory, for models; the stand-in on sockets is lab/registry.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/agent.hpp"

namespace irismux::test_support {

using fleet::Entry;
using fleet::Key;
using fleet::Transaction;
using registry::Revision;

class TransactionLedger {
public:
    using Records = std::map<Key, std::string>;

    explicit TransactionLedger(std::size_t most_history = 2048) : max_history_(most_history) {}

    struct Outcome {
        Revision revision;
        bool succeeded = false;
        std::vector<Entry> values;
    };
    Outcome settle(const Transaction& transaction);

    const Records& records() const { return records_; }
    Revision revision() const { return revision_; }
    std::vector<Entry> watched_records() const;  // what a new watch delivers: no heartbeats
    // Changes that a watch tells, those up to `told` left out; a watch has all of one revision or none.
    std::vector<Entry> changes(Revision told, Revision upto) const;
    bool compacted(Revision told) const { return told < oldest_; }
    // Back to what a backup held.
    void restore(const Records& backup, Revision at);

private:
    std::size_t max_history_;  // changes older than so many revisions are compacted
    Records records_;
    Revision revision_{1}, oldest_;
    std::map<Revision, std::vector<Entry>> history_;
};

}  // namespace irismux::test_support
