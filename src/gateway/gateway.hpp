// The Router's Port and alarms, between the server and the client component.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "endpoint/endpoint_table.hpp"
#include "fleet/fleet_client.hpp"
#include "gateway/configuration.hpp"
#include "gateway/parts.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"
#include "net/notice_client.hpp"
#include "registry/client.hpp"
#include "request/active_request.hpp"
#include "request/duplicate_request_filter.hpp"
#include "store/store.hpp"

namespace irismux {

class Host final : private Port,
                   private Lookups,
                   private Ends,
                   private BoardObserver,
                   private registry::Knows,
                   private fleet::GatewayPort {
public:
    Host(Loop& loop, const Configuration& configuration, const Parts& parts = {});
    ~Host() override;

    // Begins; where no listener can be had for now, again and again, up to a bound.
    void serve();
    // Why it never came to serve; none: it has, or may yet.
    const std::optional<std::string>& start_failure() const { return start_failure_; }
    // From now on the gateway leaves as soon as nothing can come any more and all is answered.
    void leave();
    // The configuration has been replaced: of it, the board's address and the registry may change while the
    // program runs.
    void reread(const Configuration& configuration, const Parts& parts);
    std::size_t held() const { return exchanges_.size(); }
    const registry::Client* registry() const { return registry_.get(); }

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
    void marked(const CacheId&, bool) override;

    // fleet::GatewayPort
    bool send_probe(const CacheId&) override;
    void trial_from(const CacheId&, Instant) override;
    void on_duty_state(const fleet::DutyName&, fleet::LeaseState, fleet::FencingToken) override;
    void on_fleet_message(std::string_view plain_line, bool trouble) override;
    void start_fleet();
    void end_fleet();

    // what happens
    Verdict taken(const Caller&, Asked) override;
    void left(const Caller&) override;
    void ended(Exchange&, std::size_t n, const End&) override;
    void name_in_use(Exchange&, std::size_t n) override;
    void probed(const ProbeAnswer&) override;
    bool may_begin(Exchange&, std::size_t n) override;
    void on_board_list(const std::vector<ListLine>&, bool complete) override;
    void list_told(Instant now, const std::vector<ListLine>&, bool complete) override;
    void sight_told(Instant now, registry::Sight, Instant as_of) override;
    void remark(std::string_view plain_line) override;
    void start_registry();
    void keep_list();
    void list_in_force(const std::vector<ListLine>&, bool complete);
    void on_board_purge(const PurgeNotice& purge) override;
    bool wants_all_events() const override { return fleet_client_ && fleet_client_->ask_board_from_start(); }
    void on_board_asked(bool from_start) override;
    void on_board_answered(std::int64_t newest, std::int64_t asked_from) override;
    void on_board_failed() override;
    void on_board_event_left_out() override;
    void take_lookups();
    void listen_again(const std::string& why);

    void start_send(const LookupId&, Send);
    void timed_out(LookupId, std::size_t n);
    void forget_time_out(LookupId, std::size_t n);
    void expired(const LookupId&);
    void end_send(Exchange&, std::size_t n, const End&);
    void end_all_sends(Exchange&, Outcome);
    void tell_router(const LookupId&, const Answer&);
    void drop_if_over(const LookupId&);
    void expire_at(const LookupId&, Instant);
    bool owes_answer() const;
    void look_round();

    struct Held {
        std::shared_ptr<Exchange> exchange;  // shared with the connections that carry its sends
        Loop::Alarm expiry;
        std::map<std::size_t, Loop::Alarm> time_outs;  // of sends that are out
    };
    Verdict judge(const Caller&, const Asked&);
    bool has_effect(KindNo kind) const;
    void note_answered(Exchange&, bool without_effect);

    Loop& loop_;
    Span longest_deadline_;
    std::vector<Effect> effects_;  // of the kinds
    std::size_t most_held_;
    std::string listen_;
    Roster roster_;
    Front front_;
    Caches caches_;
    Board board_;
    std::uint64_t seed_;
    std::optional<registry::Settings> registry_settings_;
    std::unique_ptr<registry::Client> registry_;  // the list's one source, where there is one
    std::string owner_;                           // of the list that is kept
    std::optional<Store> store_;
    registry::Revision kept_;  // of the list kept last
    Instant kept_at_;
    bool not_kept_ = false;  // said once: it can't be written
    Loop::Alarm keep_{};
    std::optional<fleet::Settings> fleet_settings_;
    std::string name_;
    // Whom a look may go to: edge caches here, parents and the origin only where lookups may.
    struct LooksAt {
        bool any = false, direct = false;
        LocationId here;
        std::optional<MachineId> parent, origin;
    };
    LooksAt looks_at_;
    std::unique_ptr<fleet::FleetClient> fleet_client_, leaving_fleet_client_;
    Loop::Alarm fleet_client_left_{};
    Router router_;
    bool in_router_ = false;
    Loop::Alarm take_lookups_{};
    Instant start_by_;
    bool start_held_up_ = false;
    std::optional<std::string> start_failure_;
    std::uint64_t last_lookup_ = 0;
    std::map<LookupId, Held> exchanges_;
    std::map<Caller, LookupId> by_caller_;
    // Requests that wait for their answers, by connection and the client's name for them.
    std::map<std::pair<std::uint64_t, RequestId>, LookupId> open_names_;
    RequestLog request_log_;
    // Working: lookups are taken and answered. Ending: no connection is accepted or listened to any more, and
    // each is ended in peace.
    enum class Leave { no, working, ending };
    Leave leave_ = Leave::no;
    Instant leaving_since_, leave_by_;
};

}  // namespace irismux
