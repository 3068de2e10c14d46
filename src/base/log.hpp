// The log: events on standard error, by spdlog, as text or JSON.
//
// An event is a name in snake_case with named fields. Records that belong together have the same id in the
// same field (`request_id`, `duty`, `cache`), in the logs of all processes. Records of error, warning and
// info are limited per second, in all and per event, so that a flood of one event does not hide others; those
// suppressed are counted by event. Each of them, suppressed or not, is also noted in the flight recorder.
#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace irismux::log {

enum class Level { error, warning, info, debug };
enum class Format { text, json };

/// Records above that level are not written. At the start: info.
void set_level(Level highest);
void set_format(Format format);
/// The process named in JSON records, in the field `by`.
void set_process_name(std::string name);
/// Whether records of that level are written.
[[nodiscard]] bool is_enabled(Level level);

struct Field {
    std::string_view name;
    std::string text;
    bool is_number = false;
    Field(std::string_view field_name, std::string_view value) : name(field_name), text(value) {}
    Field(std::string_view field_name, std::integral auto value)
        : name(field_name), text(std::to_string(value)), is_number(true) {}
};

/// Writes a record. The limit per second counts events of one name, and of one `reason` if there is one.
void event(Level level, std::string_view name, std::initializer_list<Field> fields);

/// Writes a line of prose. The limit per second counts lines with the same text up to the first colon.
void write(Level level, std::string_view text);

}  // namespace irismux::log
