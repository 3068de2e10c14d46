// Least squares of what was measured at several sizes: a + b n, and a + b n + c n^2 with a test of c.
#pragma once

#include <vector>

namespace irismux::scale {

struct Point {
    double n = 0, value = 0;
};

struct Fit {
    std::vector<double> coefficients;  // of n^0, n^1, ...
    std::vector<double> errors;        // standard errors, as many
    std::vector<double> residuals;     // measured less fitted, point by point
    double at(double n) const;
};

// Degree 1 or 2. Nothing where there are not more points than coefficients.
Fit fit(const std::vector<Point>& points, std::size_t degree);

struct QuadraticTest {
    Fit linear, quadratic;
    double t = 0, critical = 0;  // of c over its standard error; beyond it, two-sided, with 95%
    // Of the fitted value at the largest size, the part of c n^2.
    double part_at_largest = 0;
    bool tested = false;  // there were four sizes or more
    // The term is there: beyond the critical value, and a tenth or more of the value at the largest size.
    // Without the second, a term of no weight would count where the points lie close to a line.
    bool quadratic_term() const;
};
QuadraticTest test_quadratic(const std::vector<Point>& points);

}  // namespace irismux::scale
