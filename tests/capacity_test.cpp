// Tests that fits of points match known curves, that estimates far beyond the measured sizes are marked, and
// that docs/CAPACITY.md matches the committed figures.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "bench/capacity_files.hpp"
#include "bench/fit.hpp"
#include "bench/results.hpp"

namespace irismux::bench {
namespace {

const std::vector<double> sizes = {20, 60, 180, 570, 1000};

std::vector<Point> points_of(double (*curve)(double)) {
    std::vector<Point> points;
    points.reserve(sizes.size());
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

// Compares the fit of four points with their least-squares line, which was calculated by hand. The line is
// y = 1.5 + 0.8x, the residuals are -0.3 0.9 -0.9 0.3, the sum of squares is 1.8, and the standard error of
// the slope is sqrt(1.8 / 2 / 5).
TEST(Fit, MatchesALineCalculatedByHand) {
    const Fit f = fit({{0, 1.2}, {1, 3.2}, {2, 2.2}, {3, 4.2}});
    EXPECT_NEAR(f.intercept, 1.5, 1e-12);
    EXPECT_NEAR(f.slope, 0.8, 1e-12);
    EXPECT_NEAR(f.slope_error, 0.424264, 1e-6);
    EXPECT_NEAR(f.residuals[1], 0.9, 1e-12);
}

// A scatter of one per cent around a line does not count as a bend.
TEST(Fit, ScatterIsNotABend) {
    std::vector<Point> points;
    double sign = 1;
    for (const double n : sizes) {
        points.push_back({n, (10 + n) * (1 + 0.01 * sign)});
        sign = -sign;
    }
    EXPECT_FALSE(fit(points).bends);
}

TEST(Fit, LeavesZeroWhatCannotBeFitted) {
    EXPECT_EQ(fit({}).slope, 0);
    const Fit one_size = fit({{5, 1}, {5, 2}, {5, 3}, {5, 4}});
    EXPECT_EQ(one_size.slope, 0);
    EXPECT_FALSE(one_size.bends);
    EXPECT_FALSE(fit({{1, 1}, {2, 4}, {3, 9}}).bends)
        << "a bend was found in three points, which leave no degree of freedom to test for one";
}

// A quadratic term that makes up only a small share of the value at the largest size does not count as a
// bend, however close the points lie to the parabola.
TEST(Fit, NegligibleQuadraticTermIsNotABend) {
    const Fit f = fit(points_of([](double n) { return 3 + 2 * n + 1e-5 * n * n; }));
    EXPECT_GT(f.quadratic_t, t_bound(f.freedom));
    EXPECT_NEAR(f.quadratic_share, 10.0 / 2013, 1e-6);
    EXPECT_FALSE(f.bends);
}

TEST(Fit, FollowsTheParabolaBeyondItsPointsAndInterpolatesBetween) {
    const auto points = points_of([](double n) { return 3 + 2 * n + 0.01 * n * n; });
    EXPECT_NEAR(value_at(points, 2000), 3 + 4000 + 40'000, 1e-3);
    EXPECT_NEAR(value_at(points, 60), 3 + 120 + 36, 1e-9)
        << "the value at 60, which is a measured size, is not the measured value";
    EXPECT_NEAR(value_at(points, 120), (159 + 687) / 2.0, 1e-9);
    EXPECT_NEAR(value_at({{1, 2}, {2, 4}, {3, 6}, {4, 8}, {8, 16}}, 100), 200, 1e-9);
}

Results measured_line() {
    Results r{"t", "c", "m", "d", 1, {}, {}};
    r.series.push_back(
        {"s", "series", "gateways", "gateways", "KB", {{10, 10}, {20, 20}, {40, 40}, {100, 100}}, ""});
    return r;
}

TEST(Extrapolation, IsMarkedWhereItIsShown) {
    const Results r = measured_line();
    EXPECT_EQ(estimate(&r, "s", 400).shown_value(), "400 KB");
    EXPECT_EQ(estimate(&r, "s", 401).shown_value(), "401 KB †");
    EXPECT_EQ(estimate(&r, "another", 10).shown_value(), "not measured");
    EXPECT_EQ(estimate(nullptr, "s", 10).shown_value(), "not measured");
}

TEST(Extrapolation, IsMarkedBeyondFourTimesTheLargestSize) {
    EXPECT_FALSE(extrapolated(570, 570));
    EXPECT_FALSE(extrapolated(4000, 1000));
    EXPECT_TRUE(extrapolated(4001, 1000));
}

TEST(Results, SurviveAWriteAndARead) {
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

const std::filesystem::path root = IRISMUX_ROOT;

std::string content_of(const std::filesystem::path& file) {
    std::ifstream in(file);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}

TEST(CapacityPage, MatchesTheCommittedFigures) {
    EXPECT_EQ(content_of(root / capacity_page_file), capacity_page_of(root))
        << "docs/CAPACITY.md differs from the page that the committed figures give; run build/capacity and "
           "commit docs/CAPACITY.md";
}

// Each source file whose path stands in the capacity page must exist.
TEST(CapacityPage, NamesFilesThatExist) {
    const std::string page = capacity_page_of(root);
    std::size_t named = 0;
    for (std::size_t at = page.find("`src/"); at != std::string::npos; at = page.find("`src/", at + 1)) {
        const std::string file = page.substr(at + 1, page.find('`', at + 1) - at - 1);
        EXPECT_TRUE(std::filesystem::exists(root / file)) << file;
        ++named;
    }
    EXPECT_GT(named, 0u);
}

// The capacity page must list a quantity that exceeds its budget as over budget, and a quantity without
// figures as not measured.
TEST(CapacityPage, ListsQuantitiesOverBudget) {
    const Targets targets = read_targets(root / targets_file);
    Results data{"t", "c", "m", "d", 1, {}, {}};
    Series cost{"cpu_us_per_lookup.answer_kb", "", "answer", "KB", "us", {}, ""};
    for (const double kb : {1.0, 16.0, 60.0, 120.0, 240.0}) cost.points.push_back({kb, 10 + 10 * kb});
    data.series.push_back(cost);
    const std::string page = capacity_page(targets, &data, {});
    EXPECT_NE(page.find("- Gateway, data, mean: processor time for lookups: "), std::string::npos);
    EXPECT_NE(page.find("One thread does not carry"), std::string::npos);
    EXPECT_NE(page.find("Not measured: there is no `docs/measurements/scale.json`"), std::string::npos);
    const std::string nothing = capacity_page(targets, nullptr, {});
    EXPECT_NE(nothing.find("No measured row is over its budget."), std::string::npos);
    EXPECT_NE(nothing.find("not measured"), std::string::npos);
}

nlohmann::json run_of(int gateways, double bytes, int reached) {
    const nlohmann::json rate = {{"messages", 2.0},
                                 {"bytes", bytes},
                                 {"worst_second_bytes", bytes * 2},
                                 {"busiest_machine_messages", 100.0},
                                 {"busiest_machine_bytes", 1000.0},
                                 {"busiest_machine_worst_bytes", 2000.0},
                                 {"bytes_by_channel", {{"board", 100.0}, {"fleet", bytes - 100}}},
                                 {"messages_by_channel", {{"board", 1.0}, {"fleet", 1.0}}}};
    const nlohmann::json event = {
        {"event", "rest"},
        {"hollow", rate},
        {"processor_a_gateway", 0.001},
        {"memory_a_gateway", 2e6},
        {"processor_by_role", {{"board", 0.1}, {"registry", 0.2}}},
        {"in_force",
         {{"list",
           {{"of", gateways}, {"reached", reached}, {"median_s", 0.1}, {"p99_s", 0.2}, {"last_s", 0.3}}}}}};
    return {{"gateways", gateways},
            {"real_gateways", 0},
            {"term", "12s"},
            {"fleet_lines", {}},
            {"events", {event}}};
}

// The capacity page must show a cost that grows with the square of the fleet's size as a bend, and must list
// it as over its budget. In the test's figures every gateway sends records to every other gateway, so that
// the traffic of each gateway exceeds 15 KB a second long before 570 gateways.
TEST(CapacityPage, ReadsControlFiguresAndFindsTheQuadraticTerm) {
    nlohmann::json all = {{"runs", nlohmann::json::array()}};
    for (const int n : {20, 60, 180, 360, 570})
        all["runs"].push_back(run_of(n, 500 + 0.1 * n * n, n - (n == 360)));
    const auto file = std::filesystem::temp_directory_path() / ("scale." + std::to_string(::getpid()));
    std::ofstream(file) << all;
    const auto variants = read_control_results(file);
    std::filesystem::remove(file);
    ASSERT_EQ(variants.size(), 1u);
    EXPECT_EQ(variants[0].name, "term 12s");
    EXPECT_TRUE(fit(variants[0].results.find_series("gateway.kb_per_s.rest")->points).bends);
    ASSERT_EQ(variants[0].incomplete.size(), 1u);
    EXPECT_EQ(variants[0].incomplete[0], "rest, list: 359 of 360 at 360 gateways");
    const std::string page = capacity_page(read_targets(root / targets_file), nullptr, variants);
    EXPECT_NE(page.find("KB a second at the mean: 2.20 times its budget"), std::string::npos) << page;
    EXPECT_NE(page.find("bends, t "), std::string::npos);
    EXPECT_TRUE(read_control_results(file).empty()) << "figures were read from a file that does not exist";
}

TEST(Targets, NameTheMissingFigure) {
    const auto file = std::filesystem::temp_directory_path() / ("targets." + std::to_string(::getpid()));
    std::string text = content_of(root / targets_file);
    text.replace(text.find("purges_per_s"), 12, "purges_per_x");
    std::ofstream(file) << text;
    try {
        read_targets(file);
        ADD_FAILURE() << "targets without load.purges_per_s were accepted";
    } catch (const std::runtime_error& e) {
        EXPECT_NE(std::string(e.what()).find("load.purges_per_s has to be a number"), std::string::npos)
            << e.what();
    }
    std::filesystem::remove(file);
}

TEST(Results, ShowNumbersWithThreeDigits) {
    EXPECT_EQ(shown(0), "0");
    EXPECT_EQ(shown(1234567), "1,234,567");
    EXPECT_EQ(shown(-1234), "-1,234");
    EXPECT_EQ(shown(38), "38");
    EXPECT_EQ(shown(12.345), "12.3");
    EXPECT_EQ(shown(0.01234), "0.012");
    EXPECT_EQ(shown(0.0001), "1.00e-04");
}

}  // namespace
}  // namespace irismux::bench
