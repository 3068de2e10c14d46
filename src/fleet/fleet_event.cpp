#include "fleet/fleet_event.hpp"

#include "base/log.hpp"
#include "registry/registry_log.hpp"

namespace irismux::fleet {
namespace {

using log::Level;

std::string_view to_string(JoinRefusal reason) {
    switch (reason) {
        case JoinRefusal::shared_config_differs:
            return "shared_config_differs";
        case JoinRefusal::roster_unreadable:
            return "roster_unreadable";
        case JoinRefusal::name_in_use:
            return "name_in_use";
    }
    return "";
}

std::string_view to_string(TokenStoreOperation operation) {
    switch (operation) {
        case TokenStoreOperation::open:
            return "open";
        case TokenStoreOperation::parse:
            return "parse";
        case TokenStoreOperation::write:
            return "write";
    }
    return "";
}

void write(const LeaseStateChanged& event) {
    if (event.state == LeaseState::lost)
        return log::event(Level::warning, "fleet_lease_lost",
                          {{"duty", event.duty.raw()}, {"token", event.token.raw()}});
    log::event(
        Level::info, "fleet_lease_changed",
        {{"duty", event.duty.raw()}, {"state", fleet::to_string(event.state)}, {"token", event.token.raw()}});
}

void write(const JoinRefused& event) {
    if (event.reason == JoinRefusal::shared_config_differs)
        return log::event(Level::warning, "fleet_join_refused",
                          {{"reason", to_string(event.reason)},
                           {"member", event.member.raw()},
                           {"registry_config", event.registry_config}});
    log::event(Level::warning, "fleet_join_refused",
               {{"reason", to_string(event.reason)}, {"member", event.member.raw()}});
}

void write(const MembershipEnded& event) {
    if (event.reason == MembershipEnd::left)
        return log::event(Level::info, "fleet_left", {{"member", event.member.raw()}});
    const bool evicted = event.reason == MembershipEnd::evicted;
    log::event(Level::warning, "fleet_membership_lost",
               {{"reason", evicted ? "evicted" : "registry_restored"}, {"member", event.member.raw()}});
}

void write(const DutyLimitExceeded& event) {
    log::event(Level::warning, "fleet_duty_limit_exceeded", {{"limit", event.limit}});
}

void write(const DutyRecordUnreadable& event) {
    log::event(Level::warning, "fleet_duty_record_unreadable", {{"duty", event.duty.raw()}});
}

void write(const FencingTokenRegressed& event) {
    log::event(Level::warning, "fleet_fencing_token_regressed",
               {{"duty", event.duty.raw()},
                {"recorded_token", event.recorded.raw()},
                {"highest_token", event.highest_seen.raw()}});
}

void write(const RegistryConnectionChanged& event) {
    if (event.connected)
        log::event(Level::info, "fleet_registry_connected", {});
    else
        log::event(Level::warning, "fleet_registry_disconnected", {});
}

void write(const RegistryWatchWarning& event) {
    log::event(
        Level::warning, "fleet_registry_watch_warning",
        {{"reason", registry::event_name(event.kind)}, {"failure", event.failure}, {"detail", event.detail}});
}

void write(const TokenStoreFailed& event) {
    log::event(
        Level::warning, "fleet_token_store_failed",
        {{"operation", to_string(event.operation)}, {"reason", event.reason}, {"detail", event.detail}});
}

}  // namespace

void write_to_log(const FleetEvent& event) {
    std::visit([](const auto& typed_event) { write(typed_event); }, event);
}

}  // namespace irismux::fleet
