// A fake of a key-value registry with several registry members, which are its servers. The registry members
// serve a RegistryModel through etcd's HTTP/JSON interface, all on one event loop. Tests set faults for each
// registry member. The fake counts the requests that it receives.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "testing/registry_model.hpp"
#include "testing/sockets.hpp"

namespace irismux::test_support {

class FakeRegistry {
public:
    struct Faults {
        /// The registry member closes each new connection.
        bool refuse = false;
        /// The registry member keeps watches open but sends neither changes nor progress notifications on
        /// them.
        bool silent_watches = false;
        /// The registry member reads requests but replies to none of them.
        bool unresponsive = false;
        /// The registry member sends only the first half of the next watch message and then closes the
        /// connection.
        bool truncate_watch = false;
        /// The registry member sends the body of its next reply with the bytes in reverse order.
        bool corrupt_response = false;
        /// The registry member runs the next transaction and then closes the connection without a reply.
        bool drop_write_response = false;
        /// Number of revisions by which this registry member is behind the newest revision.
        int lag = 0;
        /// Maximum number of changes in each fragment of a watch message. If zero, the registry member sends
        /// the message in one piece.
        int fragment_size = 0;
        /// Delay of each reply and watch message that the registry member sends.
        Duration delay;
    };
    struct Ledger {
        int reads = 0, checks = 0, watches = 0, connections = 0, refused = 0, logins = 0;
        /// `transactions` counts all transactions, `successful_transactions` only those whose comparisons
        /// held.
        int transactions = 0, successful_transactions = 0;
        /// Number of changes sent to watches. A change that is sent to several watches counts once for each
        /// of them.
        std::uint64_t delivered_changes = 0;
        std::vector<TimePoint> request_times;
    };

    FakeRegistry(EventLoop& loop, std::size_t members, Duration progress_interval);
    ~FakeRegistry();

    std::string address(std::size_t member) const { return members_[member]->address; }
    RegistryModel model;
    Ledger ledger;
    struct SettledTransaction {
        TimePoint at;
        std::size_t member = 0;
        std::vector<std::string> compared;  // the compared keys
        std::vector<std::pair<std::string, std::optional<std::string>>> writes;
        bool succeeded = false;
    };
    // Called after a transaction has run and before the reply to it is sent. The callback must not change the
    // registry.
    std::function<void(const SettledTransaction&)> on_settled = [](const SettledTransaction&) {};
    std::string user, password;  // an empty user disables authentication
    Faults& faults(std::size_t member) { return members_[member]->faults; }

    // Sends to each watch the changes that the watch has not received yet. The time of this call counts as
    // the time of the commit of these changes.
    void publish();
    void break_connections(std::size_t member);
    void stop_member(std::size_t member);
    void restart_member(std::size_t member);
    void revoke_tokens() { tokens_.clear(); }

private:
    struct Watcher {
        std::weak_ptr<TestConnection> connection;
        std::string prefix;
        Revision next;
    };
    struct Member {
        std::size_t number = 0;
        std::string address;
        std::unique_ptr<Acceptor> acceptor;
        std::vector<std::shared_ptr<TestConnection>> connections;
        std::vector<Watcher> watchers;
        Faults faults;
    };

    void listen(Member& m, const std::string& at);
    // A request that one registry member received.
    struct Call {
        Member& member;
        std::shared_ptr<TestConnection> connection;
        std::string target;
        nlohmann::json body;
        nlohmann::json header;  // header of the reply
    };
    void on_request(const Call& call, const std::string& token);
    nlohmann::json header(const Member& m) const;
    void answer_error(const Call& call, int status, int code, const std::string& message);
    void authenticate(const Call& call);
    void answer_range(const Call& call);
    void open_watch(const Call& call);
    void answer_transaction(const Call& call);
    void answer_write(const Call& call);
    // Returns whether all comparisons hold at the newest revision. Appends the compared keys to `keys`.
    bool compares_hold(const nlohmann::json& compares, std::vector<std::string>& keys) const;
    void answer(Member& m, const std::shared_ptr<TestConnection>& connection, int status, std::string body);
    void stream(Member& m, const std::shared_ptr<TestConnection>& connection, std::string message);
    // Runs a transaction and returns the reply to it.
    nlohmann::json transact(std::size_t member, const nlohmann::json& request);
    void cancel_watch(Member& m, const std::shared_ptr<TestConnection>& connection);
    void deliver_changes(Member& m);
    // Encoded watch messages and the number of changes in them.
    struct Messages {
        std::vector<std::string> texts;
        std::size_t changes = 0;
    };
    std::optional<Messages> messages(const Member& m, const std::string& prefix, Revision from) const;
    void send_progress();
    Revision visible_revision(const Member& m) const;

    EventLoop& loop_;
    Duration progress_interval_;
    EventLoop::Timer progress_timer_{};
    std::vector<std::unique_ptr<Member>> members_;
    std::set<std::string> tokens_;
    int issued_tokens_ = 0;
};

}  // namespace irismux::test_support
