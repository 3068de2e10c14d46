// Parses and writes the records and name-value pairs of FastCGI 1.0. Performs no I/O.
//
// Source: FastCGI Specification 1.0, sections 3 to 5.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/buffer.hpp"
#include "codec/parse_status.hpp"

namespace irismux::fastcgi {

enum class Type : std::uint8_t {
    begin_request = 1,
    abort_request = 2,
    end_request = 3,
    params = 4,
    std_in = 5,
    std_out = 6,
    std_err = 7,
    data = 8,
    get_values = 9,
    get_values_result = 10,
    unknown_type = 11
};
/// The protocol status in an END_REQUEST record, which gives the reason why the request ends.
enum class ProtocolStatus : std::uint8_t {
    request_complete = 0,
    cant_mpx_conn = 1,
    overloaded = 2,
    unknown_role = 3
};

constexpr std::uint16_t responder = 1;  ///< the only role that the server supports
constexpr std::uint8_t keep_conn = 1;   ///< flag to keep the connection open after the request

struct Record {
    Type type{};
    std::uint16_t request = 0;  ///< request id; 0 in management records
    std::string_view content;   ///< a view into the parsed bytes
};

/// Parses the first record of `bytes`. `used` is set to the length of the record including the padding.
[[nodiscard]] ParseStatus parse_record(std::string_view bytes, Record& record, std::size_t& used);
/// The header of a record whose content may still be arriving.
struct RecordHeader {
    Type type{};
    std::uint16_t request = 0;      ///< request id; 0 in management records
    std::size_t content_bytes = 0;  ///< length of the content
    std::size_t record_bytes = 0;   ///< length of the whole record including header and padding
};
/// @return std::nullopt if the header is incomplete or `bytes` is not FastCGI.
[[nodiscard]] std::optional<RecordHeader> parse_header(std::string_view bytes);

struct BeginRequest {
    std::uint16_t role = 0;
    bool keep_connection = false;  ///< whether keep_conn was set
};
[[nodiscard]] ParseStatus parse_begin_request(std::string_view content, BeginRequest& begin);

using Pairs = std::vector<std::pair<std::string_view, std::string_view>>;
/// Parses all pairs of a complete stream. The pairs are views into `bytes`.
[[nodiscard]] ParseStatus parse_pairs(std::string_view bytes, Pairs& pairs);

void write_record(Buffer& out, Type type, std::uint16_t request, std::string_view content);
/// Writes as many records as the bytes need. If there are no bytes, no record is written.
void write_stream(Buffer& out, Type type, std::uint16_t request, std::string_view bytes);
void write_begin_request(Buffer& out, std::uint16_t request, BeginRequest begin);
void write_end_request(Buffer& out, std::uint16_t request, ProtocolStatus status);
void write_unknown_type(Buffer& out, std::uint8_t type);
void write_pair(std::string& out, std::string_view name, std::string_view value);

}  // namespace irismux::fastcgi
