// The notices of one answer of the notice board, {"rev": LAST, "notices": [...]}, read as its bytes arrive:
// in pieces of any size and in bounded memory, each notice as soon as it is whole. Without I/O.
//
// A small scanner cuts the list into the texts of its notices; nlohmann-json parses each. So what came whole
// counts also where the answer breaks off behind it, and one notice that is no JSON spoils no other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace irismux {

// One event of the board.
struct Notice {
    std::int64_t revision = 0;  // its own number, or that of the answer
    bool numbered = false;      // it has one of its own
    nlohmann::json content;
    std::string error;  // why it can't be read; empty: it can
};

// A notice as it stands in a list that was parsed elsewhere.
Notice notice_of(nlohmann::json content, std::int64_t answer_revision);

class NoticeReader {
public:
    // A longer one is not kept: it is told as one that can't be read. Enough for a list of some 5,000 caches.
    static constexpr std::size_t max_notice_bytes = 1 << 20;
    static constexpr int max_depth = 32;  // brackets within brackets
    // Notices without a number of their own wait for the answer's, in so many bytes.
    static constexpr std::size_t max_waiting_bytes = max_notice_bytes;

    // The next bytes, once next() has returned nothing.
    void feed(std::string_view piece);
    // The next notice; none: more bytes are needed, or the answer is whole, or it can't be read.
    std::optional<Notice> next();

    bool complete() const { return place_ == Place::end && error_.empty(); }
    // Why the rest of the answer can't be read; empty: it can.
    const std::string& error() const { return error_; }
    std::optional<std::int64_t> revision() const { return revision_; }  // the answer's, once it has come

private:
    enum class Place { start, key, value, element, after_list, end };

    bool step(std::optional<Notice>& notice);
    void step_key();
    void step_value();
    void step_element(std::optional<Notice>& notice);
    void step_between();
    bool collect(std::string_view terminators);
    void keep(std::string_view bytes);
    void scan_bracket(char c);
    std::optional<char> take_after_blanks();
    std::string take_text();
    void fail(const char* why) { error_ = why; }
    Notice read_element(const std::string& text, bool too_large) const;

    std::string piece_;
    std::size_t at_ = 0;  // in the piece
    Place place_ = Place::start;
    std::string key_;
    bool first_ = true;  // of the keys, or of the list

    // The text at hand, up to its terminator.
    std::string text_;
    int depth_ = 0;
    bool in_string_ = false, escaped_ = false, too_large_ = false;
    char terminator_ = 0;

    std::optional<std::int64_t> revision_;
    std::deque<Notice> waiting_;  // for the answer's number, in order
    std::size_t waiting_bytes_ = 0;
    std::string error_;
};

}  // namespace irismux
