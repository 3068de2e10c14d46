// Reads the golden files under tests/data, which contain the exact bytes that the program wrote when the
// files were made. A golden file is never edited to make a test pass. If a format is changed on purpose, the
// commit says so, and the program's own writers write the file anew.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace irismux::testing {

inline std::filesystem::path golden_path(const std::string& name) {
    return std::filesystem::path(IRISMUX_ROOT) / "tests" / "data" / name;
}

inline std::string bytes_of_file(const std::filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    EXPECT_TRUE(in.good()) << path << " can't be read";
    return {std::istreambuf_iterator<char>(in), {}};
}

inline std::string golden(const std::string& name) { return bytes_of_file(golden_path(name)); }

// Expects `bytes` to equal the contents of the golden file.
inline void expect_golden(const std::string& name, const std::string& bytes) {
    EXPECT_EQ(bytes, golden(name)) << "the bytes differ from tests/data/" << name;
}

// A list of names with their values. A golden file has one pair per line: "NAME<tab>VALUE".
using NamedValues = std::vector<std::pair<std::string, std::string>>;

inline std::string text_of(const NamedValues& values) {
    std::string text;
    for (const auto& [name, value] : values) text.append(name).append(1, '\t').append(value).append(1, '\n');
    return text;
}

// Returns the value of `name` in a golden file of NamedValues.
inline std::string golden_value(const std::string& file, const std::string& name) {
    const std::string values = '\n' + golden(file), line_start = '\n' + name + '\t';
    const std::size_t at = values.find(line_start);
    EXPECT_NE(at, std::string::npos) << name << " is not in tests/data/" << file;
    if (at == std::string::npos) return {};
    const std::size_t from = at + line_start.size();
    return values.substr(from, values.find('\n', from) - from);
}

// A temporary folder, which is removed on destruction.
class TemporaryFolder {
public:
    TemporaryFolder() {
        if (!::mkdtemp(path_.data())) throw std::runtime_error("cannot create a temporary folder");
    }
    ~TemporaryFolder() {
        std::error_code ignored_error;
        std::filesystem::remove_all(path_, ignored_error);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_ = (std::filesystem::temp_directory_path() / "irismux-golden-XXXXXX").string();
};

}  // namespace irismux::testing
