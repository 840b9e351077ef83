#ifndef BRIARHUB_FRESHNESS_TRACKER_HPP
#define BRIARHUB_FRESHNESS_TRACKER_HPP

/// Determines until when this VM may admit requests (the admission lease), and
/// which versions are stable. Once a version has been stable for
/// `freshness_window`, no VM admits requests with an older one. The lease is
/// renewed by a complete read of the control stream or by replies of a majority
/// of the members. Pure: no I/O, reads no clock.
///
/// Why this is safe: a VM whose lease is based on replies of peers has, since
/// `valid_until() - freshness_window`, replies of a majority of the members of
/// its version u, each of which had applied at most u. If a majority of the
/// same member set has applied v > u, the two majorities share a member, so
/// those round trips began before that member applied v. This argument is
/// valid within one member set only, because the majorities in the sets of
/// adjacent versions need not intersect: a join that replaces an earlier
/// incarnation changes two members. So a version becomes stable only when a
/// majority has applied it in each member set since the previous stable
/// version, and a VM that does not know these sets treats no version as stable.

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

/// Duration of the admission lease, counted from the start of the read of the
/// control stream or of the round trips that renew it.
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

    /// Adds the member sets of a state, such as one that was installed from a
    /// snapshot or a peer. Member sets between those known before and these
    /// count as unknown unless the two histories overlap.
    void set_member_history(member_history const& history);

    /// Records that a snapshot or a peer reports this version as stable.
    void raise_stable_version(control_version version);

    /// Records that the process of this incarnation has ended: a later one
    /// replaced it, or it left by itself. It counts as having applied every
    /// version, since it sends no more replies.
    void mark_ended(member const& ended);

    /// Records that this VM has applied `version`.
    void set_version(control_version version);

    /// Records that a read of the control stream, begun at `start`, reached
    /// its end and that its records were folded without a gap.
    void record_log_read(time_point start);

    /// Records a round trip with a peer, begun at `start`; the peer had
    /// applied `version` when it replied. `peer` is the incarnation named in
    /// the reply.
    void record_peer_reply(
        time_point start, member const& peer, control_version version);

    /// Records that this VM runs at `now`. A sole member is a majority by
    /// itself, without a round trip.
    void record_self_check(time_point now);

    /// End of the current admission lease; the epoch if there is none.
    /// It never moves back, unless another process replaced this one as the
    /// member of this VM.
    [[nodiscard]] time_point valid_until() const;

    /// The highest version known to be stable.
    [[nodiscard]] control_version stable_version() const;

    /// True if a peer has applied a newer version than this VM.
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
    /// Keyed by the version from which on the set is in force; without a gap.
    std::map<control_version, std::vector<member>> m_members;
    std::map<incarnation_key, acknowledgement> m_acknowledgements;
    std::set<incarnation_key> m_ended;
    std::optional<time_point> m_log_read_start;
    std::optional<time_point> m_quorum_start;
    std::optional<time_point> m_self_checked_at;
};

} // namespace briarhub

#endif
