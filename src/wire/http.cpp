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
    for (;;) {
        const std::size_t end = s.find("\r\n");
        if (end == std::string_view::npos) return s.size() > most_head ? Parsed::bad : Parsed::more;
        std::size_t n = 0;
        if (!number(trimmed(s.substr(0, std::min(end, s.find(';')))), 16, n)) return Parsed::bad;
        s.remove_prefix(end + 2);
        if (n == 0) break;
        if (s.size() < n + 2) return Parsed::more;
        if (s.substr(n, 2) != "\r\n" || body.size() + n > most_body) return Parsed::bad;
        body.append(s.substr(0, n));
        s.remove_prefix(n + 2);
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

}  // namespace

Parsed parse_answer(std::string_view bytes, Answer& answer, std::size_t& used) {
    answer = Answer{};
    const std::size_t head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos || head_end > most_head)
        return bytes.size() > most_head ? Parsed::bad : Parsed::more;
    std::string_view head = bytes.substr(0, head_end + 2);
    const std::string_view first = head.substr(0, head.find("\r\n"));
    std::size_t status = 0;
    if (first.size() < 12 || first.substr(0, 7) != "HTTP/1." || !number(first.substr(9, 3), 10, status))
        return Parsed::bad;
    answer.status = static_cast<int>(status);
    head.remove_prefix(first.size() + 2);
    std::size_t length = 0;
    bool chunked = false, sized = false;
    while (!head.empty()) {
        const std::string_view line = head.substr(0, head.find("\r\n"));
        head.remove_prefix(line.size() + 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) return Parsed::bad;
        const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
        if (same(name, "content-length")) {
            if (!number(value, 10, length)) return Parsed::bad;
            sized = true;
        }
        if (same(name, "transfer-encoding")) chunked = same(value, "chunked");
        if (same(name, "connection")) answer.close = same(value, "close");
    }
    const std::string_view rest = bytes.substr(head_end + 4);
    if (chunked) {
        const Parsed p = parse_chunks(rest, answer.body, used);
        used += head_end + 4;
        return p;
    }
    // A body that ends with the connection can't be told from one that breaks off.
    if (!sized) return Parsed::bad;
    if (rest.size() < length) return Parsed::more;
    answer.body = rest.substr(0, length);
    used = head_end + 4 + length;
    return Parsed::whole;
}

void write_get(Buffer& out, std::string_view host, std::string_view target) {
    out.append("GET ");
    out.append(target);
    out.append(" HTTP/1.1\r\nHost: ");
    out.append(host);
    out.append("\r\n\r\n");
}

}  // namespace irismux::http
