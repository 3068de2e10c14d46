#include "codec/fastcgi.hpp"

#include <array>

namespace irismux::fastcgi {
namespace {

constexpr std::uint8_t version = 1;
constexpr std::size_t header_size = 8;
constexpr std::size_t most_content = 65535;

std::size_t byte_at(std::string_view s, std::size_t n) { return static_cast<unsigned char>(s[n]); }
std::uint16_t two_at(std::string_view s, std::size_t n) {
    return static_cast<std::uint16_t>(byte_at(s, n) << 8 | byte_at(s, n + 1));
}
char low(std::size_t v) { return static_cast<char>(v & 0xff); }

// A length takes one byte, or four with the top bit set.
bool take_length(std::string_view& s, std::size_t& length) {
    if (s.empty()) return false;
    length = byte_at(s, 0);
    std::size_t used = 1;
    if (length & 0x80) {
        if (s.size() < 4) return false;
        length = (length & 0x7f) << 24 | byte_at(s, 1) << 16 | byte_at(s, 2) << 8 | byte_at(s, 3);
        used = 4;
    }
    s.remove_prefix(used);
    return true;
}

void put_length(std::string& out, std::size_t n) {
    if (n < 0x80) {
        out += low(n);
        return;
    }
    out += low(n >> 24 | 0x80);
    out += low(n >> 16);
    out += low(n >> 8);
    out += low(n);
}

}  // namespace

ParseStatus parse_record(std::string_view bytes, Record& record, std::size_t& used) {
    if (!bytes.empty() && byte_at(bytes, 0) != version) return ParseStatus::invalid;
    if (bytes.size() < header_size) return ParseStatus::incomplete;
    const std::size_t content = two_at(bytes, 4);
    const std::size_t whole = header_size + content + byte_at(bytes, 6);
    if (bytes.size() < whole) return ParseStatus::incomplete;
    record = {static_cast<Type>(byte_at(bytes, 1)), two_at(bytes, 2), bytes.substr(header_size, content)};
    used = whole;
    return ParseStatus::complete;
}

std::size_t announced(std::string_view bytes, Record& record) {
    if (bytes.size() < header_size) return 0;
    record.request = two_at(bytes, 2);
    return two_at(bytes, 4);
}

ParseStatus parse_begin(std::string_view content, Begin& begin) {
    if (content.size() != 8) return ParseStatus::invalid;
    begin = {two_at(content, 0), (byte_at(content, 2) & keep_conn) != 0};
    return ParseStatus::complete;
}

ParseStatus parse_pairs(std::string_view bytes, Pairs& pairs) {
    while (!bytes.empty()) {
        std::size_t name = 0, value = 0;
        if (!take_length(bytes, name) || !take_length(bytes, value)) return ParseStatus::invalid;
        if (name > bytes.size() || value > bytes.size() - name) return ParseStatus::invalid;
        pairs.emplace_back(bytes.substr(0, name), bytes.substr(name, value));
        bytes.remove_prefix(name + value);
    }
    return ParseStatus::complete;
}

void write_record(Buffer& out, Type type, std::uint16_t request, std::string_view content) {
    const std::size_t n = content.size();
    const std::size_t padding = (8 - n % 8) % 8;
    const std::array<char, header_size> head{static_cast<char>(version),
                                             static_cast<char>(type),
                                             low(request >> 8u),
                                             low(request),
                                             low(n >> 8),
                                             low(n),
                                             low(padding),
                                             0};
    out.append({head.data(), head.size()});
    out.append(content);
    out.append(std::string_view("\0\0\0\0\0\0\0", padding));
}

void write_stream(Buffer& out, Type type, std::uint16_t request, std::string_view bytes) {
    for (; !bytes.empty(); bytes.remove_prefix(std::min(bytes.size(), most_content)))
        write_record(out, type, request, bytes.substr(0, most_content));
}

void write_begin(Buffer& out, std::uint16_t request, Begin begin) {
    const std::array<char, 8> body{
        low(begin.role >> 8u), low(begin.role), begin.keep ? '\1' : '\0', 0, 0, 0, 0, 0};
    write_record(out, Type::begin_request, request, {body.data(), body.size()});
}

void write_end(Buffer& out, std::uint16_t request, Ending ending) {
    const std::array<char, 8> body{0, 0, 0, 0, static_cast<char>(ending), 0, 0, 0};
    write_record(out, Type::end_request, request, {body.data(), body.size()});
}

void write_unknown(Buffer& out, std::uint8_t type) {
    const std::array<char, 8> body{static_cast<char>(type), 0, 0, 0, 0, 0, 0, 0};
    write_record(out, Type::unknown_type, 0, {body.data(), body.size()});
}

void write_pair(std::string& out, std::string_view name, std::string_view value) {
    put_length(out, name.size());
    put_length(out, value.size());
    out.append(name).append(value);
}

}  // namespace irismux::fastcgi
