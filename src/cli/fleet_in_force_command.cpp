#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <time.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <variant>

#include "cli/fleet_commands.hpp"
#include "cli/registry_session.hpp"
#include "fleet/fleet_client.hpp"
#include "fleet/fleet_status.hpp"

namespace irismux::cli {
namespace {

namespace etcd = registry::etcd;
using namespace fleet;

// Of a term: between two readings. All of a site has spoken within a round, a quarter of a term.
constexpr double read_of_term = 1.0 / 24;
// Of a term: for how long is read, where no longer wait is asked for, until every site that speaks has been
// heard.
constexpr double least_wait_of_term = 0.75;
constexpr int exit_all_but = 3, exit_not_yet = 4;
// Of one transaction; a registry takes 128.
constexpr std::size_t most_reads = 120;
constexpr Duration board_answers_in = Duration::micros(2'000'000);

struct Failure {
    std::string words;
};

// Counts time during which the machine sleeps.
TimePoint steady_now() {
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return TimePoint{} + Duration::micros(static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000);
}

// All records behind that prefix, by what follows it.
std::map<std::string, std::string> read_all(RegistrySession& talk, const registry::Settings& settings,
                                            const std::string& prefix) {
    std::map<std::string, std::string> all;
    std::optional<registry::RecordKey> after;
    registry::Revision at;
    for (;;) {
        const auto [status, body] = talk.request(etcd::range(prefix, after, at, settings.page_size));
        const auto read = etcd::read_range(status, body, prefix);
        if (const auto* problem = std::get_if<etcd::Error>(&read)) throw Failure{problem->message};
        const registry::Page& page = std::get<etcd::Range>(read).page;
        if (at == registry::Revision{}) at = page.header.revision;
        for (const auto& r : page.records) all[r.key.raw()] = r.value;
        if (!page.more || page.records.empty()) return all;
        after = page.records.back().key;
    }
}

// Those records, at one revision each for up to `most_reads` of them.
std::map<std::string, std::string> read_keys(RegistrySession& talk, const registry::Settings& settings,
                                             const std::vector<std::string>& paths) {
    std::map<std::string, std::string> all;
    for (std::size_t first = 0; first < paths.size(); first += most_reads) {
        std::vector<std::string> keys;
        for (std::size_t n = first; n < std::min(paths.size(), first + most_reads); ++n)
            keys.push_back(settings.prefix + paths[n]);
        const auto [status, body] = talk.request(etcd::transaction({}, {}, keys));
        const auto read = etcd::read_transaction_result(status, body, settings.prefix);
        if (const auto* problem = std::get_if<etcd::Error>(&read)) throw Failure{problem->message};
        for (const auto& r : std::get<etcd::TransactionResult>(read).records) all[r.key.raw()] = r.value;
    }
    return all;
}

// The generation is read last: digests of a former one are told apart from it.
FleetStatus::RegistryReading read_status(RegistrySession& talk, const Settings& settings,
                                         const FleetStatus& status) {
    FleetStatus::RegistryReading reading;
    reading.requested_at = steady_now();
    std::vector<std::string> paths;
    std::map<std::string, SiteName> sites;
    for (const auto& [site, owner] : status.owners()) {
        paths.push_back(path_of(heartbeat_key(owner), site));
        sites[paths.back()] = site;
    }
    for (const auto& [path, text] : read_keys(talk, settings.registry, paths))
        reading.owner_heartbeats[sites.at(path)] = text;
    const std::string digests = digest_prefix(settings.registry.prefix);
    for (const auto& [site, text] : read_all(talk, settings.registry, digests))
        reading.digests[SiteName{site}] = text;
    const std::string members = settings.registry.prefix + path_of(Key{"member/"});
    for (const auto& [name, text] : read_all(talk, settings.registry, members))
        reading.old_form.emplace(name);
    const std::string generation = path_of(generation_key(), SiteName{"-"});
    const auto shown = read_keys(talk, settings.registry, {generation});
    if (const auto it = shown.find(generation); it != shown.end()) reading.generation = it->second;
    return reading;
}

std::optional<EventNumber> newest_of_board(const std::string& address) {
    const Poco::Net::SocketAddress at(address);
    Poco::Net::HTTPClientSession session(at.host().toString(), at.port());
    session.setTimeout(Poco::Timespan(board_answers_in.micros()));
    // All but the newest number is passed over: a number far above all has nothing behind it.
    Poco::Net::HTTPRequest request("GET", "/board/poll?watch=9007199254740991&linger=0",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    const auto all = nlohmann::json::parse(body, nullptr, false);
    if (!all.is_object() || !all.contains("rev") || !all["rev"].is_number_integer()) return std::nullopt;
    return EventNumber{all["rev"].get<std::int64_t>()};
}

std::string_view word_of(FleetStatus::MissingReason why) {
    using Why = FleetStatus::MissingReason;
    switch (why) {
        case Why::absent:
            return "cut off, dead or left";
        case Why::site_silent:
            return "nothing new is heard of that site";
        case Why::behind:
            return "live, and without it";
        case Why::never_reported:
            return "expected, and has no digest that can be read";
        case Why::too_few:
            return "fewer gateways are known than 'sites' has";
        case Why::too_many:
            return "more gateways than can be named";
        case Why::other_generation:
            return "numbers of another history of the board";
        case Why::old_form:
            return "a gateway without 'site'";
        case Why::no_inventory:
            return "[fleet] has no 'sites'";
        case Why::board_unknown:
            return "the board has not that event, or fewer than gateways claim";
    }
    return "";
}

void print(const FleetStatus::Verdict& verdict) {
    using Reach = FleetStatus::Reach;
    std::cout << (verdict.reach == Reach::everywhere ? "in force everywhere\n"
                  : verdict.reach == Reach::all_but  ? "in force at all but\n"
                                                     : "not yet\n");
    for (const auto& m : verdict.missing) {
        std::cout << "  ";
        if (!m.site.raw().empty()) std::cout << "site " << m.site.raw() << ' ';
        if (!m.member.raw().empty()) std::cout << m.member.raw() << ' ';
        std::cout << word_of(m.reason);
        if (m.since_ms > 0) std::cout << ", since " << m.since_ms << " (Unix ms)";
        std::cout << '\n';
    }
}

FleetStatus::Verdict ask_until(RegistrySession& talk, const Settings& settings,
                               const InForceQuestion& question) {
    const FleetStatus::Query asked{EventNumber{question.event}, ConfigurationNumber{question.configuration}};
    const Duration term = settings.shared_config.term;
    const TimePoint end =
        steady_now() + std::max(Duration::seconds(question.wait_s), term * least_wait_of_term);
    FleetStatus status(term, settings.inventory);
    for (;;) {
        status.on_reading(read_status(talk, settings, status));
        if (question.event > 0)
            if (const auto newest = newest_of_board(question.board)) status.on_newest_event(*newest);
        auto verdict = status.judge(steady_now(), asked);
        if (verdict.reach == FleetStatus::Reach::everywhere || steady_now() >= end) return verdict;
        std::this_thread::sleep_for(std::chrono::microseconds((term * read_of_term).micros()));
    }
}

// The exit code of a record that was written, or not.
int settle(RegistrySession& talk, const registry::Settings& settings,
           const std::vector<etcd::KeyValue>& compares, const std::vector<etcd::KeyValue>& writes,
           const std::string& done) {
    const auto answer = talk.request_once(etcd::transaction(compares, writes, {}));
    if (!answer) return print_error("no answer: whether it is written can't be told, look again");
    const auto read = etcd::read_transaction_result(answer->first, answer->second, settings.prefix);
    if (const auto* problem = std::get_if<etcd::Error>(&read)) return print_error(problem->message);
    if (!std::get<etcd::TransactionResult>(read).succeeded)
        return print_error("the records have changed meanwhile: nothing is written, look again");
    std::cout << done << '\n';
    return 0;
}

template <class Step>
int guarded(const Settings& settings, Step step) {
    return with_session(settings.registry, [&](RegistrySession& talk) {
        try {
            return step(talk);
        } catch (const Failure& f) {
            return print_error(f.words);
        }
    });
}

}  // namespace

int fleet_in_force(const Settings& settings, const InForceQuestion& question) {
    if (question.event <= 0 && question.configuration <= 0)
        return print_error("ask for --event or --configuration");
    if (question.event > 0 && question.board.empty()) return print_error("--event needs --board");
    return guarded(settings, [&](RegistrySession& talk) {
        const auto verdict = ask_until(talk, settings, question);
        print(verdict);
        if (verdict.reach == FleetStatus::Reach::everywhere) return 0;
        return verdict.reach == FleetStatus::Reach::all_but ? exit_all_but : exit_not_yet;
    });
}

int fleet_forget(const Settings& settings, const std::string& site, const std::string& member) {
    return guarded(settings, [&](RegistrySession& talk) {
        const std::string roster = path_of(roster_key(), SiteName{site}),
                          record = path_of(member_key(MemberName{member}), SiteName{site});
        const auto shown = read_keys(talk, settings.registry, {roster, record});
        const auto known = shown.contains(roster) ? parse_site_roster(shown.at(roster)) : std::nullopt;
        if (!known || !known->names.contains(MemberName{member}))
            return print_error("no gateway " + member + " is known in site " + site);
        if (shown.contains(record)) return print_error(member + " is a member: stop it first");
        SiteRoster next = *known;
        next.names.erase(MemberName{member});
        const std::string& prefix = settings.registry.prefix;
        std::vector<etcd::KeyValue> writes{
            {prefix + roster, next.names.empty() && !next.incomplete ? Text{} : Text{serialize(next)}}};
        // Of an empty site nobody is left to write a digest.
        if (!writes.front().second)
            writes.emplace_back(prefix + path_of(digest_key(), SiteName{site}), std::nullopt);
        return settle(talk, settings.registry,
                      {{prefix + roster, shown.at(roster)}, {prefix + record, std::nullopt}}, writes,
                      "forgotten");
    });
}

int fleet_new_generation(const Settings& settings) {
    return guarded(settings, [&](RegistrySession& talk) {
        const std::string path = path_of(generation_key(), SiteName{"-"});
        const auto shown = read_keys(talk, settings.registry, {path});
        const Text was = shown.contains(path) ? Text{shown.at(path)} : Text{};
        std::random_device chance;
        const auto next = next_generation(was ? parse_generation(*was) : std::nullopt, {}, true,
                                          "operator/" + std::to_string(chance()) + std::to_string(chance()));
        const std::string key = settings.registry.prefix + path;
        return settle(talk, settings.registry, {{key, was}}, {{key, serialize(*next)}},
                      "generation " + std::to_string(next->number));
    });
}

}  // namespace irismux::cli
