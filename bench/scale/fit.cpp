#include "bench/scale/fit.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace irismux::scale {
namespace {

constexpr double least_part = 0.1;

// Student's t, 97.5%, by degrees of freedom from one.
constexpr std::array<double, 10> student = {12.706, 4.303, 3.182, 2.776, 2.571,
                                            2.447,  2.365, 2.306, 2.262, 2.228};

using Matrix = std::vector<std::vector<double>>;

// By Gauss and Jordan with pivots; the matrix is small and symmetric.
Matrix inverse(Matrix m) {
    const std::size_t size = m.size();
    for (std::size_t r = 0; r < size; ++r) {
        m[r].resize(2 * size, 0);
        m[r][size + r] = 1;
    }
    for (std::size_t column = 0; column < size; ++column) {
        std::size_t pivot = column;
        for (std::size_t r = column; r < size; ++r)
            if (std::abs(m[r][column]) > std::abs(m[pivot][column])) pivot = r;
        std::swap(m[column], m[pivot]);
        const double by = m[column][column];
        if (by == 0) return {};
        for (double& x : m[column]) x /= by;
        for (std::size_t r = 0; r < size; ++r) {
            if (r == column) continue;
            const double times = m[r][column];
            for (std::size_t c = 0; c < 2 * size; ++c) m[r][c] -= times * m[column][c];
        }
    }
    for (auto& row : m) row.erase(row.begin(), row.begin() + static_cast<std::ptrdiff_t>(size));
    return m;
}

}  // namespace

double Fit::at(double n) const {
    double sum = 0, power = 1;
    for (const double c : coefficients) {
        sum += c * power;
        power *= n;
    }
    return sum;
}

Fit fit(const std::vector<Point>& points, std::size_t degree) {
    const std::size_t terms = degree + 1;
    if (points.size() < terms) return {};
    // In units of the largest size, so that the powers stay comparable.
    double largest = 0;
    for (const Point& p : points) largest = std::max(largest, p.n);
    Matrix normal(terms, std::vector<double>(terms, 0));
    std::vector<double> right(terms, 0);
    for (const Point& p : points)
        for (std::size_t r = 0; r < terms; ++r) {
            for (std::size_t c = 0; c < terms; ++c)
                normal[r][c] += std::pow(p.n / largest, static_cast<double>(r + c));
            right[r] += p.value * std::pow(p.n / largest, static_cast<double>(r));
        }
    const Matrix inverted = inverse(normal);
    if (inverted.empty()) return {};
    Fit result;
    for (std::size_t r = 0; r < terms; ++r) {
        double sum = 0;
        for (std::size_t c = 0; c < terms; ++c) sum += inverted[r][c] * right[c];
        result.coefficients.push_back(sum / std::pow(largest, static_cast<double>(r)));
    }
    double squares = 0;
    for (const Point& p : points) {
        result.residuals.push_back(p.value - result.at(p.n));
        squares += result.residuals.back() * result.residuals.back();
    }
    const std::size_t freedom = points.size() - terms;
    const double variance = freedom > 0 ? squares / static_cast<double>(freedom) : 0;
    for (std::size_t r = 0; r < terms; ++r)
        result.errors.push_back(std::sqrt(variance * inverted[r][r]) /
                                std::pow(largest, static_cast<double>(r)));
    return result;
}

QuadraticTest test_quadratic(const std::vector<Point>& points) {
    QuadraticTest test;
    test.linear = fit(points, 1);
    test.quadratic = fit(points, 2);
    constexpr std::size_t terms = 3;
    if (points.size() <= terms || test.quadratic.coefficients.size() != terms) return test;
    test.tested = true;
    test.critical = student[std::min(points.size() - terms, student.size()) - 1];
    const double c = test.quadratic.coefficients[2], error = test.quadratic.errors[2];
    // Points on the curve itself leave no error to measure by.
    test.t = error > 0 ? c / error : (c == 0 ? 0 : std::copysign(1e9, c));
    double largest = 0;
    for (const Point& p : points) largest = std::max(largest, p.n);
    const double value = test.quadratic.at(largest);
    test.part_at_largest = value != 0 ? c * largest * largest / value : 0;
    return test;
}

bool QuadraticTest::quadratic_term() const { return tested && t > critical && part_at_largest >= least_part; }

}  // namespace irismux::scale
