// A renaming in the source that also changes a name on the wire, in settings or in stored data would break
// other processes and existing data. tests/data/outer_names.txt lists the names that must not change, by
// folder. A test fails if a listed name occurs in no string of its folder's sources.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "golden.hpp"

namespace irismux::testing {
namespace {

using NamesByFolder = std::map<std::string, std::vector<std::string>>;

NamesByFolder read_names() {
    NamesByFolder names;
    std::string folder, line;
    std::istringstream lines(golden("outer_names.txt"));
    while (std::getline(lines, line)) {
        if (line.empty() || line.front() == '#') continue;
        if (line.front() == '[')
            folder = line.substr(1, line.size() - 2);
        else
            names[folder].push_back(line);
    }
    return names;
}

// Returns the contents of all string literals of C++ source text, one a line. Skips comments and #include
// lines.
std::string string_literals(const std::string& source) {
    std::string literals;
    for (std::size_t at = 0; at < source.size(); ++at) {
        if (source.compare(at, 2, "//") == 0 || source.compare(at, 8, "#include") == 0) {
            at = std::min(source.find('\n', at), source.size());
        } else if (source[at] == '\'' && at + 2 < source.size()) {
            // Skips a character literal, which has a closing quote; a digit separator has none.
            const std::size_t length = source[at + 1] == '\\' ? 3 : 2;
            if (at + length < source.size() && source[at + length] == '\'') at += length;
        } else if (source[at] == '"') {
            for (++at; at < source.size() && source[at] != '"'; ++at) {
                const bool escaped = source[at] == '\\' && at + 1 < source.size();
                if (escaped) ++at;
                // Escapes such as \r and \n separate words.
                literals +=
                    escaped && std::isalnum(static_cast<unsigned char>(source[at])) != 0 ? ' ' : source[at];
            }
            literals += '\n';
        }
    }
    return literals;
}

// Returns the string literals of the folder's C++ sources, and the whole text of other files
// (deploy/balancer.toml).
std::string searched_text(const std::string& folder) {
    std::string text;
    for (const auto& file :
         std::filesystem::directory_iterator(std::filesystem::path(IRISMUX_ROOT) / folder)) {
        if (!file.is_regular_file()) continue;
        const std::string extension = file.path().extension().string(), bytes = bytes_of_file(file.path());
        text += extension == ".cpp" || extension == ".hpp" ? string_literals(bytes) : bytes;
    }
    return text;
}

bool is_word_character(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_'; }

// Returns whether the name occurs as a whole word.
bool contains_name(std::string_view text, std::string_view name) {
    for (std::size_t at = text.find(name); at != std::string_view::npos; at = text.find(name, at + 1)) {
        const std::size_t end = at + name.size();
        const bool begins = at == 0 || !is_word_character(name.front()) || !is_word_character(text[at - 1]);
        const bool ends =
            end == text.size() || !is_word_character(name.back()) || !is_word_character(text[end]);
        if (begins && ends) return true;
    }
    return false;
}

TEST(OuterNames, EachListedNameIsInAStringOfItsFolder) {
    const NamesByFolder names = read_names();
    EXPECT_EQ(names.size(), 11U);
    for (const auto& [folder, listed] : names) {
        const std::string text = searched_text(folder);
        for (const std::string& name : listed)
            EXPECT_TRUE(contains_name(text, name)) << name << " is in no string of " << folder;
    }
}

TEST(OuterNames, OnlyWholeWordsInStringsCount) {
    const std::string source =
        "#include \"owner.hpp\"\n// \"comment\"\nconst char c = '\"'; f(1'000, \"a \\\"quoted\\\" word\", "
        "\"site/\", \"\\nHost:\");";
    const std::string literals = string_literals(source);
    EXPECT_EQ(literals, "a \"quoted\" word\nsite/\n Host:\n");
    EXPECT_TRUE(contains_name(literals, "quoted"));
    EXPECT_TRUE(contains_name(literals, "site/"));
    EXPECT_TRUE(contains_name(literals, "Host:"));
    EXPECT_FALSE(contains_name(literals, "wor"));
    EXPECT_FALSE(contains_name(literals, "uoted"));
}

}  // namespace
}  // namespace irismux::testing
