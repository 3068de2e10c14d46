// A fake of the members of a key-value registry: etcd's HTTP/JSON interface to a RegistryModel, on an event
// loop, with fault injection per member. It counts the requests that it receives.
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
        /// Closes each new connection.
        bool refuse = false;
        /// Keeps watches open and sends neither changes nor progress notifications on them.
        bool silent_watches = false;
        /// Answers no request.
        bool unresponsive = false;
        /// Sends half of the next watch message and then closes the connection.
        bool truncate_watch = false;
        /// Sends the next response's body with its bytes reversed.
        bool corrupt_response = false;
        /// Runs the next transaction and closes the connection without a response.
        bool drop_write_response = false;
        /// Number of revisions that this member is behind.
        int lag = 0;
        /// Maximum number of changes in a fragment of a watch message; zero sends the message whole.
        int fragment_size = 0;
        /// Delay of each response and watch message.
        Duration delay;
    };
    struct Ledger {
        int reads = 0, checks = 0, watches = 0, connections = 0, refused = 0, logins = 0;
        /// `successful_transactions` counts only the transactions whose comparisons held.
        int transactions = 0, successful_transactions = 0;
        /// Changes sent to watches; a change counts once for each watch.
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
        std::vector<std::string> compared;  // keys
        std::vector<std::pair<std::string, std::optional<std::string>>> writes;
        bool succeeded = false;
    };
    // Called after a transaction has run and before its response is sent. The callback must not change the
    // registry.
    std::function<void(const SettledTransaction&)> on_settled = [](const SettledTransaction&) {};
    std::string user, password;  // an empty user disables authentication
    Faults& faults(std::size_t member) { return members_[member]->faults; }

    // Sends the changes since the last call to the watches. The time of this call counts as that of the
    // commit.
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
    // A request that one member received.
    struct Call {
        Member& member;
        std::shared_ptr<TestConnection> connection;
        std::string target;
        nlohmann::json body;
        nlohmann::json header;  // of the response
    };
    void on_request(const Call& call, const std::string& token);
    nlohmann::json header(const Member& m) const;
    void answer_error(const Call& call, int status, int code, const std::string& message);
    void authenticate(const Call& call);
    void answer_range(const Call& call);
    void open_watch(const Call& call);
    void answer_transaction(const Call& call);
    void answer_write(const Call& call);
    // Whether all comparisons hold at the newest revision. Appends the compared keys to `keys`.
    bool compares_hold(const nlohmann::json& compares, std::vector<std::string>& keys) const;
    void answer(Member& m, const std::shared_ptr<TestConnection>& connection, int status, std::string body);
    void stream(Member& m, const std::shared_ptr<TestConnection>& connection, std::string message);
    // Runs a transaction and returns its response.
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
