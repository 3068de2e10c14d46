#include "testing/soak_client.hpp"

#include <array>
#include <cstdio>

namespace irismux::test_support {
namespace {

constexpr int objects = 40, repeated_ids = 5;
constexpr std::size_t most_open = 12;

std::string hex(std::uint64_t n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

}  // namespace

std::string soak_bytes(std::string_view object) {
    // Objects of several sizes, some larger than what the system takes at once.
    const std::size_t size = 20 + 3'000 * (static_cast<std::size_t>(object.back()) % 16);
    std::string bytes = "bytes of " + std::string(object) + ' ';
    bytes.resize(std::max(bytes.size(), size), 'x');
    return bytes;
}

SoakClient::SoakClient(SingleProcess& solo, std::mt19937_64& random, ClientBehaviour behaviour, int number,
                       int longest_patience_ms)
    : gateway_(solo),
      random_(random),
      behaviour_(behaviour),
      number_(number),
      longest_patience_ms_(longest_patience_ms) {
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
    for (const auto& [number, place] : open_) requests_[place].cancelled = gateway_.loop.now();
    open_.clear();
    client_->close();
}

void SoakClient::step(bool stays) {
    receive_responses();
    if (client_->ended) {
        if (!stays) connect();
        return;
    }
    const int what = pick(1, 100);
    if (behaviour_ == ClientBehaviour::garbling && what <= 20) return send_garbage();
    if (behaviour_ == ClientBehaviour::impatient && what <= 10 && !open_.empty()) return cancel_request();
    const bool leaves = behaviour_ == ClientBehaviour::impatient || behaviour_ == ClientBehaviour::repeating;
    if (leaves && what >= 99 && !stays) {
        close();
        return connect();
    }
    if (what <= 45 && open_.size() < most_open) send_request();
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
    r.request.object = hex(static_cast<std::uint64_t>(pick(1, objects)));
    r.request.kind = kinds[static_cast<std::size_t>(pick(0, 4))];
    if (r.request.kind == "bids") r.request.body = "bid " + std::to_string(repeats ? 1 : requests_sent_);
    if (r.request.kind == "keyed") r.request.idempotency_key = "key-" + r.request.id;
    r.request.timeout_ms = pick(20, longest_patience_ms_);
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

// Bytes that are no request, on this connection: what is open on it is given up, by the client and so before
// the gateway can end the connection for them.
void SoakClient::send_garbage() {
    for (const auto& [number, place] : open_) requests_[place].cancelled = gateway_.loop.now();
    open_.clear();
    std::string bytes(static_cast<std::size_t>(pick(1, 400)), '\0');
    for (char& c : bytes) c = static_cast<char>(pick(0, 255));
    if (pick(1, 2) == 1) bytes[0] = 1;  // FastCGI's version
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
            violations_.push_back("1: an answer to nothing that is open");
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
    for (const auto& [number, place] : open_) requests_[place].connection_ended = gateway_.loop.now();
    open_.clear();
}

}  // namespace irismux::test_support
