// Reading JSON with plain words for what is wrong.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

#include "irismux/time.hpp"

namespace irismux {

using nlohmann::json;

// What went wrong may go right before long: the same is worth trying again.
class TransientError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void bad(const std::string& what) { throw std::runtime_error(what); }

inline const json& need(const json& o, const char* key) {
    if (!o.is_object()) bad(std::string("expected an object that holds '") + key + "'");
    const auto it = o.find(key);
    if (it == o.end() || it->is_null()) bad(std::string("missing field '") + key + "'");
    return *it;
}

template <class T>
T get(const json& o, const char* key) {
    const json& v = need(o, key);
    if constexpr (std::is_same_v<T, bool>) {
        if (!v.is_boolean()) bad(std::string("field '") + key + "' is not true or false");
    } else if constexpr (std::is_arithmetic_v<T>) {
        if (!v.is_number()) bad(std::string("field '") + key + "' is not a number");
    } else if (!v.is_string()) {
        bad(std::string("field '") + key + "' is not text");
    }
    return v.get<T>();
}

template <class T>
T get_or(const json& o, const char* key, T other) {
    const auto it = o.find(key);
    return it == o.end() || it->is_null() ? other : get<T>(o, key);
}

inline Duration span_of(const json& o, const char* key) { return Duration::seconds(get_or(o, key, 0.0)); }

inline const json& list_of(const json& o, const char* key) {
    const json& v = need(o, key);
    if (!v.is_array()) bad(std::string("field '") + key + "' is not a list");
    return v;
}

// A value that stands in a table of words; an unknown word is an error.
template <class T, std::size_t N>
T word(const std::string& said, const char* what, const std::pair<const char*, T> (&known)[N]) {
    for (const auto& [name, value] : known)
        if (said == name) return value;
    bad(std::string("unknown ") + what + " '" + said + "'");
}

}  // namespace irismux
