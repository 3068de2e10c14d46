#include "cli/registry_commands.hpp"

#include <Poco/NObserver.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "cli/registry_queries.hpp"
#include "registry/registry_client.hpp"
#include "registry/registry_log.hpp"

namespace irismux::cli {
namespace {

namespace etcd = registry::etcd;
using registry::Record;
using registry::Revision;

// Writes one record if it was last changed by a given revision. A write is sent again only after a read has
// shown that the previous write was not carried out.
class RecordWriter {
public:
    RecordWriter(RegistrySession& session, const registry::Settings& settings, const std::string& id)
        : session_(session), settings_(settings), id_(id) {}

    // Prints the outcome of the write and returns the exit code.
    int write(const std::string& value, Revision unchanged_since) {
        for (int n = 0; n < max_writes; ++n) {
            const auto result =
                session_.request_once(etcd::put_if(settings_.prefix + id_, value, unchanged_since, 0));
            if (const auto* reply = std::get_if<Reply>(&result)) return on_reply(*reply, value);
            reply_lost_ = true;
            if (const auto exit_code = on_no_reply(value, unchanged_since)) return *exit_code;
        }
        return print_error("no reply to " + std::to_string(max_writes) + " writes of " + id_ +
                           "; the last read showed that no write had taken effect");
    }

private:
    static constexpr int max_writes = 3;

    int on_reply(const Reply& reply, const std::string& value) const {
        const auto result = value_or_throw(etcd::read_conditional_write_result(reply.status, reply.body));
        if (result.succeeded) return print_written("");
        if (reply_lost_ && result.conflicting_value == value)
            return print_written("; the reply to the write was lost");
        const char* const outcome =
            reply_lost_ ? "it is unknown whether this write took effect before that change; check the record"
                        : "nothing was written";
        return print_error("another writer has changed " + id_ + " since it was read; " + outcome);
    }

    // Reads the record after the reply to a write was lost. Returns std::nullopt if the record is unchanged
    // and can be written again. In all other cases returns the exit code.
    std::optional<int> on_no_reply(const std::string& value, Revision unchanged_since) {
        etcd::ReadResult<Record> found;
        try {
            found = read_record(session_, settings_, id_);
        } catch (const Poco::Exception& e) {
            return print_unknown("the registry cannot be reached: " + e.displayText());
        }
        if (const auto* error = std::get_if<etcd::Error>(&found)) return print_unknown(error->message);
        const Record& record = std::get<Record>(found);
        if (record.modified == unchanged_since) return std::nullopt;
        if (record.value == value) return print_written("; the reply to the write was lost");
        return print_error(
            "no reply to the write of " + id_ +
            ", and another writer has changed the record since; it is unknown whether this write took effect "
            "before that change; check the record");
    }

    int print_unknown(const std::string& why) const {
        return print_error("no reply to the write of " + id_ + ", and the record could not be read: " + why +
                           "; it is unknown whether the write took effect");
    }
    static int print_written(const char* how) {
        std::cout << "written" << how << '\n';
        return 0;
    }

    RegistrySession& session_;
    const registry::Settings& settings_;
    const std::string& id_;
    bool reply_lost_ = false;
};

// Prints what a gateway receives from the registry: each line begins with the Unix time in seconds.
class PrintingObserver final : public registry::WatchObserver {
public:
    explicit PrintingObserver(EventLoop& loop) : loop_(loop) {}

    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& updates, bool complete) override {
        constexpr const char* status_names[] = {"in service", "draining", "gone"};
        if (complete) print("endpoint list, " + std::to_string(updates.size()) + " caches");
        for (const auto& [update, address] : updates)
            print(update.cache.raw() + ' ' + status_names[static_cast<std::size_t>(update.status)] + " at " +
                  update.location.raw() + ' ' + address);
    }
    void on_sync_state(TimePoint, registry::SyncState state, TimePoint) override {
        print(std::string(registry::to_string(state)));
    }
    void on_watch_warning(const registry::WatchWarning& warning) override {
        std::string line(registry::event_name(warning.kind));
        if (warning.failure) line.append(" ").append(registry::to_string(warning.failure->reason));
        if (warning.failure && !warning.failure->detail.empty())
            line.append(": ").append(warning.failure->detail);
        print(line);
    }

private:
    void print(const std::string& line) { std::cout << loop_.now().seconds() << ' ' << line << std::endl; }

    EventLoop& loop_;
};

// Registers a listening socket that no client connects to. Without any socket the event loop would run no
// timers.
class ReactorKeepAlive {
public:
    explicit ReactorKeepAlive(EventLoop& loop) : socket_(Poco::Net::SocketAddress("127.0.0.1:0")) {
        loop.addEventHandler(socket_, Poco::NObserver<ReactorKeepAlive, Poco::Net::ReadableNotification>(
                                          *this, &ReactorKeepAlive::on_readable));
    }

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {}

    Poco::Net::ServerSocket socket_;
};

}  // namespace

int registry_dump(const registry::Settings& settings) {
    return with_session(settings, [&](RegistrySession& session) {
        const auto print = [](const Record& record) {
            std::cout << record.key.raw() << ' ' << record.value
                      << (registry::parse_endpoint(record) ? "" : "   (gateways cannot read the record)")
                      << '\n';
        };
        const Revision revision = value_or_throw(visit_records(session, settings, settings.prefix, print));
        std::cout << "at revision " << revision.raw() << '\n';
        return 0;
    });
}

int registry_watch(const registry::Settings& settings) {
    std::cout << std::fixed;
    std::cout.precision(3);
    EventLoop loop;
    const ReactorKeepAlive keep_alive(loop);
    PrintingObserver observer(loop);
    const auto seed = static_cast<std::uint64_t>(loop.now().seconds() * 1e6);
    registry::RegistryClient client(loop, observer, settings, seed);
    client.start();
    loop.run();
    return 0;
}

int registry_put(const registry::Settings& settings, const std::string& line) {
    const auto record = nlohmann::json::parse(line, nullptr, false);
    if (!record.is_object() || !record.contains("id") || !record["id"].is_string())
        return print_error("the record must be a JSON object with a string \"id\"");
    const auto id = record["id"].get<std::string>();
    if (!registry::parse_endpoint({registry::RecordKey{id}, line, {}, {}}))
        return print_error("gateways cannot read the given record as an endpoint record");
    return with_session(settings, [&](RegistrySession& session) {
        const Record present = value_or_throw(read_record(session, settings, id));
        return RecordWriter(session, settings, id).write(line, present.modified);
    });
}

int registry_state(const registry::Settings& settings, const std::string& id, const std::string& state) {
    return with_session(settings, [&](RegistrySession& session) {
        const Record present = value_or_throw(read_record(session, settings, id));
        auto fields = nlohmann::json::parse(present.value, nullptr, false);
        if (present.created == Revision{} || !fields.is_object())
            return print_error("the registry's record of " + id + " is missing or is not a JSON object");
        fields["state"] = state;
        return RecordWriter(session, settings, id).write(fields.dump(), present.modified);
    });
}

}  // namespace irismux::cli
