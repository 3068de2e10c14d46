#include "bench/fit.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace irismux::bench {
namespace {

/// Sums over the points, with sizes shifted by their mean and scaled by their spread. Without this scaling
/// the normal equations of a parabola over several decades of sizes are badly conditioned.
struct Scaled {
    explicit Scaled(const std::vector<Point>& points) {
        for (const Point& p : points) mean += p.size / static_cast<double>(points.size());
        for (const Point& p : points) spread = std::max(spread, std::abs(p.size - mean));
    }
    double of(double size) const { return (size - mean) / spread; }

    double mean = 0;
    double spread = 0;
};

constexpr double least_share = 0.1;  // smallest share of the quadratic term for which Fit::bends can be true

using Matrix = std::array<std::array<double, 3>, 3>;

/// Inverts the matrix by Gauss-Jordan elimination with pivoting; returns false if it is singular.
bool invert(Matrix m, Matrix& inverse) {
    constexpr double least_pivot = 1e-12;
    inverse = {{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}};
    for (std::size_t column = 0; column < 3; ++column) {
        std::size_t pivot = column;
        for (std::size_t row = column + 1; row < 3; ++row)
            if (std::abs(m[row][column]) > std::abs(m[pivot][column])) pivot = row;
        if (std::abs(m[pivot][column]) < least_pivot) return false;
        std::swap(m[pivot], m[column]);
        std::swap(inverse[pivot], inverse[column]);
        const double by = m[column][column];
        for (std::size_t k = 0; k < 3; ++k) {
            m[column][k] /= by;
            inverse[column][k] /= by;
        }
        for (std::size_t row = 0; row < 3; ++row) {
            const double factor = row == column ? 0 : m[row][column];
            for (std::size_t k = 0; k < 3; ++k) {
                m[row][k] -= factor * m[column][k];
                inverse[row][k] -= factor * inverse[column][k];
            }
        }
    }
    return true;
}

void fit_line(const std::vector<Point>& points, Fit& f) {
    const auto n = static_cast<double>(points.size());
    double mean_size = 0, mean_value = 0, sizes = 0, products = 0;
    for (const Point& p : points) {
        mean_size += p.size / n;
        mean_value += p.value / n;
    }
    for (const Point& p : points) {
        sizes += (p.size - mean_size) * (p.size - mean_size);
        products += (p.size - mean_size) * (p.value - mean_value);
    }
    f.slope = sizes > 0 ? products / sizes : 0;
    f.intercept = mean_value - f.slope * mean_size;
    double squares = 0;
    for (const Point& p : points) {
        f.residuals.push_back(p.value - f.line(p.size));
        squares += f.residuals.back() * f.residuals.back();
    }
    if (points.size() > 2 && sizes > 0) f.slope_error = std::sqrt(squares / (n - 2) / sizes);
}

void test_parabola(const std::vector<Point>& points, Fit& f) {
    if (points.size() < 4) return;
    const Scaled scaled(points);
    if (scaled.spread == 0) return;
    Matrix normal{}, inverse;
    std::array<double, 3> right{}, coefficient{};
    const auto powers = [&](const Point& p) {
        const double x = scaled.of(p.size);
        return std::array<double, 3>{1, x, x * x};
    };
    for (const Point& p : points) {
        const auto x = powers(p);
        for (std::size_t row = 0; row < 3; ++row) {
            right[row] += x[row] * p.value;
            for (std::size_t k = 0; k < 3; ++k) normal[row][k] += x[row] * x[k];
        }
    }
    if (!invert(normal, inverse)) return;
    for (std::size_t row = 0; row < 3; ++row)
        for (std::size_t k = 0; k < 3; ++k) coefficient[row] += inverse[row][k] * right[k];
    double squares = 0, values = 0;
    for (const Point& p : points) {
        const auto x = powers(p);
        const double off = p.value - coefficient[0] * x[0] - coefficient[1] * x[1] - coefficient[2] * x[2];
        squares += off * off;
        values += p.value * p.value;
    }
    f.freedom = points.size() - 3;
    // Values exactly on the parabola leave only rounding errors, which must not count as scatter.
    const double rounding = values * std::numeric_limits<double>::epsilon();
    const double scatter = std::max(squares, rounding) / static_cast<double>(f.freedom);
    const double scale = scaled.spread * scaled.spread;
    f.quadratic = coefficient[2] / scale;
    f.parabola_slope = coefficient[1] / scaled.spread - 2 * f.quadratic * scaled.mean;
    f.parabola_intercept = coefficient[0] - coefficient[1] * scaled.mean / scaled.spread +
                           f.quadratic * scaled.mean * scaled.mean;
    const double largest = f.parabola(f.largest);
    f.quadratic_share = largest != 0 ? std::abs(f.quadratic * f.largest * f.largest / largest) : 0;
    f.quadratic_error = std::sqrt(scatter * inverse[2][2]) / scale;
    f.quadratic_t = f.quadratic_error > 0 ? f.quadratic / f.quadratic_error : 0;
    f.bends = std::abs(f.quadratic_t) > t_bound(f.freedom) && f.quadratic_share >= least_share;
}

}  // namespace

Fit fit(const std::vector<Point>& points) {
    Fit f;
    if (points.empty()) return f;
    const auto by_size = [](const Point& a, const Point& b) { return a.size < b.size; };
    const auto [least, most] = std::minmax_element(points.begin(), points.end(), by_size);
    f.smallest = least->size;
    f.largest = most->size;
    fit_line(points, f);
    test_parabola(points, f);
    return f;
}

double value_at(const std::vector<Point>& points, double size) {
    double sum = 0;
    std::size_t count = 0;
    for (const Point& p : points) {
        if (p.size != size) continue;
        sum += p.value;
        ++count;
    }
    if (count > 0) return sum / static_cast<double>(count);
    const Fit f = fit(points);
    if (!f.bends) return f.line(size);
    if (size > f.largest) return std::max(f.line(size), f.parabola(size));
    const Point *below = nullptr, *above = nullptr;
    for (const Point& p : points) {
        if (p.size <= size && (!below || p.size > below->size)) below = &p;
        if (p.size >= size && (!above || p.size < above->size)) above = &p;
    }
    if (!below) return f.parabola(size);
    if (above->size == below->size) return below->value;
    return below->value + (above->value - below->value) * (size - below->size) / (above->size - below->size);
}

double t_bound(std::size_t freedom) {
    // Table of Student's t, two-sided 5%. Above 20 degrees of freedom the function returns the value for 20,
    // which is conservative.
    static constexpr std::array<double, 20> bounds = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365,
                                                      2.306,  2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
                                                      2.131,  2.120, 2.110, 2.101, 2.093, 2.086};
    if (freedom == 0) return std::numeric_limits<double>::infinity();
    return bounds[std::min(freedom, bounds.size()) - 1];
}

bool extrapolated(double size, double largest_measured) { return size > farthest_carried * largest_measured; }

}  // namespace irismux::bench
