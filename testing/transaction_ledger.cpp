#include "testing/transaction_ledger.hpp"

#include <algorithm>

namespace irismux::test_support {
namespace {

bool watched(const Key& key) { return key.raw().rfind("beat/", 0) != 0; }

}  // namespace

TransactionLedger::Outcome TransactionLedger::settle(const Transaction& transaction) {
    const auto value_of = [&](const Key& key) {
        const auto it = records_.find(key);
        return it == records_.end() ? fleet::RecordValue{} : fleet::RecordValue{it->second};
    };
    Outcome outcome;
    outcome.succeeded = std::all_of(transaction.compares.begin(), transaction.compares.end(),
                                    [&](const KeyValue& e) { return value_of(e.first) == e.second; });
    if (outcome.succeeded && !transaction.writes.empty()) {
        revision_ = Revision{revision_.raw() + 1};
        for (const auto& [key, value] : transaction.writes) {
            if (value)
                records_[key] = *value;
            else
                records_.erase(key);
            if (watched(key)) history_[revision_].emplace_back(key, value);
        }
        while (history_.size() > max_history_) {
            oldest_ = history_.begin()->first;
            history_.erase(history_.begin());
        }
    }
    if (!outcome.succeeded)
        for (const KeyValue& e : transaction.compares)
            outcome.values.emplace_back(e.first, value_of(e.first));
    else
        for (const Key& key : transaction.reads) outcome.values.emplace_back(key, value_of(key));
    outcome.revision = revision_;
    return outcome;
}

std::vector<KeyValue> TransactionLedger::watched_records() const {
    std::vector<KeyValue> list;
    for (const auto& [key, value] : records_)
        if (watched(key)) list.emplace_back(key, value);
    return list;
}

std::vector<KeyValue> TransactionLedger::changes(Revision after, Revision upto) const {
    std::vector<KeyValue> list;
    for (auto it = history_.upper_bound(after); it != history_.end() && it->first <= upto; ++it)
        list.insert(list.end(), it->second.begin(), it->second.end());
    return list;
}

void TransactionLedger::restore(const Records& backup, Revision at) {
    records_ = backup;
    revision_ = at;
    history_.clear();
    oldest_ = at;
}

}  // namespace irismux::test_support
