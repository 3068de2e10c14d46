#include "net/notice_client.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_reader.hpp"
#include "base/log.hpp"
#include "codec/http.hpp"
#include "net/connection.hpp"

namespace irismux {
namespace {

using nlohmann::json;

// The board may hold a poll for 5 s and is told to for a fifth of that: a board that has gone silent is
// noticed well before what it has to say counts as told.
constexpr Duration longest_linger = Duration::micros(5'000'000);
const Duration poll_linger = longest_linger * 0.2;
// From the poll to the end of its answer. An answer that takes longer is broken off, and the next poll goes
// on behind what has come of it.
constexpr Duration longest_answer = longest_linger;
// Notices take effect for so long in one turn of the loop; the rest waits for the next turn.
constexpr Duration longest_batch = Duration::micros(2'000);

}  // namespace

// One connection to the board, with one poll at a time.
class NoticeConnection final : public Connection {
public:
    explicit NoticeConnection(NoticeClient& board)
        : Connection(board.event_loop_, Poco::Net::StreamSocket(), ConnectionState::connecting),
          board_(board) {}

    bool start(const std::string& address) {
        return connect(Poco::Net::SocketAddress(address)) == ConnectResult::started;
    }
    void get(const std::string& host, const std::string& target) {
        http::write_get(output_, host, target);
        schedule_write();
        answer_.emplace();
        polled_at_ = loop_.now();
        expect_bytes();
    }
    void stop() {
        silence_.cancel();
        close();
    }

protected:
    void on_open() override { schedule_write(); }
    void on_data() override {
        if (!answer_) return discard();
        expect_bytes();
        read_answer();
    }
    void on_closed() override { end("connection lost"); }

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
        const TimePoint quiet = loop_.now() + poll_linger + board_.retry_delay_;
        silence_ =
            ScopedTimer(loop_, std::min(quiet, polled_at_ + longest_answer), [self = weak_from_this(), this] {
                if (const auto alive = self.lock(); alive && state() != ConnectionState::closed)
                    end("no whole answer in time");
            });
    }

    // Guards the loop's turns: what does not fit into this one's batch stays in the buffer, and nothing more
    // is read until the next turn.
    void read_answer() {
        const auto alive = shared_from_this();
        begin_batch();
        while (state() == ConnectionState::open && answer_) {
            if (loop_.now() - batch_began_ >= longest_batch) {
                batch_cut_ = true;
                return set_reading(false);
            }
            if (!read_step()) return;
        }
    }

    void begin_batch() {
        if (std::exchange(in_batch_, true)) return;
        batch_began_ = loop_.now();
        loop_.run_next_iteration([self = weak_from_this(), this] {
            const auto alive = self.lock();
            if (!alive) return;
            in_batch_ = false;
            // Only a batch that ran out of time goes on: whoever waits for the board must not wake the loop
            // in each of its turns.
            if (state() != ConnectionState::open || !std::exchange(batch_cut_, false)) return;
            set_reading(true);
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
        const ParseStatus parsed = http::parse_head(input_.view(), head, used);
        if (parsed == ParseStatus::incomplete) return false;
        if (parsed == ParseStatus::invalid) return end("not HTTP/1.1");
        if (head.status != 200) return end("a status other than 200");
        if (!head.framed()) return end("an answer whose end can't be told");
        input_.consumed(used);
        answer_->head = head;
        answer_->body.emplace(head);
        return true;
    }

    bool read_body() {
        std::string_view piece;
        std::size_t used = 0;
        const ParseStatus parsed = answer_->body->next(input_.view(), piece, used);
        if (parsed == ParseStatus::invalid) return end("a body that is not HTTP/1.1");
        answer_->notices.feed(piece);
        input_.consumed(used);
        answer_->body_ended = parsed == ParseStatus::complete;
        return answer_->body_ended || used > 0;
    }

    // All that has come took effect.
    bool finish() {
        if (!answer_->notices.complete()) return end("an answer that is not whole JSON");
        const auto revision = answer_->notices.revision();
        if (!revision) return end("missing field 'rev'");
        const bool reusable = !answer_->head->close && input_.empty();
        answer_.reset();
        silence_.cancel();
        if (!reusable) {
            stop();
            board_.connection_.reset();
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
        board_.connection_.reset();
        board_.poll_failed(reason);
        return false;
    }

    // Bytes that no poll asked for: the next poll takes another connection.
    void discard() {
        const auto alive = shared_from_this();
        stop();
        board_.connection_.reset();
    }

    NoticeClient& board_;
    std::optional<Answer> answer_;  // none: no poll is under way
    TimePoint polled_at_, batch_began_;
    bool in_batch_ = false;
    bool batch_cut_ = false;  // by the time that it may take
    ScopedTimer silence_;
};

NoticeClient::NoticeClient(EventLoop& loop, NoticeObserver& observer, std::string address,
                           Duration retry_delay)
    : event_loop_(loop),
      observer_(observer),
      address_(std::move(address)),
      retry_delay_(retry_delay),
      told_all_at_(loop.now()) {}

NoticeClient::~NoticeClient() {
    if (connection_) connection_->stop();
}

void NoticeClient::poll() {
    next_poll_.cancel();
    const bool from_start = observer_.wants_full_history();
    if (from_start) {
        // What was told before is told again, and is no news.
        history_ = std::max(history_, revision_);
        history_known_at_ = event_loop_.now();
        revision_ = 0;
    }
    observer_.on_poll_started(from_start);
    polled_from_ = revision_;
    polled_at_ = event_loop_.now();
    try {
        if (!connection_ || connection_->state() == ConnectionState::closed) {
            connection_ = std::make_shared<NoticeConnection>(*this);
            if (!connection_->start(address_)) {
                connection_.reset();
                return poll_failed("no attempt to connect was possible");
            }
        }
        connection_->get(address_, "/board/poll?watch=" + std::to_string(revision_) +
                                       "&linger=" + std::to_string(poll_linger.micros() / 1000));
    } catch (const Poco::Exception& e) {
        connection_.reset();
        poll_failed(e.displayText());
    }
}

void NoticeClient::poll_at(TimePoint due) {
    next_poll_ = ScopedTimer(event_loop_, due, [this] { poll(); });
}

void NoticeClient::answer_complete(std::int64_t revision) {
    observer_.on_poll_completed(revision, polled_from_);
    told_all_at_ = polled_at_;
    revision_ = std::max(revision_, revision);
    last_poll_failed_ = false;
    // Guards against a board that neither holds a poll nor has anything new (one that has jumped back, say):
    // it would be asked again and again without end.
    if (revision_ > polled_from_ || event_loop_.now() - polled_at_ >= retry_delay_) return poll();
    poll_at(polled_at_ + retry_delay_);
}

// What is known goes on being used. A break says nothing of the board and what it was about to tell may be
// urgent: it is asked again at once, and after a second failure in a row only where the poll before brought
// something, else after a pause.
void NoticeClient::poll_failed(std::string_view why) {
    observer_.on_poll_failed();
    log::write(log::Level::info, "notice board: " + std::string(why));
    const bool progress = revision_ > polled_from_;
    const bool at_once = !std::exchange(last_poll_failed_, true) || progress;
    poll_at(event_loop_.now() + (at_once ? Duration{} : retry_delay_));
}

// Guards against events lost in a move: what the old board has not told whole is asked of the new one.
void NoticeClient::set_address(const std::string& address) {
    if (address == address_) return;
    log::write(log::Level::info, "notice board: now at " + address);
    address_ = address;
    if (connection_) connection_->stop();
    connection_.reset();
    last_poll_failed_ = false;
    poll();
}

void NoticeClient::load_known(const json& known) {
    const auto last = get<std::int64_t>(known, "rev");
    history_ = std::max(history_, last);
    history_known_at_ = event_loop_.now();
    find_newest(known);
    for (const json& event : list_of(known, "notices")) {
        const Notice notice = notice_of(event, last);
        if (!apply(notice)) apply(notice);
    }
    revision_ = std::max(revision_, last);
}

// An event that can't be read is asked for once more, then left out with a line in the log; those behind it
// still count.
bool NoticeClient::apply(const Notice& notice) {
    if (notice.numbered && notice.revision <= revision_) return true;
    const std::string error = notice.error.empty() ? deliver(notice) : notice.error;
    if (!error.empty()) {
        if (std::exchange(unreadable_behind_, revision_) != revision_) return false;
        log::write(log::Level::warning, "notice board: an event is left out: " + error);
        observer_.on_notice_skipped();
    }
    if (notice.numbered) revision_ = notice.revision;
    return true;
}

// The newest time of a purge known at the start, or else of a start; an event that can't be read bears none.
void NoticeClient::find_newest(const json& known) {
    TimePoint newest_purge, newest_start;
    const auto count = [](TimePoint& newest, std::int64_t ms) {
        newest = std::max(newest, time_from_unix_ms(ms));
    };
    for (const json& event : list_of(known, "notices")) try {
            if (const auto flush = event.find("flush"); flush != event.end())
                count(newest_purge, get<std::int64_t>(*flush, "ms"));
            if (const auto pool = event.find("pool"); pool != event.end())
                for (const json& line : list_of(*pool, "servers"))
                    count(newest_start, get_or<std::int64_t>(line, "started_ms", 0));
        } catch (const std::exception&) {
            continue;
        }
    newest_in_history_ = newest_purge != TimePoint{} ? newest_purge : newest_start;
}

void NoticeClient::set_times(std::int64_t revision) {
    if (revision <= history_)
        times_.begin_history(history_known_at_, newest_in_history_);
    else
        times_.begin_news(event_loop_.now(), told_all_at_);
}

// Returns why the event can't be read; empty: it took effect.
std::string NoticeClient::deliver(const Notice& notice) {
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

void NoticeClient::deliver_list(const json& pool) {
    std::vector<EndpointRecord> lines;
    for (const json& line : list_of(pool, "servers")) {
        lines.push_back(parse_endpoint_record(line));
        EndpointUpdate& listing = lines.back().first;
        listing.started_at = times_.start(listing.cache, listing.started_at);
    }
    observer_.on_endpoint_notice(lines, get_or(pool, "full", false));
}

void NoticeClient::deliver_purge(const json& flush) {
    PurgeNotice purge;
    purge.stamp = time_from_unix_ms(get<std::int64_t>(flush, "ms"));
    purge.group = PurgeGroupId{get_or<std::int64_t>(flush, "collection", 0)};
    if (flush.contains("asset")) purge.object = ObjectName{get<std::string>(flush, "asset")};
    purge.at = times_.purge(purge.stamp);
    observer_.on_purge_notice(purge);
}

}  // namespace irismux
