// RESP: arrays of bulk strings, and the lists of fields in them. Pure functions of bytes.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "codec/buffer.hpp"
#include "codec/parse_status.hpp"

namespace irismux::resp {

using Arguments = std::vector<std::string_view>;

/// The first array of `bytes`, as views; a null string reads as an empty one. Invalid: also an array that is
/// longer than any message of caches. Incomplete: `arguments` holds those that have come whole.
[[nodiscard]] ParseStatus parse_array(std::string_view bytes, Arguments& arguments, std::size_t& used);
void write_array(Buffer& out, std::initializer_list<std::string_view> arguments);

// Lists of fields: "name=value,name=value", or "-" for none.

[[nodiscard]] bool well_formed(std::string_view fields);
/// The value of a field; empty: there is none.
[[nodiscard]] std::string_view field(std::string_view fields, std::string_view name);
/// Appends a field.
void append_field(std::string& fields, std::string_view name, std::string_view value);
/// "-" if there are none.
[[nodiscard]] std::string_view dash_if_empty(std::string_view fields);

}  // namespace irismux::resp
