// Transfer times of objects and kinds, and which objects have been requested of late.
#pragma once

#include <map>
#include <vector>

#include "irismux/deployment.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

/// Times are seconds at the full rate of one transfer.
class ObjectStatistics {
public:
    explicit ObjectStatistics(const Deployment& deployment);

    /// @return the object was requested in this generation or the one before.
    bool record_request(const ObjectName& object, TimePoint now);
    /// The result of an attempt, first part: the mean over requests.
    void record_attempt(const PendingRequest& request, const Attempt& attempt);
    /// Second part: what the result shows of its object and kind.
    void record_result(const PendingRequest& request, const Attempt& attempt, const AttemptResult& result);

    /// From the object's size, else from its shortest transfer, else the mean of its kind.
    [[nodiscard]] double transfer_seconds(const Request& request) const;
    /// The shortest transfer of the object in this generation; 0: none yet.
    [[nodiscard]] double shortest_transfer_seconds(const ObjectName& object) const;
    /// The object's own: from its size, else its shortest transfer; 0: unknown.
    [[nodiscard]] double known_transfer_seconds(const Request& request, const Attempt& attempt) const;
    [[nodiscard]] double mean_transfer_seconds(ObjectKindIndex kind) const {
        return mean_of_kind_[kind.raw()];
    }
    /// Over recent requests of cacheable kinds.
    [[nodiscard]] double mean_transfer_seconds() const { return mean_; }

private:
    [[nodiscard]] bool size_is_known(const Request& request) const {
        return request.size_kb > 0 && transfer_rate_kb_per_s_ > 0;
    }

    double transfer_rate_kb_per_s_;
    std::vector<double> mean_of_kind_;
    double mean_ = 0;
    // Objects of two generations, with their shortest transfer; 0: none yet.
    std::map<ObjectName, double> current_, previous_;
    TimePoint generation_began_at_;
    Duration generation_;
};

}  // namespace irismux::routing
