#include "codec/resp.hpp"

#include <charconv>

namespace irismux::resp {
namespace {

// An array of ours has few words, of which one may be a body of the protocol (240,000 bytes at most) and the
// others are short; a longer claim is no message, and nothing is set aside for it.
constexpr long most_words = 8;
constexpr long most_bytes = 240'000;
constexpr std::size_t most_besides = 4'096;
constexpr std::size_t longest_head = 24;

// A line "<mark><number>\r\n".
ParseStatus take_number(std::string_view& s, char mark, long most, long& n) {
    if (s.empty()) return ParseStatus::incomplete;
    if (s[0] != mark) return ParseStatus::invalid;
    const std::size_t end = s.find("\r\n");
    if (end == std::string_view::npos)
        return s.size() > longest_head ? ParseStatus::invalid : ParseStatus::incomplete;
    const auto [p, error] = std::from_chars(s.data() + 1, s.data() + end, n);
    if (error != std::errc{} || p != s.data() + end || n < -1 || n > most) return ParseStatus::invalid;
    s.remove_prefix(end + 2);
    return ParseStatus::complete;
}

}  // namespace

ParseStatus parse_array(std::string_view bytes, Arguments& words, std::size_t& used) {
    words.clear();
    std::string_view s = bytes;
    std::size_t all = 0;
    long count = 0;
    if (const ParseStatus p = take_number(s, '*', most_words, count); p != ParseStatus::complete) return p;
    for (long i = 0; i < count; ++i) {
        long n = 0;
        if (const ParseStatus p = take_number(s, '$', most_bytes, n); p != ParseStatus::complete) return p;
        if (n < 0) {
            words.emplace_back();
            continue;
        }
        const auto length = static_cast<std::size_t>(n);
        all += length;
        if (all > most_bytes + most_besides) return ParseStatus::invalid;
        if (s.size() >= length + 1 && s[length] != '\r') return ParseStatus::invalid;
        if (s.size() < length + 2) return ParseStatus::incomplete;
        if (s[length + 1] != '\n') return ParseStatus::invalid;
        words.push_back(s.substr(0, length));
        s.remove_prefix(length + 2);
    }
    used = bytes.size() - s.size();
    return ParseStatus::complete;
}

void write_array(Buffer& out, std::initializer_list<std::string_view> words) {
    const auto head = [&](std::string_view mark, std::size_t n) {
        out.append(mark);
        out.append(std::to_string(n));
        out.append("\r\n");
    };
    head("*", words.size());
    for (const std::string_view w : words) {
        head("$", w.size());
        out.append(w);
        out.append("\r\n");
    }
}

bool well_formed(std::string_view fields) {
    if (fields == "-") return true;
    while (!fields.empty()) {
        const std::size_t end = std::min(fields.find(','), fields.size());
        const std::size_t is = fields.substr(0, end).find('=');
        if (is == std::string_view::npos || is == 0 || is + 1 == end) return false;
        fields.remove_prefix(std::min(end + 1, fields.size()));
    }
    return true;
}

std::string_view field(std::string_view fields, std::string_view name) {
    while (!fields.empty()) {
        const std::size_t end = std::min(fields.find(','), fields.size());
        const std::string_view one = fields.substr(0, end);
        const std::size_t is = one.find('=');
        if (is != std::string_view::npos && one.substr(0, is) == name) return one.substr(is + 1);
        fields.remove_prefix(std::min(end + 1, fields.size()));
    }
    return {};
}

void put_field(std::string& fields, std::string_view name, std::string_view value) {
    if (!fields.empty()) fields += ',';
    fields.append(name).append("=").append(value);
}

std::string_view or_none(const std::string& fields) {
    return fields.empty() ? std::string_view("-") : std::string_view(fields);
}

}  // namespace irismux::resp
