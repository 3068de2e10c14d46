#include "cli/fleet_commands.hpp"

#include <chrono>
#include <iostream>
#include <map>
#include <optional>
#include <thread>
#include <variant>

#include "cli/registry_queries.hpp"
#include "fleet/fleet_client.hpp"
#include "fleet/membership.hpp"

namespace irismux::cli {
namespace {

namespace etcd = registry::etcd;
using namespace fleet;
using Records = std::map<Key, std::string>;

// Reads all records of the site at one revision.
etcd::ReadResult<Records> read_records(RegistrySession& session, const registry::Settings& settings) {
    const auto read = read_all(session, settings, settings.prefix);
    if (const auto* error = std::get_if<etcd::Error>(&read)) return *error;
    Records records;
    for (const auto& [key, value] : std::get<ValuesByKey>(read)) records[key_at(key)] = value;
    return records;
}

RecordValue text_of(const Records& records, const Key& key) {
    const auto it = records.find(key);
    return it == records.end() ? RecordValue{} : RecordValue{it->second};
}

template <class Run>
int with_records(const Settings& settings, Run run) {
    return with_session(settings.registry, [&](RegistrySession& session) {
        const Records records = value_or_throw(read_records(session, settings.registry));
        const RecordValue shared_config = text_of(records, shared_config_key());
        if (shared_config && *shared_config != serialize(settings.shared_config))
            std::cerr
                << "irismux: the shared configuration recorded in the registry differs from the settings: "
                << *shared_config << '\n';
        return run(session, records);
    });
}

bool is_live(const Records& records, const Instance& instance) {
    const RecordValue text = text_of(records, member_key(instance.name));
    if (!text) return false;
    const auto member = parse_member(*text);
    return !member || member->incarnation == instance.incarnation;
}

// Replaces one record if this record and the records of `conditions` still have the given values. If the
// reply to the write is lost, the record is read again to find out whether the write was carried out.
class RecordUpdate {
public:
    RecordUpdate(RegistrySession& session, const registry::Settings& settings, Key key, RecordValue before,
                 RecordValue after, std::vector<KeyValue> conditions)
        : session_(session),
          settings_(settings),
          key_(std::move(key)),
          before_(std::move(before)),
          after_(std::move(after)),
          conditions_(std::move(conditions)) {}

    // Returns the exit code: 0, or 1 after printing an error.
    int run() {
        std::vector<etcd::KeyValue> compares{{path(key_), before_}};
        for (const auto& [key, text] : conditions_) compares.emplace_back(path(key), text);
        const etcd::Request write = etcd::transaction(compares, {{path(key_), after_}}, {});
        for (int n = 0; n < max_writes; ++n) {
            const auto outcome = session_.request_once(write);
            if (const auto* reply = std::get_if<Reply>(&outcome)) return on_reply(*reply, n > 0);
            if (const auto exit_code = on_no_reply()) return *exit_code;
        }
        return print_error("no reply to " + std::to_string(max_writes) +
                           " writes; the last read showed that no write had taken effect");
    }

private:
    static constexpr int max_writes = 3;

    int on_reply(const Reply& reply, bool reply_lost_before) const {
        const auto result =
            value_or_throw(etcd::read_transaction_result(reply.status, reply.body, settings_.prefix));
        if (result.succeeded) return 0;
        for (const auto& record : result.records)
            if (reply_lost_before && record.key.raw() == path_of(key_) && after_ == record.value) return 0;
        return print_error(
            "the records changed after they were read; nothing was written; check the records and try again");
    }

    // Reads the record after the reply to a write was lost. Returns std::nullopt if the record is unchanged
    // and can be written again. In all other cases returns the exit code.
    std::optional<int> on_no_reply() {
        const auto read = read_records(session_, settings_);
        if (const auto* error = std::get_if<etcd::Error>(&read))
            return print_error("no reply to the write, and the record could not be read: " + error->message +
                               "; it is unknown whether the write took effect");
        const RecordValue now = text_of(std::get<Records>(read), key_);
        if (now == after_) return 0;
        if (now == before_) return std::nullopt;
        return print_error(
            "no reply to the write, and another writer has changed the record since; it is unknown whether "
            "this write took effect before that change; check the record");
    }

    std::string path(const Key& key) const { return settings_.prefix + path_of(key); }

    RegistrySession& session_;
    const registry::Settings& settings_;
    Key key_;
    RecordValue before_, after_;
    std::vector<KeyValue> conditions_;
};

// Prints one line for each record of one kind, in the order of the records' names.
template <class NameOf, class Parse, class Print>
void print_each(const Records& records, NameOf name_of, Parse parse, Print print) {
    for (const auto& [key, text] : records) {
        const auto name = name_of(key);
        if (!name) continue;
        std::cout << name->raw();
        if (const auto record = parse(text))
            print(*name, *record);
        else
            std::cout << "   (this version cannot read the record)";
        std::cout << '\n';
    }
}

void print_member(const Records& records, const MemberName& name, const MemberRecord& member) {
    const RecordValue text = text_of(records, heartbeat_key(name));
    const auto heartbeat = text ? parse_heartbeat(*text) : std::nullopt;
    const bool own_heartbeat = heartbeat && heartbeat->instance_id == member.instance_id;
    std::cout << " start " << member.incarnation.raw() << " version " << member.version << " heartbeat "
              << (own_heartbeat ? std::to_string(heartbeat->number.raw()) : "none");
    for (const CacheId& cache : member.ejected_caches) std::cout << " ejected " << cache.raw();
    for (const auto& [duty, token] : member.refused_tokens)
        std::cout << " refuses " << duty.raw() << " up to " << token.raw();
}

void print_release(const Records& records, const DutyName& duty) {
    const RecordValue text = text_of(records, release_key(duty));
    const auto owner = text ? parse_release(*text) : std::nullopt;
    if (owner)
        std::cout << " release requested of member " << owner->name.raw() << " start "
                  << owner->incarnation.raw();
}

void print_health(const Records& records, const DutyName& duty) {
    const auto cache = health_check_cache(duty);
    const RecordValue text = cache ? text_of(records, health_record_key(*cache)) : RecordValue{};
    const auto health = text ? parse_health_record(*text) : std::nullopt;
    if (health)
        std::cout << (health->healthy ? " passed " : " failed ") << health->streak
                  << " consecutive health checks";
}

void print_duty(const Records& records, const DutyName& name, const DutyRecord& duty) {
    std::cout << " epoch " << duty.token.raw();
    if (duty.owner.raw().empty())
        std::cout << " unowned";
    else
        std::cout << " owner " << duty.owner.raw() << " start " << duty.incarnation.raw()
                  << (is_live(records, {duty.owner, duty.incarnation}) ? "" : " (gone)");
    print_release(records, name);
    print_health(records, name);
}

// Waits until a member other than the owner in `former` owns the duty. An owner releases at most one duty per
// heartbeat interval.
int wait_for_next_owner(RegistrySession& session, const Settings& settings, const DutyName& name,
                        const DutyRecord& former) {
    constexpr double wait_per_term = 3;
    constexpr double poll_interval_per_term = 1.0 / 16;
    const Duration term = settings.shared_config.term;
    for (double waited = 0; waited < wait_per_term; waited += poll_interval_per_term) {
        const auto read = read_records(session, settings.registry);
        const auto* records = std::get_if<Records>(&read);
        const RecordValue text = records ? text_of(*records, duty_key(name)) : RecordValue{};
        const auto duty = text ? parse_duty(*text) : std::nullopt;
        if (duty && !duty->owner.raw().empty() && duty->token > former.token && duty->owner != former.owner) {
            std::cout << name.raw() << " is now owned by " << duty->owner.raw() << " under fencing token "
                      << duty->token.raw() << '\n';
            return 0;
        }
        std::this_thread::sleep_for(std::chrono::microseconds((term * poll_interval_per_term).micros()));
    }
    return print_error(
        former.owner.raw() + " was asked to release " + name.raw() +
        ", but no other member has taken the duty yet; check that another member has been in the fleet for "
        "two terms. The request to release the duty stays in effect until " +
        former.owner.raw() +
        " leaves the fleet or joins it again, for example after a restart, or until 'irismux fleet restore " +
        name.raw() + "' withdraws the request");
}

}  // namespace

int fleet_members(const Settings& settings) {
    return with_records(settings, [&](RegistrySession&, const Records& records) {
        print_each(records, member_of, parse_member, [&](const MemberName& name, const MemberRecord& member) {
            print_member(records, name, member);
        });
        return 0;
    });
}

int fleet_duties(const Settings& settings) {
    return with_records(settings, [&](RegistrySession&, const Records& records) {
        print_each(records, duty_of, parse_duty,
                   [&](const DutyName& name, const DutyRecord& duty) { print_duty(records, name, duty); });
        const RecordValue text = text_of(records, collection_progress_key());
        const auto progress = text ? parse_collection_progress(*text) : std::nullopt;
        if (progress)
            std::cout << "garbage collection removed " << progress->removed_records << " records in "
                      << progress->pass << " passes\n";
        return 0;
    });
}

int fleet_release(const Settings& settings, const std::string& name) {
    const DutyName duty_name{name};
    return with_records(settings, [&](RegistrySession& session, const Records& records) {
        const RecordValue text = text_of(records, duty_key(duty_name));
        const auto duty = text ? parse_duty(*text) : std::nullopt;
        if (!duty || duty->owner.raw().empty()) return print_error("no member owns " + name);
        const Instance owner{duty->owner, duty->incarnation};
        if (!is_live(records, owner))
            return print_error(
                name + " is owned by a member that is gone; another member takes it without a release");
        const Key key = release_key(duty_name);
        RecordUpdate update(session, settings.registry, key, text_of(records, key), serialize(owner),
                            {{duty_key(duty_name), text}});
        if (const int exit_code = update.run(); exit_code != 0) return exit_code;
        return wait_for_next_owner(session, settings, duty_name, *duty);
    });
}

int fleet_restore(const Settings& settings, const std::string& name) {
    const Key key = release_key(DutyName{name});
    return with_records(settings, [&](RegistrySession& session, const Records& records) {
        const RecordValue release = text_of(records, key);
        if (!release) return print_error("there is no release request for " + name);
        const RecordValue no_release;
        RecordUpdate update(session, settings.registry, key, release, no_release, {});
        if (const int exit_code = update.run(); exit_code != 0) return exit_code;
        std::cout << "restored\n";
        return 0;
    });
}

}  // namespace irismux::cli
