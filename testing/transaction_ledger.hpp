// A registry as an Agent's transactions see it: records, one revision, a history to watch, and backups
// to go back to. In memory, for models; the stand-in on sockets is lab/registry.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/agent.hpp"

namespace irismux::stand_ins {

using fleet::Key;
using fleet::KeyValue;
using fleet::Transaction;
using registry::Revision;

class TransactionLedger {
public:
    using Records = std::map<Key, std::string>;

    explicit TransactionLedger(std::size_t most_history = 2048) : most_history_(most_history) {}

    struct Outcome {
        Revision at;
        bool held = false;
        std::vector<KeyValue> shown;
    };
    Outcome settle(const Transaction& transaction);

    const Records& records() const { return records_; }
    Revision revision() const { return revision_; }
    std::vector<KeyValue> all() const;  // what a new watch delivers: no heartbeats
    // Changes that a watch tells, those up to `told` left out; a watch has all of one revision or none.
    std::vector<KeyValue> changes(Revision told, Revision upto) const;
    bool forgotten(Revision told) const { return told < oldest_; }
    // Back to what a backup held.
    void restore(const Records& backup, Revision at);

private:
    std::size_t most_history_;  // changes older than so many revisions are compacted
    Records records_;
    Revision revision_{1}, oldest_;
    std::map<Revision, std::vector<KeyValue>> history_;
};

}  // namespace irismux::stand_ins
