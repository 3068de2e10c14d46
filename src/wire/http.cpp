#include "wire/http.hpp"

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
    return error == std::errc{} && p == s.data() + s.size() && n <= most_body;
}

// Chunks up to the last one and the empty line behind the trailers.
Parsed parse_chunks(std::string_view s, std::string& body, std::size_t& used) {
    const std::size_t all = s.size();
    for (std::string_view chunk;;) {
        std::size_t n = 0;
        if (const Parsed p = parse_chunk(s, chunk, n); p != Parsed::whole) return p;
        s.remove_prefix(n);
        if (chunk.empty()) break;
        if (body.size() + chunk.size() > most_body) return Parsed::bad;
        body.append(chunk);
    }
    for (;;) {
        const std::size_t end = s.find("\r\n");
        if (end == std::string_view::npos) return s.size() > most_head ? Parsed::bad : Parsed::more;
        s.remove_prefix(end + 2);
        if (end == 0) break;
    }
    used = all - s.size();
    return Parsed::whole;
}

struct Framing {
    Head head;
    std::size_t length = 0;
    bool sized = false, close = false;
};

Parsed parse_framing(std::string_view bytes, Framing& f, std::size_t& used) {
    f = Framing{};
    const std::size_t head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos || head_end > most_head)
        return bytes.size() > most_head ? Parsed::bad : Parsed::more;
    std::string_view head = bytes.substr(0, head_end + 2);
    const std::string_view first = head.substr(0, head.find("\r\n"));
    std::size_t status = 0;
    if (first.size() < 12 || first.substr(0, 7) != "HTTP/1." || !number(first.substr(9, 3), 10, status))
        return Parsed::bad;
    f.head.status = static_cast<int>(status);
    head.remove_prefix(first.size() + 2);
    while (!head.empty()) {
        const std::string_view line = head.substr(0, head.find("\r\n"));
        head.remove_prefix(line.size() + 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) return Parsed::bad;
        const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
        if (same(name, "content-length")) {
            if (!number(value, 10, f.length)) return Parsed::bad;
            f.sized = true;
        }
        if (same(name, "transfer-encoding")) f.head.chunked = same(value, "chunked");
        if (same(name, "connection")) f.close = same(value, "close");
    }
    used = head_end + 4;
    return Parsed::whole;
}

}  // namespace

Parsed parse_chunk(std::string_view s, std::string_view& chunk, std::size_t& used) {
    const std::size_t end = s.find("\r\n");
    if (end == std::string_view::npos) return s.size() > most_head ? Parsed::bad : Parsed::more;
    std::size_t n = 0;
    if (!number(trimmed(s.substr(0, std::min(end, s.find(';')))), 16, n)) return Parsed::bad;
    if (n == 0) {
        chunk = {};
        used = end + 2;
        return Parsed::whole;
    }
    if (s.size() < end + 2 + n + 2) return Parsed::more;
    if (s.substr(end + 2 + n, 2) != "\r\n") return Parsed::bad;
    chunk = s.substr(end + 2, n);
    used = end + 2 + n + 2;
    return Parsed::whole;
}

Parsed parse_head(std::string_view bytes, Head& head, std::size_t& used) {
    Framing f;
    const Parsed p = parse_framing(bytes, f, used);
    head = f.head;
    return p;
}

Parsed parse_answer(std::string_view bytes, Answer& answer, std::size_t& used) {
    answer = Answer{};
    Framing f;
    std::size_t head = 0;
    if (const Parsed p = parse_framing(bytes, f, head); p != Parsed::whole) return p;
    answer.status = f.head.status;
    answer.close = f.close;
    const std::string_view rest = bytes.substr(head);
    if (f.head.chunked) {
        const Parsed p = parse_chunks(rest, answer.body, used);
        used += head;
        return p;
    }
    // A body that ends with the connection can't be told from one that breaks off.
    if (!f.sized) return Parsed::bad;
    if (rest.size() < f.length) return Parsed::more;
    answer.body = rest.substr(0, f.length);
    used = head + f.length;
    return Parsed::whole;
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
