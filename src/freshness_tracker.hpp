#ifndef BRIARHUB_FRESHNESS_TRACKER_HPP
#define BRIARHUB_FRESHNESS_TRACKER_HPP

/// Decides until when this VM may admit requests, and which versions are
/// stable. Pure: no I/O, reads no clock.
///
/// What the argument rests on: a VM that admits by its peers has had, since
/// `valid_until() - freshness_window`, answers of a majority of the members of
/// its version u, each holding at most u. If a majority of the same member
/// set holds v > u, the two share a member, so those round trips began before
/// that member held v. This works within one member set only. Majorities of
/// adjacent versions need not intersect: a join that replaces an earlier
/// incarnation changes two members. So a version becomes stable only when a
/// majority holds it in each member set since the stable version before, and
/// a VM that does not know these sets takes no version for stable.

#include "control_log.hpp"
#include "types.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace briarhub
{

/// Validity of a confirming round trip, counted from its start.
inline constexpr std::chrono::seconds freshness_window{3};

class freshness_tracker
{
public:
    explicit freshness_tracker(member self);

    /// Members at a version; versions must rise. Each version that changes
    /// the members must be reported, before `set_version` reports it. The
    /// sets before the first one reported count as unknown, unless that is
    /// the first version of all.
    void set_members(control_version version, std::vector<member> members);

    /// The member sets of a state that was taken over (snapshot or peer), or
    /// of any state. Sets between those known before and these count as
    /// unknown unless they overlap.
    void set_member_history(member_history const& history);

    /// A snapshot or a peer tells that a version is stable.
    void raise_stable_version(control_version version);

    /// The process of this incarnation has ended: it left by itself. It
    /// counts as holding every version, since it answers no one any more.
    void mark_ended(member const& ended);

    /// This VM now holds `version`.
    void set_version(control_version version);

    /// A read of the control stream, begun at `start`, reached its end, and
    /// its records were folded without a gap.
    void record_log_read(time_point start);

    /// A round trip with a peer, begun at `start`, was acknowledged; the peer
    /// held `version` when it answered. `peer` is the incarnation named in
    /// the answer.
    void record_peer_reply(
        time_point start, member const& peer, control_version version);

    /// This VM runs at `now`. A VM that is the only member is a majority by
    /// itself, without a round trip.
    void record_self_check(time_point now);

    /// The end of the present permission to admit; the epoch if there is none.
    /// It never moves back, unless another process took this VM's place.
    [[nodiscard]] time_point valid_until() const;

    /// The highest version known to be stable.
    [[nodiscard]] control_version stable_version() const;

    /// A peer holds a newer version than this VM.
    [[nodiscard]] bool is_behind() const;

private:
    struct acknowledgement
    {
        time_point m_start{};
        control_version m_version = 0;
    };

    using incarnation_key = std::pair<vm_id, incarnation>;

    void advance_stable_version();
    void update_quorum_start();
    void remove_obsolete();
    [[nodiscard]] bool is_self(member const& m) const;
    [[nodiscard]] std::optional<time_point>
    round_trip_start(member const& m) const;
    [[nodiscard]] control_version applied_version(member const& m) const;
    [[nodiscard]] control_version
    applied_by_majority(std::vector<member> const& members) const;

    member m_self;
    control_version m_version = 0;
    control_version m_stable_version = 0;
    /// By the version from which on they are in force; without a gap.
    std::map<control_version, std::vector<member>> m_members;
    std::map<incarnation_key, acknowledgement> m_acknowledgements;
    std::set<incarnation_key> m_ended;
    std::optional<time_point> m_log_read_start;
    std::optional<time_point> m_quorum_start;
    std::optional<time_point> m_self_checked_at;
};

} // namespace briarhub

#endif
