// A stand-in for a key-value registry's members: etcd's HTTP/JSON interface over a RegistryModel, on a loop,
// with faults to order. It keeps a ledger of what was asked of it.
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
        bool refuse = false;          // connections are closed as they come
        bool silent_watches = false;  // watches stay open and say nothing, not even progress
        bool unresponsive = false;    // nothing is answered at all
        bool truncate_watch =
            false;  // the next message of a watch ends in its middle, and the connection with it
        bool corrupt_response = false;  // the next answer is wrong bytes
        bool drop_write_response =
            false;              // the next write is done, and the connection closed without an answer
        int lag = 0;            // revisions that this member is behind
        int fragment_size = 0;  // changes a piece of a watch's message; zero: whole
        Duration delay;         // before anything is said
    };
    struct Ledger {
        int reads = 0, checks = 0, watches = 0, connections = 0, refused = 0, logins = 0;
        int transactions = 0, successful_transactions = 0;  // transactions, and those that wrote
        std::uint64_t delivered_changes = 0;  // changes, each as often as a watch was told of it
        std::vector<TimePoint> request_times;
    };

    FakeRegistry(EventLoop& loop, std::size_t members, Duration progress);
    ~FakeRegistry();

    std::string address(std::size_t member) const { return members_[member]->address; }
    RegistryModel model;
    Ledger ledger;
    // Each transaction once it has been settled and before it is answered; nothing of it may be changed.
    struct SettledTransaction {
        TimePoint at;
        std::size_t member = 0;
        std::vector<std::string> compared;  // keys
        std::vector<std::pair<std::string, std::optional<std::string>>> writes;
        bool succeeded = false;
    };
    std::function<void(const SettledTransaction&)> on_settled = [](const SettledTransaction&) {};
    std::string user, password;  // empty: open to all
    Faults& faults(std::size_t member) { return members_[member]->faults; }

    // Tells the watches of what the model has gained since; the instant is that of the commit.
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
    // One request at one member.
    struct Call {
        Member& member;
        std::shared_ptr<TestConnection> connection;
        std::string target;
        nlohmann::json body;
        nlohmann::json header;  // of its answer
    };
    void on_request(const Call& call, const std::string& token);
    nlohmann::json header(const Member& m) const;
    void answer_error(const Call& call, int status, int code, const std::string& message);
    void authenticate(const Call& call);
    void answer_range(const Call& call);
    void open_watch(const Call& call);
    void answer_transaction(const Call& call);
    void answer_write(const Call& call);
    // Whether all comparisons hold now; `keys` gets what they compare.
    bool compares_hold(const nlohmann::json& compares, std::vector<std::string>& keys) const;
    void answer(Member& m, const std::shared_ptr<TestConnection>& w, int status, std::string body);
    void stream(Member& m, const std::shared_ptr<TestConnection>& w, std::string message);
    // The answer to a transaction, which is done by then.
    nlohmann::json transact(std::size_t member, const nlohmann::json& asked);
    void cancel_watch(Member& m, const std::shared_ptr<TestConnection>& w);
    void deliver_changes(Member& m);
    // What a watch is told, and of how many changes.
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
