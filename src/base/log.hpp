// Records to standard error behind a level filter, on spdlog; bounded whatever happens.
//
// One record an event: its name and named fields, as text or as a line of JSON. What belongs together carries
// the same id in the same field (`lookup`, `duty`, `cache`), in the records of every process, so that one
// lookup or duty can be followed through all of them; `by` says whose record it is, once that has been told.
#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace irismux::log {

enum class Level { error, warning, info, debug };
enum class Form { text, json };

void show(Level most);
void form(Form form);
void by(std::string name);  // of JSON records, from now on; text is read beside its process
bool shown(Level level);

// A remark in plain words.
void write(Level level, std::string_view text);

struct Field {
    std::string_view name;
    std::string text;
    bool number = false;
    Field(std::string_view n, std::string_view v) : name(n), text(v) {}
    Field(std::string_view n, std::integral auto v) : name(n), text(std::to_string(v)), number(true) {}
};
void event(Level level, std::string_view name, std::initializer_list<Field> fields);

}  // namespace irismux::log
