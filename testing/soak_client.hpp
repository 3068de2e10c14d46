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

namespace irismux::stand_ins {

enum class Manner { good, impatient, repeating, garbling };

// One request, from when it was said to what became of it.
struct SoakRequest {
    FastCgiClient::Request question;
    Manner manner = Manner::good;
    TimePoint asked;
    std::optional<TimePoint> answered, taken_back;
    std::optional<TimePoint> connection_ended;  // by the gateway, with no answer
    std::string status, body;

    TimePoint due() const { return asked + Duration::micros(std::int64_t{1000} * question.patience_ms); }
};

class SoakClient {
public:
    SoakClient(SingleProcess& solo, std::mt19937_64& random, Manner manner, int number,
               int longest_patience_ms);
    // Does what comes next, or nothing. No connection is made any more once `stays` is true.
    void step(bool stays);
    // Takes in what has come.
    void look();
    const std::vector<SoakRequest>& requests() const { return requests_; }
    const std::vector<std::string>& surprises() const { return surprises_; }
    bool waits() const { return !open_.empty(); }
    Manner manner() const { return manner_; }

private:
    int pick(int least, int most);
    void connect();
    void close();
    void ask();
    void take_back();
    void garble();
    void note_answer(const FastCgiClient::Response& answer);
    SoakRequest& request(std::uint16_t number) { return requests_[open_.at(number)]; }

    SingleProcess& solo_;
    std::mt19937_64& random_;
    Manner manner_;
    int number_, longest_patience_ms_, asked_ = 0;
    std::shared_ptr<FastCgiClient> asker_;
    std::size_t seen_ = 0;
    std::vector<SoakRequest> requests_;
    std::map<std::uint16_t, std::size_t> open_;  // by the number on the connection
    std::map<std::uint16_t, bool> aborted_;
    std::vector<std::string> surprises_;
};

// The bytes of an object as the caches of a soak hold them.
std::string soak_bytes(std::string_view object);

}  // namespace irismux::stand_ins
