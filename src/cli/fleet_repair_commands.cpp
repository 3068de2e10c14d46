#include <iostream>
#include <random>
#include <variant>

#include "cli/fleet_commands.hpp"
#include "cli/registry_queries.hpp"
#include "fleet/fleet_client.hpp"
#include "fleet/fleet_status.hpp"

namespace irismux::cli {
namespace {

namespace etcd = registry::etcd;
using namespace fleet;

// Sends one write, which takes effect only if all compared records have the given values. Prints `success` or
// an error, and returns the exit code.
int write_once(RegistrySession& session, const registry::Settings& settings,
               const std::vector<etcd::KeyValue>& compares, const std::vector<etcd::KeyValue>& writes,
               const std::string& success) {
    const auto outcome = session.request_once(etcd::transaction(compares, writes, {}));
    const auto* reply = std::get_if<Reply>(&outcome);
    if (!reply)
        return print_error(
            "no reply to the write; it is unknown whether the write took effect; check the records");
    const auto result =
        value_or_throw(etcd::read_transaction_result(reply->status, reply->body, settings.prefix));
    if (!result.succeeded)
        return print_error(
            "the records changed after they were read; nothing was written; check the records and try again");
    std::cout << success << '\n';
    return 0;
}

}  // namespace

int fleet_forget(const Settings& settings, const std::string& site, const std::string& member) {
    return with_session(settings.registry, [&](RegistrySession& session) {
        const std::string roster = path_of(roster_key(), SiteName{site});
        const std::string record = path_of(member_key(MemberName{member}), SiteName{site});
        const ValuesByKey found = read_keys(session, settings.registry, {roster, record});
        const auto known = found.contains(roster) ? parse_site_roster(found.at(roster)) : std::nullopt;
        if (!known || !known->names.contains(MemberName{member}))
            return print_error("the roster of site " + site + " does not name a gateway " + member +
                               "; check both names");
        if (found.contains(record))
            return print_error(member + " is still a member of the fleet; stop it first");
        SiteRoster remaining = *known;
        remaining.names.erase(MemberName{member});
        const bool site_empty = remaining.names.empty() && !remaining.incomplete;
        const std::string& prefix = settings.registry.prefix;
        std::vector<etcd::KeyValue> writes;
        writes.emplace_back(prefix + roster, site_empty ? RecordValue{} : RecordValue{serialize(remaining)});
        // Deletes the digest of a site that becomes empty, since the site has no gateway that would update
        // the digest.
        if (site_empty) writes.emplace_back(prefix + path_of(digest_key(), SiteName{site}), std::nullopt);
        const std::vector<etcd::KeyValue> compares{{prefix + roster, found.at(roster)},
                                                   {prefix + record, std::nullopt}};
        return write_once(session, settings.registry, compares, writes, "forgotten");
    });
}

int fleet_new_generation(const Settings& settings) {
    return with_session(settings.registry, [&](RegistrySession& session) {
        const std::string path = path_of(generation_key(), SiteName{"-"});
        const ValuesByKey found = read_keys(session, settings.registry, {path});
        const RecordValue present = found.contains(path) ? RecordValue{found.at(path)} : RecordValue{};
        std::random_device random;
        const std::string first_half = std::to_string(random());
        const std::string second_half = std::to_string(random());
        const auto next = next_generation(present ? parse_generation(*present) : std::nullopt, {}, true,
                                          "operator/" + first_half + second_half);
        const std::string key = settings.registry.prefix + path;
        return write_once(session, settings.registry, {{key, present}}, {{key, serialize(*next)}},
                          "generation " + std::to_string(next->number));
    });
}

}  // namespace irismux::cli
