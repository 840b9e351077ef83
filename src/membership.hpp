#ifndef BRIARHUB_MEMBERSHIP_HPP
#define BRIARHUB_MEMBERSHIP_HPP

/// Which peers to probe when, and which members to fence. Pure: no I/O, reads
/// no clock.

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

/// Peers probed in each interval while the log answers.
inline constexpr std::size_t probe_fanout = 3;

/// A member that answered nobody for this long may be fenced.
inline constexpr std::chrono::seconds fence_timeout{30};

/// Probes that must have failed as well, since at a large fleet two probes of
/// one peer may be further apart than `fence_timeout`.
inline constexpr std::uint32_t min_fence_failures = 3;

/// A member that the VM list contained and no longer contains may be fenced
/// after this long without an answer.
inline constexpr std::chrono::seconds unlisted_fence_timeout{5};

/// Each member that answers and has a lower VM id gets this much time to
/// fence first, up to `max_fence_rank` members. Longer than a poll of the log,
/// so that the first record is seen before the second is due.
inline constexpr std::chrono::seconds fence_rank_delay{2};
inline constexpr std::size_t max_fence_rank = 10;

/// A record that had no effect is proposed again after this long.
inline constexpr std::chrono::seconds fence_retry_interval{10};
inline constexpr std::chrono::seconds join_retry_interval{5};

/// A peer whose last probe failed is probed again after this long.
inline constexpr std::chrono::seconds failed_probe_interval{2};

/// Without an answer of the log for this long the fan-out rises.
inline constexpr std::chrono::seconds log_timeout{1};

class membership
{
public:
    membership(member self, std::uint64_t seed);

    void set_vms(time_point now, std::span<entry_vm const> vms);
    void set_members(time_point now, std::vector<member> members);
    void log_read_succeeded(time_point now);

    /// Peers to probe in this interval.
    std::vector<entry_vm> next_probes(time_point now);

    void probe_succeeded(time_point now, member const& peer);
    void probe_failed(time_point now, vm_id const& peer);

    /// VMs to report to peers as silent: those that have not answered this VM
    /// for `fence_timeout`. Empty while this VM doubts its own network.
    [[nodiscard]] std::vector<vm_id> unreachable_vms(time_point now) const;

    /// A peer's `unreachable_vms`; replaces its earlier report.
    void update_unreachable_report(
        time_point now, member const& reporter, std::vector<vm_id> unreachable);

    /// The record this VM should append about itself, if any: `join` while it
    /// is not a member, as far as the folded state tells, and the log
    /// answered since the last one was proposed.
    [[nodiscard]] std::optional<control_record> next_join(time_point now);

    /// A later process joined for this VM. This one must stop.
    [[nodiscard]] bool is_replaced() const;

    /// A member to fence, if any: one that the VM list no longer contains, or
    /// one that answers neither this VM nor at least one other member. The
    /// lowest VM id among the members that answer does it first; others wait
    /// longer, so that one append is usual. None while the log is silent.
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
        std::optional<incarnation> m_incarnation; ///< of the last answer
        std::optional<time_point> m_last_reply;
        time_point m_incarnation_since{}; ///< first answer of `m_incarnation`
        time_point m_member_since{};      ///< as a member
        std::optional<time_point> m_failed_since;
        std::uint32_t m_failures = 0; ///< since the last answer
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
    std::vector<entry_vm> m_vms; ///< listed ones and members listed before
    std::set<vm_id> m_listed;
    bool m_has_vm_list = false;
    std::vector<member> m_members;
    bool m_has_members = false;
    bool m_was_member = false;
    std::map<vm_id, peer_state> m_peer_states;
    std::map<vm_id, unreachable_report> m_unreachable_reports;
    std::vector<vm_id>
        m_probe_round; ///< peers left in the present shuffled round
    std::optional<time_point> m_last_log_read;
    std::optional<time_point> m_last_join;
};

} // namespace briarhub

#endif
