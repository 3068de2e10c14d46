#include "testing/fake_registry.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace irismux::test_support {
namespace {

using nlohmann::json;

constexpr int accept_backlog = 4096;  // backlog of a registry member's listening socket

std::string base64_encoded(const std::string& bytes) {
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string base64_decoded(const json& o, const char* key) {
    std::istringstream in(o.value(key, ""));
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), {}};
}

std::int64_t number_field(const json& o, const char* key) { return std::atoll(o.value(key, "0").c_str()); }

json kv_of(const Record& r) {
    return {{"key", base64_encoded(r.key.raw())},
            {"create_revision", std::to_string(r.created.raw())},
            {"mod_revision", std::to_string(r.modified.raw())},
            {"value", base64_encoded(r.value)}};
}

// Returns the records with keys from `first` up to, but not including, `end`. If `end` is empty, returns only
// the record with the key `first`.
std::vector<Record> records_between(const RegistryModel::State& state, const std::string& first,
                                    const std::string& end) {
    std::vector<Record> found;
    for (const auto& [key, r] : state)
        if (key.raw() >= first && (end.empty() ? key.raw() == first : key.raw() < end)) found.push_back(r);
    return found;
}

Record record_of(const RegistryModel::State& state, const std::string& key) {
    const auto it = state.find(RecordKey{key});
    return it == state.end() ? Record{} : it->second;
}

// Returns the writes among a transaction's steps. A write whose value is std::nullopt deletes the key.
std::vector<std::pair<std::string, std::optional<std::string>>> writes_of(const json& steps) {
    std::vector<std::pair<std::string, std::optional<std::string>>> writes;
    for (const json& step : steps) {
        if (step.contains("request_put"))
            writes.emplace_back(base64_decoded(step["request_put"], "key"),
                                base64_decoded(step["request_put"], "value"));
        if (step.contains("request_delete_range"))
            writes.emplace_back(base64_decoded(step["request_delete_range"], "key"), std::nullopt);
    }
    return writes;
}

}  // namespace

FakeRegistry::FakeRegistry(EventLoop& loop, std::size_t members, Duration progress_interval)
    : loop_(loop), progress_interval_(progress_interval) {
    for (std::size_t n = 0; n < members; ++n) {
        members_.push_back(std::make_unique<Member>());
        members_.back()->number = n;
        listen(*members_.back(), "127.0.0.1:0");
    }
    FakeRegistry::send_progress();
}

FakeRegistry::~FakeRegistry() { loop_.cancel(progress_timer_); }

Revision FakeRegistry::visible_revision(const Member& m) const {
    return std::max(model.oldest(), Revision{model.newest().raw() - m.faults.lag});
}

void FakeRegistry::listen(Member& m, const std::string& address) {
    m.acceptor = std::make_unique<Acceptor>(
        loop_,
        [this, &m](const Poco::Net::StreamSocket& s) {
            ++ledger.connections;
            if (m.faults.refuse) return;  // dropping the last handle closes the connection
            auto accepted = std::make_shared<TestConnection>(loop_, s);
            std::erase_if(m.connections,
                          [](const auto& old) { return old->state() == ConnectionState::closed; });
            m.connections.push_back(accepted);
            accepted->on_received = [this, &m, weak = std::weak_ptr<TestConnection>(accepted)](Buffer& in) {
                const auto connection = weak.lock();
                while (connection) {
                    const std::string_view all = in.view();
                    const std::size_t head = all.find("\r\n\r\n");
                    if (head == std::string_view::npos) return;
                    const std::size_t sized = all.find("Content-Length: ");
                    const std::size_t length =
                        sized < head ? static_cast<std::size_t>(std::atoll(all.data() + sized + 16)) : 0;
                    if (all.size() < head + 4 + length) return;
                    const std::size_t first = all.find(' ') + 1;
                    const std::string target(all.substr(first, all.find(' ', first) - first));
                    const std::size_t auth = all.find("Authorization: ");
                    const std::string token(
                        auth < head ? all.substr(auth + 15, all.find('\r', auth) - auth - 15) : "");
                    const std::string body(all.substr(head + 4, length));
                    in.consume(head + 4 + length);
                    if (!m.faults.unresponsive)
                        on_request({m, connection, target, json::parse(body, nullptr, false), header(m)},
                                   token);
                    if (connection->state() != ConnectionState::open) return;
                }
            };
            accepted->start();
        },
        accept_backlog, address);
    m.address = m.acceptor->address();
}

void FakeRegistry::answer(Member& m, const std::shared_ptr<TestConnection>& connection, int status,
                          std::string body) {
    if (std::exchange(m.faults.corrupt_response, false)) std::reverse(body.begin(), body.end());
    loop_.schedule_at(loop_.now() + m.faults.delay,
                      [weak = std::weak_ptr<TestConnection>(connection), status, body] {
                          const auto to = weak.lock();
                          if (!to || to->state() != ConnectionState::open) return;
                          to->output().append("HTTP/1.1 " + std::to_string(status) +
                                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                              std::to_string(body.size()) + "\r\n\r\n" + body);
                          to->write();
                      });
}

void FakeRegistry::stream(Member& m, const std::shared_ptr<TestConnection>& connection, std::string message) {
    message += '\n';
    std::ostringstream chunk;
    chunk << std::hex << message.size() << "\r\n" << message << "\r\n";
    std::string bytes = chunk.str();
    const bool cut = std::exchange(m.faults.truncate_watch, false);
    if (cut) bytes.resize(bytes.size() / 2);
    loop_.schedule_at(loop_.now() + m.faults.delay,
                      [weak = std::weak_ptr<TestConnection>(connection), bytes, cut, this] {
                          const auto to = weak.lock();
                          if (!to || to->state() != ConnectionState::open) return;
                          to->output().append(bytes);
                          to->write();
                          if (cut)
                              loop_.schedule_at(loop_.now() + Duration::micros(2000), [to] { to->close(); });
                      });
}

void FakeRegistry::on_request(const Call& call, const std::string& token) {
    ledger.request_times.push_back(loop_.now());
    if (call.target == "/v3/auth/authenticate") return authenticate(call);
    if (!user.empty() && !tokens_.contains(token)) {
        ++ledger.refused;
        return answer_error(call, 401, 16, "etcdserver: invalid auth token");
    }
    if (call.target == "/v3/kv/range") return answer_range(call);
    if (call.target == "/v3/watch") return open_watch(call);
    if (call.target == "/v3/kv/txn") return answer_transaction(call);
    if (call.target == "/v3/kv/put" || call.target == "/v3/kv/deleterange") return answer_write(call);
    answer_error(call, 404, 5, "Not Found");
}

json FakeRegistry::header(const Member& m) const {
    return {{"cluster_id", model.cluster().raw()},
            {"member_id", std::to_string(m.number)},
            {"revision", std::to_string(visible_revision(m).raw())},
            {"raft_term", "2"}};
}

void FakeRegistry::answer_error(const Call& call, int status, int code, const std::string& message) {
    answer(call.member, call.connection, status,
           json{{"error", message}, {"code", code}, {"message", message}}.dump());
}

void FakeRegistry::authenticate(const Call& call) {
    ++ledger.logins;
    if (call.body.value("name", "") != user || call.body.value("password", "") != password)
        return answer_error(call, 400, 3, "etcdserver: authentication failed, invalid user ID or password");
    const std::string made = "token." + std::to_string(++issued_tokens_);
    tokens_.insert(made);
    answer(call.member, call.connection, 200, json{{"header", call.header}, {"token", made}}.dump());
}

void FakeRegistry::answer_range(const Call& call) {
    const json& o = call.body;
    const bool last_changed = o.contains("sort_target");
    ++(last_changed ? ledger.checks : ledger.reads);
    const Revision at = number_field(o, "revision") > 0 ? Revision{number_field(o, "revision")}
                                                        : visible_revision(call.member);
    const RegistryModel::State* state = model.at(at);
    if (!state && at > model.newest())
        return answer_error(call, 400, 11, "etcdserver: mvcc: required revision is a future revision");
    if (!state) return answer_error(call, 400, 11, "etcdserver: mvcc: required revision has been compacted");
    std::vector<Record> found =
        records_between(*state, base64_decoded(o, "key"), base64_decoded(o, "range_end"));
    const std::size_t count = found.size();
    if (last_changed)
        std::sort(found.begin(), found.end(),
                  [](const Record& a, const Record& b) { return a.modified > b.modified; });
    const auto limit = static_cast<std::size_t>(number_field(o, "limit"));
    const bool more = limit > 0 && found.size() > limit;
    if (more) found.resize(limit);
    json kvs = json::array();
    for (const Record& r : found) kvs.push_back(kv_of(r));
    json out = {{"header", call.header}, {"kvs", kvs}, {"count", std::to_string(count)}};
    if (more) out["more"] = true;
    answer(call.member, call.connection, 200, out.dump());
}

void FakeRegistry::open_watch(const Call& call) {
    ++ledger.watches;
    const json& create = call.body["create_request"];
    call.connection->output().append(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    const Revision from{number_field(create, "start_revision")};
    const json created = {{"header", call.header}, {"created", true}};
    const bool available = model.changes(from, model.newest()).has_value();
    stream(call.member, call.connection, json{{"result", created}}.dump());
    if (!available) return cancel_watch(call.member, call.connection);
    call.member.watchers.push_back({call.connection, base64_decoded(create, "key"), from});
    deliver_changes(call.member);
}

void FakeRegistry::answer_transaction(const Call& call) {
    json out = transact(call.member.number, call.body);
    if (std::exchange(call.member.faults.drop_write_response, false)) {
        publish();
        return call.connection->close();
    }
    out["header"] = call.header;
    out["header"]["revision"] = std::to_string(model.newest().raw());
    answer(call.member, call.connection, 200, out.dump());
    publish();
}

void FakeRegistry::answer_write(const Call& call) {
    const bool put = call.target == "/v3/kv/put";
    std::optional<std::string> value;
    if (put) value = base64_decoded(call.body, "value");
    model.commit({{RecordKey{base64_decoded(call.body, "key")}, value}});
    answer(call.member, call.connection, 200, json{{"header", call.header}}.dump());
    publish();
}

bool FakeRegistry::compares_hold(const json& compares, std::vector<std::string>& keys) const {
    const RegistryModel::State& state = *model.at(model.newest());
    bool hold = true;
    for (const json& c : compares) {
        keys.push_back(base64_decoded(c, "key"));
        const Record r = record_of(state, keys.back());
        const std::string target = c.value("target", "");
        if (target == "MOD") hold = hold && r.modified.raw() == number_field(c, "mod_revision");
        if (target == "CREATE") hold = hold && r.created.raw() == number_field(c, "create_revision");
        if (target == "VALUE")
            hold = hold && r.created != Revision{} && r.value == base64_decoded(c, "value");
    }
    return hold;
}

// A registry member that lags still commits transactions at the newest revision, because all registry members
// agree on each transaction.
json FakeRegistry::transact(std::size_t member, const json& request) {
    ++ledger.transactions;
    SettledTransaction done{loop_.now(), member, {}, {}, false};
    const bool holds = compares_hold(request.value("compare", json::array()), done.compared);
    ledger.successful_transactions += holds;
    const json steps = request.value(holds ? "success" : "failure", json::array());
    std::vector<std::pair<RecordKey, std::optional<std::string>>> writes;
    for (auto& [key, value] : writes_of(steps)) writes.emplace_back(key, value);
    if (!writes.empty()) model.commit(writes);
    done.succeeded = holds;
    done.writes = writes_of(request.value("success", json::array()));
    on_settled(done);
    const RegistryModel::State& after = *model.at(model.newest());
    json responses = json::array();
    for (const json& step : steps) {
        if (step.contains("request_put")) responses.push_back({{"response_put", json::object()}});
        if (step.contains("request_delete_range"))
            responses.push_back({{"response_delete_range", json::object()}});
        if (!step.contains("request_range")) continue;
        const Record r = record_of(after, base64_decoded(step["request_range"], "key"));
        json kvs = json::array();
        if (r.created != Revision{}) kvs.push_back(kv_of(r));
        responses.push_back({{"response_range", {{"kvs", kvs}}}});
    }
    json out = {{"responses", responses}};
    if (holds) out["succeeded"] = true;
    return out;
}

void FakeRegistry::cancel_watch(Member& m, const std::shared_ptr<TestConnection>& connection) {
    const json header = {{"cluster_id", model.cluster().raw()},
                         {"revision", std::to_string(visible_revision(m).raw())}};
    const json result = {
        {"header", header}, {"canceled", true}, {"compact_revision", std::to_string(model.oldest().raw())}};
    stream(m, connection, json{{"result", result}}.dump());
}

void FakeRegistry::deliver_changes(Member& m) {
    std::erase_if(m.watchers, [](const Watcher& x) {
        const auto connection = x.connection.lock();
        return !connection || connection->state() == ConnectionState::closed;
    });
    if (m.faults.silent_watches) return;
    // Encodes the messages only once for all watchers with the same prefix and the same next revision.
    std::map<std::pair<std::string, Revision>, std::optional<Messages>> encoded;
    for (Watcher& x : m.watchers) {
        const auto connection = x.connection.lock();
        if (!connection || x.next > visible_revision(m)) continue;
        const auto [it, fresh] = encoded.try_emplace({x.prefix, x.next});
        if (fresh) it->second = messages(m, x.prefix, x.next);
        if (!it->second) {
            // The revisions that this watcher waits for have been compacted.
            cancel_watch(m, connection);
            x.connection.reset();
            continue;
        }
        x.next = Revision{visible_revision(m).raw() + 1};
        ledger.delivered_changes += it->second->changes;
        for (const std::string& message : it->second->texts) stream(m, connection, message);
    }
}

// Encodes the changes of keys with this prefix, from revision `from` on, as watch messages. Returns
// std::nullopt if this revision is compacted.
std::optional<FakeRegistry::Messages> FakeRegistry::messages(const Member& m, const std::string& prefix,
                                                             Revision from) const {
    const auto all = model.changes(from, visible_revision(m));
    if (!all) return std::nullopt;
    std::vector<Change> ours;
    for (const Change& c : *all)
        if (c.record.key.raw().compare(0, prefix.size(), prefix) == 0) ours.push_back(c);
    const json header = {{"cluster_id", model.cluster().raw()},
                         {"revision", std::to_string(visible_revision(m).raw())}};
    Messages made;
    made.changes = ours.size();
    json events = json::array();
    for (std::size_t n = 0; n < ours.size(); ++n) {
        json kv = ours[n].deleted ? json{{"key", base64_encoded(ours[n].record.key.raw())},
                                         {"mod_revision", std::to_string(ours[n].record.modified.raw())}}
                                  : kv_of(ours[n].record);
        json event = {{"kv", kv}};
        if (ours[n].deleted) event["type"] = "DELETE";
        events.push_back(event);
        const bool last = n + 1 == ours.size();
        if (!last &&
            (m.faults.fragment_size <= 0 || events.size() < static_cast<std::size_t>(m.faults.fragment_size)))
            continue;
        json result = {{"header", header}, {"events", std::exchange(events, json::array())}};
        if (!last) result["fragment"] = true;
        made.texts.push_back(json{{"result", result}}.dump());
    }
    return made;
}

void FakeRegistry::publish() {
    for (const auto& m : members_) deliver_changes(*m);
}

// Sends new changes and then a progress notification to each watch, at regular intervals.
void FakeRegistry::send_progress() {
    for (const auto& m : members_) {
        deliver_changes(*m);
        for (const Watcher& x : m->watchers) {
            const auto connection = x.connection.lock();
            if (!connection || connection->state() != ConnectionState::open || m->faults.silent_watches ||
                m->faults.unresponsive)
                continue;
            const json header = {{"cluster_id", model.cluster().raw()},
                                 {"revision", std::to_string(visible_revision(*m).raw())}};
            stream(*m, connection, json{{"result", {{"header", header}}}}.dump());
        }
    }
    progress_timer_ = loop_.schedule_at(loop_.now() + progress_interval_, [this] { send_progress(); });
}

void FakeRegistry::break_connections(std::size_t member) {
    for (const auto& connection : std::exchange(members_[member]->connections, {})) connection->close();
    members_[member]->watchers.clear();
}

void FakeRegistry::stop_member(std::size_t member) {
    break_connections(member);
    members_[member]->acceptor.reset();
}

void FakeRegistry::restart_member(std::size_t member) {
    if (!members_[member]->acceptor) listen(*members_[member], members_[member]->address);
}

}  // namespace irismux::test_support
