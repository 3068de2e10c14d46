// Least-squares fits of measured values against a size, and how far they carry.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace irismux::bench {

/// One measurement: a value at a size.
struct Point {
    double size = 0;
    double value = 0;
};

/// value = intercept + slope * size, fitted by least squares, with the test for a quadratic term beside it.
struct Fit {
    double intercept = 0;
    double slope = 0;
    double slope_error = 0;      // standard error
    double quadratic = 0;        // c of a + b n + c n^2, fitted to the same points
    double quadratic_error = 0;  // standard error
    double quadratic_t = 0;      // quadratic / quadratic_error; 0 where there is no degree of freedom
    double quadratic_share = 0;  // of the parabola's value at the largest size, the part of c n^2
    double parabola_intercept = 0, parabola_slope = 0;  // a and b beside that c
    std::size_t freedom = 0;                            // degrees of freedom of that test
    // The quadratic term is there: beyond the two-sided 5% bound, and a tenth or more of the value at the
    // largest size. Without the second a term of no weight would count where points lie close to a line.
    bool bends = false;
    double smallest = 0, largest = 0;  // sizes that the fit rests on
    std::vector<double> residuals;     // of the line, in the order of the points

    double line(double size) const { return intercept + slope * size; }
    double parabola(double size) const {
        return parabola_intercept + (parabola_slope + quadratic * size) * size;
    }
};

/// Needs two different sizes for the line and four points of three different sizes for the test; what can't
/// be fitted stays 0.
Fit fit(const std::vector<Point>& points);

/// The value at a size: what was measured there (the mean), else by the line; where the points bend, between
/// the two measured sizes around it, and beyond the largest by the line or the parabola, whichever is higher.
double value_at(const std::vector<Point>& points, double size);

/// Two-sided 5% bound of Student's t.
double t_bound(std::size_t freedom);

/// A value beyond this multiple of the largest size measured is no measurement's word any more.
constexpr double farthest_carried = 4;

/// Whether a value at that size has to be marked as an extrapolation.
bool extrapolated(double size, double largest_measured);

}  // namespace irismux::bench
