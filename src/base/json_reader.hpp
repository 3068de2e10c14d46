// Reads fields of JSON objects. These functions throw ParseError with a one-line message for an operator.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

#include "irismux/time.hpp"

namespace irismux {

using nlohmann::json;

/// Thrown if the input is invalid.
class ParseError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown if the input cannot be read at present. A later attempt to read the input can succeed.
class TransientError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void throw_parse_error(const std::string& message) { throw ParseError(message); }

/// Returns the field `key`, which must exist and must not be null.
inline const json& require(const json& object, const char* key) {
    if (!object.is_object())
        throw_parse_error(std::string("the value that should contain the field '") + key +
                          "' is not a JSON object");
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) throw_parse_error(std::string("field '") + key + "' is missing");
    return *it;
}

/// Returns a required field: a boolean, a number or a string.
template <class T>
T get(const json& object, const char* key) {
    const json& value = require(object, key);
    const auto fail = [&](const char* problem) {
        throw_parse_error(std::string("field '") + key + "' " + problem);
    };
    if constexpr (std::is_same_v<T, bool>) {
        if (!value.is_boolean()) fail("is not true or false");
    } else if constexpr (std::is_arithmetic_v<T>) {
        if (!value.is_number()) fail("is not a number");
    } else if (!value.is_string()) {
        fail("is not a string");
    }
    return value.get<T>();
}

/// Returns the field, or `fallback` if it is missing or null.
template <class T>
T get_or(const json& object, const char* key, T fallback) {
    const auto it = object.find(key);
    return it == object.end() || it->is_null() ? fallback : get<T>(object, key);
}

/// Returns a duration that is given in seconds; zero if the field is missing or null.
inline Duration get_duration(const json& object, const char* key) {
    return Duration::seconds(get_or(object, key, 0.0));
}

/// Returns a required array.
inline const json& get_array(const json& object, const char* key) {
    const json& value = require(object, key);
    if (!value.is_array()) throw_parse_error(std::string("field '") + key + "' is not a list");
    return value;
}

/// Returns the value that `names` assigns to `text`.
/// @param what the name of the field that contains the text; used in the error message.
template <class T, std::size_t N>
T parse_enum(const std::string& text, const char* what, const std::pair<const char*, T> (&names)[N]) {
    for (const auto& [name, value] : names)
        if (text == name) return value;
    throw_parse_error(std::string("field '") + what + "' has the unknown value '" + text + "'");
}

}  // namespace irismux
