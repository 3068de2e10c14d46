// Maps the simulator's names of requests to the router's request ids.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "irismux/ids.hpp"

namespace irismux::sim {

/// A name is removed once the request of this name has its final response and none of its attempts is in
/// flight. After the removal find() returns std::nullopt for the name, and a new request may use the name
/// again.
class RequestNames {
public:
    /// Adds a request and returns its id. find() no longer returns an earlier request of the same name.
    [[nodiscard]] RequestId add(const std::string& name) {
        const RequestId id{++last_id_};
        by_name_[name] = id;
        requests_[id] = {name};
        return id;
    }
    [[nodiscard]] std::optional<RequestId> find(const std::string& name) const {
        const auto it = by_name_.find(name);
        return it == by_name_.end() ? std::nullopt : std::optional(it->second);
    }
    [[nodiscard]] const std::string& name_of(RequestId id) const { return requests_.at(id).name; }

    void on_attempt_started(RequestId id) { ++requests_.at(id).attempts_in_flight; }
    void on_attempt_ended(RequestId id) {
        NamedRequest& request = requests_.at(id);
        if (request.attempts_in_flight > 0) --request.attempts_in_flight;
    }
    void on_request_finished(RequestId id) { requests_.at(id).finished = true; }
    void remove_if_finished(RequestId id) {
        const auto it = requests_.find(id);
        if (it == requests_.end() || !it->second.finished || it->second.attempts_in_flight > 0) return;
        const auto named = by_name_.find(it->second.name);
        if (named != by_name_.end() && named->second == id) by_name_.erase(named);
        requests_.erase(it);
    }

private:
    struct NamedRequest {
        std::string name;
        std::size_t attempts_in_flight = 0;
        bool finished = false;
    };
    std::uint64_t last_id_ = 0;
    std::map<std::string, RequestId> by_name_;
    std::map<RequestId, NamedRequest> requests_;
};

}  // namespace irismux::sim
