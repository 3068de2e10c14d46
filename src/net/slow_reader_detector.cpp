#include "net/slow_reader_detector.hpp"

#include <algorithm>
#include <utility>

namespace irismux {

void SlowReaderDetector::sample(const std::vector<PendingOutput>& outputs, TimePoint now) {
    if (now - sampled_at_ > max_sample_interval) resumed_at_ = now;
    sampled_at_ = now;
    const auto earlier = std::exchange(measurements_, {});
    for (const PendingOutput& output : outputs) {
        if (!output.blocked_from) continue;
        Measurement measurement = begin(output);
        const auto known = earlier.find(output.connection);
        if (known != earlier.end() && known->second.from.at >= measurement.from.at)
            measurement = known->second;
        if (now - measurement.next.at >= min_measured_time)
            measurement = {.from = measurement.next, .next = {output.written_bytes, now}};
        measurements_.emplace(output.connection, measurement);
    }
}

// Begins a measurement when the socket became blocked, or when the process went on after it had stood still.
SlowReaderDetector::Measurement SlowReaderDetector::begin(const PendingOutput& output) const {
    if (output.blocked_from->at >= resumed_at_) return {*output.blocked_from, *output.blocked_from};
    const WriteProgress resumed{output.written_bytes, resumed_at_};
    return {resumed, resumed};
}

bool SlowReaderDetector::is_slow(const PendingOutput& output, TimePoint now) const {
    const auto it = measurements_.find(output.connection);
    if (it == measurements_.end()) return false;
    if (now - std::max(output.blocked_since, resumed_at_) > max_read_time_) return true;
    const WriteProgress& from = it->second.from;
    const Duration measured = now - from.at;
    if (measured < min_measured_time) return false;
    const auto written = static_cast<double>(output.written_bytes - from.written_bytes);
    const auto unsent = static_cast<double>(output.unsent_bytes);
    return written * max_read_time_.seconds() < unsent * measured.seconds();
}

}  // namespace irismux
