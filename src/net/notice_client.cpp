#include "net/notice_client.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.hpp"
#include "base/reading.hpp"
#include "codec/http.hpp"
#include "net/connection.hpp"

namespace irismux {
namespace {

using nlohmann::json;

// The board may hold a poll for 5 s and is told to for a fifth of that: a board that has gone silent is
// noticed well before what it has to say counts as told.
constexpr Span longest_linger = Span::micros(5'000'000);
const Span poll_linger = longest_linger * 0.2;
// From the poll to the end of its answer. An answer that takes longer is broken off, and the next poll goes
// on behind what has come of it.
constexpr Span longest_answer = longest_linger;
// Notices take effect for so long in one turn of the loop; the rest waits for the next turn.
constexpr Span longest_batch = Span::micros(2'000);

}  // namespace

// One connection to the board, with one poll at a time.
class BoardLink final : public Link {
public:
    explicit BoardLink(Board& board)
        : Link(board.loop_, Poco::Net::StreamSocket(), LinkState::connecting), board_(board) {}

    bool start(const std::string& address) {
        return connect(Poco::Net::SocketAddress(address)) == Attempt::begun;
    }
    void get(const std::string& host, const std::string& target) {
        http::write_get(out_, host, target);
        flush();
        answer_.emplace();
        polled_at_ = loop_.now();
        expect_bytes();
    }
    void stop() {
        loop_.forget(silence_);
        close();
    }

protected:
    void on_open() override { flush(); }
    void on_bytes() override {
        if (!answer_) return discard();
        expect_bytes();
        read_answer();
    }
    void on_end() override { end("connection lost"); }

private:
    // The answer to the poll under way.
    struct Answer {
        std::optional<http::Head> head;
        std::optional<http::BodyReader> body;
        bool body_ended = false;
        NoticeReader notices;
    };

    // Guards against an answer that stands still: the clock starts anew with what arrives, to the bound of
    // the whole answer.
    void expect_bytes() {
        const Instant quiet = loop_.now() + poll_linger + board_.retry_delay_;
        loop_.forget(silence_);
        silence_ = loop_.at(std::min(quiet, polled_at_ + longest_answer), [self = weak_from_this(), this] {
            if (const auto alive = self.lock(); alive && state() != LinkState::ended)
                end("no whole answer in time");
        });
    }

    // Guards the loop's turns: what does not fit into this one's batch stays in the buffer, and nothing more
    // is read until the next turn.
    void read_answer() {
        const auto alive = shared_from_this();
        begin_batch();
        while (state() == LinkState::open && answer_) {
            if (loop_.now() - batch_began_ >= longest_batch) {
                batch_cut_ = true;
                return read_on(false);
            }
            if (!read_step()) return;
        }
    }

    void begin_batch() {
        if (std::exchange(in_batch_, true)) return;
        batch_began_ = loop_.now();
        loop_.next_turn([self = weak_from_this(), this] {
            const auto alive = self.lock();
            if (!alive) return;
            in_batch_ = false;
            // Only a batch that ran out of time goes on: whoever waits for the board must not wake the loop
            // in each of its turns.
            if (state() != LinkState::open || !std::exchange(batch_cut_, false)) return;
            read_on(true);
            if (answer_) read_answer();
        });
    }

    // One notice, or the next piece of the answer; false: nothing more can be read for now.
    bool read_step() {
        NoticeReader& notices = answer_->notices;
        if (const auto notice = notices.next())
            return board_.apply(*notice) || end("an event that can't be read");
        if (!notices.error().empty()) return end(notices.error());
        if (answer_->body_ended) return finish();
        return answer_->head ? read_body() : read_head();
    }

    bool read_head() {
        http::Head head;
        std::size_t used = 0;
        const Parsed parsed = http::parse_head(in_.view(), head, used);
        if (parsed == Parsed::more) return false;
        if (parsed == Parsed::bad) return end("not HTTP/1.1");
        if (head.status != 200) return end("a status other than 200");
        if (!head.framed()) return end("an answer whose end can't be told");
        in_.taken(used);
        answer_->head = head;
        answer_->body.emplace(head);
        return true;
    }

    bool read_body() {
        std::string_view piece;
        std::size_t used = 0;
        const Parsed parsed = answer_->body->next(in_.view(), piece, used);
        if (parsed == Parsed::bad) return end("a body that is not HTTP/1.1");
        answer_->notices.feed(piece);
        in_.taken(used);
        answer_->body_ended = parsed == Parsed::whole;
        return answer_->body_ended || used > 0;
    }

    // All that has come took effect.
    bool finish() {
        if (!answer_->notices.whole()) return end("an answer that is not whole JSON");
        const auto revision = answer_->notices.revision();
        if (!revision) return end("missing field 'rev'");
        const bool reusable = !answer_->head->close && in_.empty();
        answer_.reset();
        loop_.forget(silence_);
        if (!reusable) {
            stop();
            board_.link_.reset();
        }
        board_.answer_complete(*revision);
        return false;
    }

    // Always false: nothing more is to be read.
    bool end(std::string_view why) {
        const auto alive = shared_from_this();
        const std::string reason(why);
        stop();
        answer_.reset();
        board_.link_.reset();
        board_.poll_failed(reason);
        return false;
    }

    // Bytes that no poll asked for: the next poll takes another connection.
    void discard() {
        const auto alive = shared_from_this();
        stop();
        board_.link_.reset();
    }

    Board& board_;
    std::optional<Answer> answer_;  // none: no poll is under way
    Instant polled_at_, batch_began_;
    bool in_batch_ = false;
    bool batch_cut_ = false;  // by the time that it may take
    Loop::Alarm silence_{};
};

Board::Board(Loop& loop, BoardObserver& observer, std::string address, Span retry_delay)
    : loop_(loop),
      observer_(observer),
      address_(std::move(address)),
      retry_delay_(retry_delay),
      told_all_at_(loop.now()) {}

Board::~Board() {
    loop_.forget(next_poll_);
    if (link_) link_->stop();
}

void Board::poll() {
    loop_.forget(next_poll_);
    const bool from_start = observer_.wants_all_events();
    if (from_start) {
        // What was told before is told again, and is no news.
        history_ = std::max(history_, revision_);
        history_known_at_ = loop_.now();
        revision_ = 0;
    }
    observer_.on_board_asked(from_start);
    polled_from_ = revision_;
    polled_at_ = loop_.now();
    try {
        if (!link_ || link_->state() == LinkState::ended) {
            link_ = std::make_shared<BoardLink>(*this);
            if (!link_->start(address_)) {
                link_.reset();
                return poll_failed("no attempt to connect was possible");
            }
        }
        link_->get(address_, "/board/poll?watch=" + std::to_string(revision_) +
                                 "&linger=" + std::to_string(poll_linger.micros() / 1000));
    } catch (const Poco::Exception& e) {
        link_.reset();
        poll_failed(e.displayText());
    }
}

void Board::poll_at(Instant due) {
    loop_.forget(next_poll_);
    next_poll_ = loop_.at(due, [this] { poll(); });
}

void Board::answer_complete(std::int64_t revision) {
    observer_.on_board_answered(revision, polled_from_);
    told_all_at_ = polled_at_;
    revision_ = std::max(revision_, revision);
    last_poll_failed_ = false;
    // Guards against a board that neither holds a poll nor has anything new (one that has jumped back, say):
    // it would be asked again and again without end.
    if (revision_ > polled_from_ || loop_.now() - polled_at_ >= retry_delay_) return poll();
    poll_at(polled_at_ + retry_delay_);
}

// What is known goes on being used. A break says nothing of the board and what it was about to tell may be
// urgent: it is asked again at once, and after a second failure in a row only where the poll before brought
// something, else after a pause.
void Board::poll_failed(std::string_view why) {
    observer_.on_board_failed();
    log::write(log::Level::info, "notice board: " + std::string(why));
    const bool progress = revision_ > polled_from_;
    const bool at_once = !std::exchange(last_poll_failed_, true) || progress;
    poll_at(loop_.now() + (at_once ? Span{} : retry_delay_));
}

// Guards against events lost in a move: what the old board has not told whole is asked of the new one.
void Board::move(const std::string& address) {
    if (address == address_) return;
    log::write(log::Level::info, "notice board: now at " + address);
    address_ = address;
    if (link_) link_->stop();
    link_.reset();
    last_poll_failed_ = false;
    poll();
}

void Board::load(const json& known) {
    const auto last = get<std::int64_t>(known, "rev");
    history_ = std::max(history_, last);
    history_known_at_ = loop_.now();
    find_newest(known);
    for (const json& event : list_of(known, "notices")) {
        const Notice notice = notice_of(event, last);
        if (!apply(notice)) apply(notice);
    }
    revision_ = std::max(revision_, last);
}

// An event that can't be read is asked for once more, then left out with a line in the log; those behind it
// still count.
bool Board::apply(const Notice& notice) {
    if (notice.numbered && notice.revision <= revision_) return true;
    const std::string error = notice.error.empty() ? deliver(notice) : notice.error;
    if (!error.empty()) {
        if (std::exchange(unreadable_behind_, revision_) != revision_) return false;
        log::write(log::Level::warning, "notice board: an event is left out: " + error);
        observer_.on_board_event_left_out();
    }
    if (notice.numbered) revision_ = notice.revision;
    return true;
}

// The newest time of a purge known at the start, or else of a start; an event that can't be read bears none.
void Board::find_newest(const json& known) {
    Instant newest_purge, newest_start;
    const auto count = [](Instant& newest, std::int64_t ms) { newest = std::max(newest, unix_ms(ms)); };
    for (const json& event : list_of(known, "notices")) try {
            if (const auto flush = event.find("flush"); flush != event.end())
                count(newest_purge, get<std::int64_t>(*flush, "ms"));
            if (const auto pool = event.find("pool"); pool != event.end())
                for (const json& line : list_of(*pool, "servers"))
                    count(newest_start, get_or<std::int64_t>(line, "started_ms", 0));
        } catch (const std::exception&) {
            continue;
        }
    newest_in_history_ = newest_purge != Instant{} ? newest_purge : newest_start;
}

void Board::set_times(std::int64_t revision) {
    if (revision <= history_)
        times_.begin_history(history_known_at_, newest_in_history_);
    else
        times_.begin_news(loop_.now(), told_all_at_);
}

// Returns why the event can't be read; empty: it took effect.
std::string Board::deliver(const Notice& notice) {
    const json& event = notice.content;
    set_times(notice.revision);
    try {
        if (const auto pool = event.find("pool"); pool != event.end()) {
            deliver_list(*pool);
        } else if (const auto flush = event.find("flush"); flush != event.end()) {
            deliver_purge(*flush);
        }
        return {};
    } catch (const std::exception& e) {
        return e.what();
    }
}

void Board::deliver_list(const json& pool) {
    std::vector<ListLine> lines;
    for (const json& line : list_of(pool, "servers")) {
        lines.push_back(read_list_line(line));
        Listing& listing = lines.back().first;
        listing.started = times_.start(listing.cache, listing.started);
    }
    observer_.on_board_list(lines, get_or(pool, "full", false));
}

void Board::deliver_purge(const json& flush) {
    PurgeNotice purge;
    purge.stamp = unix_ms(get<std::int64_t>(flush, "ms"));
    purge.group = GroupNo{get_or<std::int64_t>(flush, "collection", 0)};
    if (flush.contains("asset")) purge.object = ObjectName{get<std::string>(flush, "asset")};
    purge.at = times_.purge(purge.stamp);
    observer_.on_board_purge(purge);
}

}  // namespace irismux
