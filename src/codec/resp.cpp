#include "codec/resp.hpp"

#include <algorithm>

#include "codec/parse_number.hpp"

namespace irismux::resp {
namespace {

// These limits bound the memory if a message contains lengths that no valid message has. A valid message has
// few arguments: one argument may be a body, and all other arguments are short.
constexpr long max_arguments = 8;
constexpr long max_body_bytes = 240'000;
constexpr std::size_t max_other_bytes = 4'096;  // maximum size of all other arguments together
constexpr std::size_t max_length_line_bytes = 24;
constexpr std::string_view line_end = "\r\n";
constexpr long null_string = -1;

// Parses a line "<mark><number>\r\n" at the front of `bytes` and removes it.
ParseStatus take_number(std::string_view& bytes, char mark, long max, long& number) {
    if (bytes.empty()) return ParseStatus::incomplete;
    if (bytes[0] != mark) return ParseStatus::invalid;
    const std::size_t end = bytes.find(line_end);
    if (end == std::string_view::npos)
        return bytes.size() > max_length_line_bytes ? ParseStatus::invalid : ParseStatus::incomplete;
    const auto parsed = parse_number<long>(bytes.substr(1, end - 1));
    if (!parsed || *parsed < null_string || *parsed > max) return ParseStatus::invalid;
    number = *parsed;
    bytes.remove_prefix(end + line_end.size());
    return ParseStatus::complete;
}

// Reads a string of `length` bytes and the line end after it, and removes both from `bytes`.
ParseStatus take_string(std::string_view& bytes, std::size_t length, std::string_view& string) {
    if (bytes.size() >= length + 1 && bytes[length] != '\r') return ParseStatus::invalid;
    if (bytes.size() < length + line_end.size()) return ParseStatus::incomplete;
    if (bytes[length + 1] != '\n') return ParseStatus::invalid;
    string = bytes.substr(0, length);
    bytes.remove_prefix(length + line_end.size());
    return ParseStatus::complete;
}

// Returns the first field of the list and removes it from the list.
std::string_view take_field(std::string_view& fields) {
    const std::size_t end = std::min(fields.find(','), fields.size());
    const std::string_view first = fields.substr(0, end);
    fields.remove_prefix(std::min(end + 1, fields.size()));
    return first;
}

}  // namespace

ParseStatus parse_array(std::string_view bytes, Arguments& arguments, std::size_t& used) {
    arguments.clear();
    std::string_view rest = bytes;
    std::size_t total = 0;
    long count = 0;
    ParseStatus status = take_number(rest, '*', max_arguments, count);
    for (long i = 0; i < count && status == ParseStatus::complete; ++i) {
        long length = 0;
        status = take_number(rest, '$', max_body_bytes, length);
        if (status != ParseStatus::complete) return status;
        std::string_view argument;
        if (length != null_string) {
            total += static_cast<std::size_t>(length);
            if (total > max_body_bytes + max_other_bytes) return ParseStatus::invalid;
            status = take_string(rest, static_cast<std::size_t>(length), argument);
            if (status != ParseStatus::complete) return status;
        }
        arguments.push_back(argument);
    }
    if (status == ParseStatus::complete) used = bytes.size() - rest.size();
    return status;
}

void write_array(Buffer& out, std::initializer_list<std::string_view> arguments) {
    const auto write_number = [&out](std::string_view mark, std::size_t number) {
        out.append(mark);
        out.append(std::to_string(number));
        out.append(line_end);
    };
    write_number("*", arguments.size());
    for (const std::string_view argument : arguments) {
        write_number("$", argument.size());
        out.append(argument);
        out.append(line_end);
    }
}

bool well_formed(std::string_view fields) {
    if (fields == "-") return true;
    while (!fields.empty()) {
        const std::string_view first = take_field(fields);
        const std::size_t equals = first.find('=');
        if (equals == std::string_view::npos || equals == 0 || equals + 1 == first.size()) return false;
    }
    return true;
}

std::string_view field(std::string_view fields, std::string_view name) {
    while (!fields.empty()) {
        const std::string_view first = take_field(fields);
        const std::size_t equals = first.find('=');
        if (equals != std::string_view::npos && first.substr(0, equals) == name)
            return first.substr(equals + 1);
    }
    return {};
}

void append_field(std::string& fields, std::string_view name, std::string_view value) {
    if (!fields.empty()) fields += ',';
    fields.append(name).append("=").append(value);
}

std::string_view dash_if_empty(std::string_view fields) {
    return fields.empty() ? std::string_view("-") : fields;
}

}  // namespace irismux::resp
