#ifndef BRIARHUB_MEMBERSHIP_HPP
#define BRIARHUB_MEMBERSHIP_HPP

/// Which peers to probe when, and which members to fence. Pure: no I/O, reads
/// no clock.

#include "control_log.hpp"
#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace briarhub
{

inline constexpr std::chrono::milliseconds probe_interval{500};

/// Peers probed in each interval while the log answers.
inline constexpr std::size_t probe_fanout = 3;

/// A member that answered nobody for this long may be fenced.
inline constexpr std::chrono::seconds fence_after{30};

/// Without an answer of the log for this long the fan-out rises.
inline constexpr std::chrono::seconds log_silence_limit{1};

class membership
{
public:
    membership(member self, std::uint64_t seed);

    void set_vms(time_point now, std::span<entry_vm const> vms);
    void set_members(time_point now, std::vector<member> members);
    void log_answered(time_point now);

    /// Peers to probe in this interval.
    std::vector<entry_vm> next_probes(time_point now);

    void probe_answered(time_point now, member const& peer);
    void probe_failed(time_point now, vm_id const& peer);

    /// The record this VM should append about itself, if any: `join` while it
    /// is not a member, as far as the folded state tells.
    [[nodiscard]] std::optional<control_record> own_record(time_point now);

    /// A member to fence, if any. The lowest VM id among the members that
    /// answer does it first; others wait longer, so that one append is usual.
    [[nodiscard]] std::optional<leave_record> next_fence(time_point now);

    [[nodiscard]] std::optional<entry_vm> find(vm_id const& vm) const;

    struct peer_status
    {
        member m_member;
        bool m_listed = false;
        bool m_answers = false;
    };
    [[nodiscard]] std::vector<peer_status> status(time_point now) const;

private:
    struct peer_contact
    {
        std::optional<incarnation> m_incarnation;
        std::optional<time_point> m_last_answer;
        time_point m_known_since{};
    };

    member m_self;
    std::mt19937_64 m_random;
    std::vector<entry_vm> m_vms;
    std::vector<member> m_members;
    std::map<vm_id, peer_contact> m_contacts;
    std::vector<vm_id> m_round; ///< peers left in the present shuffled round
    std::optional<time_point> m_last_log_answer;
    std::optional<time_point> m_last_own_record;
};

} // namespace briarhub

#endif
