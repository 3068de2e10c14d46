// Tests NoticeReader and http::BodyReader. The pieces in which a response of the notice board arrives must
// not change its events or their order. Memory must stay bounded, and the events before unreadable data must
// be delivered.
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

// Random text of characters that a scanner could mistake for JSON structure.
std::string random_json_like_text(Random& random) {
    static const std::string parts[] = {"\"", "\\", "{", "}", "[", "]", ",", ":", "rev", "\n", "\r\n", "é"};
    std::string text;
    for (std::size_t n = draw(random, 0, 12); n > 0; --n) text += parts[random() % std::size(parts)];
    return text;
}

json random_event(Random& random, std::int64_t revision) {
    json event = {{"rev", revision}};
    if (random() % 2 == 0)
        event["flush"] = {{"asset", random_json_like_text(random)}, {"ms", 1}};
    else
        event["pool"] = {{"full", false},
                         {"servers", {{{"id", random_json_like_text(random)}, {"cell", 1}}}}};
    return event;
}

struct Answer {
    std::string body;
    std::vector<json> events;
    std::int64_t revision = 0;
};

// Makes a random response. The revision of the response stands before or after the list of events, the list
// is indented or not, and the response has fields that the reader does not use.
Answer random_answer(Random& random, std::int64_t events, bool revision_first) {
    Answer answer;
    answer.revision = events;
    json list = json::array();
    for (std::int64_t n = 1; n <= events; ++n) list.push_back(random_event(random, n));
    answer.events = {list.begin(), list.end()};
    const int indent = random() % 2 == 0 ? -1 : 3;
    const std::string number = "\"rev\":" + std::to_string(events);
    const std::string notices = "\"notices\" : " + list.dump(indent);
    const std::string other = "\"x\":" + json{{"notices", {1, random_json_like_text(random)}}}.dump();
    answer.body = revision_first ? "{" + number + "," + other + " ,\n" + notices + "}"
                                 : " { " + notices + ", " + other + "," + number + " }\n";
    return answer;
}

struct Result {
    std::vector<Notice> notices;
    bool complete = false;
    std::optional<ResponseError> error;
    std::optional<std::int64_t> revision;
};

void read_all(NoticeReader& reader, Result& read) {
    while (auto notice = reader.next()) read.notices.push_back(std::move(*notice));
}

Result finish(NoticeReader& reader, Result read) {
    read.complete = reader.complete();
    read.error = reader.error();
    read.revision = reader.revision();
    return read;
}

Result read_in_pieces(const std::string& body, const std::function<std::size_t()>& piece_size) {
    NoticeReader reader;
    Result read;
    for (std::size_t at = 0; at < body.size() && !reader.error();) {
        const std::string piece = body.substr(at, piece_size());
        at += piece.size();
        reader.feed(piece);
        read_all(reader, read);
    }
    return finish(reader, std::move(read));
}

Result read_whole(const std::string& body) {
    return read_in_pieces(body, [&] { return body.size(); });
}

void expect_same(const Result& read, const Answer& answer) {
    EXPECT_TRUE(read.complete);
    EXPECT_EQ(read.error, std::nullopt);
    EXPECT_EQ(read.revision, answer.revision);
    ASSERT_EQ(read.notices.size(), answer.events.size());
    for (std::size_t n = 0; n < answer.events.size(); ++n) {
        EXPECT_EQ(read.notices[n].error, std::nullopt);
        EXPECT_EQ(read.notices[n].content, answer.events[n]);
        EXPECT_EQ(read.notices[n].revision, static_cast<std::int64_t>(n) + 1);
    }
}

// The boundaries between received pieces must not change the events or their order. Feeds random responses
// whole, byte by byte and in pieces of random sizes.
TEST(NoticeReader, ReadsTheSameEventsFromPiecesOfAnySize) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        const Answer answer =
            random_answer(random, static_cast<std::int64_t>(draw(random, 0, 80)), seed % 2 == 0);
        ASSERT_TRUE(json::accept(answer.body)) << answer.body;
        expect_same(read_whole(answer.body), answer);
        expect_same(read_in_pieces(answer.body, [] { return std::size_t{1}; }), answer);
        expect_same(read_in_pieces(answer.body, [&] { return draw(random, 1, 4096); }), answer);
        expect_same(read_in_pieces(answer.body, [&] { return draw(random, 1, 7); }), answer);
    }
}

// HTTP chunks may end anywhere, also within strings and escapes, and must not change the events. Feeds
// responses that are split into random chunks and arrive in pieces of random sizes.
TEST(NoticeReader, ReadsTheSameEventsFromChunksOfAnySize) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        const Answer answer =
            random_answer(random, static_cast<std::int64_t>(draw(random, 1, 80)), seed % 2 == 0);
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
        Result read;
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

// A body that is longer than any body held whole in memory must still end at its Content-Length.
TEST(HttpBodyReader, EndsALongBodyAtItsContentLength) {
    http::Head head;
    head.has_content_length = true;
    head.length = (std::size_t{1} << 21) + 1;  // longer than any body held whole
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

// A response may contain an event that can't be read. The reader must report an error for this event only,
// and must deliver all other events of the response.
TEST(NoticeReader, ReportsAnUnreadableEventAndReadsTheOthers) {
    const Result read = read_whole(
        R"({"rev":5,"notices":[{"rev":1,"flush":{}},{"rev":2,"flush":},7,{"rev":"x"},{"rev":5,"flush":{}}]})");
    ASSERT_EQ(read.notices.size(), 5u);
    EXPECT_TRUE(read.complete);
    using Kind = EventError::Kind;
    EXPECT_EQ(read.notices[0].error, std::nullopt);
    EXPECT_EQ(read.notices[1].error, (EventError{Kind::not_json, ""}));
    EXPECT_EQ(read.notices[2].error, (EventError{Kind::not_an_object, ""}));
    EXPECT_EQ(read.notices[3].error, (EventError{Kind::invalid_field, "field 'rev' is not a number"}));
    EXPECT_EQ(read.notices[4].error, std::nullopt);
    EXPECT_EQ(read.notices[4].revision, 5);
}

// A response breaks off in the middle of its third event. The reader must deliver the two events before the
// break.
TEST(NoticeReader, DeliversTheEventsBeforeATruncation) {
    const std::string body = R"({"rev":3,"notices":[{"rev":1},{"rev":2},{"re)";
    const Result read = read_whole(body);
    ASSERT_EQ(read.notices.size(), 2u);
    EXPECT_FALSE(read.complete);
    EXPECT_EQ(read.error, std::nullopt);
}

// Bytes that are not a response, or only the beginning of a response, must never be reported as a complete
// response. The reader must report an error or wait for more data.
TEST(NoticeReader, NeverCompletesAMalformedAnswer) {
    for (const char* body : {"[]", "7", "{\"rev\":1,}", "{7:1}", "{\"rev\":1,\"notices\":{}}",
                             "{\"rev\":1} x", "{\"rev\":\"1\",\"notices\":[]}", "{\"notices\":[] 7}"}) {
        const Result read = read_whole(body);
        EXPECT_TRUE(read.error) << body;
        EXPECT_FALSE(read.complete) << body;
    }
    for (const char* body : {"", "{", "{]", "{\"rev\":1", "{\"rev\":1,\"notices\":[}"})
        EXPECT_FALSE(read_whole(body).complete) << body;
    EXPECT_EQ(read_whole(std::string(3, '\0')).error, ResponseError::not_json);
    EXPECT_EQ(read_whole("{\"notices\":" + std::string(1, '\0') + "[]}").error,
              ResponseError::notices_not_a_list);
}

// Events without a revision of their own must get the revision of the response, whether the response names
// its revision before or after the events. All events must stay in order.
TEST(NoticeReader, GivesUnnumberedEventsTheAnswersRevision) {
    for (const char* body : {R"({"rev":9,"notices":[{"a":1},{"rev":8},{"a":2}]})",
                             R"({"notices":[{"a":1},{"rev":8},{"a":2}],"rev":9})"}) {
        const Result read = read_in_pieces(body, [] { return std::size_t{1}; });
        ASSERT_EQ(read.notices.size(), 3u) << body;
        EXPECT_EQ(read.notices[0].revision, 9);
        EXPECT_FALSE(read.notices[0].has_revision);
        EXPECT_EQ(read.notices[1].revision, 8);
        EXPECT_TRUE(read.notices[1].has_revision);
        EXPECT_EQ(read.notices[2].revision, 9);
    }
}

// The reader holds events without a revision until the revision of the response arrives. If this revision
// never arrives, the reader must report an error before it holds more than max_waiting_bytes.
TEST(NoticeReader, BoundsTheMemoryOfEventsWithoutARevision) {
    NoticeReader reader;
    reader.feed("{\"notices\":[");
    EXPECT_FALSE(reader.next());
    std::size_t fed = 0;
    while (!reader.error() && fed < 100'000'000) {
        const std::string some = "{\"a\":1},{\"a\":2},";
        reader.feed(some);
        fed += some.size();
        EXPECT_FALSE(reader.next());
    }
    EXPECT_EQ(reader.error(), ResponseError::too_many_unnumbered_events);
    EXPECT_LT(fed, NoticeReader::max_waiting_bytes);
}

// An event that is too large or too deeply nested must be reported with an error, and the events after it
// must still be read.
TEST(NoticeReader, SkipsAnEventThatIsTooLargeOrTooDeep) {
    for (const std::string& bad :
         {"{\"rev\":2,\"x\":\"" + std::string(3 * NoticeReader::max_notice_bytes, 'x') + "\"}",
          std::string(100'000, '[') + std::string(100'000, ']')}) {
        const Result read = read_in_pieces("{\"rev\":3,\"notices\":[{\"rev\":1}," + bad + ",{\"rev\":3}]}",
                                           [] { return std::size_t{4096}; });
        ASSERT_EQ(read.notices.size(), 3u);
        EXPECT_TRUE(read.complete);
        EXPECT_EQ(read.notices[1].error, (EventError{EventError::Kind::too_large, ""}));
        EXPECT_EQ(read.notices[2].revision, 3);
    }
}

// Corrupted bytes must not make the reader hang, and the events before the first corrupted byte must be
// delivered.
TEST(NoticeReader, DeliversTheEventsBeforeCorruptedBytes) {
    for (unsigned seed = 1; seed <= 400; ++seed) {
        Random random(seed);
        const Answer answer = random_answer(random, 20, true);
        std::string body = answer.body;
        const std::size_t from = body.find("\"notices\" : ") + draw(random, 12, body.size() / 2);
        for (std::size_t n = draw(random, 1, 5); n > 0; --n)
            body[draw(random, std::min(from, body.size() - 1), body.size() - 1)] =
                static_cast<char>(draw(random, 0, 255));
        const Result whole = read_whole(answer.body.substr(0, std::min(from, body.size())));
        const Result read = read_in_pieces(body, [&] { return draw(random, 1, 64); });
        ASSERT_GE(read.notices.size(), whole.notices.size()) << seed;
        for (std::size_t n = 0; n < whole.notices.size(); ++n)
            EXPECT_EQ(read.notices[n].content, answer.events[n]) << seed;
    }
}

}  // namespace
}  // namespace irismux::testing
