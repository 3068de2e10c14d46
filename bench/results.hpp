// Result files. The measurement programs write them, and docs/CAPACITY.md is rendered from them.
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
    std::string title;      // title for readers
    std::string size_name;  // e.g. "listed caches"
    std::string size_unit;  // e.g. "caches"
    std::string unit;       // unit of the values
    std::vector<Point> points;
    std::string note;  // how the series was measured, in a sentence or two
};

/// A quantity measured once, or a bound that was observed to hold.
struct Figure {
    std::string name;
    std::string title;
    double value = 0;
    std::string unit;
    std::string note;
};

struct Results {
    std::string title;
    std::string command;  // command that writes this file
    std::string machine;  // cores and memory
    std::string date;     // date of the run
    std::uint64_t seed = 0;
    std::vector<Series> series;
    std::vector<Figure> figures;

    const Series* find_series(std::string_view name) const;
    const Figure* find_figure(std::string_view name) const;
};

/// Describes the cores and memory of this machine.
std::string this_machine();
/// Returns the current date as YYYY-MM-DD (UTC).
std::string today();

/// Converts the results to JSON. The JSON includes the fit of each series, so that readers of the file need
/// no other program.
nlohmann::json to_json(const Results& results);
/// Reads a result file. Throws std::runtime_error with a one-line message if the file is unusable.
Results read_results(const std::filesystem::path& file);
/// Formats the results as Markdown tables, including residuals.
std::string to_markdown(const Results& results);
/// Writes the results to FILE.json and FILE.md, where `without_suffix` is FILE.
void write_results(const Results& results, const std::filesystem::path& without_suffix);

/// Formats a number for tables: three significant digits, thousands grouped.
std::string shown(double value);

}  // namespace irismux::bench
