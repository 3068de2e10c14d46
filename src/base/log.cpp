#include "base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/flight_recorder.hpp"

namespace irismux::log {
namespace {

Format current_format = Format::text;
std::string process_name;

std::string_view name_of(Level level) {
    constexpr std::string_view names[] = {"error", "warning", "info", "debug"};
    return names[static_cast<std::size_t>(level)];
}

spdlog::level::level_enum spdlog_level(Level level) {
    constexpr spdlog::level::level_enum levels[] = {spdlog::level::err, spdlog::level::warn,
                                                    spdlog::level::info, spdlog::level::debug};
    return levels[static_cast<std::size_t>(level)];
}

// The logger has one sink and uses no locks or threads. Each record is one write.
spdlog::logger& logger() {
    static const std::unique_ptr<spdlog::logger> instance = [] {
        auto created =
            std::make_unique<spdlog::logger>("irismux", std::make_shared<spdlog::sinks::stderr_sink_st>());
        created->set_pattern("%v");
        created->set_level(spdlog::level::info);
        created->flush_on(spdlog::level::debug);
        return created;
    }();
    return *instance;
}

// --- formats ---------------------------------------------------------------------------------------------

std::string format_json(Level level, std::string_view event, std::initializer_list<Field> fields) {
    using std::chrono::microseconds;
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::json record = {{"level", name_of(level)}, {"event", event}};
    record["at_us"] = std::chrono::duration_cast<microseconds>(unix_time).count();
    if (!process_name.empty()) record["by"] = process_name;
    for (const Field& field : fields) {
        nlohmann::json& value = record[std::string(field.name)];
        if (field.is_number)
            value = std::atoll(field.text.c_str());
        else
            value = field.text;
    }
    // Invalid UTF-8 in a field is replaced, so that the record is still written.
    return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns the event as a line of text. write_text() adds the level in front of the line.
std::string format_text(std::string_view event, std::initializer_list<Field> fields) {
    std::string line(event);
    for (const Field& field : fields) line.append(" ").append(field.name).append("=").append(field.text);
    return line;
}

void write_line(Level level, std::string line) {
    constexpr std::size_t max_bytes = 4096;
    if (line.size() > max_bytes) line.resize(max_bytes);
    logger().log(spdlog_level(level), spdlog::string_view_t(line));
}

void write_text(Level level, std::string_view line) {
    write_line(level, std::string(name_of(level)).append(": ").append(line));
}

// --- limits ----------------------------------------------------------------------------------------------

// Limits the records per second, in total and per kind (the name and the reason of an event), because a fault
// must neither fill a disk nor block the event loop with writes.
class RateLimit {
public:
    // Counts a record of the given kind and returns whether the record may be written now. The first call
    // after a second has passed also logs how many records were suppressed in that second.
    [[nodiscard]] bool admit(std::string_view kind) {
        begin_second();
        Count& count = count_of(kind);
        if (written_ >= max_records_per_second || count.written >= max_records_of_a_kind_per_second) {
            ++count.suppressed;
            return false;
        }
        ++count.written;
        ++written_;
        return true;
    }

private:
    static constexpr int max_records_per_second = 50;
    static constexpr int max_records_of_a_kind_per_second = 10;
    static constexpr std::size_t max_kinds = 32;  // further kinds are counted together as "others"

    struct Count {
        int written = 0, suppressed = 0;
    };

    void begin_second() {
        const auto now = std::chrono::steady_clock::now();
        if (now - second_began_at_ < std::chrono::seconds(1)) return;
        for (const auto& [kind, count] : counts_)
            if (count.suppressed > 0) report_suppressed(kind, count.suppressed);
        second_began_at_ = now;
        written_ = 0;
        counts_.clear();
    }

    static void report_suppressed(const std::string& kind, int records) {
        constexpr std::string_view name = "log_records_suppressed";
        const std::initializer_list<Field> fields = {{"count", records}, {"suppressed_event", kind}};
        if (current_format == Format::json)
            return write_line(Level::warning, format_json(Level::warning, name, fields));
        write_text(Level::warning, format_text(name, fields));
    }

    Count& count_of(std::string_view kind) {
        const auto it = counts_.find(kind);
        if (it != counts_.end()) return it->second;
        return counts_[counts_.size() < max_kinds ? std::string(kind) : "others"];
    }

    std::chrono::steady_clock::time_point second_began_at_;
    int written_ = 0;
    std::map<std::string, Count, std::less<>> counts_;
};

bool admit(Level level, std::string_view kind) {
    static RateLimit limit;
    if (!is_enabled(level)) return false;
    return level == Level::debug || limit.admit(kind);
}

std::string kind_of(std::string_view event, std::initializer_list<Field> fields) {
    std::string kind(event);
    for (const Field& field : fields)
        if (field.name == "reason") kind.append(" ").append(field.text);
    return kind;
}

}  // namespace

void set_level(Level highest) { logger().set_level(spdlog_level(highest)); }
void set_format(Format format) { current_format = format; }
void set_process_name(std::string name) { process_name = std::move(name); }
bool is_enabled(Level level) { return logger().should_log(spdlog_level(level)); }

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
    const std::string line = format_text(name, fields);
    if (level != Level::debug) flight_recorder::note(line);
    if (!admit(level, kind_of(name, fields))) return;
    if (current_format == Format::json) return write_line(level, format_json(level, name, fields));
    write_text(level, line);
}

void write(Level level, std::string_view text) {
    if (level != Level::debug) flight_recorder::note(text);
    if (!admit(level, text.substr(0, text.find(':')))) return;
    if (current_format == Format::json)
        return write_line(level, format_json(level, "remark", {{"text", text}}));
    write_text(level, text);
}

}  // namespace irismux::log
