#include "cli/registry_commands.hpp"

#include <Poco/NObserver.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/registry_session.hpp"
#include "registry/registry_client.hpp"
#include "registry/registry_log.hpp"

namespace irismux::cli {
namespace {

namespace etcd = registry::etcd;
using registry::Record;
using registry::Revision;

// The one record of a key; its created revision is zero where there is none.
std::variant<Record, etcd::Error> look_up(RegistrySession& talk, const registry::Settings& settings,
                                          const std::string& id) {
    const auto [status, body] = talk.request(etcd::get(settings.prefix + id));
    auto read = etcd::read_range(status, body, settings.prefix);
    if (auto* problem = std::get_if<etcd::Error>(&read)) return *problem;
    auto& records = std::get<etcd::Range>(read).page.records;
    return records.empty() ? Record{} : records.front();
}

constexpr int most_writes = 3;  // of one record, each only if the ones before it were not done

int written(const std::string& how) { return std::cout << "written" << how << '\n', 0; }

// A lost answer is neither yes nor no: the record itself is looked at, and says which.
int write_if_unchanged(RegistrySession& talk, const registry::Settings& settings, const std::string& id,
                       const std::string& value, Revision unchanged_since) {
    const std::string key = settings.prefix + id;
    bool lost = false;
    for (int n = 0; n < most_writes; ++n) {
        const auto answer = talk.request_once(etcd::put_if(key, value, unchanged_since, 0));
        if (answer) {
            const auto read = etcd::read_conditional_write_result(answer->first, answer->second);
            if (const auto* problem = std::get_if<etcd::Error>(&read)) return print_error(problem->message);
            const auto& outcome = std::get<etcd::ConditionalWriteResult>(read);
            if (outcome.succeeded) return written("");
            if (lost && outcome.conflicting_value == value) return written("; its answer was lost");
            return print_error(
                id + " was changed by somebody else meanwhile; " +
                (lost ? "whether ours was written before that can't be told" : "nothing is written"));
        }
        lost = true;
        std::variant<Record, etcd::Error> found;
        try {
            found = look_up(talk, settings, id);
        } catch (const Poco::Exception& e) {
            return print_error("no answer to the write of " + id + ", and it can't be looked at: " +
                               e.displayText() + "; whether it is written can't be told");
        }
        if (const auto* problem = std::get_if<etcd::Error>(&found))
            return print_error("no answer to the write of " + id + ", and " + problem->message +
                               "; whether it is written can't be told");
        const Record& r = std::get<Record>(found);
        if (r.modified != unchanged_since && r.value == value) return written("; its answer was lost");
        if (r.modified != unchanged_since)
            return print_error(id +
                               " was changed meanwhile; whether ours was written before that can't be told");
    }
    return print_error("no answer to " + std::to_string(most_writes) + " writes of " + id +
                       "; it was not written when last looked at");
}

class Printing final : public registry::WatchObserver {
public:
    explicit Printing(EventLoop& loop) : loop_(loop) {}
    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& lines, bool complete) override {
        constexpr const char* phases[] = {"in service", "draining", "gone"};
        if (complete) say("the list, " + std::to_string(lines.size()) + " caches");
        for (const auto& [l, address] : lines)
            say(l.cache.raw() + ' ' + phases[static_cast<std::size_t>(l.status)] + " at " + l.location.raw() +
                ' ' + address);
    }
    void on_sync_state(TimePoint, registry::SyncState sight, TimePoint) override {
        say(std::string(registry::to_string(sight)));
    }
    void on_watch_warning(const registry::WatchWarning& warning) override {
        say(std::string(registry::event_name(warning.kind)));
    }

private:
    void say(const std::string& line) { std::cout << loop_.now().seconds() << ' ' << line << std::endl; }
    EventLoop& loop_;
};

}  // namespace

int registry_dump(const registry::Settings& settings) {
    return with_session(settings, [&](RegistrySession& talk) {
        std::optional<registry::RecordKey> after;
        Revision at;
        for (;;) {
            const auto [status, body] =
                talk.request(etcd::range(settings.prefix, after, at, settings.page_size));
            const auto read = etcd::read_range(status, body, settings.prefix);
            if (const auto* problem = std::get_if<etcd::Error>(&read)) return print_error(problem->message);
            const registry::Page& page = std::get<etcd::Range>(read).page;
            if (at == Revision{}) at = page.header.revision;
            for (const Record& r : page.records)
                std::cout << r.key.raw() << ' ' << r.value
                          << (registry::parse_endpoint(r) ? "" : "   (a gateway can't read it)") << '\n';
            if (!page.more || page.records.empty()) break;
            after = page.records.back().key;
        }
        std::cout << "at revision " << at.raw() << '\n';
        return 0;
    });
}

int registry_watch(const registry::Settings& settings) {
    std::cout << std::fixed;
    std::cout.precision(3);
    EventLoop loop;
    // A reactor without sockets runs no alarms: this one waits for nobody.
    Poco::Net::ServerSocket awake(Poco::Net::SocketAddress("127.0.0.1:0"));
    struct Nobody {
        void look(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {}
    } nobody;
    loop.addEventHandler(awake,
                         Poco::NObserver<Nobody, Poco::Net::ReadableNotification>(nobody, &Nobody::look));
    Printing printing(loop);
    registry::RegistryClient client(loop, printing, settings,
                                    static_cast<std::uint64_t>(loop.now().seconds() * 1e6));
    client.start();
    loop.run();
    return 0;
}

int registry_put(const registry::Settings& settings, const std::string& line) {
    const auto told = nlohmann::json::parse(line, nullptr, false);
    if (!told.is_object() || !told.contains("id") || !told["id"].is_string())
        return print_error("the line must be a JSON object with an \"id\"");
    const auto id = told["id"].get<std::string>();
    if (!registry::parse_endpoint({registry::RecordKey{id}, line, {}, {}}))
        return print_error("no gateway could read that line");
    return with_session(settings, [&](RegistrySession& talk) {
        const auto found = look_up(talk, settings, id);
        if (const auto* problem = std::get_if<etcd::Error>(&found)) return print_error(problem->message);
        return write_if_unchanged(talk, settings, id, line, std::get<Record>(found).modified);
    });
}

int registry_state(const registry::Settings& settings, const std::string& id, const std::string& state) {
    return with_session(settings, [&](RegistrySession& talk) {
        const auto found = look_up(talk, settings, id);
        if (const auto* problem = std::get_if<etcd::Error>(&found)) return print_error(problem->message);
        const Record& record = std::get<Record>(found);
        auto line = nlohmann::json::parse(record.value, nullptr, false);
        if (record.created == Revision{} || !line.is_object())
            return print_error("there is no readable record of " + id);
        line["state"] = state;
        return write_if_unchanged(talk, settings, id, line.dump(), record.modified);
    });
}

}  // namespace irismux::cli
