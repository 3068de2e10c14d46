#include "codec/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace irismux::http {
namespace {

constexpr std::size_t most_head = 16 * 1024;
constexpr std::size_t most_body = 1 << 20;

bool same(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
    return s;
}

bool number(std::string_view s, int base, std::size_t& n) {
    const auto [p, error] = std::from_chars(s.data(), s.data() + s.size(), n, base);
    return error == std::errc{} && p == s.data() + s.size();
}

// The line before a chunk's data: its length and extensions, which are left out.
bool chunk_size(std::string_view line, std::size_t& n) {
    return number(trimmed(line.substr(0, line.find(';'))), 16, n);
}

// Chunks up to the last one and the empty line behind the trailers.
ParseStatus parse_chunks(std::string_view s, std::string& body, std::size_t& used) {
    const std::size_t all = s.size();
    for (std::string_view chunk;;) {
        std::size_t n = 0;
        if (const ParseStatus p = parse_chunk(s, chunk, n); p != ParseStatus::complete) return p;
        s.remove_prefix(n);
        if (chunk.empty()) break;
        if (body.size() + chunk.size() > most_body) return ParseStatus::invalid;
        body.append(chunk);
    }
    for (;;) {
        const std::size_t end = s.find("\r\n");
        if (end == std::string_view::npos)
            return s.size() > most_head ? ParseStatus::invalid : ParseStatus::incomplete;
        s.remove_prefix(end + 2);
        if (end == 0) break;
    }
    used = all - s.size();
    return ParseStatus::complete;
}

}  // namespace

ParseStatus parse_head(std::string_view bytes, Head& parsed, std::size_t& used) {
    parsed = Head{};
    const std::size_t head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos || head_end > most_head)
        return bytes.size() > most_head ? ParseStatus::invalid : ParseStatus::incomplete;
    std::string_view head = bytes.substr(0, head_end + 2);
    const std::string_view first = head.substr(0, head.find("\r\n"));
    std::size_t status = 0;
    if (first.size() < 12 || first.substr(0, 7) != "HTTP/1." || !number(first.substr(9, 3), 10, status))
        return ParseStatus::invalid;
    parsed.status = static_cast<int>(status);
    head.remove_prefix(first.size() + 2);
    while (!head.empty()) {
        const std::string_view line = head.substr(0, head.find("\r\n"));
        head.remove_prefix(line.size() + 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) return ParseStatus::invalid;
        const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
        if (same(name, "content-length")) {
            if (!number(value, 10, parsed.length)) return ParseStatus::invalid;
            parsed.sized = true;
        }
        if (same(name, "transfer-encoding")) parsed.chunked = same(value, "chunked");
        if (same(name, "connection")) parsed.close = same(value, "close");
    }
    used = head_end + 4;
    return ParseStatus::complete;
}

ParseStatus parse_chunk(std::string_view s, std::string_view& chunk, std::size_t& used) {
    const std::size_t end = s.find("\r\n");
    if (end == std::string_view::npos)
        return s.size() > most_head ? ParseStatus::invalid : ParseStatus::incomplete;
    std::size_t n = 0;
    if (!chunk_size(s.substr(0, end), n) || n > most_body) return ParseStatus::invalid;
    if (n == 0) {
        chunk = {};
        used = end + 2;
        return ParseStatus::complete;
    }
    if (s.size() < end + 2 + n + 2) return ParseStatus::incomplete;
    if (s.substr(end + 2 + n, 2) != "\r\n") return ParseStatus::invalid;
    chunk = s.substr(end + 2, n);
    used = end + 2 + n + 2;
    return ParseStatus::complete;
}

ParseStatus parse_response(std::string_view bytes, Response& answer, std::size_t& used) {
    answer = Response{};
    Head head;
    std::size_t head_size = 0;
    if (const ParseStatus p = parse_head(bytes, head, head_size); p != ParseStatus::complete) return p;
    answer.status = head.status;
    answer.close = head.close;
    const std::string_view rest = bytes.substr(head_size);
    if (head.chunked) {
        const ParseStatus p = parse_chunks(rest, answer.body, used);
        used += head_size;
        return p;
    }
    // A body that ends with the connection can't be told from one that breaks off.
    if (!head.sized || head.length > most_body) return ParseStatus::invalid;
    if (rest.size() < head.length) return ParseStatus::incomplete;
    answer.body = rest.substr(0, head.length);
    used = head_size + head.length;
    return ParseStatus::complete;
}

BodyReader::BodyReader(const Head& head)
    : chunked_(head.chunked),
      expecting_(head.chunked ? Expecting::chunk_size : Expecting::data),
      left_(head.chunked ? 0 : head.length) {}

ParseStatus BodyReader::next(std::string_view bytes, std::string_view& piece, std::size_t& used) {
    piece = {};
    used = 0;
    if (expecting_ == Expecting::nothing) return ParseStatus::complete;
    if (expecting_ != Expecting::data) return next_line(bytes, used);
    piece = bytes.substr(0, left_);
    used = piece.size();
    left_ -= used;
    if (left_ > 0) return ParseStatus::incomplete;
    expecting_ = chunked_ ? Expecting::chunk_end : Expecting::nothing;
    return chunked_ ? ParseStatus::incomplete : ParseStatus::complete;
}

// The lines of the framing in chunks: a chunk's size, the empty one behind its data, and the trailers.
ParseStatus BodyReader::next_line(std::string_view bytes, std::size_t& used) {
    const std::size_t end = bytes.find("\r\n");
    if (end == std::string_view::npos)
        return bytes.size() > most_head ? ParseStatus::invalid : ParseStatus::incomplete;
    const std::string_view line = bytes.substr(0, end);
    used = end + 2;
    switch (expecting_) {
        case Expecting::chunk_end:
            if (!line.empty()) return ParseStatus::invalid;
            expecting_ = Expecting::chunk_size;
            return ParseStatus::incomplete;
        case Expecting::chunk_size:
            if (!chunk_size(line, left_)) return ParseStatus::invalid;
            expecting_ = left_ == 0 ? Expecting::trailer : Expecting::data;
            return ParseStatus::incomplete;
        default:
            break;
    }
    trailer_size_ += used;
    if (trailer_size_ > most_head) return ParseStatus::invalid;
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
