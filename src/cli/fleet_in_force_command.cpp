#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "cli/fleet_commands.hpp"
#include "cli/registry_queries.hpp"
#include "fleet/fleet_client.hpp"
#include "fleet/fleet_status.hpp"

namespace irismux::cli {
namespace {

using namespace fleet;

constexpr int exit_all_but = 3;
constexpr int exit_not_yet = 4;

// Reads CLOCK_BOOTTIME, which also counts the time during which the machine is suspended.
TimePoint steady_now() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint{} +
           Duration::micros(static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000);
}

ValuesByKey read_all_or_throw(RegistrySession& session, const Settings& settings, const std::string& prefix) {
    return value_or_throw(read_all(session, settings.registry, prefix));
}

void read_owner_heartbeats(RegistrySession& session, const Settings& settings, const FleetStatus& status,
                           FleetStatus::RegistryReading& reading) {
    std::vector<std::string> paths;
    std::map<std::string, SiteName> sites;
    for (const auto& [site, owner] : status.owners()) {
        paths.push_back(path_of(heartbeat_key(owner), site));
        sites[paths.back()] = site;
    }
    for (const auto& [path, text] : read_keys(session, settings.registry, paths))
        reading.owner_heartbeats[sites.at(path)] = text;
}

// Reads the records with several requests, which may see different revisions. Reads the generation after the
// digests: if a new generation begins between the two reads, the digests name the former generation and are
// not mistaken for digests of the new generation.
FleetStatus::RegistryReading read_status(RegistrySession& session, const Settings& settings,
                                         const FleetStatus& status) {
    FleetStatus::RegistryReading reading;
    reading.requested_at = steady_now();
    read_owner_heartbeats(session, settings, status, reading);
    const std::string digests = digest_prefix(settings.registry.prefix);
    for (const auto& [site, text] : read_all_or_throw(session, settings, digests))
        reading.digests[SiteName{site}] = text;
    const std::string members = settings.registry.prefix + path_of(Key{"member/"});
    for (const auto& [name, text] : read_all_or_throw(session, settings, members))
        reading.members_outside_sites.emplace(name);
    const std::string generation = path_of(generation_key(), SiteName{"-"});
    const ValuesByKey found = read_keys(session, settings.registry, {generation});
    if (const auto it = found.find(generation); it != found.end()) reading.generation = it->second;
    return reading;
}

// Returns the number of the notice board's newest event, or std::nullopt if the reply has no such number.
// Throws Poco::Exception if the notice board does not reply.
std::optional<EventNumber> read_newest_event(const std::string& address) {
    constexpr Duration reply_timeout = Duration::micros(2'000'000);
    // Polls for events above a number that no event has, so that the reply contains the newest event number
    // and no events.
    constexpr const char* target = "/board/poll?watch=9007199254740991&linger=0";
    const Poco::Net::SocketAddress board(address);
    Poco::Net::HTTPClientSession session(board.host().toString(), board.port());
    session.setTimeout(Poco::Timespan(reply_timeout.micros()));
    Poco::Net::HTTPRequest request("GET", target, Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    const auto reply = nlohmann::json::parse(body, nullptr, false);
    if (!reply.is_object() || !reply.contains("rev") || !reply["rev"].is_number_integer())
        return std::nullopt;
    return EventNumber{reply["rev"].get<std::int64_t>()};
}

std::string_view description(FleetStatus::MissingReason reason) {
    using Reason = FleetStatus::MissingReason;
    switch (reason) {
        case Reason::absent:
            return "absent: cut off from the registry, dead or has left the fleet";
        case Reason::stale_digest:
            return "has no recent digest";
        case Reason::lagging:
            return "live, but has not applied the event or configuration";
        case Reason::never_reported:
            return "named in 'sites', but has no readable digest";
        case Reason::too_few_members:
            return "has fewer gateways in its roster than 'sites' states";
        case Reason::too_many_members:
            return "has more gateways than its records can name";
        case Reason::other_generation:
            return "reports event numbers of another generation of the notice board";
        case Reason::outside_all_sites:
            return "a gateway without the setting 'site'";
        case Reason::no_inventory:
            return "the table [fleet] of the parts file has no 'sites', which must name each site with its "
                   "number of gateways";
        case Reason::newest_event_unknown:
            return "the number of the notice board's newest event is unknown, or it is lower than the number "
                   "of the queried event or of an event that a gateway reports";
    }
    return "";
}

std::string_view headline(FleetStatus::Reach reach) {
    switch (reach) {
        case FleetStatus::Reach::everywhere:
            return "in force everywhere\n";
        case FleetStatus::Reach::all_but:
            return "in force at all gateways except these gateways and sites:\n";
        case FleetStatus::Reach::not_yet:
            break;
    }
    return "not in force everywhere yet:\n";
}

int exit_code(FleetStatus::Reach reach) {
    switch (reach) {
        case FleetStatus::Reach::everywhere:
            return 0;
        case FleetStatus::Reach::all_but:
            return exit_all_but;
        case FleetStatus::Reach::not_yet:
            break;
    }
    return exit_not_yet;
}

void print(const FleetStatus::Verdict& verdict) {
    std::cout << headline(verdict.reach);
    for (const auto& missing : verdict.missing) {
        std::cout << "  ";
        if (!missing.site.raw().empty()) std::cout << "site " << missing.site.raw() << ' ';
        if (!missing.member.raw().empty()) std::cout << missing.member.raw() << ' ';
        std::cout << description(missing.reason);
        if (missing.since_ms > 0) std::cout << ", since " << missing.since_ms << " (Unix ms)";
        std::cout << '\n';
    }
}

// Reads the status repeatedly until the queried event and configuration are in force everywhere or the time
// to wait is over.
FleetStatus::Verdict poll_status(RegistrySession& session, const Settings& settings,
                                 const InForceQuery& query) {
    // Minimum wait as a share of a term. All gateways of a site report within a quarter of a term, so after
    // this wait the digest of every live site has been read.
    constexpr double min_wait_per_term = 0.75;
    constexpr double poll_interval_per_term = 1.0 / 24;
    const FleetStatus::Query status_query{EventNumber{query.event}, ConfigurationNumber{query.configuration}};
    const Duration term = settings.shared_config.term;
    const TimePoint end = steady_now() + std::max(Duration::seconds(query.wait_s), term * min_wait_per_term);
    FleetStatus status(term, settings.inventory);
    for (;;) {
        status.on_reading(read_status(session, settings, status));
        if (query.event > 0)
            if (const auto newest = read_newest_event(query.board)) status.on_newest_event(*newest);
        auto verdict = status.judge(steady_now(), status_query);
        if (verdict.reach == FleetStatus::Reach::everywhere || steady_now() >= end) return verdict;
        std::this_thread::sleep_for(std::chrono::microseconds((term * poll_interval_per_term).micros()));
    }
}

}  // namespace

int fleet_in_force(const Settings& settings, const InForceQuery& query) {
    if (query.event <= 0 && query.configuration <= 0)
        return print_error("--event or --configuration is required");
    if (query.event > 0 && query.board.empty()) return print_error("--event requires --board");
    return with_session(settings.registry, [&](RegistrySession& session) {
        const auto verdict = poll_status(session, settings, query);
        print(verdict);
        return exit_code(verdict.reach);
    });
}

}  // namespace irismux::cli
