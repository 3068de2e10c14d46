// HTTP/1.1, as far as clients of ours take it: a GET or a POST, and an answer with a length, in chunks, or as
// a stream of chunks that does not end. Without I/O. Heads are held to 16 KB, bodies and chunks that are
// held whole to 1 MB: more is bad. A body that is read in pieces (BodyReader) may have any length.
//
// Source: RFC 9112, sections 4 to 7.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "codec/buffer.hpp"
#include "codec/parse_status.hpp"

namespace irismux::http {

struct Response {
    int status = 0;
    bool close = false;
    std::string body;
};

// The head alone, of an answer whose body is read as it arrives.
struct Head {
    int status = 0;
    bool chunked = false;
    bool sized = false;  // has a Content-Length, which is `length`
    std::size_t length = 0;
    bool close = false;  // the connection ends behind the answer
    // Whether the end of the body can be told from a connection that broke.
    bool framed() const { return chunked || sized; }
};

ParseStatus parse_head(std::string_view bytes, Head& head, std::size_t& used);
// One chunk; an empty one ends the stream.
ParseStatus parse_chunk(std::string_view bytes, std::string_view& chunk, std::size_t& used);

ParseStatus parse_response(std::string_view bytes, Response& answer, std::size_t& used);

// Takes the framing (a length, or chunks) off one body as it arrives. Holds nothing of it.
class BodyReader {
public:
    explicit BodyReader(const Head& head);

    // Reads from the first bytes not used yet: `piece` is the next part of the body, a view into `bytes`.
    // `more` with nothing used: further bytes have to arrive first. `whole`: the body has ended.
    ParseStatus next(std::string_view bytes, std::string_view& piece, std::size_t& used);

private:
    enum class Expecting { data, chunk_size, chunk_end, trailer, nothing };

    ParseStatus next_line(std::string_view bytes, std::size_t& used);

    bool chunked_;
    Expecting expecting_;
    std::size_t left_;              // bytes of the data at hand that have not arrived
    std::size_t trailer_size_ = 0;  // so far
};
void write_get(Buffer& out, std::string_view host, std::string_view target);
// `authorization` goes out as it is, where it is not empty.
void write_post(Buffer& out, std::string_view host, std::string_view target, std::string_view authorization,
                std::string_view body);

}  // namespace irismux::http
