// HTTP/1.1, as far as its clients here need it: a GET or a POST, and a response with a length, in chunks, or
// as a stream of chunks that does not end. Without I/O.
//
// Source: RFC 9112, sections 4 to 7.
#pragma once

#include <cstddef>
#include <string_view>

#include "codec/buffer.hpp"
#include "codec/parse_status.hpp"

namespace irismux::http {

/// The head of a response.
struct Head {
    int status = 0;
    bool chunked = false;
    bool has_content_length = false;  ///< has a Content-Length
    std::size_t length = 0;           ///< of the body, if has_content_length
    bool close = false;               ///< the connection ends behind the response
    /// Whether the end of the body can be told from a connection that broke.
    [[nodiscard]] bool framed() const { return chunked || has_content_length; }
};

/// Invalid: it is not HTTP/1.x, or longer than 16 KB.
[[nodiscard]] ParseStatus parse_head(std::string_view bytes, Head& head, std::size_t& used);

/// Takes the framing (a length, or chunks) off one body as it arrives. The body may have any length; nothing
/// of it is kept.
class BodyReader {
public:
    explicit BodyReader(const Head& head);

    /// Reads from the first bytes not used yet: `piece` is the next part of the body, a view into `bytes`.
    /// Incomplete with nothing used: more bytes have to arrive first. Complete: the body has ended.
    [[nodiscard]] ParseStatus next(std::string_view bytes, std::string_view& piece, std::size_t& used);

private:
    enum class Expecting { data, chunk_size, chunk_end, trailer, nothing };

    ParseStatus next_line(std::string_view bytes, std::size_t& used);
    ParseStatus next_trailer(std::string_view line, std::size_t used);

    bool chunked_;
    Expecting expecting_;
    std::size_t missing_bytes_;      // of the chunk, or of the body
    std::size_t trailer_bytes_ = 0;  // so far
};

void write_get(Buffer& out, std::string_view host, std::string_view target);
/// @param authorization the value of that field; empty: there is none.
void write_post(Buffer& out, std::string_view host, std::string_view target, std::string_view authorization,
                std::string_view body);

}  // namespace irismux::http
