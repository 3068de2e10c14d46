#include "codec/notice_reader.hpp"

#include <algorithm>
#include <utility>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

constexpr std::string_view blanks = " \t\r\n";

bool is_blank(std::string_view text) { return text.find_first_not_of(blanks) == std::string_view::npos; }

}  // namespace

Notice notice_of(json content, std::int64_t answer_revision) {
    Notice notice;
    notice.revision = answer_revision;
    try {
        if (!content.is_object()) bad("an event that is not an object");
        notice.numbered = content.contains("rev");
        notice.revision = get_or(content, "rev", answer_revision);
    } catch (const std::exception& e) {
        notice.numbered = false;
        notice.error = e.what();
    }
    notice.content = std::move(content);
    return notice;
}

void NoticeReader::feed(std::string_view piece) {
    piece_.assign(piece);
    at_ = 0;
}

std::optional<Notice> NoticeReader::next() {
    std::optional<Notice> notice;
    while (!notice && error_.empty()) {
        if (!waiting_.empty() && revision_) {
            notice = std::move(waiting_.front());
            waiting_.pop_front();
            if (!notice->numbered) notice->revision = *revision_;
        } else if (!step(notice)) {
            break;
        }
    }
    return notice;
}

// Reads on to the next terminator; false: there is nothing more to be read for now.
bool NoticeReader::step(std::optional<Notice>& notice) {
    if (at_ == piece_.size()) return false;
    switch (place_) {
        case Place::key:
            step_key();
            break;
        case Place::value:
            step_value();
            break;
        case Place::element:
            step_element(notice);
            break;
        default:
            step_between();
    }
    return true;
}

void NoticeReader::step_key() {
    if (!collect(":}")) return;
    const std::string text = take_text();
    if (terminator_ == '}') {
        if (!first_ || !is_blank(text)) return fail("not JSON");
        place_ = Place::end;
        return;
    }
    const json key = json::parse(text, nullptr, false);
    if (!key.is_string()) return fail("not JSON");
    key_ = key.get<std::string>();
    first_ = false;
    place_ = Place::value;
}

void NoticeReader::step_value() {
    if (key_ == "notices") {
        const auto c = take_after_blanks();
        if (!c) return;
        if (*c != '[') return fail("field 'notices' is not a list");
        first_ = true;
        place_ = Place::element;
        return;
    }
    if (!collect(",}")) return;
    const std::string text = take_text();
    place_ = terminator_ == ',' ? Place::key : Place::end;
    if (key_ != "rev") return;
    const json value = json::parse(text, nullptr, false);
    if (!value.is_number()) return fail("field 'rev' is not a number");
    revision_ = value.get<std::int64_t>();
}

void NoticeReader::step_element(std::optional<Notice>& notice) {
    if (!collect(",]")) return;
    const bool too_large = too_large_;
    const std::string text = take_text();
    if (terminator_ == ']') place_ = Place::after_list;
    const bool only = std::exchange(first_, false) && terminator_ == ']';
    if (only && is_blank(text) && !too_large) return;
    Notice read = read_element(text, too_large);
    // Guards the order: behind one that waits for the answer's number all others wait, too.
    if (revision_ || (waiting_.empty() && (read.numbered || !read.error.empty()))) {
        notice = std::move(read);
        return;
    }
    waiting_bytes_ += text.size() + sizeof(Notice);
    waiting_.push_back(std::move(read));
    if (waiting_bytes_ > max_waiting_bytes) fail("too many events without a number of their own");
}

Notice NoticeReader::read_element(const std::string& text, bool too_large) const {
    Notice notice;
    if (too_large) {
        notice.error = "an event that is too large";
        return notice;
    }
    json content = json::parse(text.data(), text.data() + text.size(), nullptr, false);
    if (content.is_discarded()) {
        notice.error = "an event that is not JSON";
        return notice;
    }
    return notice_of(std::move(content), revision_.value_or(0));
}

// Before the answer's object, behind its list, and behind it all.
void NoticeReader::step_between() {
    const auto c = take_after_blanks();
    if (!c) return;
    if (place_ == Place::start && *c == '{') {
        place_ = Place::key;
    } else if (place_ == Place::after_list && *c == ',') {
        place_ = Place::key;
    } else if (place_ == Place::after_list && *c == '}') {
        place_ = Place::end;
    } else {
        fail("not JSON");
    }
}

std::optional<char> NoticeReader::take_after_blanks() {
    at_ = std::min(piece_.find_first_not_of(blanks, at_), piece_.size());
    if (at_ == piece_.size()) return std::nullopt;
    return piece_[at_++];
}

// Collects the text up to a terminator that stands outside of strings and brackets; false: it goes on in the
// next piece.
bool NoticeReader::collect(std::string_view terminators) {
    const std::size_t from = at_;
    for (; at_ < piece_.size(); ++at_) {
        const char c = piece_[at_];
        if (in_string_) {
            in_string_ = escaped_ || c != '"';
            escaped_ = !escaped_ && c == '\\';
        } else if (depth_ == 0 && terminators.find(c) != std::string_view::npos) {
            keep(std::string_view(piece_).substr(from, at_ - from));
            terminator_ = c;
            ++at_;
            return true;
        } else {
            in_string_ = c == '"';
            scan_bracket(c);
        }
    }
    keep(std::string_view(piece_).substr(from));
    return false;
}

void NoticeReader::scan_bracket(char c) {
    if (c == '{' || c == '[') {
        ++depth_;
        too_large_ = too_large_ || depth_ > max_depth;
    } else if ((c == '}' || c == ']') && depth_ > 0) {
        --depth_;
    }
}

// Guards the memory: what is too large is read through and not kept.
void NoticeReader::keep(std::string_view bytes) {
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
