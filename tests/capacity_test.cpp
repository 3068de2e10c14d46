// Fits against curves that are known, and what is marked as an extrapolation.
#include <gtest/gtest.h>

#include "bench/fit.hpp"
#include "bench/results.hpp"

namespace irismux::bench {
namespace {

const std::vector<double> sizes = {20, 60, 180, 570, 1000};

std::vector<Point> points_of(double (*curve)(double)) {
    std::vector<Point> points;
    for (const double n : sizes) points.push_back({n, curve(n)});
    return points;
}

TEST(Fit, FindsALineAndNoBend) {
    const Fit f = fit(points_of([](double n) { return 7 + 0.5 * n; }));
    EXPECT_NEAR(f.intercept, 7, 1e-9);
    EXPECT_NEAR(f.slope, 0.5, 1e-12);
    EXPECT_NEAR(f.slope_error, 0, 1e-9);
    EXPECT_FALSE(f.bends);
    EXPECT_EQ(f.smallest, 20);
    EXPECT_EQ(f.largest, 1000);
    for (const double r : f.residuals) EXPECT_NEAR(r, 0, 1e-9);
}

TEST(Fit, FindsAParabola) {
    const Fit f = fit(points_of([](double n) { return 3 + 2 * n + 0.01 * n * n; }));
    EXPECT_NEAR(f.quadratic, 0.01, 1e-9);
    EXPECT_TRUE(f.bends);
    EXPECT_GT(f.quadratic_t, t_bound(f.freedom));
    EXPECT_EQ(f.freedom, 2u);
}

// The least-squares line of four points, worked out by hand: y = 1.5 + 0.8 x, residuals -0.3 0.9 -0.9 0.3,
// squares 1.8, error of the slope sqrt(1.8 / 2 / 5).
TEST(Fit, AgreesWithOneWorkedOutByHand) {
    const Fit f = fit({{0, 1.2}, {1, 3.2}, {2, 2.2}, {3, 4.2}});
    EXPECT_NEAR(f.intercept, 1.5, 1e-12);
    EXPECT_NEAR(f.slope, 0.8, 1e-12);
    EXPECT_NEAR(f.slope_error, 0.424264, 1e-6);
    EXPECT_NEAR(f.residuals[1], 0.9, 1e-12);
}

// A scatter of one per cent either way about a line is no bend.
TEST(Fit, TakesScatterForNoBend) {
    std::vector<Point> points;
    double sign = 1;
    for (const double n : sizes) {
        points.push_back({n, (10 + n) * (1 + 0.01 * sign)});
        sign = -sign;
    }
    EXPECT_FALSE(fit(points).bends);
}

TEST(Fit, SaysNothingOfWhatCannotBeFitted) {
    EXPECT_EQ(fit({}).slope, 0);
    const Fit one_size = fit({{5, 1}, {5, 2}, {5, 3}, {5, 4}});
    EXPECT_EQ(one_size.slope, 0);
    EXPECT_FALSE(one_size.bends);
    EXPECT_FALSE(fit({{1, 1}, {2, 4}, {3, 9}}).bends) << "three points leave nothing to test with";
}

TEST(Extrapolation, IsMarkedBeyondFourTimesTheLargestSize) {
    EXPECT_FALSE(extrapolated(570, 570));
    EXPECT_FALSE(extrapolated(4000, 1000));
    EXPECT_TRUE(extrapolated(4001, 1000));
}

TEST(Results, AreReadAsTheyWereWritten) {
    Results r{"a title", "command", "machine", "2026-01-02", 7, {}, {}};
    r.series.push_back({"s", "series", "size", "things", "us", {{1, 2}, {2, 4.5}}, "note"});
    r.figures.push_back({"f", "figure", 1.25, "MB", "how"});
    const auto file = std::filesystem::temp_directory_path() / ("results." + std::to_string(::getpid()));
    write_results(r, file);
    const Results read = read_results(file.string() + ".json");
    std::filesystem::remove(file.string() + ".json");
    std::filesystem::remove(file.string() + ".md");
    EXPECT_EQ(to_json(read), to_json(r));
    ASSERT_TRUE(read.find_series("s"));
    EXPECT_FALSE(read.find_series("t"));
    EXPECT_EQ(read.find_figure("f")->value, 1.25);
}

TEST(Results, ShowNumbersShortly) {
    EXPECT_EQ(shown(0), "0");
    EXPECT_EQ(shown(1234567), "1,234,567");
    EXPECT_EQ(shown(-1234), "-1,234");
    EXPECT_EQ(shown(12.345), "12.3");
    EXPECT_EQ(shown(0.01234), "0.012");
    EXPECT_EQ(shown(0.0001), "1.00e-04");
}

}  // namespace
}  // namespace irismux::bench
