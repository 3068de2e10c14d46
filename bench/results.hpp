// Measured results as a file: what a measurement writes, and what docs/CAPACITY.md is made from.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bench/fit.hpp"

namespace irismux::bench {

/// A quantity measured at several sizes.
struct Series {
    std::string name;       // unique within the file, e.g. "cpu_us_per_lookup"
    std::string title;      // for readers
    std::string size_name;  // e.g. "listed caches"
    std::string size_unit;  // e.g. "caches"
    std::string unit;       // of the values
    std::vector<Point> points;
    std::string note;  // how it was measured, in a sentence or two
};

/// A quantity measured once, or a bound that was seen to hold.
struct Figure {
    std::string name;
    std::string title;
    double value = 0;
    std::string unit;
    std::string note;
};

struct Results {
    std::string title;
    std::string command;  // that makes this file
    std::string machine;  // cores and memory
    std::string date;     // of the run
    std::uint64_t seed = 0;
    std::vector<Series> series;
    std::vector<Figure> figures;

    const Series* find_series(std::string_view name) const;
    const Figure* find_figure(std::string_view name) const;
};

/// Cores and memory of the machine that this runs on.
std::string this_machine();
/// Today, as YYYY-MM-DD (UTC).
std::string today();

/// With each series goes its fit, so that readers of the file need no other program.
nlohmann::json to_json(const Results& results);
/// Throws std::runtime_error with one line where the file can't be used.
Results read_results(const std::filesystem::path& file);
/// The same as tables in Markdown, residuals among them.
std::string to_markdown(const Results& results);
/// FILE.json and FILE.md.
void write_results(const Results& results, const std::filesystem::path& without_suffix);

/// A number as tables show it: three significant digits, thousands grouped.
std::string shown(double value);

}  // namespace irismux::bench
