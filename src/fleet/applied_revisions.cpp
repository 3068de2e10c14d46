#include "fleet/applied_revisions.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace irismux::fleet {
namespace {

using nlohmann::json;

constexpr const char* revisions_field = "in_force";

json object_of(std::string_view bytes) {
    json object = json::parse(bytes, nullptr, false);
    return object.is_object() ? object : json::object();
}

std::optional<std::int64_t> non_negative_integer(const json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || !it->is_number_integer() || *it < 0) return std::nullopt;
    return it->get<std::int64_t>();
}

std::optional<Generation> generation_of(const json& object) {
    const auto number = non_negative_integer(object, "generation");
    const auto id = object.find("id");
    if (!number || *number == 0 || id == object.end() || !id->is_string()) return std::nullopt;
    return Generation{*number, id->get<std::string>()};
}

}  // namespace

Key generation_key() { return Key{"generation"}; }

std::string serialize(const Generation& generation) {
    return json{{"generation", generation.number}, {"id", generation.id}}.dump();
}

std::optional<Generation> parse_generation(std::string_view bytes) { return generation_of(object_of(bytes)); }

std::string with_applied_revisions(const std::string& heartbeat,
                                   const std::optional<AppliedRevisions>& revisions) {
    if (!revisions) return heartbeat;
    json all = object_of(heartbeat);
    json& object = all[revisions_field];
    object = {{"generation", revisions->generation.number},
              {"id", revisions->generation.id},
              {"event", revisions->event.raw()},
              {"configuration", revisions->configuration.raw()}};
    if (revisions->history_lost) object["worn"] = true;
    return all.dump();
}

std::optional<AppliedRevisions> parse_applied_revisions(std::string_view heartbeat) {
    const json all = object_of(heartbeat);
    const auto it = all.find(revisions_field);
    if (it == all.end() || !it->is_object()) return std::nullopt;
    const auto generation = generation_of(*it);
    const auto event = non_negative_integer(*it, "event"),
               configuration = non_negative_integer(*it, "configuration");
    if (!generation || !event || !configuration) return std::nullopt;
    return AppliedRevisions{*generation, EventNumber{*event}, ConfigurationNumber{*configuration},
                            it->contains("worn")};
}

std::optional<Generation> next_generation(const std::optional<Generation>& shown, const Generation& known,
                                          bool history_lost, const std::string& new_id) {
    const bool may_stay = shown && (shown->number > known.number || *shown == known);
    if (may_stay && !history_lost) return std::nullopt;
    return Generation{std::max(shown ? shown->number : 0, known.number) + 1, new_id};
}

void AppliedRevisionTracker::on_generation(const Generation& shown) {
    if (shown.number <= generation_.number) return;
    generation_ = shown;
    event_known_in_generation_ = history_lost_ = false;
    event_ = {};
}

// After the history of a generation was lost, event numbers count again only in the next generation. Until
// then a read of the full history would be of no use.
bool AppliedRevisionTracker::needs_full_history() const {
    if (full_history_poll_in_flight_ && generation_at_full_history_start_ == generation_) return false;
    return !has_full_history_ || (generation_.number > 0 && !event_known_in_generation_ && !history_lost_);
}

void AppliedRevisionTracker::on_poll_started(bool from_start) {
    poll_in_flight_ = true;
    generation_at_poll_start_ = generation_;
    if (!from_start) return;
    full_history_poll_in_flight_ = true;
    generation_at_full_history_start_ = generation_;
}

// Ignores the reply to a poll that was sent before the current generation was known. Such a reply may belong
// to the board's former history. If the reply counted, this process would report events of the new history
// that it has never applied.
void AppliedRevisionTracker::on_poll_completed(EventNumber newest, EventNumber asked_from) {
    if (!std::exchange(poll_in_flight_, false)) return;
    const bool full_history = std::exchange(full_history_poll_in_flight_, false);
    const bool full_history_in_generation = full_history && generation_at_full_history_start_ == generation_;
    has_full_history_ |= full_history;
    if (generation_at_poll_start_ != generation_) return;
    if (newest < std::max(event_, asked_from)) return on_history_lost();
    if (!event_known_in_generation_ && !full_history_in_generation) return;
    if (history_lost_) return;
    event_known_in_generation_ = true;
    event_ = newest;
}

void AppliedRevisionTracker::on_poll_failed() { poll_in_flight_ = false; }

void AppliedRevisionTracker::on_history_lost() {
    history_lost_ = generation_.number > 0;
    event_known_in_generation_ = full_history_poll_in_flight_ = false;
}

std::optional<AppliedRevisions> AppliedRevisionTracker::applied_revisions() const {
    if (generation_.number == 0) return std::nullopt;
    const bool counts = event_known_in_generation_ && !history_lost_ && !notice_skipped_;
    return AppliedRevisions{generation_, counts ? event_ : EventNumber{}, configuration_, history_lost_};
}

}  // namespace irismux::fleet
