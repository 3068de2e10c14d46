// Records to standard error behind a level filter, on spdlog; bounded whatever happens: so many lines a
// second in all, and fewer of one sort, so that a flood of one does not hide the others. What is left out is
// counted by sort. Each record, also one that is left out, is noted in the flight recorder.
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

// A remark in plain words. Its sort is its text up to the first colon.
void write(Level level, std::string_view text);

struct Field {
    std::string_view name;
    std::string text;
    bool number = false;
    Field(std::string_view n, std::string_view v) : name(n), text(v) {}
    Field(std::string_view n, std::integral auto v) : name(n), text(std::to_string(v)), number(true) {}
};
// Its sort is its name, with the text of its field `reason` where it has one.
void event(Level level, std::string_view name, std::initializer_list<Field> fields);

}  // namespace irismux::log
