// Writes docs/CAPACITY.md from the measured figures and the users' targets.
//
//   capacity [--root FOLDER] [--check]      FOLDER: root of the repository; --check writes nothing and fails
//                                           if the page differs
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bench/capacity_files.hpp"

namespace {

std::string content_of(const std::filesystem::path& file) {
    std::ifstream in(file);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}

}  // namespace

int main(int count, char** words) try {
    std::filesystem::path root = ".";
    bool check = false;
    CLI::App app{"Writes docs/CAPACITY.md from docs/measurements and bench/targets.toml.", "capacity"};
    app.add_option("--root", root, "root folder of the repository")->check(CLI::ExistingDirectory);
    app.add_flag("--check", check,
                 "write nothing; fail if the page differs from the page that the figures give");
    CLI11_PARSE(app, count, words);
    try {
        const std::string page = irismux::bench::capacity_page_of(root);
        const std::filesystem::path file = root / irismux::bench::capacity_page_file;
        if (!check) return std::ofstream(file) << page ? 0 : 1;
        if (content_of(file) == page) return 0;
        std::cerr
            << "capacity: " << file.string()
            << " differs from the page that the figures give; run capacity without --check to write it\n";
    } catch (const std::exception& e) {
        std::cerr << "capacity: " << e.what() << '\n';
    }
    return 1;
} catch (...) {
    return 1;
}
