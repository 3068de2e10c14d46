// Parses and writes RESP arrays of bulk strings, and the lists of fields that a bulk string may contain.
// Performs no I/O.
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

/// Parses the first array of `bytes` into views. A null string is read as an empty string.
/// @return ParseStatus::invalid if the bytes are not an array, or if the array is longer than the longest
/// allowed message of a cache. If the result is ParseStatus::incomplete, `arguments` holds the arguments that
/// have arrived completely.
[[nodiscard]] ParseStatus parse_array(std::string_view bytes, Arguments& arguments, std::size_t& used);
void write_array(Buffer& out, std::initializer_list<std::string_view> arguments);

// Lists of fields have the form "name=value,name=value", or "-" if the list is empty.

[[nodiscard]] bool well_formed(std::string_view fields);
/// @return the value of a field, or an empty string if the field does not exist.
[[nodiscard]] std::string_view field(std::string_view fields, std::string_view name);
/// Appends a field.
void append_field(std::string& fields, std::string_view name, std::string_view value);
/// @return the list, or "-" if it is empty.
[[nodiscard]] std::string_view dash_if_empty(std::string_view fields);

}  // namespace irismux::resp
