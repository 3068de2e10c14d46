// HTTP/1.1, as far as polling takes it: a GET, and an answer with a length or in chunks. Pure functions of
// bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wire/buffer.hpp"
#include "wire/parsed.hpp"

namespace irismux::http {

struct Answer {
    int status = 0;
    bool close = false;
    std::string body;
};

Parsed parse_answer(std::string_view bytes, Answer& answer, std::size_t& used);
void write_get(Buffer& out, std::string_view host, std::string_view target);

}  // namespace irismux::http
