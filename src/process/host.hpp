// The Router's Port and alarms, between the server and the client component.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "process/posting.hpp"
#include "state/exchange.hpp"
#include "state/roster.hpp"
#include "wire/board.hpp"
#include "wire/caches.hpp"
#include "wire/front.hpp"
#include "wire/loop.hpp"

namespace irismux {

class Host final : private Port, private Lookups, private Ends, private Told {
public:
    Host(Loop& loop, const Posting& posting);
    ~Host() override;

    void serve();
    // From now on the gateway leaves as soon as nothing can come any more and all is answered.
    void leave();
    // The configuration has been replaced: of it, the board's address may change while the program runs.
    void reread(const Posting& posting) { board_.move(posting.board); }
    std::size_t held() const { return exchanges_.size(); }

private:
    // Port: what the Router wants done
    void send(const LookupId&, const CacheId&, Span time_out) override;
    void fill(const LookupId&, const Fill&) override;
    void cancel(const LookupId&, SendNo) override;
    void nack(const LookupId&, Span come_back_in) override;
    void fail(const LookupId&) override;
    void probe(const CacheId&) override;
    void alarm(AlarmNo, Instant) override;
    void watch_list() override {}  // the board is watched from the start
    void note_down(std::string_view) override;

    // what happens
    bool taken(const Caller&, Asked) override;
    void left(const Caller&) override;
    void ended(Exchange&, std::size_t n, const End&) override;
    void probed(const ProbeAnswer&) override;
    void list_told(const std::vector<std::pair<Listing, std::string>>&, bool complete) override;
    void purge_told(Instant at, GroupNo, const std::optional<ObjectName>&) override;

    void start_send(const LookupId&, Send);
    void expired(const LookupId&);
    void end_send(Exchange&, std::size_t n, const End&);
    void end_all_sends(Exchange&, Outcome);
    void tell_router(const LookupId&, const Answer&);
    void drop_if_over(const LookupId&);
    void look_round();

    struct Held {
        std::unique_ptr<Exchange> exchange;
        Loop::Alarm expiry;
    };

    Loop& loop_;
    Span longest_deadline_;
    std::size_t most_held_;
    std::string listen_;
    Roster roster_;
    Front front_;
    Caches caches_;
    Board board_;
    Router router_;
    bool in_router_ = false;
    std::map<LookupId, Held> exchanges_;
    std::map<std::pair<std::uint64_t, std::uint16_t>, LookupId> by_caller_;
    std::optional<Instant> leaving_since_;
};

}  // namespace irismux
