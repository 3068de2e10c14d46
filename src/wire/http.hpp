// HTTP/1.1, as far as clients of ours take it: a GET or a POST, and an answer with a length, in chunks, or as
// a stream of chunks that does not end. Pure functions of bytes. Heads are held to 16 KB, bodies and chunks
// to 1 MB: more is bad.
//
// Source: RFC 9112, sections 4 to 7.
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

// The head alone, of an answer that is a stream of chunks.
struct Head {
    int status = 0;
    bool chunked = false;
};

Parsed parse_head(std::string_view bytes, Head& head, std::size_t& used);
// One chunk; an empty one ends the stream.
Parsed parse_chunk(std::string_view bytes, std::string_view& chunk, std::size_t& used);

Parsed parse_answer(std::string_view bytes, Answer& answer, std::size_t& used);
void write_get(Buffer& out, std::string_view host, std::string_view target);
// `authorization` goes out as it is, where it is not empty.
void write_post(Buffer& out, std::string_view host, std::string_view target, std::string_view authorization,
                std::string_view body);

}  // namespace irismux::http
