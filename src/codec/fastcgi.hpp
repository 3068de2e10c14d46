// FastCGI 1.0: records and name-value pairs. Pure functions of bytes.
//
// Source: FastCGI Specification 1.0, sections 3 to 5.
#pragma once

#include <cstddef>
#include <cstdint>
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
/// Why a request ends, in END_REQUEST.
enum class ProtocolStatus : std::uint8_t {
    request_complete = 0,
    cant_mpx_conn = 1,
    overloaded = 2,
    unknown_role = 3
};

constexpr std::uint16_t responder = 1;  ///< the role of requests that are served here
constexpr std::uint8_t keep_conn = 1;   ///< flag: the connection stays open behind the request

struct Record {
    Type type{};
    std::uint16_t request = 0;  ///< 0: management of the connection
    std::string_view content;   ///< a view into the parsed bytes
};

/// The first record of `bytes`; `used` counts its padding too.
[[nodiscard]] ParseStatus parse_record(std::string_view bytes, Record& record, std::size_t& used);
/// The content length of a record that is not complete yet, and in `record.request` whose it is. 0: its
/// header has not come either.
[[nodiscard]] std::size_t announced_content_length(std::string_view bytes, Record& record);

struct BeginRequest {
    std::uint16_t role = 0;
    bool keep_connection = false;  ///< keep_conn was set
};
[[nodiscard]] ParseStatus parse_begin_request(std::string_view content, BeginRequest& begin);

using Pairs = std::vector<std::pair<std::string_view, std::string_view>>;
/// All pairs of a complete stream, as views into `bytes`.
[[nodiscard]] ParseStatus parse_pairs(std::string_view bytes, Pairs& pairs);

void write_record(Buffer& out, Type type, std::uint16_t request, std::string_view content);
/// As many records as the bytes need; none for no bytes.
void write_stream(Buffer& out, Type type, std::uint16_t request, std::string_view bytes);
void write_begin_request(Buffer& out, std::uint16_t request, BeginRequest begin);
void write_end_request(Buffer& out, std::uint16_t request, ProtocolStatus status);
void write_unknown_type(Buffer& out, std::uint8_t type);
void write_pair(std::string& out, std::string_view name, std::string_view value);

}  // namespace irismux::fastcgi
