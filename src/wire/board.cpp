#include "wire/board.hpp"

#include <Poco/Exception.h>

#include <nlohmann/json.hpp>

#include "base/log.hpp"
#include "base/reading.hpp"
#include "wire/http.hpp"
#include "wire/link.hpp"

namespace irismux {
namespace {

using nlohmann::json;

// The board may hold a poll for 5 s and is told to for a fifth of that: a board that has gone silent is
// noticed well before what it has to say counts as told.
constexpr Span longest_linger = Span::micros(5'000'000);
const Span held_for = longest_linger * 0.2;

}  // namespace

class BoardLink final : public Link {
public:
    explicit BoardLink(Board& board)
        : Link(board.loop_, Poco::Net::StreamSocket(), LinkState::connecting), board_(board) {}

    bool start(const std::string& address) { return connect(Poco::Net::SocketAddress(address)); }
    void get(const std::string& host, const std::string& target) {
        http::write_get(out_, host, target);
        flush();
        loop_.forget(clock_);
        clock_ = loop_.at(loop_.now() + held_for + board_.pause_, [self = weak_from_this(), this] {
            if (const auto alive = self.lock(); alive && state() != LinkState::ended)
                end("no answer in time");
        });
    }
    void stop() {
        loop_.forget(clock_);
        close();
    }

protected:
    void on_open() override { flush(); }
    void on_bytes() override {
        const auto alive = shared_from_this();
        http::Answer answer;
        std::size_t used = 0;
        const Parsed p = http::parse_answer(in_.view(), answer, used);
        if (p == Parsed::more) return;
        if (p == Parsed::bad) return end("not HTTP/1.1");
        in_.taken(used);
        if (answer.close) {
            stop();
            board_.link_.reset();
        }
        board_.answered(answer.status, answer.body);
    }
    void on_end() override { end("connection lost"); }

private:
    void end(const char* why) {
        const auto alive = shared_from_this();
        stop();
        board_.link_.reset();
        board_.failed(why);
    }

    Board& board_;
    Loop::Alarm clock_{};
};

Board::Board(Loop& loop, Told& told, std::string address, Span pause)
    : loop_(loop), told_(told), address_(std::move(address)), pause_(pause) {}

Board::~Board() {
    if (link_) link_->stop();
}

void Board::poll() {
    loop_.forget(again_);
    try {
        if (!link_ || link_->state() == LinkState::ended) {
            link_ = std::make_shared<BoardLink>(*this);
            if (!link_->start(address_)) {
                link_.reset();
                return failed("no attempt to connect was possible");
            }
        }
        asked_at_ = loop_.now();
        link_->get(address_, "/board/poll?watch=" + std::to_string(rev_) +
                                 "&linger=" + std::to_string(held_for.micros() / 1000));
    } catch (const Poco::Exception& e) {
        link_.reset();
        failed(e.displayText().c_str());
    }
}

void Board::answered(int status, const std::string& body) {
    if (status != 200) return failed("a status other than 200");
    const std::int64_t before = rev_;
    try {
        tell(json::parse(body), true);
    } catch (const std::exception& e) {
        return failed(e.what());
    }
    failing_ = false;
    // Guards against a board that neither holds a poll nor has anything new (one that has jumped back, say):
    // it would be asked again and again without end.
    if (rev_ > before || loop_.now() - asked_at_ >= pause_) return poll();
    loop_.forget(again_);
    again_ = loop_.at(asked_at_ + pause_, [this] { poll(); });
}

// What is known goes on being used. A break says nothing of the board and what it was about to tell may be
// urgent: it is asked again at once, and only after a second failure left alone for a moment.
void Board::failed(const char* why) {
    log::write(log::Level::info, std::string("notice board: ") + why);
    const Span wait = std::exchange(failing_, true) ? pause_ : Span{};
    loop_.forget(again_);
    again_ = loop_.at(loop_.now() + wait, [this] { poll(); });
}

// Guards against events lost in a move: what the old board has not told whole is asked of the new one.
void Board::move(const std::string& address) {
    if (address == address_) return;
    log::write(log::Level::info, "notice board: now at " + address);
    address_ = address;
    if (link_) link_->stop();
    link_.reset();
    failing_ = false;
    poll();
}

// An event that can't be read is asked for once more, then left out with a line in the log; those behind it
// still count.
void Board::tell(const json& all, bool ask_again) {
    const auto rev = get<std::int64_t>(all, "rev");
    for (const json& notice : list_of(all, "notices")) {
        const auto n = get_or<std::int64_t>(notice, "rev", rev);
        if (n <= rev_) continue;
        try {
            if (const auto pool = notice.find("pool"); pool != notice.end()) {
                std::vector<ListLine> lines;
                for (const json& e : list_of(*pool, "servers")) lines.push_back(read_list_line(e));
                told_.list_told(lines, get_or(*pool, "full", false));
            } else if (const auto flush = notice.find("flush"); flush != notice.end()) {
                std::optional<ObjectName> object;
                if (flush->contains("asset")) object = ObjectName{get<std::string>(*flush, "asset")};
                told_.purge_told(unix_ms(get<std::int64_t>(*flush, "ms")),
                                 GroupNo{get_or<std::int64_t>(*flush, "collection", 0)}, object);
            }
        } catch (const std::exception& e) {
            if (ask_again && std::exchange(unreadable_, n) != n) throw;
            log::write(log::Level::warning, std::string("notice board: an event is left out: ") + e.what());
        }
        if (notice.contains("rev")) rev_ = n;
    }
    rev_ = std::max(rev_, rev);
}

}  // namespace irismux
