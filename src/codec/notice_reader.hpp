// Reads one response of the notice board, {"rev": LAST, "notices": [...]}, incrementally: from pieces of any
// size and in bounded memory, returning each event as soon as it is complete. Performs no I/O.
//
// A scanner splits the list into the texts of its events, and nlohmann-json parses each text. If the
// connection breaks, the events that arrived completely before the break are therefore used. An event that is
// not JSON does not affect the other events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace irismux {

/// Why one event can't be read.
struct EventError {
    enum class Kind {
        too_large,  ///< the event is too large or nested too deeply; see NoticeReader
        not_json,
        not_an_object,
        invalid_field,
        not_applicable  ///< the observer threw an exception
    };
    Kind kind;
    std::string detail;
    bool operator==(const EventError&) const = default;
};
/// Returns the name of the error for logs, in snake_case.
[[nodiscard]] std::string_view to_string(EventError::Kind kind);

/// One event of the notice board.
// NOLINTNEXTLINE(bugprone-exception-escape): json's move constructor is noexcept; the check looks inside it.
struct Notice {
    std::int64_t revision = 0;  ///< revision of the event, or of the response if the event has none
    bool has_revision = false;  ///< whether the event has a revision of its own
    nlohmann::json content;
    std::optional<EventError> error;  ///< if set, `content` must not be used
};

/// Creates a Notice from an element of a list that has already been parsed.
[[nodiscard]] Notice make_notice(nlohmann::json content, std::int64_t response_revision);

/// Why the rest of a response can't be read.
enum class ResponseError {
    not_json,
    notices_not_a_list,
    revision_not_a_number,
    too_many_unnumbered_events  ///< see NoticeReader::max_waiting_bytes
};
/// Returns the name of the error for logs, in snake_case.
[[nodiscard]] std::string_view to_string(ResponseError error);

class NoticeReader {
public:
    /// Maximum size of one event. A larger event is skipped and reported as too large. The limit allows an
    /// endpoint list of some 5,000 caches.
    static constexpr std::size_t max_notice_bytes = 1'048'576;
    static constexpr int max_depth = 32;  ///< maximum nesting of brackets
    /// Maximum total size of the events that wait for the revision of the response because they have no
    /// revision of their own.
    static constexpr std::size_t max_waiting_bytes = max_notice_bytes;

    /// Passes the next bytes of the response. Must be called only after next() has returned std::nullopt.
    void feed(std::string_view piece);
    /// @return the next event, or std::nullopt if more bytes are needed, the response is complete, or the
    /// response can't be read.
    [[nodiscard]] std::optional<Notice> next();

    [[nodiscard]] bool complete() const { return expecting_ == Expecting::nothing && !error_; }
    [[nodiscard]] std::optional<ResponseError> error() const { return error_; }
    /// @return the revision of the response, or std::nullopt if it has not arrived yet.
    [[nodiscard]] std::optional<std::int64_t> revision() const { return revision_; }

private:
    enum class Expecting { object, key, value, element, end_of_object, nothing };

    bool step(std::optional<Notice>& notice);
    void read_key();
    void read_value();
    void read_element(std::optional<Notice>& notice);
    void read_punctuation();
    [[nodiscard]] Notice parse_element(const std::string& text, bool too_large) const;

    [[nodiscard]] bool collect(std::string_view terminators);
    void append_text(std::string_view bytes);
    void count_bracket(char c);
    [[nodiscard]] std::optional<char> next_non_whitespace();
    [[nodiscard]] std::string take_text();

    std::string piece_;
    std::size_t position_ = 0;  // in piece_
    Expecting expecting_ = Expecting::object;
    std::string key_;
    bool first_ = true;  // whether no key, or no element of the list, has been read yet

    // The text of the current key, value or element, up to its terminator.
    std::string text_;
    int depth_ = 0;
    bool in_string_ = false;
    bool escaped_ = false;
    bool too_large_ = false;
    char terminator_ = 0;

    std::optional<std::int64_t> revision_;
    std::deque<Notice> waiting_;  // events that wait for the revision of the response, in order
    std::size_t waiting_bytes_ = 0;
    std::optional<ResponseError> error_;
};

}  // namespace irismux
