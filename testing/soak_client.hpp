// A client of the soak test. It sends requests on a connection according to its behaviour and records each
// request.
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

enum class ClientBehaviour {
    good,
    impatient,
    repeating,
    garbling,
    bursting,  // sends 32 requests at once for objects of the maximum size
    hasty      // sends many requests with little time left
};

// A request and its outcome.
struct SoakRequest {
    FastCgiClient::Request request;
    ClientBehaviour behaviour = ClientBehaviour::good;
    TimePoint sent;
    std::optional<TimePoint> answered, cancelled;
    std::optional<TimePoint> connection_ended;  // closed by the gateway without a response
    std::string status, body;

    TimePoint due() const { return sent + Duration::micros(std::int64_t{1000} * request.timeout_ms); }
};

class SoakClient {
public:
    SoakClient(SingleProcess& gateway, std::mt19937_64& random, ClientBehaviour behaviour, int number,
               int max_timeout_ms);
    // Takes the next random action, or no action. If keep_connection is true, the client does not reconnect
    // after the gateway has closed the connection and does not leave the connection by itself. A garbling
    // client still opens a new connection after it has sent malformed bytes.
    void step(bool keep_connection);
    // Records the responses that have arrived.
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
    void send_burst();
    int draw_timeout_ms();
    std::string draw_object();
    void cancel_request();
    void send_garbage();
    void record_response(const FastCgiClient::Response& answer);
    SoakRequest& request(std::uint16_t number) { return requests_[open_.at(number)]; }

    SingleProcess& gateway_;
    std::mt19937_64& random_;
    ClientBehaviour behaviour_;
    int number_, max_timeout_ms_, requests_sent_ = 0;
    std::shared_ptr<FastCgiClient> client_;
    std::size_t processed_responses_ = 0;
    TimePoint next_burst_;
    std::vector<SoakRequest> requests_;
    std::map<std::uint16_t, std::size_t> open_;  // index in requests_, by request number on the connection
    std::map<std::uint16_t, bool> aborted_;
    std::vector<std::string> violations_;
};

// Returns whether the object has the maximum size.
bool is_large(std::string_view object);
// Returns the content of an object in the caches of a soak test.
std::string soak_bytes(std::string_view object);

}  // namespace irismux::test_support
