#include "testing/registry_stand_in.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace irismux::stand_ins {
namespace {

using nlohmann::json;

constexpr int most_waiting = 4096;  // to be accepted by a member

std::string coded(const std::string& bytes) {
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string decoded(const json& o, const char* key) {
    std::istringstream in(o.value(key, ""));
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), {}};
}

std::int64_t figure(const json& o, const char* key) { return std::atoll(o.value(key, "0").c_str()); }

json kv_of(const Record& r) {
    return {{"key", coded(r.key.raw())},
            {"create_revision", std::to_string(r.created.raw())},
            {"mod_revision", std::to_string(r.modified.raw())},
            {"value", coded(r.value)}};
}

}  // namespace

RegistryStandIn::RegistryStandIn(EventLoop& loop, std::size_t members, Duration progress)
    : loop_(loop), progress_(progress) {
    for (std::size_t n = 0; n < members; ++n) {
        members_.push_back(std::make_unique<Member>());
        members_.back()->no = n;
        listen(*members_.back(), "127.0.0.1:0");
    }
    RegistryStandIn::progress();
}

RegistryStandIn::~RegistryStandIn() { loop_.cancel(tick_); }

Revision RegistryStandIn::shown(const Member& m) const {
    return std::max(model.oldest(), Revision{model.newest().raw() - m.faults.lag});
}

void RegistryStandIn::listen(Member& m, const std::string& at) {
    m.acceptor = std::make_unique<Acceptor>(
        loop_,
        [this, &m](Poco::Net::StreamSocket s) {
            ++ledger.connections;
            if (m.faults.refuse) return s.close();
            auto w = std::make_shared<StandInConnection>(loop_, std::move(s));
            std::erase_if(m.wires, [](const auto& old) { return old->state() == ConnectionState::closed; });
            m.wires.push_back(w);
            w->got = [this, &m, raw = std::weak_ptr<StandInConnection>(w)](Buffer& in) {
                const auto wire = raw.lock();
                while (wire) {
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
                    in.consumed(head + 4 + length);
                    if (!m.faults.mute) asked(m, wire, target, token, body);
                    if (wire->state() != ConnectionState::open) return;
                }
            };
            w->start();
        },
        most_waiting, at);
    m.address = m.acceptor->address();
}

void RegistryStandIn::answer(Member& m, const std::shared_ptr<StandInConnection>& w, int status,
                             std::string body) {
    if (std::exchange(m.faults.garble, false)) std::reverse(body.begin(), body.end());
    loop_.schedule_at(loop_.now() + m.faults.delay,
                      [weak = std::weak_ptr<StandInConnection>(w), status, body] {
                          const auto to = weak.lock();
                          if (!to || to->state() != ConnectionState::open) return;
                          to->out().append("HTTP/1.1 " + std::to_string(status) +
                                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body);
                          to->write();
                      });
}

void RegistryStandIn::stream(Member& m, const std::shared_ptr<StandInConnection>& w, std::string message) {
    message += '\n';
    std::ostringstream chunk;
    chunk << std::hex << message.size() << "\r\n" << message << "\r\n";
    std::string bytes = chunk.str();
    const bool cut = std::exchange(m.faults.cut, false);
    if (cut) bytes.resize(bytes.size() / 2);
    loop_.schedule_at(loop_.now() + m.faults.delay,
                      [weak = std::weak_ptr<StandInConnection>(w), bytes, cut, this] {
                          const auto to = weak.lock();
                          if (!to || to->state() != ConnectionState::open) return;
                          to->out().append(bytes);
                          to->write();
                          if (cut)
                              loop_.schedule_at(loop_.now() + Duration::micros(2000), [to] { to->close(); });
                      });
}

void RegistryStandIn::asked(Member& m, const std::shared_ptr<StandInConnection>& w, const std::string& target,
                            const std::string& token, const std::string& body) {
    ledger.asked.push_back(loop_.now());
    const json o = json::parse(body, nullptr, false);
    const json header = {{"cluster_id", model.cluster().raw()},
                         {"member_id", std::to_string(m.no)},
                         {"revision", std::to_string(shown(m).raw())},
                         {"raft_term", "2"}};
    const auto wrong = [&](int status, int code, const std::string& words) {
        answer(m, w, status, json{{"error", words}, {"code", code}, {"message", words}}.dump());
    };
    if (target == "/v3/auth/authenticate") {
        ++ledger.logins;
        if (o.value("name", "") != user || o.value("password", "") != password)
            return wrong(400, 3, "etcdserver: authentication failed, invalid user ID or password");
        const std::string made = "token." + std::to_string(++made_);
        tokens_.insert(made);
        return answer(m, w, 200, json{{"header", header}, {"token", made}}.dump());
    }
    if (!user.empty() && !tokens_.contains(token)) {
        ++ledger.refused;
        return wrong(401, 16, "etcdserver: invalid auth token");
    }
    if (target == "/v3/kv/range") {
        const bool last = o.contains("sort_target");
        ++(last ? ledger.checks : ledger.reads);
        const Revision at = figure(o, "revision") > 0 ? Revision{figure(o, "revision")} : shown(m);
        const RegistryModel::State* state = model.at(at);
        if (!state && at > model.newest())
            return wrong(400, 11, "etcdserver: mvcc: required revision is a future revision");
        if (!state) return wrong(400, 11, "etcdserver: mvcc: required revision has been compacted");
        const std::string first = decoded(o, "key"), end = decoded(o, "range_end");
        std::vector<Record> found;
        for (const auto& [key, r] : *state)
            if (key.raw() >= first && (end.empty() ? key.raw() == first : key.raw() < end))
                found.push_back(r);
        const std::size_t count = found.size();
        if (last)
            std::sort(found.begin(), found.end(),
                      [](const Record& a, const Record& b) { return a.modified > b.modified; });
        const auto most = static_cast<std::size_t>(figure(o, "limit"));
        const bool more = most > 0 && found.size() > most;
        if (more) found.resize(most);
        json kvs = json::array();
        for (const Record& r : found) kvs.push_back(kv_of(r));
        json out = {{"header", header}, {"kvs", kvs}, {"count", std::to_string(count)}};
        if (more) out["more"] = true;
        return answer(m, w, 200, out.dump());
    }
    if (target == "/v3/watch") {
        ++ledger.watches;
        const json& create = o["create_request"];
        w->out().append(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        const Revision from{figure(create, "start_revision")};
        json made = {{"header", header}, {"created", true}};
        if (!model.changes(from, model.newest())) {
            stream(m, w, json{{"result", made}}.dump());
            return cancel(m, w);
        }
        stream(m, w, json{{"result", made}}.dump());
        m.watchers.push_back({w, decoded(create, "key"), from});
        return feed(m);
    }
    if (target == "/v3/kv/txn") {
        json out = transact(m.no, o);
        if (std::exchange(m.faults.vanish, false)) {
            publish();
            return w->close();
        }
        out["header"] = header;
        out["header"]["revision"] = std::to_string(model.newest().raw());
        answer(m, w, 200, out.dump());
        return publish();
    }
    if (target == "/v3/kv/put" || target == "/v3/kv/deleterange") {
        const bool put = target == "/v3/kv/put";
        model.commit(
            {{RecordKey{decoded(o, "key")}, put ? std::optional(decoded(o, "value")) : std::nullopt}});
        answer(m, w, 200, json{{"header", header}}.dump());
        return publish();
    }
    wrong(404, 5, "Not Found");
}

// Members that lag take part in transactions as all do: those are agreed on.
json RegistryStandIn::transact(std::size_t member, const json& asked) {
    ++ledger.txns;
    const RegistryModel::State& state = *model.at(model.newest());
    const auto found = [](const RegistryModel::State& in, const std::string& key) {
        const auto it = in.find(RecordKey{key});
        return it == in.end() ? Record{} : it->second;
    };
    bool holds = true;
    Settled done{loop_.now(), member, {}, {}, false};
    for (const json& c : asked.value("compare", json::array())) {
        done.compared.push_back(decoded(c, "key"));
        const Record r = found(state, decoded(c, "key"));
        const std::string on = c.value("target", "");
        if (on == "MOD") holds = holds && r.modified.raw() == figure(c, "mod_revision");
        if (on == "CREATE") holds = holds && r.created.raw() == figure(c, "create_revision");
        if (on == "VALUE") holds = holds && r.created != Revision{} && r.value == decoded(c, "value");
    }
    ledger.held += holds;
    const json steps = asked.value(holds ? "success" : "failure", json::array());
    std::vector<std::pair<RecordKey, std::optional<std::string>>> writes;
    for (const json& s : steps) {
        if (s.contains("request_put"))
            writes.emplace_back(decoded(s["request_put"], "key"), decoded(s["request_put"], "value"));
        if (s.contains("request_delete_range"))
            writes.emplace_back(decoded(s["request_delete_range"], "key"), std::nullopt);
    }
    if (!writes.empty()) model.commit(writes);
    done.held = holds;
    for (const json& s : asked.value("success", json::array())) {
        if (s.contains("request_put"))
            done.writes.emplace_back(decoded(s["request_put"], "key"), decoded(s["request_put"], "value"));
        if (s.contains("request_delete_range"))
            done.writes.emplace_back(decoded(s["request_delete_range"], "key"), std::nullopt);
    }
    settled(done);
    const RegistryModel::State& after = *model.at(model.newest());
    json responses = json::array();
    for (const json& s : steps) {
        if (s.contains("request_put")) responses.push_back({{"response_put", json::object()}});
        if (s.contains("request_delete_range"))
            responses.push_back({{"response_delete_range", json::object()}});
        if (!s.contains("request_range")) continue;
        const Record r = found(after, decoded(s["request_range"], "key"));
        json kvs = json::array();
        if (r.created != Revision{}) kvs.push_back(kv_of(r));
        responses.push_back({{"response_range", {{"kvs", kvs}}}});
    }
    json out = {{"responses", responses}};
    if (holds) out["succeeded"] = true;
    return out;
}

void RegistryStandIn::cancel(Member& m, const std::shared_ptr<StandInConnection>& w) {
    const json header = {{"cluster_id", model.cluster().raw()}, {"revision", std::to_string(shown(m).raw())}};
    const json result = {
        {"header", header}, {"canceled", true}, {"compact_revision", std::to_string(model.oldest().raw())}};
    stream(m, w, json{{"result", result}}.dump());
}

void RegistryStandIn::feed(Member& m) {
    std::erase_if(m.watchers, [](const Watcher& x) {
        const auto w = x.wire.lock();
        return !w || w->state() == ConnectionState::closed;
    });
    if (m.faults.silent) return;
    // Watchers of the same prefix that are as far as each other get the same messages: encoded once.
    std::map<std::pair<std::string, Revision>, std::optional<Messages>> encoded;
    for (Watcher& x : m.watchers) {
        const auto w = x.wire.lock();
        if (!w || x.next > shown(m)) continue;
        const auto [it, fresh] = encoded.try_emplace({x.prefix, x.next});
        if (fresh) it->second = messages(m, x.prefix, x.next);
        if (!it->second) {
            // It fell behind for so long that what it waits for has been compacted.
            cancel(m, w);
            x.wire.reset();
            continue;
        }
        x.next = Revision{shown(m).raw() + 1};
        ledger.told += it->second->changes;
        for (const std::string& message : it->second->texts) stream(m, w, message);
    }
}

// What a watch of that prefix is told from that revision on; none: that is compacted.
std::optional<RegistryStandIn::Messages> RegistryStandIn::messages(const Member& m, const std::string& prefix,
                                                                   Revision from) const {
    const auto all = model.changes(from, shown(m));
    if (!all) return std::nullopt;
    std::vector<Change> ours;
    for (const Change& c : *all)
        if (c.record.key.raw().compare(0, prefix.size(), prefix) == 0) ours.push_back(c);
    const json header = {{"cluster_id", model.cluster().raw()}, {"revision", std::to_string(shown(m).raw())}};
    Messages made;
    made.changes = ours.size();
    json events = json::array();
    for (std::size_t n = 0; n < ours.size(); ++n) {
        json kv = ours[n].deleted ? json{{"key", coded(ours[n].record.key.raw())},
                                         {"mod_revision", std::to_string(ours[n].record.modified.raw())}}
                                  : kv_of(ours[n].record);
        json event = {{"kv", kv}};
        if (ours[n].deleted) event["type"] = "DELETE";
        events.push_back(event);
        const bool last = n + 1 == ours.size();
        if (!last && (m.faults.fragment <= 0 || events.size() < static_cast<std::size_t>(m.faults.fragment)))
            continue;
        json result = {{"header", header}, {"events", std::exchange(events, json::array())}};
        if (!last) result["fragment"] = true;
        made.texts.push_back(json{{"result", result}}.dump());
    }
    return made;
}

void RegistryStandIn::publish() {
    for (const auto& m : members_) feed(*m);
}

// What a registry says when there is nothing to say.
void RegistryStandIn::progress() {
    for (const auto& m : members_) {
        feed(*m);
        for (const Watcher& x : m->watchers) {
            const auto w = x.wire.lock();
            if (!w || w->state() != ConnectionState::open || m->faults.silent || m->faults.mute) continue;
            const json header = {{"cluster_id", model.cluster().raw()},
                                 {"revision", std::to_string(shown(*m).raw())}};
            stream(*m, w, json{{"result", {{"header", header}}}}.dump());
        }
    }
    tick_ = loop_.schedule_at(loop_.now() + progress_, [this] { progress(); });
}

void RegistryStandIn::break_connections(std::size_t member) {
    for (const auto& w : std::exchange(members_[member]->wires, {})) w->close();
    members_[member]->watchers.clear();
}

void RegistryStandIn::down(std::size_t member) {
    break_connections(member);
    members_[member]->acceptor.reset();
}

void RegistryStandIn::up(std::size_t member) {
    if (!members_[member]->acceptor) listen(*members_[member], members_[member]->address);
}

}  // namespace irismux::stand_ins
