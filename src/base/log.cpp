#include "base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/flight_recorder.hpp"

namespace irismux::log {
namespace {

// Below debug: a trouble must not fill a disk or hold up the loop.
constexpr int lines_a_second = 50, lines_of_a_sort = 10;
constexpr std::size_t most_sorts = 32;  // counted apart within a second; those behind count as one
constexpr const char* other_sorts = "others";
constexpr std::size_t longest = 4096;
constexpr spdlog::level::level_enum levels[] = {spdlog::level::err, spdlog::level::warn, spdlog::level::info,
                                                spdlog::level::debug};
constexpr const char* names[] = {"error", "warning", "info", "debug"};

Form form_now = Form::text;
std::string name_now;
std::chrono::steady_clock::time_point second;
int lines = 0;
struct Count {
    int shown = 0, left_out = 0;
};
std::map<std::string, Count, std::less<>> sorts;  // of this second

// No registry of loggers and no thread: one sink, one write a record.
spdlog::logger& out() {
    static const std::unique_ptr<spdlog::logger> made = [] {
        auto logger =
            std::make_unique<spdlog::logger>("irismux", std::make_shared<spdlog::sinks::stderr_sink_st>());
        logger->set_pattern("%v");
        logger->set_level(spdlog::level::info);
        logger->flush_on(spdlog::level::debug);
        return logger;
    }();
    return *made;
}

void put(Level level, std::string line) {
    if (line.size() > longest) line.resize(longest);
    out().log(levels[static_cast<int>(level)], spdlog::string_view_t(line));
}

std::string json_of(Level level, std::string_view event, std::initializer_list<Field> fields) {
    nlohmann::json o = {{"level", names[static_cast<int>(level)]}, {"event", event}};
    o["at_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    if (!name_now.empty()) o["by"] = name_now;
    for (const Field& f : fields)
        o[std::string(f.name)] =
            f.number ? nlohmann::json(std::atoll(f.text.c_str())) : nlohmann::json(f.text);
    // What is no UTF-8 is marked as such: a record is never lost for what it tells of.
    return o.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void tell_left_out() {
    for (const auto& [sort, count] : sorts) {
        if (count.left_out == 0) continue;
        put(Level::warning,
            form_now == Form::json
                ? json_of(Level::warning, "left_out", {{"lines", count.left_out}, {"of", sort}})
                : "warning: " + std::to_string(count.left_out) + " lines left out: " + sort);
    }
}

Count& count_of(std::string_view sort) {
    const auto known = sorts.find(sort);
    if (known != sorts.end()) return known->second;
    return sorts[sorts.size() < most_sorts ? std::string(sort) : other_sorts];
}

bool within_bound(std::string_view sort) {
    const auto now = std::chrono::steady_clock::now();
    if (now - second >= std::chrono::seconds(1)) {
        tell_left_out();
        second = now;
        lines = 0;
        sorts.clear();
    }
    Count& count = count_of(sort);
    const bool shows = lines < lines_a_second && count.shown < lines_of_a_sort;
    ++(shows ? count.shown : count.left_out);
    lines += shows;
    return shows;
}

bool wanted(Level level, std::string_view sort) {
    return shown(level) && (level == Level::debug || within_bound(sort));
}

std::string line_of(std::string_view name, std::initializer_list<Field> fields) {
    std::string line(name);
    for (const Field& f : fields) line.append(" ").append(f.name).append("=").append(f.text);
    return line;
}

std::string sort_of(std::string_view name, std::initializer_list<Field> fields) {
    std::string sort(name);
    for (const Field& f : fields)
        if (f.name == "reason") sort.append(" ").append(f.text);
    return sort;
}

}  // namespace

void show(Level most) { out().set_level(levels[static_cast<int>(most)]); }
void form(Form form) { form_now = form; }
void by(std::string name) { name_now = std::move(name); }
bool shown(Level level) { return out().should_log(levels[static_cast<int>(level)]); }

void write(Level level, std::string_view text) {
    if (level != Level::debug) flight_recorder::note(text);
    if (!wanted(level, text.substr(0, text.find(':')))) return;
    if (form_now == Form::json) return put(level, json_of(level, "remark", {{"text", text}}));
    put(level, std::string(names[static_cast<int>(level)]).append(": ").append(text));
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
    const std::string line = line_of(name, fields);
    if (level != Level::debug) flight_recorder::note(line);
    if (!wanted(level, sort_of(name, fields))) return;
    if (form_now == Form::json) return put(level, json_of(level, name, fields));
    put(level, std::string(names[static_cast<int>(level)]).append(": ").append(line));
}

}  // namespace irismux::log
