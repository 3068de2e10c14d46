// Points in time and spans between them: two types that do not mix by accident.
#pragma once

#include <cmath>
#include <compare>
#include <cstdint>

namespace irismux {

class Span {
public:
    constexpr Span() = default;
    static constexpr Span micros(std::int64_t us) { return Span{us}; }
    static Span seconds(double s) { return Span{std::llround(s * 1e6)}; }

    constexpr std::int64_t micros() const { return us_; }
    constexpr double seconds() const { return static_cast<double>(us_) * 1e-6; }

    constexpr auto operator<=>(const Span&) const = default;
    constexpr Span operator+(Span o) const { return Span{us_ + o.us_}; }
    constexpr Span operator-(Span o) const { return Span{us_ - o.us_}; }
    Span operator*(double k) const { return Span{std::llround(static_cast<double>(us_) * k)}; }
    constexpr double operator/(Span o) const { return static_cast<double>(us_) / static_cast<double>(o.us_); }

private:
    constexpr explicit Span(std::int64_t us) : us_(us) {}
    std::int64_t us_ = 0;
};

class Instant {
public:
    constexpr Instant() = default;
    static Instant at_seconds(double s) { return Instant{Span::seconds(s)}; }

    constexpr double seconds() const { return since_zero_.seconds(); }

    constexpr auto operator<=>(const Instant&) const = default;
    constexpr Instant operator+(Span s) const { return Instant{since_zero_ + s}; }
    constexpr Instant operator-(Span s) const { return Instant{since_zero_ - s}; }
    constexpr Span operator-(Instant o) const { return since_zero_ - o.since_zero_; }

private:
    constexpr explicit Instant(Span s) : since_zero_(s) {}
    Span since_zero_;
};

}  // namespace irismux
