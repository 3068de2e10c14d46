#include "cli/fleet_commands.hpp"

#include <chrono>
#include <iostream>
#include <map>
#include <thread>
#include <variant>

#include "cli/registry_session.hpp"
#include "fleet/fleet_client.hpp"
#include "fleet/membership.hpp"

namespace irismux::cli {
namespace {

namespace etcd = registry::etcd;
using namespace fleet;
using Records = std::map<Key, std::string>;

// Of a term: how long a release waits for the owner, which hands on one duty a round, and looks in between.
constexpr double waits_of_term = 3, looks_of_term = 1.0 / 16;
constexpr int most_writes = 3;  // of one record, each only if those before it were not done

// All records of the fleet, at one revision.
std::variant<Records, etcd::Error> read_all(RegistrySession& talk, const registry::Settings& settings) {
    Records all;
    std::optional<registry::RecordKey> after;
    registry::Revision at;
    for (;;) {
        const auto [status, body] = talk.request(etcd::range(settings.prefix, after, at, settings.page_size));
        const auto read = etcd::read_range(status, body, settings.prefix);
        if (const auto* problem = std::get_if<etcd::Error>(&read)) return *problem;
        const registry::Page& page = std::get<etcd::Range>(read).page;
        if (at == registry::Revision{}) at = page.header.revision;
        for (const auto& r : page.records) all[key_at(r.key.raw())] = r.value;
        if (!page.more || page.records.empty()) return all;
        after = page.records.back().key;
    }
}

Text text_of(const Records& all, const Key& key) {
    const auto it = all.find(key);
    return it == all.end() ? Text{} : Text{it->second};
}

template <class Step>
int with_records(const Settings& settings, Step step) {
    return with_session(settings.registry, [&](RegistrySession& talk) {
        const auto read = read_all(talk, settings.registry);
        if (const auto* problem = std::get_if<etcd::Error>(&read)) return print_error(problem->message);
        const Records& all = std::get<Records>(read);
        const Text about = text_of(all, shared_config_key());
        if (about && *about != serialize(settings.shared_config))
            std::cerr << "irismux: the fleet there goes by other articles: " << *about << '\n';
        return step(talk, all);
    });
}

bool lives(const Records& all, const Instance& who) {
    const Text member = text_of(all, member_key(who.name));
    const auto read = member ? parse_member(*member) : std::nullopt;
    return member && (!read || read->incarnation == who.incarnation);
}

// Writes that record if it still is as it was; a lost answer is looked up. The exit code, if it is not
// written.
std::optional<int> settle(RegistrySession& talk, const registry::Settings& settings, const Key& key,
                          const Text& was, const Text& is, const std::vector<Entry>& holds) {
    const auto path = [&](const Key& k) { return settings.prefix + path_of(k); };
    std::vector<etcd::KeyValue> compared{{path(key), was}};
    for (const auto& [k, text] : holds) compared.emplace_back(path(k), text);
    for (int n = 0; n < most_writes; ++n) {
        if (const auto answer = talk.request_once(etcd::transaction(compared, {{path(key), is}}, {}))) {
            const auto read = etcd::read_transaction_result(answer->first, answer->second, settings.prefix);
            if (const auto* problem = std::get_if<etcd::Error>(&read)) return print_error(problem->message);
            const auto& settled = std::get<etcd::TransactionResult>(read);
            if (settled.succeeded) return std::nullopt;
            for (const auto& r : settled.records)
                if (n > 0 && r.key.raw() == path_of(key) && is == r.value) return std::nullopt;
            return print_error("the records have changed meanwhile: nothing is written, look again");
        }
        const auto read = read_all(talk, settings);
        if (const auto* problem = std::get_if<etcd::Error>(&read))
            return print_error("no answer, and " + problem->message +
                               "; whether it is written can't be told");
        const Text now = text_of(std::get<Records>(read), key);
        if (now == is) return std::nullopt;
        if (now != was)
            return print_error("changed meanwhile; whether ours was written before that can't be told");
    }
    return print_error("no answer to " + std::to_string(most_writes) +
                       " writes; it was not written when last looked at");
}

// A line for each record of a sort, by name.
template <class NameOf, class Read, class Print>
void list(const Records& all, NameOf name_of, Read read, Print print) {
    for (const auto& [key, text] : all) {
        const auto name = name_of(key);
        if (!name) continue;
        std::cout << name->raw();
        if (const auto record = read(text))
            print(*name, *record);
        else
            std::cout << "   (in a form that this version can't read)";
        std::cout << '\n';
    }
}

}  // namespace

int fleet_members(const Settings& settings) {
    return with_records(settings, [&](RegistrySession&, const Records& all) {
        list(all, member_of, parse_member, [&](const MemberName& name, const MemberRecord& m) {
            const Text sign = text_of(all, heartbeat_key(name));
            const auto heartbeat = sign ? parse_heartbeat(*sign) : std::nullopt;
            std::cout << " start " << m.incarnation.raw() << " version " << m.version << " sign "
                      << (heartbeat && heartbeat->instance_id == m.instance_id
                              ? std::to_string(heartbeat->number.raw())
                              : "none");
            for (const CacheId& c : m.ejected_caches) std::cout << " marks " << c.raw();
            for (const auto& [duty, token] : m.refused_tokens)
                std::cout << " refuses " << duty.raw() << " up to " << token.raw();
        });
        return 0;
    });
}

int fleet_duties(const Settings& settings) {
    return with_records(settings, [&](RegistrySession&, const Records& all) {
        list(all, duty_of, parse_duty, [&](const DutyName& name, const DutyRecord& d) {
            std::cout << " epoch " << d.token.raw();
            if (d.owner.raw().empty())
                std::cout << " nobody's";
            else
                std::cout << " owner " << d.owner.raw() << " start " << d.incarnation.raw()
                          << (lives(all, {d.owner, d.incarnation}) ? "" : " (gone)");
            if (const Text aside = text_of(all, release_key(name)))
                if (const auto who = parse_release(*aside))
                    std::cout << " left to others by " << who->name.raw() << " start "
                              << who->incarnation.raw();
            if (const auto cache = health_check_cache(name))
                if (const Text seen = text_of(all, health_record_key(*cache)))
                    if (const auto f = parse_health_record(*seen))
                        std::cout << (f->healthy ? " answered " : " silent ") << f->streak
                                  << " times in a row";
        });
        if (const Text swept = text_of(all, collection_progress_key()))
            if (const auto s = parse_collection_progress(*swept))
                std::cout << "swept " << s->removed_records << " records in " << s->pass << " passes\n";
        return 0;
    });
}

int fleet_release(const Settings& settings, const std::string& name) {
    const DutyName duty{name};
    return with_records(settings, [&](RegistrySession& talk, const Records& all) {
        const Text text = text_of(all, duty_key(duty));
        const auto d = text ? parse_duty(*text) : std::nullopt;
        if (!d || d->owner.raw().empty()) return print_error("nobody owns " + name);
        const Instance owner{d->owner, d->incarnation};
        if (!lives(all, owner))
            return print_error(name + " is owned by one that has gone: another takes it by itself");
        const Key aside = release_key(duty);
        if (const auto failed = settle(talk, settings.registry, aside, text_of(all, aside), serialize(owner),
                                       {{duty_key(duty), text}}))
            return *failed;
        const Duration term = settings.shared_config.term;
        for (double waited = 0; waited < waits_of_term; waited += looks_of_term) {
            const auto read = read_all(talk, settings.registry);
            const Text now = std::holds_alternative<Records>(read)
                                 ? text_of(std::get<Records>(read), duty_key(duty))
                                 : text;
            const auto next = now ? parse_duty(*now) : std::nullopt;
            if (next && !next->owner.raw().empty() && next->token > d->token && next->owner != owner.name) {
                std::cout << name << " is now owned by " << next->owner.raw() << " under epoch "
                          << next->token.raw() << '\n';
                return 0;
            }
            std::this_thread::sleep_for(std::chrono::microseconds((term * looks_of_term).micros()));
        }
        return print_error("asked of " + owner.name.raw() +
                           ", and not taken by another yet: is there one that has been in "
                           "for two terms? The word stands until it is restored");
    });
}

int fleet_restore(const Settings& settings, const std::string& name) {
    const Key aside = release_key(DutyName{name});
    return with_records(settings, [&](RegistrySession& talk, const Records& all) {
        const Text was = text_of(all, aside);
        if (!was) return print_error("nobody was asked to leave " + name);
        if (const auto failed = settle(talk, settings.registry, aside, was, std::nullopt, {})) return *failed;
        std::cout << "restored\n";
        return 0;
    });
}

}  // namespace irismux::cli
