#include "codec/http.hpp"

#include <algorithm>
#include <cctype>
#include <optional>

#include "codec/parse_number.hpp"

namespace irismux::http {
namespace {

// Maximum size of a response's head, of the line before a chunk, and of all trailers together.
constexpr std::size_t max_head_bytes = 16'384;
constexpr std::string_view line_end = "\r\n";
// The position of the status code in a status line such as "HTTP/1.1 200".
constexpr std::size_t status_position = 9;
constexpr std::size_t status_digits = 3;

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
    return s;
}

// Parses the line before a chunk's data. The line holds the length of the data in hexadecimal, followed by
// extensions, which are ignored.
std::optional<std::size_t> parse_chunk_size(std::string_view line) {
    return parse_number<std::size_t>(trimmed(line.substr(0, line.find(';'))), 16);
}

// Parses one line of a response's head.
// @return false if the line is invalid.
bool parse_field(std::string_view line, Head& head) {
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) return false;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (equal_ignoring_case(name, "content-length")) {
        const auto length = parse_number<std::size_t>(value);
        if (!length) return false;
        head.length = *length;
        head.has_content_length = true;
    }
    if (equal_ignoring_case(name, "transfer-encoding")) head.chunked = equal_ignoring_case(value, "chunked");
    if (equal_ignoring_case(name, "connection")) head.close = equal_ignoring_case(value, "close");
    return true;
}

}  // namespace

ParseStatus parse_head(std::string_view bytes, Head& head, std::size_t& used) {
    head = Head{};
    const std::size_t head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos || head_end > max_head_bytes)
        return bytes.size() > max_head_bytes ? ParseStatus::invalid : ParseStatus::incomplete;
    std::string_view lines = bytes.substr(0, head_end + line_end.size());
    const std::string_view status_line = lines.substr(0, lines.find(line_end));
    if (status_line.size() < status_position + status_digits || !status_line.starts_with("HTTP/1."))
        return ParseStatus::invalid;
    const auto status = parse_number<std::size_t>(status_line.substr(status_position, status_digits));
    if (!status) return ParseStatus::invalid;
    head.status = static_cast<int>(*status);
    lines.remove_prefix(status_line.size() + line_end.size());
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find(line_end));
        lines.remove_prefix(line.size() + line_end.size());
        if (!parse_field(line, head)) return ParseStatus::invalid;
    }
    used = head_end + 2 * line_end.size();
    return ParseStatus::complete;
}

BodyReader::BodyReader(const Head& head)
    : chunked_(head.chunked),
      expecting_(head.chunked ? Expecting::chunk_size : Expecting::data),
      missing_bytes_(head.chunked ? 0 : head.length) {}

ParseStatus BodyReader::next(std::string_view bytes, std::string_view& piece, std::size_t& used) {
    piece = {};
    used = 0;
    if (expecting_ == Expecting::nothing) return ParseStatus::complete;
    if (expecting_ != Expecting::data) return next_line(bytes, used);
    piece = bytes.substr(0, missing_bytes_);
    used = piece.size();
    missing_bytes_ -= used;
    if (missing_bytes_ > 0) return ParseStatus::incomplete;
    expecting_ = chunked_ ? Expecting::chunk_end : Expecting::nothing;
    return chunked_ ? ParseStatus::incomplete : ParseStatus::complete;
}

// Handles the lines that are not data: the size of a chunk, the empty line after the chunk's data, and the
// trailers.
ParseStatus BodyReader::next_line(std::string_view bytes, std::size_t& used) {
    const std::size_t end = bytes.find(line_end);
    if (end == std::string_view::npos)
        return bytes.size() > max_head_bytes ? ParseStatus::invalid : ParseStatus::incomplete;
    const std::string_view line = bytes.substr(0, end);
    used = end + line_end.size();
    switch (expecting_) {
        case Expecting::chunk_end:
            if (!line.empty()) return ParseStatus::invalid;
            expecting_ = Expecting::chunk_size;
            return ParseStatus::incomplete;
        case Expecting::chunk_size: {
            const auto size = parse_chunk_size(line);
            if (!size) return ParseStatus::invalid;
            missing_bytes_ = *size;
            expecting_ = *size == 0 ? Expecting::trailer : Expecting::data;
            return ParseStatus::incomplete;
        }
        default:
            return next_trailer(line, used);
    }
}

ParseStatus BodyReader::next_trailer(std::string_view line, std::size_t used) {
    trailer_bytes_ += used;
    if (trailer_bytes_ > max_head_bytes) return ParseStatus::invalid;
    if (!line.empty()) return ParseStatus::incomplete;
    expecting_ = Expecting::nothing;
    return ParseStatus::complete;
}

void write_get(Buffer& out, std::string_view host, std::string_view target) {
    out.append("GET ");
    out.append(target);
    out.append(" HTTP/1.1\r\nHost: ");
    out.append(host);
    out.append("\r\n\r\n");
}

void write_post(Buffer& out, std::string_view host, std::string_view target, std::string_view authorization,
                std::string_view body) {
    out.append("POST ");
    out.append(target);
    out.append(" HTTP/1.1\r\nHost: ");
    out.append(host);
    if (!authorization.empty()) {
        out.append("\r\nAuthorization: ");
        out.append(authorization);
    }
    out.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    out.append(std::to_string(body.size()));
    out.append("\r\n\r\n");
    out.append(body);
}

}  // namespace irismux::http
