// A client's connection in a soak: what it asks, in its own way, and a ledger of each request.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testing/single_process.hpp"

namespace irismux::test_support {

enum class ClientBehaviour { good, impatient, repeating, garbling };

// One request, from when it was said to what became of it.
struct SoakRequest {
    FastCgiClient::Request request;
    ClientBehaviour behaviour = ClientBehaviour::good;
    TimePoint sent;
    std::optional<TimePoint> answered, cancelled;
    std::optional<TimePoint> connection_ended;  // by the gateway, with no answer
    std::string status, body;

    TimePoint due() const { return sent + Duration::micros(std::int64_t{1000} * request.timeout_ms); }
};

class SoakClient {
public:
    SoakClient(SingleProcess& solo, std::mt19937_64& random, ClientBehaviour behaviour, int number,
               int longest_patience_ms);
    // Does what comes next, or nothing. No connection is made any more once `stays` is true.
    void step(bool stays);
    // Takes in what has come.
    void receive_responses();
    const std::vector<SoakRequest>& requests() const { return requests_; }
    const std::vector<std::string>& violations() const { return violations_; }
    bool has_open_requests() const { return !open_.empty(); }
    ClientBehaviour behaviour() const { return behaviour_; }

private:
    int pick(int least, int most);
    void connect();
    void close();
    void send_request();
    void cancel_request();
    void send_garbage();
    void record_response(const FastCgiClient::Response& answer);
    SoakRequest& request(std::uint16_t number) { return requests_[open_.at(number)]; }

    SingleProcess& gateway_;
    std::mt19937_64& random_;
    ClientBehaviour behaviour_;
    int number_, longest_patience_ms_, requests_sent_ = 0;
    std::shared_ptr<FastCgiClient> client_;
    std::size_t processed_responses_ = 0;
    std::vector<SoakRequest> requests_;
    std::map<std::uint16_t, std::size_t> open_;  // by the number on the connection
    std::map<std::uint16_t, bool> aborted_;
    std::vector<std::string> violations_;
};

// The bytes of an object as the caches of a soak hold them.
std::string soak_bytes(std::string_view object);

}  // namespace irismux::test_support
