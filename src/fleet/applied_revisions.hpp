/// What one gateway has in force, and when it may say so. No I/O, no clock.
///
/// Events are those of the notice board, which numbers them in the order in which it tells them; a purge is
/// an event. The board's numbers may come again after it was restored from a backup, so a number counts only
/// together with its generation: a record of the registry that is replaced by a higher one once a gateway has
/// seen the numbers go back, or by an operator's command.
///
/// Guarantee: claim() names an event only if every event of that generation up to it has been put in force by
/// this very process. Premises: the board tells its events in order; on_board_told() is called after the
/// events were put in force; a board that has gone back is seen as such by one gateway, or announced by an
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

/// Of the board's history. Two with one number and different ids were given by registries that had gone back;
/// neither is newer than the other.
struct Generation {
    std::int64_t number = 0;  ///< zero: none is known
    std::string id;           ///< drawn by chance
    bool operator==(const Generation&) const = default;
};

/// What a heartbeat says of its sender.
struct AppliedRevisions {
    Generation generation;
    EventNumber event;
    ConfigurationNumber configuration;
    bool history_lost =
        false;  ///< the board or the registry was seen to go back under it: it is to be replaced
    bool operator==(const AppliedRevisions&) const = default;
};

Key generation_key();
std::string serialize(const Generation&);
std::optional<Generation> parse_generation(std::string_view);
/// The heartbeat's value with one more field; without a claim, as it is.
std::string with_applied_revisions(const std::string& heartbeat,
                                   const std::optional<AppliedRevisions>& claim);
/// None: the heartbeat says nothing of it, as those of older versions do.
std::optional<AppliedRevisions> parse_applied_revisions(std::string_view heartbeat);

/// The generation to be written if the one that the registry shows can't stand: there is none, it is below
/// one that is known, it has a known number under another id, or it is worn: the board has gone back under
/// it.
std::optional<Generation> next_generation(const std::optional<Generation>& shown, const Generation& known,
                                          bool worn, const std::string& new_id);

/// One process's account of what it has in force.
class AppliedRevisionTracker {
public:
    /// The registry's record. A lower one than known, or another under the same number, is not taken.
    void on_generation(const Generation& shown);
    void on_configuration(ConfigurationNumber number) { configuration_ = number; }

    /// The board must be asked for all that it holds, since where this process stands in this generation is
    /// not known. True until such a telling has begun; it may take several polls, each behind what has come.
    bool needs_full_history() const;
    void on_poll_started(bool from_start);
    /// Each event up to `newest` that the board still held is in force; `asked_from`: the number that the
    /// last poll named.
    void on_poll_completed(EventNumber newest, EventNumber asked_from);
    /// An event could not be read: this process does not have it in force, and none after it counts.
    void on_notice_skipped() { notice_skipped_ = true; }
    void on_poll_failed();
    /// The registry has gone back: a higher generation may have been lost with it.
    void on_history_lost();

    std::optional<AppliedRevisions> applied_revisions() const;
    const Generation& generation() const { return generation_; }
    /// Whether the board has told all that it held since the process began: from then on this process lacks
    /// no event that a former process under its name had claimed.
    bool has_full_history() const { return has_full_history_; }

private:
    Generation generation_;
    EventNumber event_;
    ConfigurationNumber configuration_;
    bool event_known_in_generation_ = false;  // event_ is a position in generation_
    bool history_lost_ = false;               // seen under generation_
    bool has_full_history_ = false, notice_skipped_ = false;
    bool poll_in_flight_ = false;
    Generation generation_at_poll_start_;  // when the poll went out
    bool full_history_poll_in_flight_ =
        false;  // a telling from the start is under way, begun under that generation
    Generation generation_at_full_history_start_;
};

}  // namespace irismux::fleet
