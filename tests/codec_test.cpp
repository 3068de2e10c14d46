// Tests the codecs. The parsers get whole, truncated and corrupted messages, and must read back the messages
// that the writers write.
#include <rapidcheck.h>

#include "codec/client_protocol.hpp"
#include "codec/fastcgi.hpp"
#include "codec/http.hpp"
#include "codec/resp.hpp"
#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

std::string bytes_of(const Buffer& b) { return std::string(b.view()); }

std::string any_bytes(std::size_t max_length) {
    const auto n = *rc::gen::inRange<std::size_t>(0, max_length);
    return *rc::gen::container<std::string>(n, rc::gen::arbitrary<char>());
}

// Checks that a parser needs more bytes at each prefix of a message, and that it neither crashes nor reads
// past the end of a corrupted message (sanitizers detect such a read).
template <class Parse>
void check_parser(std::string whole, Parse parse) {
    std::size_t used = 0;
    for (std::size_t n = 0; n < whole.size(); ++n) {
        const std::string prefix(whole, 0, n);
        RC_ASSERT(parse(prefix, used) == ParseStatus::incomplete);
    }
    RC_ASSERT(parse(whole + "tail", used) == ParseStatus::complete);
    RC_ASSERT(used == whole.size());
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, whole.size());
        whole[at] = *rc::gen::arbitrary<char>();
    }
    const std::string mutated(whole);
    if (parse(mutated, used) == ParseStatus::complete) RC_ASSERT(used <= mutated.size());
}

// Random appends and removals at both ends must leave the same bytes in the buffer as in a string.
// NOLINTNEXTLINE(readability-function-size): the property macros expand to nested statements
TEST(Buffer, HoldsTheSameBytesAsAString) {
    rc::check([] {
        Buffer b;
        std::string model;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::arbitrary<bool>()) {
                const std::string more = any_bytes(40'000);
                b.append(more);
                model += more;
            } else {
                const auto n = *rc::gen::inRange<std::size_t>(0, model.size() + 1);
                const bool front = *rc::gen::arbitrary<bool>();
                if (front) {
                    b.consume(n);
                    model.erase(0, n);
                } else {
                    b.remove_suffix(n);
                    model.erase(model.size() - n);
                }
            }
            RC_ASSERT(b.view() == model);
        }
    });
}

TEST(FastCgi, ReadsBackWrittenRecords) {
    rc::check([] {
        Buffer out;
        const auto request = *rc::gen::inRange<std::uint16_t>(1, 65535);
        const std::string content = any_bytes(300);
        fastcgi::write_record(out, fastcgi::Type::std_in, request, content);
        fastcgi::Record r;
        check_parser(bytes_of(out), [&](std::string_view s, std::size_t& used) {
            return fastcgi::parse_record(s, r, used);
        });
        std::size_t used = 0;
        RC_ASSERT(fastcgi::parse_record(out.view(), r, used) == ParseStatus::complete);
        RC_ASSERT(r.type == fastcgi::Type::std_in);
        RC_ASSERT(r.request == request);
        RC_ASSERT(r.content == content);
    });
}

TEST(FastCgi, SplitsStreamsOfAnyLengthIntoWholeRecords) {
    for (const std::size_t n : {0u, 1u, 65'535u, 65'536u, 240'000u}) {
        std::string body(n, 'x');
        for (std::size_t i = 0; i < n; ++i) body[i] = static_cast<char>(i * 31 % 251);
        Buffer out;
        fastcgi::write_stream(out, fastcgi::Type::std_out, 7, body);
        std::string read;
        std::size_t used = 0;
        fastcgi::Record r;
        while (!out.empty()) {
            ASSERT_EQ(fastcgi::parse_record(out.view(), r, used), ParseStatus::complete);
            read += r.content;
            out.consume(used);
        }
        EXPECT_EQ(read, body);
    }
}

TEST(FastCgi, ReadsBackWrittenPairs) {
    rc::check([] {
        std::string all;
        std::vector<std::pair<std::string, std::string>> pairs;
        const auto n = *rc::gen::inRange(0, 6);
        for (int i = 0; i < n; ++i) {
            pairs.emplace_back(any_bytes(200), any_bytes(400));
            fastcgi::write_pair(all, pairs.back().first, pairs.back().second);
        }
        fastcgi::Pairs read;
        RC_ASSERT(fastcgi::parse_pairs(all, read) == ParseStatus::complete);
        RC_ASSERT(read.size() == pairs.size());
        for (std::size_t i = 0; i < read.size(); ++i) {
            RC_ASSERT(read[i].first == pairs[i].first);
            RC_ASSERT(read[i].second == pairs[i].second);
        }
        if (all.empty()) return;
        // A stream that ends within a pair is invalid.
        read.clear();
        const std::string cut(all, 0, all.size() - 1);
        const bool last_empty = pairs.back().first.empty() && pairs.back().second.empty();
        if (!last_empty) RC_ASSERT(fastcgi::parse_pairs(cut, read) == ParseStatus::invalid);
    });
}

TEST(Resp, ReadsBackWrittenArrays) {
    rc::check([] {
        const std::string a = any_bytes(20), b = any_bytes(2'000), c = any_bytes(10);
        Buffer out;
        resp::write_array(out, {a, b, c});
        resp::Arguments arguments;
        check_parser(bytes_of(out), [&](std::string_view s, std::size_t& used) {
            return resp::parse_array(s, arguments, used);
        });
        std::size_t used = 0;
        RC_ASSERT(resp::parse_array(out.view(), arguments, used) == ParseStatus::complete);
        RC_ASSERT(arguments == resp::Arguments({a, b, c}));
    });
}

TEST(Resp, RefusesImpossibleLengthsAtOnce) {
    resp::Arguments arguments;
    std::size_t used = 0;
    for (const char* s : {"*2000000000\r\n", "*1\r\n$240001\r\n", "*9\r\n", "*-5\r\n", "*1\r\n$x\r\n",
                          "+OK\r\n", "*1\r\n$1\r\nabc"})
        EXPECT_EQ(resp::parse_array(s, arguments, used), ParseStatus::invalid) << s;
    EXPECT_EQ(resp::parse_array("*2\r\n$-1\r\n$1\r\na\r\n", arguments, used), ParseStatus::complete);
    EXPECT_EQ(arguments, resp::Arguments({"", "a"}));
}

TEST(Resp, FindsFieldsByName) {
    std::string f;
    resp::append_field(f, "tag", "4be0");
    resp::append_field(f, "n", "cached");
    EXPECT_EQ(resp::field(f, "n"), "cached");
    EXPECT_EQ(resp::field(f, "tag"), "4be0");
    EXPECT_EQ(resp::field(f, "lag"), "");
    EXPECT_EQ(resp::field("-", "n"), "");
    EXPECT_EQ(resp::dash_if_empty(""), "-");
}

// Reads a whole response as the program does: its head, then its body piece by piece.
ParseStatus read_response(std::string_view bytes, http::Head& head, std::string& body, std::size_t& used) {
    body.clear();
    if (const ParseStatus status = http::parse_head(bytes, head, used); status != ParseStatus::complete)
        return status;
    if (!head.framed()) return ParseStatus::invalid;
    http::BodyReader reader(head);
    for (;;) {
        std::string_view piece;
        std::size_t n = 0;
        const ParseStatus status = reader.next(bytes.substr(used), piece, n);
        body.append(piece);
        used += n;
        if (status != ParseStatus::incomplete || n == 0) return status;
    }
}

TEST(Http, ReadsResponsesWithALengthOrInChunks) {
    rc::check([] {
        const std::string body = any_bytes(300);
        std::string response = "HTTP/1.1 200 OK\r\n";
        const bool chunked = *rc::gen::arbitrary<bool>();
        if (chunked) {
            response += "Transfer-Encoding: chunked\r\n\r\n";
            const auto cut = *rc::gen::inRange<std::size_t>(0, body.size() + 1);
            for (const std::string& part : {body.substr(0, cut), body.substr(cut)}) {
                if (part.empty()) continue;
                char size[32];
                std::snprintf(size, sizeof size, "%zx", part.size());
                response += std::string(size) + "\r\n" + part + "\r\n";
            }
            response += "0\r\n\r\n";
        } else {
            response += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        std::string read;
        http::Head head;
        check_parser(response, [&](std::string_view s, std::size_t& used) {
            return read_response(s, head, read, used);
        });
        std::size_t used = 0;
        RC_ASSERT(read_response(response, head, read, used) == ParseStatus::complete);
        RC_ASSERT(head.status == 200);
        RC_ASSERT(read == body);
    });
}

// Each error of a client's request must produce exactly the listed bytes: the status line of the error and no
// body.
TEST(ClientProtocol, WritesTheStatusOfEachRequestError) {
    using client_protocol::RequestError;
    const std::pair<RequestError, std::string> heads[] = {
        {RequestError::record_too_long, "Status: 413 Content Too Large\r\n\r\n"},
        {RequestError::parameters_too_long, "Status: 431 Request Header Fields Too Large\r\n\r\n"},
        {RequestError::body_too_long, "Status: 413 Content Too Large\r\n\r\n"},
        {RequestError::incomplete_in_time, "Status: 408 Request Timeout\r\n\r\n"},
        {RequestError::request_memory_full, "Status: 503 Service Unavailable\r\n\r\n"},
        {RequestError::unreadable_parameters, "Status: 400 Bad Request\r\n\r\n"},
        {RequestError::unknown_path, "Status: 404 Not Found\r\n\r\n"},
        {RequestError::unknown_kind, "Status: 404 Not Found\r\n\r\n"},
        {RequestError::invalid_field, "Status: 400 Bad Request\r\n\r\n"},
        {RequestError::id_in_use, "Status: 409 Conflict\r\n\r\n"},
        {RequestError::duplicate_request, "Status: 409 Conflict\r\n\r\n"},
    };
    for (const auto& [error, head] : heads) {
        EXPECT_EQ(client_protocol::error_head(error), head);
        EXPECT_EQ(head.substr(8, 3), std::to_string(client_protocol::status_code(error)));
    }
}

// Compares the heads of the other kinds of responses byte by byte. Retry-After-Ms must be rounded up to whole
// milliseconds.
TEST(ClientProtocol, WritesTheHeadOfEachResponse) {
    using namespace client_protocol;
    EXPECT_EQ(response_head(17), "Status: 200 OK\r\nContent-Length: 17\r\n\r\n");
    EXPECT_EQ(not_modified_head(), "Status: 200 OK\r\nX-Keep: 1\r\n\r\n");
    EXPECT_EQ(healthy_head(), "Status: 200 OK\r\n\r\n");
    EXPECT_EQ(failure_head(), "Status: 502 Bad Gateway\r\n\r\n");
    EXPECT_EQ(rejection_head(Duration{}), "Status: 503 Service Unavailable\r\n\r\n");
    EXPECT_EQ(rejection_head(Duration::micros(1'001)),
              "Status: 503 Service Unavailable\r\nRetry-After-Ms: 2\r\n\r\n");
}

}  // namespace
}  // namespace irismux::testing
