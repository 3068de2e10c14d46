/// Tracks the notices and the configuration that one gateway has applied, and when it may report them. Does
/// no I/O and reads no clock.
///
/// The notice board numbers its events in the order in which it delivers them; a purge is an event. The board
/// may assign the same numbers again after it was restored from a backup, so an event number counts only
/// together with its generation. The generation is a record of the registry; it is replaced by a higher one
/// once a gateway has seen the numbers decrease, or by an operator's command.
///
/// Guarantee: applied_revisions() names an event only if this process itself has applied every event of the
/// generation up to the named event. Premises: the board delivers its events in order; on_poll_completed() is
/// called after the events were applied; a gateway detects a restored board, or an operator announces it,
/// before the board has again assigned the numbers that were lost.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

using SiteName = Id<struct SiteTag, std::string>;
using EventNumber = Id<struct EventTag, std::int64_t>;  ///< number of a notice board event; zero if none
using ConfigurationNumber =
    Id<struct ConfigurationTag, std::int64_t>;  ///< assigned by the configuration's author; zero if none

/// A period of the notice board's history. Two generations with equal numbers and different ids come from
/// restored registries; neither is newer than the other.
struct Generation {
    std::int64_t number = 0;  ///< zero if no generation is known
    std::string id;           ///< random
    bool operator==(const Generation&) const = default;
};

/// The revisions that a heartbeat reports for its sender.
struct AppliedRevisions {
    Generation generation;
    EventNumber event;
    ConfigurationNumber configuration;
    /// The board or the registry was restored during this generation, so the generation must be replaced.
    bool history_lost = false;
    bool operator==(const AppliedRevisions&) const = default;
};

Key generation_key();
std::string serialize(const Generation&);
std::optional<Generation> parse_generation(std::string_view);
/// Returns the value of a heartbeat record with the revisions as an additional field. If `revisions` is
/// std::nullopt, returns the value unchanged.
std::string with_applied_revisions(const std::string& heartbeat,
                                   const std::optional<AppliedRevisions>& revisions);
/// @return std::nullopt if the heartbeat has no field with the revisions, as in older versions, or if the
/// field can't be parsed.
std::optional<AppliedRevisions> parse_applied_revisions(std::string_view heartbeat);

/// Returns the generation that must replace the one in the registry, or std::nullopt if the registry's
/// generation may stay. A new generation is needed in these cases: the registry has no generation; the number
/// of the registry's generation is lower than the number of `known`; the two numbers are equal and the ids
/// differ; or history was lost during the registry's generation.
std::optional<Generation> next_generation(const std::optional<Generation>& shown, const Generation& known,
                                          bool history_lost, const std::string& new_id);

/// Derives the applied revisions of one process from its polls of the notice board.
class AppliedRevisionTracker {
public:
    /// Applies the registry's record. A generation that is lower than the known generation, or another
    /// generation with the same number, is ignored.
    void on_generation(const Generation& shown);
    void on_configuration(ConfigurationNumber number) { configuration_ = number; }

    /// Returns whether the next poll must request the notice board's full history. The history is needed
    /// while the tracker cannot tell which events of the current generation this process has applied. As soon
    /// as a poll has requested the history, the function returns false: reading the history may take several
    /// polls, and each further poll continues where the previous poll ended.
    bool needs_full_history() const;
    void on_poll_started(bool from_start);
    /// Called after this process has applied every event up to `newest` that the notice board still has.
    /// The poll requested the events after number `asked_from`.
    void on_poll_completed(EventNumber newest, EventNumber asked_from);
    /// Called for an event that could not be parsed and therefore is not applied. From then on this process
    /// reports no event as applied.
    void on_notice_skipped() { notice_skipped_ = true; }
    void on_poll_failed();
    /// Called after the registry was restored, since the registry may have lost a higher generation.
    void on_history_lost();

    std::optional<AppliedRevisions> applied_revisions() const;
    const Generation& generation() const { return generation_; }
    /// Returns whether the notice board has delivered its full history to this process. A process with the
    /// full history lacks no event that a former process with the same name has reported.
    bool has_full_history() const { return has_full_history_; }

private:
    Generation generation_;
    EventNumber event_;
    ConfigurationNumber configuration_;
    bool event_known_in_generation_ = false;  // event_ is a position in generation_
    bool history_lost_ = false;               // a loss of history was detected during generation_
    bool has_full_history_ = false, notice_skipped_ = false;
    bool poll_in_flight_ = false;
    Generation generation_at_poll_start_;       // the generation when the poll was sent
    bool full_history_poll_in_flight_ = false;  // a read of the full history has begun and not ended
    Generation generation_at_full_history_start_;
};

}  // namespace irismux::fleet
