#include "testing/soak_client.hpp"

#include <array>
#include <cstdio>

namespace irismux::stand_ins {
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

SoakClient::SoakClient(SingleProcess& solo, std::mt19937_64& random, Manner manner, int number,
                       int longest_patience_ms)
    : solo_(solo),
      random_(random),
      manner_(manner),
      number_(number),
      longest_patience_ms_(longest_patience_ms) {
    connect();
}

int SoakClient::pick(int least, int most) {
    return least + static_cast<int>(random_() % static_cast<std::uint64_t>(most - least + 1));
}

void SoakClient::connect() {
    asker_ = solo_.connect_client();
    seen_ = 0;
    open_.clear();
    aborted_.clear();
}

void SoakClient::close() {
    for (const auto& [number, place] : open_) requests_[place].taken_back = solo_.loop.now();
    open_.clear();
    asker_->close();
}

void SoakClient::step(bool stays) {
    look();
    if (asker_->ended) {
        if (!stays) connect();
        return;
    }
    const int what = pick(1, 100);
    if (manner_ == Manner::garbling && what <= 20) return garble();
    if (manner_ == Manner::impatient && what <= 10 && !open_.empty()) return take_back();
    const bool leaves = manner_ == Manner::impatient || manner_ == Manner::repeating;
    if (leaves && what >= 99 && !stays) {
        close();
        return connect();
    }
    if (what <= 45 && open_.size() < most_open) ask();
}

void SoakClient::ask() {
    std::uint16_t number = 1;
    while (open_.contains(number) || aborted_.contains(number)) ++number;
    constexpr std::array kinds = {"pages", "pages", "pages", "keyed", "bids"};
    SoakRequest r;
    r.manner = manner_;
    const auto own = (static_cast<std::uint64_t>(number_) << 32) + static_cast<std::uint64_t>(++asked_);
    const bool repeats = manner_ == Manner::repeating;
    r.question.id = hex(repeats ? static_cast<std::uint64_t>(pick(1, repeated_ids)) : own);
    r.question.object = hex(static_cast<std::uint64_t>(pick(1, objects)));
    r.question.kind = kinds[static_cast<std::size_t>(pick(0, 4))];
    if (r.question.kind == "bids") r.question.body = "bid " + std::to_string(repeats ? 1 : asked_);
    if (r.question.kind == "keyed") r.question.idempotency_key = "key-" + r.question.id;
    r.question.patience_ms = pick(20, longest_patience_ms_);
    r.asked = solo_.loop.now();
    open_[number] = requests_.size();
    requests_.push_back(r);
    asker_->send(number, r.question);
}

void SoakClient::take_back() {
    const std::uint16_t number = open_.begin()->first;
    request(number).taken_back = solo_.loop.now();
    aborted_[number] = true;
    open_.erase(number);
    asker_->abort(number);
}

// Bytes that are no request, on this connection: what is open on it is given up, by the client and so before
// the gateway can end the connection for them.
void SoakClient::garble() {
    for (const auto& [number, place] : open_) requests_[place].taken_back = solo_.loop.now();
    open_.clear();
    std::string bytes(static_cast<std::size_t>(pick(1, 400)), '\0');
    for (char& c : bytes) c = static_cast<char>(pick(0, 255));
    if (pick(1, 2) == 1) bytes[0] = 1;  // FastCGI's version
    asker_->write(bytes);
    solo_.until([] { return false; }, Duration::micros(1'000));
    look();
    close();
    connect();
}

void SoakClient::note_answer(const FastCgiClient::Response& answer) {
    if (aborted_.erase(answer.number) > 0) return;
    if (!open_.contains(answer.number)) {
        if (manner_ != Manner::garbling) surprises_.push_back("1: an answer to nothing that is open");
        return;
    }
    SoakRequest& r = request(answer.number);
    r.answered = solo_.loop.now();
    r.status = answer.head.substr(0, answer.head.find('\r'));
    r.body = answer.body;
    open_.erase(answer.number);
}

void SoakClient::look() {
    for (; seen_ < asker_->responses.size(); ++seen_) note_answer(asker_->responses[seen_]);
    if (!asker_->ended) return;
    for (const auto& [number, place] : open_) requests_[place].connection_ended = solo_.loop.now();
    open_.clear();
}

}  // namespace irismux::stand_ins
