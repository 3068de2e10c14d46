/// Which notices and which configuration one gateway has applied, and when it may report them. No I/O, no
/// clock.
///
/// Events are those of the notice board, which numbers them in the order in which it delivers them; a purge
/// is an event. The numbers may come again after the board was restored from a backup, so a number counts
/// only together with its generation: a record of the registry that is replaced by a higher one once a
/// gateway has seen the numbers go back, or by an operator's command.
///
/// Guarantee: applied_revisions() names an event only if this very process has applied every event of that
/// generation up to it. Premises: the board delivers its events in order; on_poll_completed() is called after
/// the events were applied; a board that went back is seen as such by one gateway, or announced by an
/// operator, before its numbers have come as far again.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

using SiteName = Id<struct SiteTag, std::string>;
using EventNumber = Id<struct EventTag, std::int64_t>;  ///< of the notice board; zero: none
using ConfigurationNumber =
    Id<struct ConfigurationTag, std::int64_t>;  ///< as its author numbers it; zero: none

/// A period of the notice board's history. Two with one number and different ids come from registries that
/// were restored; neither is newer than the other.
struct Generation {
    std::int64_t number = 0;  ///< zero: none is known
    std::string id;           ///< random
    bool operator==(const Generation&) const = default;
};

/// What a heartbeat reports of its sender.
struct AppliedRevisions {
    Generation generation;
    EventNumber event;
    ConfigurationNumber configuration;
    bool history_lost = false;  ///< the board or the registry went back in it: it is to be replaced
    bool operator==(const AppliedRevisions&) const = default;
};

Key generation_key();
std::string serialize(const Generation&);
std::optional<Generation> parse_generation(std::string_view);
/// The heartbeat's value with the revisions as one more field; without revisions, as it is.
std::string with_applied_revisions(const std::string& heartbeat,
                                   const std::optional<AppliedRevisions>& revisions);
/// None: the heartbeat has no such field, as those of older versions, or it can't be parsed.
std::optional<AppliedRevisions> parse_applied_revisions(std::string_view heartbeat);

/// The generation to be written in place of the one that the registry shows. None: that one may stay. It may
/// not if there is none, it is below a known one, it has a known number under another id, or history was lost
/// in it.
std::optional<Generation> next_generation(const std::optional<Generation>& shown, const Generation& known,
                                          bool history_lost, const std::string& new_id);

/// Follows the polls of one process.
class AppliedRevisionTracker {
public:
    /// The registry's record. A lower one than known, or another under the same number, is ignored.
    void on_generation(const Generation& shown);
    void on_configuration(ConfigurationNumber number) { configuration_ = number; }

    /// Whether the next poll must ask for all that the board has, since this process's position in the
    /// generation is not known. True until such a read has begun; it may take several polls, each from where
    /// the last ended.
    bool needs_full_history() const;
    void on_poll_started(bool from_start);
    /// Each event up to `newest` that the board still has is applied; `asked_from`: the number that the last
    /// poll named.
    void on_poll_completed(EventNumber newest, EventNumber asked_from);
    /// An event could not be parsed: it is not applied, and none after it counts.
    void on_notice_skipped() { notice_skipped_ = true; }
    void on_poll_failed();
    /// The registry was restored: a higher generation may have been lost with it.
    void on_history_lost();

    std::optional<AppliedRevisions> applied_revisions() const;
    const Generation& generation() const { return generation_; }
    /// Whether the board has delivered all that it had since the process began: from then on this process
    /// lacks no event that a former process under its name had reported.
    bool has_full_history() const { return has_full_history_; }

private:
    Generation generation_;
    EventNumber event_;
    ConfigurationNumber configuration_;
    bool event_known_in_generation_ = false;  // event_ is a position in generation_
    bool history_lost_ = false;               // seen under generation_
    bool has_full_history_ = false, notice_skipped_ = false;
    bool poll_in_flight_ = false;
    Generation generation_at_poll_start_;       // when the poll was sent
    bool full_history_poll_in_flight_ = false;  // a read of the full history is under way
    Generation generation_at_full_history_start_;
};

}  // namespace irismux::fleet
