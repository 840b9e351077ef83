#ifndef BRIARHUB_MEMBERSHIP_HPP
#define BRIARHUB_MEMBERSHIP_HPP

/// Failure detection among the VMs of the fleet: selects the peers to probe in
/// each interval and the members to fence (to remove because they are
/// unreachable). Performs no I/O and reads no clock.

#include "control_log.hpp"
#include "freshness_tracker.hpp"
#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace briarhub
{

inline constexpr std::chrono::milliseconds probe_interval{500};

/// Peers probed in each interval while the log is reachable.
inline constexpr std::size_t probe_fanout = 3;

/// A member that did not respond for this long may be fenced.
inline constexpr std::chrono::seconds fence_timeout{30};

/// Consecutive failed probes required in addition, since in a large fleet two
/// probes of one peer may be more than `fence_timeout` apart.
inline constexpr std::uint32_t min_fence_failures = 3;

/// Shorter timeout for a member that was removed from the VM list.
inline constexpr std::chrono::seconds unlisted_fence_timeout{5};

/// A fence is delayed by this time for each responding member with a lower VM
/// id, up to `max_fence_rank` members. Longer than a long-poll read of the log,
/// so that the first fence record is seen before the second one is due.
inline constexpr std::chrono::seconds fence_rank_delay{2};
inline constexpr std::size_t max_fence_rank = 10;

/// A record that took no effect is proposed again after this time.
inline constexpr std::chrono::seconds fence_retry_interval{10};
inline constexpr std::chrono::seconds join_retry_interval{5};

/// A peer whose last probe failed is probed again after this time.
inline constexpr std::chrono::seconds failed_probe_interval{2};

/// The log counts as unreachable, and the fan-out is raised, if no read
/// succeeded for this long.
inline constexpr std::chrono::seconds log_timeout{1};

class membership
{
public:
    membership(member self, std::uint64_t seed);

    void set_vms(time_point now, std::span<entry_vm const> vms);
    void set_members(time_point now, std::vector<member> members);
    void log_read_succeeded(time_point now);

    /// Selects the peers to probe in this interval.
    std::vector<entry_vm> next_probes(time_point now);

    void probe_succeeded(time_point now, member const& peer);
    void probe_failed(time_point now, vm_id const& peer);

    /// VMs to report to peers as unreachable: those that have not responded to
    /// this VM for `fence_timeout`. Empty while this VM suspects its own
    /// network.
    [[nodiscard]] std::vector<vm_id> unreachable_vms(time_point now) const;

    /// Replaces the last report of a peer's `unreachable_vms`.
    void update_unreachable_report(
        time_point now, member const& reporter, std::vector<vm_id> unreachable);

    /// The `join` record that this VM should append, if any. Returned only
    /// while the folded state does not list it as a member, and only if a read
    /// of the log succeeded since the last one was proposed.
    [[nodiscard]] std::optional<control_record> next_join(time_point now);

    /// True if a later incarnation of this VM joined. This process must stop.
    [[nodiscard]] bool is_replaced() const;

    /// A member to fence, if any: one that the VM list no longer contains, or
    /// one that responds neither to this VM nor to at least one other member.
    /// The responding member with the lowest VM id fences first; the others
    /// wait longer, so that usually one record is appended. None while the log
    /// is unreachable.
    [[nodiscard]] std::optional<leave_record> next_fence(time_point now);

    [[nodiscard]] std::optional<entry_vm> find(vm_id const& vm) const;

    struct peer_status
    {
        member m_member;
        bool m_listed = false;
        bool m_is_responding = false;
    };
    [[nodiscard]] std::vector<peer_status> status(time_point now) const;

private:
    struct peer_state
    {
        std::optional<incarnation> m_incarnation; ///< of the last reply
        std::optional<time_point> m_last_reply;
        time_point m_incarnation_since{}; ///< first reply of `m_incarnation`
        time_point m_member_since{};
        std::optional<time_point> m_failed_since;
        std::uint32_t m_failures = 0; ///< since the last reply
        std::optional<time_point> m_last_probe;
        std::optional<time_point> m_unlisted_since;
        bool m_was_listed = false;
        std::optional<time_point> m_fence_proposed_at;
    };

    struct unreachable_report
    {
        time_point m_received{};
        std::vector<vm_id> m_unreachable;
    };

    [[nodiscard]] bool is_self(member const& m) const;
    [[nodiscard]] bool is_self_member() const;
    [[nodiscard]] bool is_member(vm_id const& vm) const;
    [[nodiscard]] bool is_listed(vm_id const& vm) const;
    [[nodiscard]] bool is_log_unreachable(time_point now) const;
    [[nodiscard]] bool suspects_own_network(time_point now) const;
    [[nodiscard]] bool is_responding(member const& m) const;
    [[nodiscard]] bool
    is_reported_unreachable(time_point now, vm_id const& vm) const;
    [[nodiscard]] std::optional<time_point>
    unreachable_since(member const& m) const;
    [[nodiscard]] bool is_unreachable(time_point now, member const& m) const;
    [[nodiscard]] std::optional<time_point>
    fence_due(time_point now, member const& m) const;
    [[nodiscard]] std::optional<time_point>
    unlisted_fence_due(time_point now, member const& m) const;
    [[nodiscard]] std::size_t fence_rank(member const& target) const;
    [[nodiscard]] std::size_t fanout(time_point now) const;
    [[nodiscard]] std::optional<vm_id> next_failed_peer(time_point now) const;
    void update_listing(time_point now);
    void start_probe_round(time_point now);

    member m_self;
    std::mt19937_64 m_random;
    std::vector<entry_vm> m_vms; ///< listed VMs and members listed before
    std::set<vm_id> m_listed;
    bool m_has_vm_list = false;
    std::vector<member> m_members;
    bool m_has_members = false;
    bool m_was_member = false;
    std::map<vm_id, peer_state> m_peer_states;
    std::map<vm_id, unreachable_report> m_unreachable_reports;
    std::vector<vm_id>
        m_probe_round; ///< remaining peers of the current shuffled round
    std::optional<time_point> m_last_log_read;
    std::optional<time_point> m_last_join;
};

} // namespace briarhub

#endif
