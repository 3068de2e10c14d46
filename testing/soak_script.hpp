// The parameters of a soak test, drawn from the test's seed before the test begins.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace irismux::test_support {

struct SoakScript {
    std::size_t caches = 2;
    double deadline_s = 1;
    int good = 3, impatient = 1, repeating = 1, garbling = 1;  // number of clients by behaviour
    int idle_connections = 0;                                  // opened shortly before SIGTERM
    int misbehaving = 5;  // percentage of attempts that a cache answers late, wrongly or not at all
    std::uint32_t calls_fail_one_in = 0;
    std::int64_t clock_step_us = 0;
    bool clock_off_from_start = false;
    bool board_falls_silent = false, board_breaks = false, caches_drain = false, hangs_at_end = false;
    int reloads = 0;                  // SIGHUPs while the process runs
    int further_signals = 0;          // SIGTERMs and SIGHUPs after the first SIGTERM
    bool bursts = false;              // a client sends 32 requests at once for objects of the maximum size
    bool cache_falls_silent = false;  // and its kernel takes little, while hasty clients go on
    bool sends_fail = false;          // the system has no memory for what is sent to one cache

    static SoakScript draw(std::uint64_t seed);
    std::string text() const;
};

}  // namespace irismux::test_support
