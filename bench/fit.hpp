// Least-squares fits of measured values against a size, and the range of sizes in which the fits may be used.
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

/// value = intercept + slope * size, fitted by least squares, with a test for a quadratic term.
struct Fit {
    double intercept = 0;
    double slope = 0;
    double slope_error = 0;      // standard error
    double quadratic = 0;        // c of a + b n + c n^2, fitted to the same points
    double quadratic_error = 0;  // standard error
    double quadratic_t = 0;      // quadratic / quadratic_error; 0 without degrees of freedom
    double quadratic_share = 0;  // share of c n^2 in the parabola's value at the largest size
    double parabola_intercept = 0, parabola_slope = 0;  // a and b of the same parabola
    std::size_t freedom = 0;                            // degrees of freedom of the test for a quadratic term
    // True if the quadratic term exceeds the two-sided 5% bound and makes up a tenth or more of the value at
    // the largest size. Without the second condition a negligible term would count whenever the points lie
    // close to a line.
    bool bends = false;
    double smallest = 0, largest = 0;  // range of the fitted sizes
    std::vector<double> residuals;     // residuals of the line, in the order of the points

    double line(double size) const { return intercept + slope * size; }
    double parabola(double size) const {
        return parabola_intercept + (parabola_slope + quadratic * size) * size;
    }
};

/// Fits a line to the points and tests for a quadratic term. The line needs two different sizes, the test
/// needs four points with three different sizes. Fields that can't be fitted stay 0.
Fit fit(const std::vector<Point>& points);

/// Estimates the value at a size:
/// - If values were measured at this size, returns their mean.
/// - Otherwise, if Fit::bends is false for the points, returns the value of the fitted line.
/// - Otherwise, interpolates between the two neighbouring measured sizes. Beyond the largest measured size,
///   returns the value of the fitted line or of the fitted parabola, whichever is higher. Below the smallest
///   measured size, returns the value of the parabola.
double value_at(const std::vector<Point>& points, double size);

/// Returns the two-sided 5% bound of Student's t for this number of degrees of freedom.
double t_bound(std::size_t freedom);

/// Beyond this multiple of the largest measured size, an estimate counts as an extrapolation.
constexpr double farthest_carried = 4;

/// Returns whether an estimate at `size` has to be marked as an extrapolation.
bool extrapolated(double size, double largest_measured);

}  // namespace irismux::bench
