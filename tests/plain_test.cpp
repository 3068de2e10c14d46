#include <gtest/gtest.h>

#include "irismux/time.hpp"

using namespace irismux;

TEST(Time, SpansAndInstantsAdd) {
    const Instant t = Instant::at_seconds(8.25);
    EXPECT_EQ((t + Span::seconds(0.5)) - t, Span::micros(500'000));
    EXPECT_DOUBLE_EQ(Span::seconds(3) / Span::seconds(2), 1.5);
}
