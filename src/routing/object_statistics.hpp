// Records the transfer times of objects and kinds, and which objects have been requested recently.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "irismux/deployment.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

/// A transfer time is the time in seconds that a transfer takes if nothing slows it down, that is, at the
/// maximum rate of one transfer (Deployment::transfer_rate_kb_per_s). Objects are recorded by generations,
/// which are periods of a fixed length. Only the current and the previous generation are kept. Clients choose
/// the names of objects, so a generation ends early when it has max_objects objects.
class ObjectStatistics {
public:
    /// Maximum number of objects in a generation, not counting those whose results arrive after it has begun.
    static constexpr std::size_t max_objects = 32'768;

    explicit ObjectStatistics(const Deployment& deployment);

    /// @return true if the object was already requested in the current or the previous generation
    bool record_request(const ObjectName& object, TimePoint now);
    /// Updates the mean transfer time over requests when an attempt has ended. Called before record_result().
    void record_attempt(const PendingRequest& request, const Attempt& attempt);
    /// Updates the transfer times of the object and its kind from the result of an attempt.
    void record_result(const PendingRequest& request, const Attempt& attempt, const AttemptResult& result);

    /// @return transfer time computed from the object's size. If the size is unknown, the result is the
    /// object's shortest transfer time so far or, before its first transfer, the mean transfer time of its
    /// kind.
    [[nodiscard]] double transfer_seconds(const Request& request) const;
    /// @return shortest transfer time of an object that was requested in the current generation; 0: no
    /// transfer yet
    [[nodiscard]] double shortest_transfer_seconds(const ObjectName& object) const;
    /// @return transfer time computed from the object's size. If the size is unknown, the result is the
    /// object's shortest transfer time so far; 0: no transfer yet.
    [[nodiscard]] double known_transfer_seconds(const Request& request, const Attempt& attempt) const;
    [[nodiscard]] double mean_transfer_seconds(ObjectKindIndex kind) const {
        return mean_of_kind_[kind.raw()];
    }
    /// @return mean transfer time over recent requests of cacheable kinds
    [[nodiscard]] double mean_transfer_seconds() const { return mean_; }
    /// @return number of recorded objects
    [[nodiscard]] std::size_t object_count() const { return current_.size() + previous_.size(); }

private:
    [[nodiscard]] bool size_is_known(const Request& request) const {
        return request.size_kb > 0 && transfer_rate_kb_per_s_ > 0;
    }

    double transfer_rate_kb_per_s_;
    std::vector<double> mean_of_kind_;
    double mean_ = 0;
    // Objects of the current and the previous generation, with their shortest transfer time; 0: no transfer
    // yet.
    std::map<ObjectName, double> current_, previous_;
    TimePoint generation_began_at_;
    Duration generation_;
};

}  // namespace irismux::routing
