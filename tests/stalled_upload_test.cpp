// Clients stop in the middle of large requests while another client sends whole ones to a real process.
#include <memory>
#include <vector>

#include "codec/fastcgi.hpp"
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::FastCgiClient;
using test_support::SingleProcess;

constexpr std::size_t memory_mb = 8, stalled_clients = 40, uploads_each = 4;

SingleProcess::Options options_with_little_memory() {
    SingleProcess::Options options = with_immediate_answers(process_options(1));
    options.adjust_configuration = [adjust = options.adjust_configuration](json& c) {
        adjust(c);
        c["limits"]["memory_mb"] = memory_mb;
    };
    return options;
}

// All but the end of each request: 47,000 of 48,000 bytes of its body.
std::string stalled_uploads(const FastCgiClient& client, int first_id) {
    constexpr std::size_t body_bytes = 48'000, missing_bytes = 1'016;
    std::string bytes;
    for (std::size_t n = 1; n <= uploads_each; ++n) {
        const std::string request =
            client.request(static_cast<std::uint16_t>(n), {.id = id_of(first_id + static_cast<int>(n)),
                                                           .kind = "bids",
                                                           .body = std::string(body_bytes, 'b')});
        const std::size_t body_record = request.size() - body_bytes - 16;
        bytes += request.substr(0, body_record);
        Buffer part;
        fastcgi::write_record(part, fastcgi::Type::std_in, static_cast<std::uint16_t>(n),
                              std::string(body_bytes - missing_bytes, 'b'));
        bytes += part.view();
    }
    return bytes;
}

// Forty clients hold far more than the memory for requests (a fifth of 8 MB) with uploads that stop half way.
// A client that sends small and large whole requests meanwhile was once refused until the uploads had timed
// out, for 2 s. It must be served at once.
TEST(StalledUpload, DoesNotKeepOthersFromBeingServed) {
    SingleProcess gateway(options_with_little_memory());
    const auto client = gateway.connect_client();
    std::vector<std::unique_ptr<RawClient>> stalled;
    for (std::size_t n = 0; n < stalled_clients; ++n) {
        stalled.push_back(std::make_unique<RawClient>(gateway.listen));
        stalled.back()->send(stalled_uploads(*client, static_cast<int>(1'000 + n * uploads_each)));
    }
    for (std::uint16_t n = 1; n <= 20; ++n) {
        const bool large = n % 2 == 0;
        client->send(
            n,
            {.id = id_of(n), .kind = large ? "bids" : "pages", .body = std::string(large ? 40'000 : 0, 'b')});
        ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(n); }));
        EXPECT_TRUE(client->has_response(n, "Status: 200")) << n;
    }
}

}  // namespace
}  // namespace irismux::testing
