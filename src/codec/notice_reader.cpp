#include "codec/notice_reader.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

constexpr const char* revision_key = "rev";
constexpr const char* notices_key = "notices";
constexpr std::string_view whitespace = " \t\r\n";

bool is_whitespace(std::string_view text) {
    return text.find_first_not_of(whitespace) == std::string_view::npos;
}

}  // namespace

std::string_view to_string(EventError::Kind kind) {
    switch (kind) {
        case EventError::Kind::too_large:
            return "too_large";
        case EventError::Kind::not_json:
            return "not_json";
        case EventError::Kind::not_an_object:
            return "not_an_object";
        case EventError::Kind::invalid_field:
            return "invalid_field";
        case EventError::Kind::not_applicable:
            return "not_applicable";
    }
    return "unknown";
}

std::string_view to_string(ResponseError error) {
    switch (error) {
        case ResponseError::not_json:
            return "not_json";
        case ResponseError::notices_not_a_list:
            return "notices_not_a_list";
        case ResponseError::revision_not_a_number:
            return "revision_not_a_number";
        case ResponseError::too_many_unnumbered_events:
            return "too_many_unnumbered_events";
    }
    return "unknown";
}

Notice make_notice(json content, std::int64_t response_revision) {
    Notice notice;
    notice.revision = response_revision;
    try {
        if (content.is_object()) {
            notice.has_revision = content.contains(revision_key);
            notice.revision = get_or(content, revision_key, response_revision);
        } else {
            notice.error = EventError{EventError::Kind::not_an_object, {}};
        }
    } catch (const std::exception& e) {
        notice.has_revision = false;
        notice.error = EventError{EventError::Kind::invalid_field, e.what()};
    }
    notice.content = std::move(content);
    return notice;
}

void NoticeReader::feed(std::string_view piece) {
    piece_.assign(piece);
    position_ = 0;
}

std::optional<Notice> NoticeReader::next() {
    std::optional<Notice> notice;
    while (!notice && !error_) {
        if (!waiting_.empty() && revision_) {
            notice = std::move(waiting_.front());
            waiting_.pop_front();
            if (!notice->has_revision) notice->revision = *revision_;
        } else if (!step(notice)) {
            break;
        }
    }
    return notice;
}

// Reads the current piece up to the next terminator.
// @return false if the piece has been read completely.
bool NoticeReader::step(std::optional<Notice>& notice) {
    if (position_ == piece_.size()) return false;
    switch (expecting_) {
        case Expecting::key:
            read_key();
            break;
        case Expecting::value:
            read_value();
            break;
        case Expecting::element:
            read_element(notice);
            break;
        case Expecting::object:
        case Expecting::end_of_object:
        case Expecting::nothing:
            read_punctuation();
            break;
    }
    return true;
}

void NoticeReader::read_key() {
    if (!collect(":}")) return;
    const std::string text = take_text();
    if (terminator_ == '}') {
        if (!first_ || !is_whitespace(text)) error_ = ResponseError::not_json;
        expecting_ = Expecting::nothing;
        return;
    }
    const json key = json::parse(text, nullptr, false);
    if (!key.is_string()) {
        error_ = ResponseError::not_json;
        return;
    }
    key_ = key.get<std::string>();
    first_ = false;
    expecting_ = Expecting::value;
}

void NoticeReader::read_value() {
    if (key_ == notices_key) {
        const auto c = next_non_whitespace();
        if (!c) return;
        if (*c != '[') error_ = ResponseError::notices_not_a_list;
        first_ = true;
        expecting_ = Expecting::element;
        return;
    }
    if (!collect(",}")) return;
    const std::string text = take_text();
    expecting_ = terminator_ == ',' ? Expecting::key : Expecting::nothing;
    if (key_ != revision_key) return;
    const json value = json::parse(text, nullptr, false);
    if (value.is_number())
        revision_ = value.get<std::int64_t>();
    else
        error_ = ResponseError::revision_not_a_number;
}

void NoticeReader::read_element(std::optional<Notice>& notice) {
    if (!collect(",]")) return;
    const bool too_large = too_large_;
    const std::string text = take_text();
    if (terminator_ == ']') expecting_ = Expecting::end_of_object;
    const bool only = first_ && terminator_ == ']';
    first_ = false;
    if (only && is_whitespace(text) && !too_large) return;  // an empty list
    Notice read = parse_element(text, too_large);
    // Preserves the order: while one event waits for the revision of the response, all later events wait too.
    if (revision_ || (waiting_.empty() && (read.has_revision || read.error))) {
        notice = std::move(read);
        return;
    }
    waiting_bytes_ += text.size() + sizeof(Notice);
    waiting_.push_back(std::move(read));
    if (waiting_bytes_ > max_waiting_bytes) error_ = ResponseError::too_many_unnumbered_events;
}

Notice NoticeReader::parse_element(const std::string& text, bool too_large) const {
    Notice notice;
    if (too_large) {
        notice.error = EventError{EventError::Kind::too_large, {}};
        return notice;
    }
    json content = json::parse(text.data(), text.data() + text.size(), nullptr, false);
    if (content.is_discarded()) {
        notice.error = EventError{EventError::Kind::not_json, {}};
        return notice;
    }
    return make_notice(std::move(content), revision_.value_or(0));
}

// Reads the next character where only punctuation may follow: '{' at the start of the response, and ',' or
// '}' after the list of events. After the end of the response, every character other than whitespace is an
// error.
void NoticeReader::read_punctuation() {
    const auto c = next_non_whitespace();
    if (!c) return;
    const bool opens = expecting_ == Expecting::object && *c == '{';
    const bool goes_on = expecting_ == Expecting::end_of_object && *c == ',';
    const bool closes = expecting_ == Expecting::end_of_object && *c == '}';
    if (opens || goes_on)
        expecting_ = Expecting::key;
    else if (closes)
        expecting_ = Expecting::nothing;
    else
        error_ = ResponseError::not_json;
}

std::optional<char> NoticeReader::next_non_whitespace() {
    position_ = std::min(piece_.find_first_not_of(whitespace, position_), piece_.size());
    if (position_ == piece_.size()) return std::nullopt;
    return piece_[position_++];
}

// Collects the text up to a terminator outside of strings and brackets.
// @return false if the text continues in the next piece.
bool NoticeReader::collect(std::string_view terminators) {
    const std::size_t begin = position_;
    for (; position_ < piece_.size(); ++position_) {
        const char c = piece_[position_];
        if (in_string_) {
            in_string_ = escaped_ || c != '"';
            escaped_ = !escaped_ && c == '\\';
        } else if (depth_ == 0 && terminators.find(c) != std::string_view::npos) {
            append_text(std::string_view(piece_).substr(begin, position_ - begin));
            terminator_ = c;
            ++position_;
            return true;
        } else {
            in_string_ = c == '"';
            count_bracket(c);
        }
    }
    append_text(std::string_view(piece_).substr(begin));
    return false;
}

void NoticeReader::count_bracket(char c) {
    if (c == '{' || c == '[') {
        ++depth_;
        too_large_ = too_large_ || depth_ > max_depth;
    } else if ((c == '}' || c == ']') && depth_ > 0) {
        --depth_;
    }
}

// Limits memory: an event that is too large is read to its end without being stored.
void NoticeReader::append_text(std::string_view bytes) {
    too_large_ = too_large_ || text_.size() + bytes.size() > max_notice_bytes;
    if (too_large_)
        text_.clear();
    else
        text_.append(bytes);
}

std::string NoticeReader::take_text() {
    depth_ = 0;
    in_string_ = escaped_ = too_large_ = false;
    return std::exchange(text_, {});
}

}  // namespace irismux
