#include "testing/soak_script.hpp"

#include <sstream>

namespace irismux::test_support {

SoakScript SoakScript::draw(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&](int least, int most) {
        return least + static_cast<int>(random() % static_cast<std::uint64_t>(most - least + 1));
    };
    const auto one_in = [&](int n) { return pick(1, n) == 1; };
    SoakScript s;
    s.caches = static_cast<std::size_t>(pick(2, 4));
    s.deadline_s = pick(5, 30) / 10.0;
    s.good = pick(2, 5);
    s.impatient = pick(0, 2);
    s.repeating = pick(0, 3);
    s.garbling = pick(0, 2);
    s.idle_connections = one_in(3) ? pick(40, 200) : 0;
    s.misbehaving = pick(0, 40);
    s.calls_fail_one_in = one_in(2) ? static_cast<std::uint32_t>(pick(20, 200)) : 0;
    constexpr std::int64_t steps_us[] = {0, 0, 3'000'000, -3'000'000, 3'600'000'000, -3'600'000'000};
    s.clock_step_us = steps_us[pick(0, 5)];
    s.clock_off_from_start = one_in(2);
    s.board_falls_silent = one_in(3);
    s.board_breaks = one_in(3);
    s.caches_drain = one_in(2);
    s.hangs_at_end = one_in(2);
    s.reloads = pick(0, 3);
    s.further_signals = pick(0, 3);
    s.bursts = one_in(2);
    s.cache_falls_silent = one_in(3);
    s.sends_fail = one_in(3);
    return s;
}

std::string SoakScript::text() const {
    std::ostringstream out;
    out << caches << " caches, deadline " << deadline_s << " s, clients " << good << '+' << impatient << '+'
        << repeating << '+' << garbling << ", crowd " << idle_connections << ", misbehaving " << misbehaving
        << "%, calls 1/" << calls_fail_one_in << ", clock " << clock_step_us / 1'000'000 << " s"
        << (clock_off_from_start ? " from start" : "") << (board_falls_silent ? ", board silent" : "")
        << (board_breaks ? ", board breaks" : "") << (caches_drain ? ", drains" : "")
        << (hangs_at_end ? ", hangs at end" : "") << ", SIGHUP " << reloads << ", further signals "
        << further_signals << (bursts ? ", bursts" : "") << (cache_falls_silent ? ", cache silent" : "")
        << (sends_fail ? ", sends fail" : "");
    return out.str();
}

}  // namespace irismux::test_support
