// RESP: arrays of bulk strings, as pure functions of bytes.
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

// The first array of the bytes. A null string reads as an empty one.
ParseStatus parse_array(std::string_view bytes, Arguments& words, std::size_t& used);
void write_array(Buffer& out, std::initializer_list<std::string_view> words);

// FIELDS, as in "name=value,name=value" or "-".
bool well_formed(std::string_view fields);
std::string_view field(std::string_view fields, std::string_view name);
void put_field(std::string& fields, std::string_view name, std::string_view value);
std::string_view or_none(const std::string& fields);

}  // namespace irismux::resp
