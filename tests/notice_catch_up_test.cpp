// A process of the program that its notice board has not reached for long: what is owed takes effect while
// lookups are served, in bounded memory.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "codec/resp.hpp"
#include "notice_board_stand_in.hpp"
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using stand_ins::ScriptedCache;
using stand_ins::SingleProcess;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool memory_is_ours = false;  // the sanitizer keeps what was freed
#else
constexpr bool memory_is_ours = true;
#endif

// The most memory that the process has held, in KB.
long most_memory_of(pid_t id) {
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
    return 0;
}

std::int64_t unix_ms_now(const EventLoop& loop) { return (loop.now() - TimePoint{}).micros() / 1000; }

std::string purge_of(int revision, const std::string& object, std::int64_t ms) {
    return "{\"rev\":" + std::to_string(revision) + ",\"flush\":{\"asset\":\"" + object +
           "\",\"ms\":" + std::to_string(ms) + "}}";
}

// Asks for one object again and again until a send carries the bound of a purge; each lookup is answered.
struct Prober {
    SingleProcess& solo;
    std::shared_ptr<stand_ins::FastCgiClient> asker = solo.connect_client();
    int asked = 0;
    Duration longest{};

    bool until_purge_binds(const std::string& object) {
        for (const TimePoint end = solo.loop.now() + Duration::seconds(10); solo.loop.now() < end;) {
            const auto number = static_cast<std::uint16_t>(++asked);
            const TimePoint from = solo.loop.now();
            asker->send(number, {.id = id_of(asked), .object = object});
            if (!solo.until([&] { return asker->has_response(number, "Status: 200"); })) return false;
            longest = std::max(longest, solo.loop.now() - from);
            const ScriptedCache* const cache = solo.cache_serving(id_of(asked));
            for (const ScriptedCache::ReceivedAttempt& pull : cache->received)
                if (pull.request_id == id_of(asked) && !resp::field(pull.fields, "fresh").empty())
                    return true;
        }
        return false;
    }
};

// 200,000 purges are owed, 12 MB in one answer. Half of it comes, and lookups are served in the middle of it,
// with the purges that have come in force; then the rest.
TEST(CatchUp, ServesLookupsInTheMiddleOfAnAnswerInBoundedMemory) {
    SingleProcess solo(answering(solo_shape(2)));
    BoardStandIn owing(solo.loop);
    const int owed = 200'000;
    const std::string first_object = "00000000000000b1", last_object = "00000000000000b2";
    const int first = static_cast<int>(solo.configured["known"]["rev"].get<std::int64_t>()) + 1;
    const std::int64_t now_ms = unix_ms_now(solo.loop);
    std::string half = "{\"notices\":[", rest;
    for (int n = 0; n < owed; ++n) {
        std::string& part = n < owed / 2 ? half : rest;
        if (n == owed / 2 - 1)
            part += purge_of(first + n, first_object, now_ms);
        else if (n == owed - 1)
            part += purge_of(first + n, last_object, now_ms);
        else
            part += purge_of(first + n, id_of(n), 1);
        if (n < owed - 1) part += ',';
    }
    const int last = first + owed - 1;
    rest += "],\"rev\":" + std::to_string(last) + "}";
    const std::size_t length = half.size() + rest.size();
    owing.then = [&](StandInConnection& wire) {
        if (owing.asked.size() > 1) return;
        wire.out().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + half);
        wire.write();
    };
    const long before_kb = most_memory_of(solo.process->id());

    json moved = solo.configured;
    moved["board"] = owing.accepts.address();
    std::ofstream(solo.configuration_file) << moved.dump();
    solo.process->signal(SIGHUP);
    Prober prober{solo};
    ASSERT_TRUE(solo.until([&] { return !owing.asked.empty(); }));
    EXPECT_TRUE(prober.until_purge_binds(first_object));
    EXPECT_EQ(owing.asked.size(), 1u);

    owing.wires.back()->out().append(rest);
    owing.wires.back()->write();
    EXPECT_TRUE(prober.until_purge_binds(last_object));
    ASSERT_TRUE(solo.until([&] { return owing.asked.size() == 2; }));
    EXPECT_EQ(owing.asked, (std::vector<std::string>{std::to_string(first - 1), std::to_string(last)}));
    const long grown_kb = most_memory_of(solo.process->id()) - before_kb;
    std::printf("%zu bytes; %d lookups meanwhile, the slowest %lld us; memory grew by %ld KB\n", length,
                prober.asked, static_cast<long long>(prober.longest.micros()), grown_kb);
    EXPECT_TRUE(!memory_is_ours || grown_kb < 4 * 1024);
    for (const auto& wire : owing.wires) wire->close();
}

}  // namespace
}  // namespace irismux::testing
