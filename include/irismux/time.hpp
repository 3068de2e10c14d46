// Points in time and durations, in whole microseconds. They are distinct types, so that the compiler rejects
// a mix-up.
//
// std::chrono is not used, since the product of a duration and a fraction rounds half away from zero here,
// and decisions depend on this rounding.
#pragma once

#include <cmath>
#include <compare>
#include <cstdint>

namespace irismux {

class Duration {
public:
    constexpr Duration() = default;
    static constexpr Duration micros(std::int64_t us) { return Duration{us}; }
    static Duration seconds(double s) { return Duration{std::llround(s * 1e6)}; }

    constexpr std::int64_t micros() const { return us_; }
    constexpr double seconds() const { return static_cast<double>(us_) * 1e-6; }

    constexpr auto operator<=>(const Duration&) const = default;
    constexpr Duration operator+(Duration o) const { return Duration{us_ + o.us_}; }
    constexpr Duration operator-(Duration o) const { return Duration{us_ - o.us_}; }
    Duration operator*(double k) const { return Duration{std::llround(static_cast<double>(us_) * k)}; }
    /// The ratio of two durations.
    constexpr double operator/(Duration o) const {
        return static_cast<double>(us_) / static_cast<double>(o.us_);
    }

private:
    constexpr explicit Duration(std::int64_t us) : us_(us) {}
    std::int64_t us_ = 0;
};

/// A point in time of a steady clock that is anchored to the Unix clock once, at the start of the process.
class TimePoint {
public:
    constexpr TimePoint() = default;
    static TimePoint at_seconds(double s) { return TimePoint{Duration::seconds(s)}; }

    constexpr double seconds() const { return since_zero_.seconds(); }

    constexpr auto operator<=>(const TimePoint&) const = default;
    constexpr TimePoint operator+(Duration d) const { return TimePoint{since_zero_ + d}; }
    constexpr TimePoint operator-(Duration d) const { return TimePoint{since_zero_ - d}; }
    constexpr Duration operator-(TimePoint o) const { return since_zero_ - o.since_zero_; }

private:
    constexpr explicit TimePoint(Duration d) : since_zero_(d) {}
    Duration since_zero_;
};

}  // namespace irismux
