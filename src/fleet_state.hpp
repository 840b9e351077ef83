#ifndef BRIARHUB_FLEET_STATE_HPP
#define BRIARHUB_FLEET_STATE_HPP

/// This VM's replica of the control-plane state: the configuration and member
/// list folded from the control stream, how long they may be used (freshness),
/// and the membership of live peers. Sends each change to the traffic thread.
/// No I/O.

#include "control_log.hpp"
#include "freshness_tracker.hpp"
#include "membership.hpp"
#include "metrics.hpp"
#include "notifier.hpp"
#include "traffic_outbox.hpp"
#include "types.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace briarhub
{

class fleet_state
{
public:
    fleet_state(
        boost::asio::io_context& io,
        member const& self,
        traffic_outbox& outbox,
        metrics_registry& metrics,
        std::uint64_t seed);

    /// Sets the oldest offset that a read of the control stream can return.
    void set_start_offset(time_point now, log_offset first);

    /// Applies records of the control stream, read from the log or from a peer.
    void fold(time_point now, std::span<log_record const> records);

    /// Replaces the state by a peer's snapshot if that is newer.
    void install_snapshot(time_point now, snapshot_record const& snapshot);

    /// A read of the control stream that began at `start` succeeded;
    /// `reached_end` if no records are left to read.
    void log_read_succeeded(time_point now, time_point start, bool reached_end);

    /// A probe of `peer` that began at `start` succeeded.
    void peer_probe_succeeded(
        time_point now,
        time_point start,
        member const& peer,
        control_version version);
    void peer_probe_failed(time_point now, vm_id const& peer);

    /// A peer reports that a version is stable.
    void raise_stable_version(time_point now, control_version version);

    void set_vms(time_point now, vm_list list);

    /// Logs changes between fresh and stale, and resends state updates that
    /// were dropped.
    void tick(time_point now);

    [[nodiscard]] member const& self() const
    {
        return m_self;
    }
    [[nodiscard]] control_log const& log() const
    {
        return m_log;
    }
    [[nodiscard]] control_state const& state() const
    {
        return m_log.state();
    }
    [[nodiscard]] control_version version() const
    {
        return m_log.state().m_version;
    }
    [[nodiscard]] control_version stable_version() const
    {
        return m_freshness.stable_version();
    }
    [[nodiscard]] membership& members()
    {
        return m_membership;
    }

    /// Start time of the latest read that reached the end of the stream.
    [[nodiscard]] std::optional<time_point> last_complete_read_start() const
    {
        return m_last_complete_read_start;
    }

    /// This incarnation is in the member list.
    [[nodiscard]] bool is_member() const;

    /// Time until which requests may be admitted; the epoch if none may be.
    [[nodiscard]] time_point valid_until() const;

    /// Member record of a process, with the failure domain from the member list
    /// or else the VM list; nullopt if the VM is in neither.
    [[nodiscard]] std::optional<member>
    resolve_member(vm_id const& vm, incarnation process) const;

    /// Notified after each change of the state, the stable version or the
    /// freshness.
    [[nodiscard]] notifier& changes()
    {
        return m_changes;
    }

private:
    void apply_effect(fold_effect const& effect);
    void update_fencing();
    void publish(time_point now);
    void update_freshness_members(fold_effect const& effect);

    member m_self;
    traffic_outbox& m_outbox;
    notifier m_changes;
    control_log m_log;
    freshness_tracker m_freshness;
    membership m_membership;
    gauge& m_version_gauge;
    gauge& m_stable_gauge;
    std::optional<time_point> m_last_complete_read_start;
    bool m_was_member = false;
    bool m_is_fenced = false;
    bool m_was_fresh = false;
    bool m_members_changed = false;
    bool m_has_sent_member_history = false;
};

} // namespace briarhub

#endif
