#include "testing/soak_client.hpp"

#include <array>
#include <cstdio>

namespace irismux::test_support {
namespace {

constexpr int objects = 40, repeated_ids = 5;
constexpr std::size_t max_open_requests = 12, burst_requests = 32;
constexpr std::uint64_t large_objects = 0xf000'0000'0000'0000;  // ids from here on are of the maximum size
constexpr std::size_t max_object_bytes = 240'000;
constexpr Duration burst_interval = Duration::micros(700'000);
constexpr int min_hasty_timeout_ms = 10, max_hasty_timeout_ms = 30;

std::string hex(std::uint64_t n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

}  // namespace

bool is_large(std::string_view object) { return object.front() == 'f'; }

std::string soak_bytes(std::string_view object) {
    // Objects have several sizes. Some are larger than what the kernel takes in one write.
    const std::size_t size = 20 + 3'000 * (static_cast<std::size_t>(object.back()) % 16);
    std::string bytes = "bytes of " + std::string(object) + ' ';
    bytes.resize(is_large(object) ? max_object_bytes : std::max(bytes.size(), size), 'x');
    return bytes;
}

SoakClient::SoakClient(SingleProcess& gateway, std::mt19937_64& random, ClientBehaviour behaviour, int number,
                       int max_timeout_ms)
    : gateway_(gateway),
      random_(random),
      behaviour_(behaviour),
      number_(number),
      max_timeout_ms_(max_timeout_ms) {
    connect();
}

int SoakClient::pick(int least, int most) {
    return least + static_cast<int>(random_() % static_cast<std::uint64_t>(most - least + 1));
}

void SoakClient::connect() {
    client_ = gateway_.connect_client();
    processed_responses_ = 0;
    open_.clear();
    aborted_.clear();
}

void SoakClient::close() {
    for (const auto& [number, index] : open_) requests_[index].cancelled = gateway_.loop.now();
    open_.clear();
    client_->close();
}

void SoakClient::step(bool keep_connection) {
    receive_responses();
    if (client_->ended) {
        if (!keep_connection) connect();
        return;
    }
    if (behaviour_ == ClientBehaviour::bursting) return send_burst();
    if (behaviour_ == ClientBehaviour::hasty) {
        if (open_.size() < max_open_requests) send_request();
        return;
    }
    const int action = pick(1, 100);
    if (behaviour_ == ClientBehaviour::garbling && action <= 20) return send_garbage();
    if (behaviour_ == ClientBehaviour::impatient && action <= 10 && !open_.empty()) return cancel_request();
    const bool leaves = behaviour_ == ClientBehaviour::impatient || behaviour_ == ClientBehaviour::repeating;
    if (leaves && action >= 99 && !keep_connection) {
        close();
        return connect();
    }
    if (action <= 45 && open_.size() < max_open_requests) send_request();
}

void SoakClient::send_burst() {
    if (!open_.empty() || gateway_.loop.now() < next_burst_) return;
    next_burst_ = gateway_.loop.now() + burst_interval;
    while (open_.size() < burst_requests) send_request();
}

int SoakClient::draw_timeout_ms() {
    if (behaviour_ == ClientBehaviour::bursting) return max_timeout_ms_;
    if (behaviour_ == ClientBehaviour::hasty) return pick(min_hasty_timeout_ms, max_hasty_timeout_ms);
    return pick(20, max_timeout_ms_);
}

std::string SoakClient::draw_object() {
    const auto object = static_cast<std::uint64_t>(pick(1, objects));
    return hex(behaviour_ == ClientBehaviour::bursting ? large_objects + object : object);
}

void SoakClient::send_request() {
    std::uint16_t number = 1;
    while (open_.contains(number) || aborted_.contains(number)) ++number;
    constexpr std::array kinds = {"pages", "pages", "pages", "keyed", "bids"};
    SoakRequest r;
    r.behaviour = behaviour_;
    const auto own =
        (static_cast<std::uint64_t>(number_) << 32) + static_cast<std::uint64_t>(++requests_sent_);
    const bool repeats = behaviour_ == ClientBehaviour::repeating;
    r.request.id = hex(repeats ? static_cast<std::uint64_t>(pick(1, repeated_ids)) : own);
    r.request.object = draw_object();
    const bool bursts = behaviour_ == ClientBehaviour::bursting;
    r.request.kind = bursts ? "pages" : kinds[static_cast<std::size_t>(pick(0, 4))];
    if (r.request.kind == "bids") r.request.body = "bid " + std::to_string(repeats ? 1 : requests_sent_);
    if (r.request.kind == "keyed") r.request.idempotency_key = "key-" + r.request.id;
    r.request.timeout_ms = draw_timeout_ms();
    r.sent = gateway_.loop.now();
    open_[number] = requests_.size();
    requests_.push_back(r);
    client_->send(number, r.request);
}

void SoakClient::cancel_request() {
    const std::uint16_t number = open_.begin()->first;
    request(number).cancelled = gateway_.loop.now();
    aborted_[number] = true;
    open_.erase(number);
    client_->abort(number);
}

// Sends malformed bytes on this connection. Because of these bytes the gateway is allowed to close the
// connection at any time from now on, so the open requests count as cancelled by the client before the bytes
// are sent.
void SoakClient::send_garbage() {
    for (const auto& [number, index] : open_) requests_[index].cancelled = gateway_.loop.now();
    open_.clear();
    std::string bytes(static_cast<std::size_t>(pick(1, 400)), '\0');
    for (char& c : bytes) c = static_cast<char>(pick(0, 255));
    if (pick(1, 2) == 1) bytes[0] = 1;  // the FastCGI version
    client_->write(bytes);
    gateway_.wait_until([] { return false; }, Duration::micros(1'000));
    receive_responses();
    close();
    connect();
}

void SoakClient::record_response(const FastCgiClient::Response& answer) {
    if (aborted_.erase(answer.number) > 0) return;
    if (!open_.contains(answer.number)) {
        if (behaviour_ != ClientBehaviour::garbling)
            violations_.push_back("1: the gateway sent a response to a request that is not open");
        return;
    }
    SoakRequest& r = request(answer.number);
    r.answered = gateway_.loop.now();
    r.status = answer.head.substr(0, answer.head.find('\r'));
    r.body = answer.body;
    open_.erase(answer.number);
}

void SoakClient::receive_responses() {
    for (; processed_responses_ < client_->responses.size(); ++processed_responses_)
        record_response(client_->responses[processed_responses_]);
    if (!client_->ended) return;
    for (const auto& [number, index] : open_) requests_[index].connection_ended = gateway_.loop.now();
    open_.clear();
}

}  // namespace irismux::test_support
