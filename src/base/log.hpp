// Writes log events to standard error, through spdlog, as text or JSON.
//
// An event is a name in snake_case with named fields. Records that belong together have the same id in the
// same field (`request_id`, `duty`, `cache`), in the logs of all processes. Records of the levels error,
// warning and info are limited per second, in total and per event, so that a flood of one event does not hide
// other events. Suppressed records are counted per event. The flight recorder receives every record of these
// levels, including the suppressed records.
#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace irismux::log {

enum class Level { error, warning, info, debug };
enum class Format { text, json };

/// Sets the most verbose level that is written. The default is info.
void set_level(Level highest);
void set_format(Format format);
/// Sets the process name that JSON records have in the field `by`.
void set_process_name(std::string name);
/// @return true if records of the level are written
[[nodiscard]] bool is_enabled(Level level);

struct Field {
    std::string_view name;
    std::string text;
    bool is_number = false;
    Field(std::string_view field_name, std::string_view value) : name(field_name), text(value) {}
    Field(std::string_view field_name, std::integral auto value)
        : name(field_name), text(std::to_string(value)), is_number(true) {}
};

/// Writes an event. The limit per second applies to events that have the same name and, if they have a field
/// `reason`, the same reason.
void event(Level level, std::string_view name, std::initializer_list<Field> fields);

/// Writes a line of free text. The limit per second applies to lines with the same text up to the first
/// colon.
void write(Level level, std::string_view text);

}  // namespace irismux::log
