// Reads one answer of the notice board, {"rev": LAST, "notices": [...]}, as its bytes arrive: in pieces of
// any size and in bounded memory, each event as soon as it is whole. Without I/O.
//
// A scanner cuts the list into the texts of its events and nlohmann-json parses each. So events count that
// came whole before a break, and one that is not JSON does not affect the others.
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
        too_large,  ///< or too deep; see NoticeReader
        not_json,
        not_an_object,
        invalid_field,
        not_applicable  ///< its observer refused it
    };
    Kind kind;
    std::string detail;
    bool operator==(const EventError&) const = default;
};
/// For logs, in snake_case.
[[nodiscard]] std::string_view to_string(EventError::Kind kind);

/// One event of the board.
// NOLINTNEXTLINE(bugprone-exception-escape): json's move constructor is noexcept; the check looks inside it.
struct Notice {
    std::int64_t revision = 0;  ///< its own, or that of the answer
    bool has_revision = false;  ///< it has one of its own
    nlohmann::json content;
    std::optional<EventError> error;  ///< set: `content` does not count
};

/// An event as it stands in a list that was parsed elsewhere.
[[nodiscard]] Notice make_notice(nlohmann::json content, std::int64_t response_revision);

/// Why the rest of an answer can't be read.
enum class ResponseError {
    not_json,
    notices_not_a_list,
    revision_not_a_number,
    too_many_unnumbered_events  ///< see NoticeReader::max_waiting_bytes
};
/// For logs, in snake_case.
[[nodiscard]] std::string_view to_string(ResponseError error);

class NoticeReader {
public:
    /// A longer event is read through and reported as too large. Enough for a list of some 5,000 caches.
    static constexpr std::size_t max_notice_bytes = 1'048'576;
    static constexpr int max_depth = 32;  ///< of nested brackets
    /// Events without a revision of their own wait for the answer's, in so many bytes.
    static constexpr std::size_t max_waiting_bytes = max_notice_bytes;

    /// The next bytes of the answer. To be called only once next() has returned none.
    void feed(std::string_view piece);
    /// The next event; none: more bytes are needed, or the answer is complete, or it can't be read.
    [[nodiscard]] std::optional<Notice> next();

    [[nodiscard]] bool complete() const { return expecting_ == Expecting::nothing && !error_; }
    [[nodiscard]] std::optional<ResponseError> error() const { return error_; }
    /// The answer's; none: it has not come yet.
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
    std::size_t position_ = 0;  // in the piece
    Expecting expecting_ = Expecting::object;
    std::string key_;
    bool first_ = true;  // of the keys, or of the list

    // The text of one key, value or element, up to its terminator.
    std::string text_;
    int depth_ = 0;
    bool in_string_ = false;
    bool escaped_ = false;
    bool too_large_ = false;
    char terminator_ = 0;

    std::optional<std::int64_t> revision_;
    std::deque<Notice> waiting_;  // for the answer's revision, in order
    std::size_t waiting_bytes_ = 0;
    std::optional<ResponseError> error_;
};

}  // namespace irismux
