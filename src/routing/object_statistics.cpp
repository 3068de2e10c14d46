#include "routing/object_statistics.hpp"

#include <algorithm>
#include <utility>

namespace irismux::routing {
namespace {

// Length of a generation, as a multiple of the longest deadline.
constexpr double deadlines_per_generation = 2;
// Each mean covers approximately this many of the latest results.
constexpr double mean_over_results = 256;

}  // namespace

ObjectStatistics::ObjectStatistics(const Deployment& deployment)
    : transfer_rate_kb_per_s_(deployment.transfer_rate_kb_per_s) {
    for (const ObjectKind& kind : deployment.kinds) {
        mean_of_kind_.push_back(kind.latency_objective.seconds());
        generation_ = std::max(generation_, kind.deadline * deadlines_per_generation);
    }
    for (const double mean : mean_of_kind_) mean_ += mean / static_cast<double>(mean_of_kind_.size());
}

bool ObjectStatistics::record_request(const ObjectName& object, TimePoint now) {
    if (now - generation_began_at_ > generation_ || current_.size() >= max_objects) {
        previous_ = std::exchange(current_, {});
        generation_began_at_ = now;
    }
    const auto previous_entry = previous_.find(object);
    const bool was_in_previous = previous_entry != previous_.end();
    const bool inserted = current_.try_emplace(object, was_in_previous ? previous_entry->second : 0).second;
    return !inserted || was_in_previous;
}

void ObjectStatistics::record_attempt(const PendingRequest& request, const Attempt& attempt) {
    if (!request.kind->uncacheable) mean_ += (attempt.transfer_seconds - mean_) / mean_over_results;
}

void ObjectStatistics::record_result(const PendingRequest& request, const Attempt& attempt,
                                     const AttemptResult& result) {
    if (result.outcome != Outcome::completed) return;
    const double elapsed = result.elapsed.seconds();
    const bool hit = result.cache_status == CacheStatus::hit;
    if (hit || result.cache_status == CacheStatus::filled) {
        double& shortest = current_[request.request.object];
        shortest = shortest > 0 ? std::min(shortest, elapsed) : elapsed;
    }
    const bool sized = size_is_known(request.request);
    if (!sized && !hit) return;
    double& mean = mean_of_kind_[request.request.kind.raw()];
    mean += ((sized ? attempt.transfer_seconds : elapsed) - mean) / mean_over_results;
}

// A hit takes at least the object's transfer time, and longer only if the transfer is slowed down. The
// shortest time is therefore the best estimate.
double ObjectStatistics::transfer_seconds(const Request& request) const {
    if (size_is_known(request)) return request.size_kb / transfer_rate_kb_per_s_;
    const double shortest = shortest_transfer_seconds(request.object);
    return shortest > 0 ? shortest : mean_of_kind_[request.kind.raw()];
}

double ObjectStatistics::shortest_transfer_seconds(const ObjectName& object) const {
    const auto entry = current_.find(object);
    return entry == current_.end() ? 0 : entry->second;
}

double ObjectStatistics::known_transfer_seconds(const Request& request, const Attempt& attempt) const {
    return size_is_known(request) ? attempt.transfer_seconds : shortest_transfer_seconds(request.object);
}

}  // namespace irismux::routing
