// The reader of an answer's notices and the framing round them: whatever the pieces, the same notices in the
// same order; bounded; and what came before something unreadable counts.
#include "codec/notice_reader.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "codec/http.hpp"

namespace irismux::testing {
namespace {

using nlohmann::json;
using Random = std::ranlux24_base;

std::size_t draw(Random& random, std::size_t low, std::size_t high) {
    return low + random() % (high - low + 1);
}

// Text that a scanner could take for structure.
std::string awkward_text(Random& random) {
    static const std::string parts[] = {"\"", "\\", "{", "}", "[", "]", ",", ":", "rev", "\n", "\r\n", "é"};
    std::string text;
    for (std::size_t n = draw(random, 0, 12); n > 0; --n) text += parts[random() % std::size(parts)];
    return text;
}

json event_of(Random& random, std::int64_t revision) {
    json event = {{"rev", revision}};
    if (random() % 2 == 0)
        event["flush"] = {{"asset", awkward_text(random)}, {"ms", 1}};
    else
        event["pool"] = {{"full", false}, {"servers", {{{"id", awkward_text(random)}, {"cell", 1}}}}};
    return event;
}

struct Answer {
    std::string body;
    std::vector<json> events;
    std::int64_t revision = 0;
};

// With its number before or behind the list, blanks or none, and fields that nobody knows.
Answer answer_of(Random& random, std::int64_t events, bool number_first) {
    Answer answer;
    answer.revision = events;
    json list = json::array();
    for (std::int64_t n = 1; n <= events; ++n) list.push_back(event_of(random, n));
    answer.events = {list.begin(), list.end()};
    const int indent = random() % 2 == 0 ? -1 : 3;
    const std::string number = "\"rev\":" + std::to_string(events);
    const std::string notices = "\"notices\" : " + list.dump(indent);
    const std::string other = "\"x\":" + json{{"notices", {1, awkward_text(random)}}}.dump();
    answer.body = number_first ? "{" + number + "," + other + " ,\n" + notices + "}"
                               : " { " + notices + ", " + other + "," + number + " }\n";
    return answer;
}

struct Read {
    std::vector<Notice> notices;
    bool whole = false;
    std::string error;
    std::optional<std::int64_t> revision;
};

void read_all(NoticeReader& reader, Read& read) {
    while (auto notice = reader.next()) read.notices.push_back(std::move(*notice));
}

Read finish(NoticeReader& reader, Read read) {
    read.whole = reader.complete();
    read.error = reader.error();
    read.revision = reader.revision();
    return read;
}

Read read_in_pieces(const std::string& body, const std::function<std::size_t()>& piece_size) {
    NoticeReader reader;
    Read read;
    for (std::size_t at = 0; at < body.size() && reader.error().empty();) {
        const std::string piece = body.substr(at, piece_size());
        at += piece.size();
        reader.feed(piece);
        read_all(reader, read);
    }
    return finish(reader, std::move(read));
}

Read read_whole(const std::string& body) {
    return read_in_pieces(body, [&] { return body.size(); });
}

void expect_same(const Read& read, const Answer& answer) {
    EXPECT_TRUE(read.whole) << read.error;
    EXPECT_EQ(read.revision, answer.revision);
    ASSERT_EQ(read.notices.size(), answer.events.size());
    for (std::size_t n = 0; n < answer.events.size(); ++n) {
        EXPECT_EQ(read.notices[n].error, "");
        EXPECT_EQ(read.notices[n].content, answer.events[n]);
        EXPECT_EQ(read.notices[n].revision, static_cast<std::int64_t>(n) + 1);
    }
}

TEST(Notices, AreTheSameInPiecesOfAnySize) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        const Answer answer =
            answer_of(random, static_cast<std::int64_t>(draw(random, 0, 80)), seed % 2 == 0);
        ASSERT_TRUE(json::accept(answer.body)) << answer.body;
        expect_same(read_whole(answer.body), answer);
        expect_same(read_in_pieces(answer.body, [] { return std::size_t{1}; }), answer);
        expect_same(read_in_pieces(answer.body, [&] { return draw(random, 1, 4096); }), answer);
        expect_same(read_in_pieces(answer.body, [&] { return draw(random, 1, 7); }), answer);
    }
}

// Chunks that end anywhere, also within strings and escapes, and pieces that end within the framing.
TEST(Notices, AreTheSameInChunksOfAnySize) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        const Answer answer =
            answer_of(random, static_cast<std::int64_t>(draw(random, 1, 80)), seed % 2 == 0);
        std::string framed;
        for (std::size_t at = 0; at < answer.body.size();) {
            const std::string chunk = answer.body.substr(at, draw(random, 1, seed % 3 == 0 ? 9 : 2000));
            char size[32];
            std::snprintf(size, sizeof size, "%zx%s\r\n", chunk.size(), random() % 4 == 0 ? ";a=b" : "");
            framed += size + chunk + "\r\n";
            at += chunk.size();
        }
        framed += "0\r\nTrailer: x\r\n\r\n";
        http::Head head;
        head.chunked = true;
        http::BodyReader body(head);
        NoticeReader reader;
        Read read;
        bool ended = false;
        std::string arrived;
        for (std::size_t at = 0; at < framed.size();) {
            const std::string piece = framed.substr(at, draw(random, 1, seed % 2 == 0 ? 5 : 3000));
            at += piece.size();
            arrived += piece;
            for (std::size_t used = 1; used > 0 && !ended;) {
                std::string_view part;
                const ParseStatus parsed = body.next(arrived, part, used);
                ASSERT_NE(parsed, ParseStatus::invalid);
                ended = parsed == ParseStatus::complete;
                reader.feed(part);
                read_all(reader, read);
                arrived.erase(0, used);
            }
        }
        EXPECT_TRUE(ended);
        EXPECT_EQ(arrived, "");
        expect_same(finish(reader, std::move(read)), answer);
    }
}

TEST(Notices, BodyWithALengthEndsThere) {
    http::Head head;
    head.sized = true;
    head.length = (std::size_t{1} << 21) + 1;  // above what is ever held whole
    http::BodyReader body(head);
    const std::string some(100'000, 'b');
    std::size_t seen = 0, used = 0;
    std::string_view piece;
    ParseStatus parsed = ParseStatus::incomplete;
    while (parsed == ParseStatus::incomplete) {
        parsed = body.next(some, piece, used);
        ASSERT_NE(parsed, ParseStatus::invalid);
        ASSERT_EQ(used, piece.size());
        seen += used;
    }
    EXPECT_EQ(seen, head.length);
}

TEST(Notices, OneThatIsNotJsonSpoilsNoOther) {
    const Read read = read_whole(
        R"({"rev":5,"notices":[{"rev":1,"flush":{}},{"rev":2,"flush":},7,{"rev":"x"},{"rev":5,"flush":{}}]})");
    ASSERT_EQ(read.notices.size(), 5u);
    EXPECT_TRUE(read.whole);
    EXPECT_EQ(read.notices[0].error, "");
    EXPECT_EQ(read.notices[1].error, "an event that is not JSON");
    EXPECT_EQ(read.notices[2].error, "an event that is not an object");
    EXPECT_EQ(read.notices[3].error, "field 'rev' is not a number");
    EXPECT_EQ(read.notices[4].error, "");
    EXPECT_EQ(read.notices[4].revision, 5);
}

TEST(Notices, WhatCameBeforeABreakCounts) {
    const std::string body = R"({"rev":3,"notices":[{"rev":1},{"rev":2},{"re)";
    const Read read = read_whole(body);
    ASSERT_EQ(read.notices.size(), 2u);
    EXPECT_FALSE(read.whole);
    EXPECT_EQ(read.error, "");
}

TEST(Notices, AnswersThatAreNoneAreRefused) {
    for (const char* body : {"[]", "7", "{\"rev\":1,}", "{7:1}", "{\"rev\":1,\"notices\":{}}",
                             "{\"rev\":1} x", "{\"rev\":\"1\",\"notices\":[]}", "{\"notices\":[] 7}"}) {
        const Read read = read_whole(body);
        EXPECT_FALSE(read.error.empty()) << body;
        EXPECT_FALSE(read.whole) << body;
    }
    for (const char* body : {"", "{", "{]", "{\"rev\":1", "{\"rev\":1,\"notices\":[}"})
        EXPECT_FALSE(read_whole(body).whole) << body;
    EXPECT_FALSE(read_whole(std::string(3, '\0')).error.empty());
    EXPECT_FALSE(read_whole("{\"notices\":" + std::string(1, '\0') + "[]}").error.empty());
}

// Those without a number of their own have the answer's, wherever that stands; the order stays.
TEST(Notices, WithoutANumberHaveTheAnswers) {
    for (const char* body : {R"({"rev":9,"notices":[{"a":1},{"rev":8},{"a":2}]})",
                             R"({"notices":[{"a":1},{"rev":8},{"a":2}],"rev":9})"}) {
        const Read read = read_in_pieces(body, [] { return std::size_t{1}; });
        ASSERT_EQ(read.notices.size(), 3u) << body;
        EXPECT_EQ(read.notices[0].revision, 9);
        EXPECT_FALSE(read.notices[0].numbered);
        EXPECT_EQ(read.notices[1].revision, 8);
        EXPECT_TRUE(read.notices[1].numbered);
        EXPECT_EQ(read.notices[2].revision, 9);
    }
}

TEST(Notices, WaitForTheAnswersNumberInBoundedMemory) {
    NoticeReader reader;
    reader.feed("{\"notices\":[");
    std::size_t fed = 0;
    while (reader.error().empty() && fed < 100'000'000) {
        const std::string some = "{\"a\":1},{\"a\":2},";
        reader.feed(some);
        fed += some.size();
        EXPECT_FALSE(reader.next());
    }
    EXPECT_LT(fed, NoticeReader::max_waiting_bytes);
}

// One that is too large or too deep is read through without being kept; those behind it count.
TEST(Notices, TooLargeOrTooDeepAreLeftOut) {
    for (const std::string& bad :
         {"{\"rev\":2,\"x\":\"" + std::string(3 * NoticeReader::max_notice_bytes, 'x') + "\"}",
          std::string(100'000, '[') + std::string(100'000, ']')}) {
        const Read read = read_in_pieces("{\"rev\":3,\"notices\":[{\"rev\":1}," + bad + ",{\"rev\":3}]}",
                                         [] { return std::size_t{4096}; });
        ASSERT_EQ(read.notices.size(), 3u);
        EXPECT_TRUE(read.whole);
        EXPECT_EQ(read.notices[1].error, "an event that is too large");
        EXPECT_EQ(read.notices[2].revision, 3);
    }
}

// Bytes changed at random: the reader comes to an end of what it was fed, and what stood before the first
// change is told.
TEST(Notices, SpoiltBytesEndInAnOutcome) {
    for (unsigned seed = 1; seed <= 400; ++seed) {
        Random random(seed);
        const Answer answer = answer_of(random, 20, true);
        std::string body = answer.body;
        const std::size_t from = body.find("\"notices\" : ") + draw(random, 12, body.size() / 2);
        for (std::size_t n = draw(random, 1, 5); n > 0; --n)
            body[draw(random, std::min(from, body.size() - 1), body.size() - 1)] =
                static_cast<char>(draw(random, 0, 255));
        const Read whole = read_whole(answer.body.substr(0, std::min(from, body.size())));
        const Read read = read_in_pieces(body, [&] { return draw(random, 1, 64); });
        ASSERT_GE(read.notices.size(), whole.notices.size()) << seed;
        for (std::size_t n = 0; n < whole.notices.size(); ++n)
            EXPECT_EQ(read.notices[n].content, answer.events[n]) << seed;
    }
}

}  // namespace
}  // namespace irismux::testing
