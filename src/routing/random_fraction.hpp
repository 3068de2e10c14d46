// The router's only source of randomness.
#pragma once

#include <cstdint>
#include <random>

namespace irismux::routing {

/// Generates uniform fractions in [0, 1]. Equal seeds give equal sequences, so the number and order of draws
/// are part of the router's behaviour.
class RandomFraction {
public:
    explicit RandomFraction(std::uint64_t seed)
        : engine_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))) {}

    double next() { return static_cast<double>(engine_()) / static_cast<double>(std::ranlux24_base::max()); }

private:
    std::ranlux24_base engine_;
};

}  // namespace irismux::routing
