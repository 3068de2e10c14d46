// The subset of HTTP/1.1 that the clients in this program need: GET and POST requests, and responses with a
// Content-Length, in chunks, or as an endless stream of chunks. Performs no I/O.
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
    bool has_content_length = false;  ///< the head contains a Content-Length
    std::size_t length = 0;           ///< length of the body, valid if has_content_length is set
    bool close = false;               ///< the connection ends after the response
    /// Whether the end of the body can be distinguished from a broken connection.
    [[nodiscard]] bool framed() const { return chunked || has_content_length; }
};

/// @return ParseStatus::invalid if the head is not HTTP/1.x or is longer than 16 KB.
[[nodiscard]] ParseStatus parse_head(std::string_view bytes, Head& head, std::size_t& used);

/// Removes the framing (a length, or chunks) from a body while the body arrives. The body may have any
/// length, because BodyReader stores no part of it.
class BodyReader {
public:
    explicit BodyReader(const Head& head);

    /// Reads the next part of the body. `bytes` must begin after the bytes that earlier calls used; `piece`
    /// is set to a view into `bytes`.
    /// @return ParseStatus::complete if the body has ended. If the result is ParseStatus::incomplete and
    /// `used` is 0, more bytes have to arrive first.
    [[nodiscard]] ParseStatus next(std::string_view bytes, std::string_view& piece, std::size_t& used);

private:
    enum class Expecting { data, chunk_size, chunk_end, trailer, nothing };

    ParseStatus next_line(std::string_view bytes, std::size_t& used);
    ParseStatus next_trailer(std::string_view line, std::size_t used);

    bool chunked_;
    Expecting expecting_;
    std::size_t missing_bytes_;      // remaining bytes of the chunk or of the body
    std::size_t trailer_bytes_ = 0;  // size of the trailers read so far
};

void write_get(Buffer& out, std::string_view host, std::string_view target);
/// @param authorization the value of the Authorization field; empty to omit the field.
void write_post(Buffer& out, std::string_view host, std::string_view target, std::string_view authorization,
                std::string_view body);

}  // namespace irismux::http
