#include "codec/fastcgi.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace irismux::fastcgi {
namespace {

constexpr std::uint8_t version = 1;
constexpr std::size_t header_size = 8;
constexpr std::size_t max_content_bytes = 65'535;
constexpr std::size_t padding_unit = 8;

std::size_t byte_at(std::string_view bytes, std::size_t n) { return static_cast<unsigned char>(bytes[n]); }
std::uint16_t uint16_at(std::string_view bytes, std::size_t n) {
    return static_cast<std::uint16_t>(byte_at(bytes, n) << 8 | byte_at(bytes, n + 1));
}
char low_byte(std::size_t value) { return static_cast<char>(value & 0xff); }

// Removes a length from the front of `bytes`. The length takes one byte, or four bytes if the top bit of the
// first byte is set.
// @return std::nullopt if the length is truncated.
std::optional<std::size_t> take_length(std::string_view& bytes) {
    if (bytes.empty()) return std::nullopt;
    std::size_t length = byte_at(bytes, 0);
    std::size_t used = 1;
    if ((length & 0x80) != 0) {
        if (bytes.size() < 4) return std::nullopt;
        length = (length & 0x7f) << 24 | byte_at(bytes, 1) << 16 | byte_at(bytes, 2) << 8 | byte_at(bytes, 3);
        used = 4;
    }
    bytes.remove_prefix(used);
    return length;
}

void put_length(std::string& out, std::size_t length) {
    if (length < 0x80) {
        out += low_byte(length);
        return;
    }
    out += low_byte(length >> 24 | 0x80);
    out += low_byte(length >> 16);
    out += low_byte(length >> 8);
    out += low_byte(length);
}

}  // namespace

ParseStatus parse_record(std::string_view bytes, Record& record, std::size_t& used) {
    if (!bytes.empty() && byte_at(bytes, 0) != version) return ParseStatus::invalid;
    if (bytes.size() < header_size) return ParseStatus::incomplete;
    const std::size_t content = uint16_at(bytes, 4);
    const std::size_t record_size = header_size + content + byte_at(bytes, 6);
    if (bytes.size() < record_size) return ParseStatus::incomplete;
    record = {static_cast<Type>(byte_at(bytes, 1)), uint16_at(bytes, 2), bytes.substr(header_size, content)};
    used = record_size;
    return ParseStatus::complete;
}

std::optional<RecordHeader> parse_header(std::string_view bytes) {
    if (bytes.size() < header_size || byte_at(bytes, 0) != version) return std::nullopt;
    const std::size_t content = uint16_at(bytes, 4);
    return RecordHeader{.type = static_cast<Type>(byte_at(bytes, 1)),
                        .request = uint16_at(bytes, 2),
                        .content_bytes = content,
                        .record_bytes = header_size + content + byte_at(bytes, 6)};
}

ParseStatus parse_begin_request(std::string_view content, BeginRequest& begin) {
    if (content.size() != 8) return ParseStatus::invalid;
    begin = {uint16_at(content, 0), (byte_at(content, 2) & keep_conn) != 0};
    return ParseStatus::complete;
}

ParseStatus parse_pairs(std::string_view bytes, Pairs& pairs) {
    while (!bytes.empty()) {
        const auto name_length = take_length(bytes);
        if (!name_length) return ParseStatus::invalid;
        const auto value_length = take_length(bytes);
        if (!value_length || *name_length > bytes.size() || *value_length > bytes.size() - *name_length)
            return ParseStatus::invalid;
        pairs.emplace_back(bytes.substr(0, *name_length), bytes.substr(*name_length, *value_length));
        bytes.remove_prefix(*name_length + *value_length);
    }
    return ParseStatus::complete;
}

void write_record(Buffer& out, Type type, std::uint16_t request, std::string_view content) {
    const std::size_t length = content.size();
    const std::size_t padding = (padding_unit - length % padding_unit) % padding_unit;
    const std::array<char, header_size> head{
        static_cast<char>(version), static_cast<char>(type), low_byte(request >> 8u), low_byte(request),
        low_byte(length >> 8),      low_byte(length),        low_byte(padding),       0};
    out.append({head.data(), head.size()});
    out.append(content);
    out.append(std::string_view("\0\0\0\0\0\0\0", padding));
}

void write_stream(Buffer& out, Type type, std::uint16_t request, std::string_view bytes) {
    for (; !bytes.empty(); bytes.remove_prefix(std::min(bytes.size(), max_content_bytes)))
        write_record(out, type, request, bytes.substr(0, max_content_bytes));
}

void write_begin_request(Buffer& out, std::uint16_t request, BeginRequest begin) {
    const std::array<char, 8> body{
        low_byte(begin.role >> 8u), low_byte(begin.role), begin.keep_connection ? '\1' : '\0', 0, 0, 0, 0, 0};
    write_record(out, Type::begin_request, request, {body.data(), body.size()});
}

void write_end_request(Buffer& out, std::uint16_t request, ProtocolStatus status) {
    const std::array<char, 8> body{0, 0, 0, 0, static_cast<char>(status), 0, 0, 0};
    write_record(out, Type::end_request, request, {body.data(), body.size()});
}

void write_unknown_type(Buffer& out, std::uint8_t type) {
    const std::array<char, 8> body{static_cast<char>(type), 0, 0, 0, 0, 0, 0, 0};
    write_record(out, Type::unknown_type, 0, {body.data(), body.size()});
}

void write_pair(std::string& out, std::string_view name, std::string_view value) {
    put_length(out, name.size());
    put_length(out, value.size());
    out.append(name).append(value);
}

}  // namespace irismux::fastcgi
