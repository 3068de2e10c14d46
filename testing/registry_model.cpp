#include "testing/registry_model.hpp"

#include <nlohmann/json.hpp>

namespace irismux::test_support {

Revision RegistryModel::commit(const std::vector<std::pair<RecordKey, std::optional<std::string>>>& writes) {
    const Revision r{newest().raw() + 1};
    State next = states_.rbegin()->second;
    std::vector<Change> made;
    for (const auto& [key, value] : writes) {
        const auto it = next.find(key);
        if (!value) {
            if (it == next.end()) continue;
            next.erase(it);
            made.push_back({{key, "", {}, r}, true});
        } else {
            const Record record{key, *value, it == next.end() ? r : it->second.created, r};
            next[key] = record;
            made.push_back({record, false});
        }
    }
    if (made.empty()) return newest();
    states_[r] = std::move(next);
    history_[r] = std::move(made);
    return r;
}

void RegistryModel::compact(Revision to) {
    states_.erase(states_.begin(), states_.lower_bound(std::min(to, newest())));
    history_.erase(history_.begin(), history_.upper_bound(std::min(to, newest())));
}

void RegistryModel::restore(Revision backup, bool another_cluster) {
    states_.erase(states_.upper_bound(std::max(backup, oldest())), states_.end());
    history_.erase(history_.upper_bound(newest()), history_.end());
    if (another_cluster) cluster_ = ClusterId{std::to_string(std::stoll(cluster_.raw()) + 1)};
}

const RegistryModel::State* RegistryModel::at(Revision r) const {
    const auto it = states_.find(r);
    return it == states_.end() ? nullptr : &it->second;
}

std::optional<std::vector<Change>> RegistryModel::changes(Revision from, Revision upto) const {
    if (from <= oldest() && oldest() > Revision{1}) return std::nullopt;
    std::vector<Change> all;
    for (auto it = history_.lower_bound(from); it != history_.end() && it->first <= upto; ++it)
        all.insert(all.end(), it->second.begin(), it->second.end());
    return all;
}

std::string endpoint_value(const std::string& id, const std::string& state, double weight,
                           std::int64_t started_ms, const std::string& address) {
    nlohmann::json line = {
        {"id", id}, {"state", state}, {"weight", weight}, {"zone", "here"}, {"kind", "edge"}};
    if (started_ms > 0) line["started_ms"] = started_ms;
    if (!address.empty()) line["addr"] = address;
    return line.dump();
}

}  // namespace irismux::test_support
