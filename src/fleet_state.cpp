#include "fleet_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

/// Logs the members that joined or left between two member lists.
void log_member_changes(
    std::vector<member> const& before, std::vector<member> const& after)
{
    for (member const& entry : after)
    {
        if (std::ranges::find(before, entry) == before.end())
        {
            spdlog::info(
                "member {} incarnation {:016x} joined",
                entry.m_vm,
                entry.m_incarnation);
        }
    }
    for (member const& entry : before)
    {
        if (std::ranges::find(after, entry) == after.end())
        {
            spdlog::info(
                "member {} incarnation {:016x} left",
                entry.m_vm,
                entry.m_incarnation);
        }
    }
}

} // namespace

fleet_state::fleet_state(
    boost::asio::io_context& io,
    member const& self,
    traffic_outbox& outbox,
    metrics_registry& metrics,
    std::uint64_t seed)
    : m_self(self), m_outbox(outbox), m_changes(io), m_freshness(self),
      m_membership(self, seed),
      m_version_gauge(metrics.get_gauge("briarhub_control_version")),
      m_stable_gauge(metrics.get_gauge("briarhub_stable_version"))
{
}

void fleet_state::set_start_offset(time_point now, log_offset first)
{
    m_log.set_start_offset(first);
    publish(now);
}

void fleet_state::fold(time_point now, std::span<log_record const> records)
{
    if (records.empty())
    {
        return;
    }
    bool const is_first_state = !m_outbox.has_sent_state();
    std::vector<member> const before = state().m_members;
    for (log_record const& record : records)
    {
        apply_effect(m_log.fold(record));
    }
    if (m_members_changed && !is_first_state)
    {
        log_member_changes(before, state().m_members);
    }
    publish(now);
}

void fleet_state::apply_effect(fold_effect const& effect)
{
    if (!m_log.has_state())
    {
        return;
    }
    if (effect.m_replaced_state || !m_outbox.has_sent_state())
    {
        m_members_changed = true;
        m_outbox.send_full_state(state());
    }
    else if (effect.m_accepted)
    {
        m_members_changed = m_members_changed || effect.m_members_changed;
        m_outbox.send_state_change(state(), effect);
    }
    update_freshness_members(effect);
    m_freshness.set_version(version());
}

void fleet_state::install_snapshot(
    time_point now, snapshot_record const& snapshot)
{
    bool const is_first_state = !m_outbox.has_sent_state();
    std::vector<member> const before = state().m_members;
    if (!m_log.install_snapshot(snapshot))
    {
        return;
    }
    spdlog::info(
        "replaced the state by a peer's snapshot at version {}", version());
    fold_effect effect;
    effect.m_replaced_state = true;
    apply_effect(effect);
    if (!is_first_state)
    {
        log_member_changes(before, state().m_members);
    }
    publish(now);
}

/// Passes each member list to `freshness_tracker`, in the order of versions.
void fleet_state::update_freshness_members(fold_effect const& effect)
{
    if (effect.m_replaced_state || !m_has_sent_member_history)
    {
        m_has_sent_member_history = true;
        m_freshness.set_member_history(get_member_history(state()));
        return;
    }
    if (!effect.m_members_changed)
    {
        return;
    }
    m_freshness.set_members(version(), state().m_members);
    member_change const& change = state().m_member_changes.back();
    if (change.m_left && change.m_left_ended)
    {
        m_freshness.mark_ended(*change.m_left);
    }
}

void fleet_state::log_read_succeeded(
    time_point now, time_point start, bool reached_end)
{
    m_membership.log_read_succeeded(now);
    if (reached_end && m_log.has_state())
    {
        m_last_complete_read_start = start;
        m_freshness.record_log_read(start);
    }
    publish(now);
    m_changes.notify();
}

void fleet_state::peer_probe_succeeded(
    time_point now,
    time_point start,
    member const& peer,
    control_version version)
{
    m_membership.probe_succeeded(now, peer);
    m_freshness.record_peer_reply(start, peer, version);
    publish(now);
}

void fleet_state::peer_probe_failed(time_point now, vm_id const& peer)
{
    m_membership.probe_failed(now, peer);
}

void fleet_state::raise_stable_version(time_point now, control_version version)
{
    if (version > stable_version())
    {
        m_freshness.raise_stable_version(version);
        publish(now);
    }
}

/// Ignores an empty list. It is a platform error, as at least this VM exists.
void fleet_state::set_vms(time_point now, vm_list list)
{
    if (list.m_entries.empty())
    {
        return;
    }
    m_membership.set_vms(now, list.m_entries);
    m_outbox.send_upstreams(std::move(list.m_upstreams));
}

/// Sends the current state to the traffic thread and wakes waiting coroutines.
void fleet_state::publish(time_point now)
{
    if (!m_log.has_state())
    {
        return;
    }
    if (!m_outbox.has_sent_state())
    {
        fold_effect effect;
        effect.m_replaced_state = true;
        apply_effect(effect);
    }
    m_freshness.raise_stable_version(m_log.known_stable_version());
    if (std::exchange(m_members_changed, false))
    {
        m_membership.set_members(now, state().m_members);
        update_fencing();
    }
    m_outbox.send_stable_version(stable_version());
    m_outbox.send_freshness(valid_until());
    m_version_gauge.set(static_cast<double>(version()));
    m_stable_gauge.set(static_cast<double>(stable_version()));
    m_changes.notify();
}

void fleet_state::update_fencing()
{
    if (is_member())
    {
        m_was_member = true;
        m_is_fenced = false;
        return;
    }
    if (m_was_member && !m_is_fenced)
    {
        m_is_fenced = true;
        spdlog::warn(
            "this incarnation {:016x} was removed from the members; "
            "requests are refused until it is a member again",
            m_self.m_incarnation);
    }
}

void fleet_state::tick(time_point now)
{
    bool const is_fresh = now < valid_until();
    if (is_fresh != m_was_fresh)
    {
        m_was_fresh = is_fresh;
        spdlog::info(
            "the configuration at version {} is {}",
            version(),
            is_fresh ? "confirmed" : "no longer confirmed");
    }
    if (m_log.has_state())
    {
        m_freshness.record_self_check(now);
        m_outbox.resend_dropped(state());
        publish(now);
    }
}

bool fleet_state::is_member() const
{
    auto const& members = state().m_members;
    return std::ranges::any_of(
        members,
        [&](member const& entry)
        {
            return entry.m_vm == m_self.m_vm &&
                   entry.m_incarnation == m_self.m_incarnation;
        });
}

time_point fleet_state::valid_until() const
{
    if (m_is_fenced || !m_log.has_state())
    {
        return {};
    }
    return m_freshness.valid_until();
}

std::optional<member>
fleet_state::resolve_member(vm_id const& vm, incarnation process) const
{
    auto const& members = state().m_members;
    auto const found = std::ranges::find(members, vm, &member::m_vm);
    if (found != members.end())
    {
        return member{vm, process, found->m_failure_domain};
    }
    if (auto const listed = m_membership.find(vm))
    {
        return member{vm, process, listed->m_failure_domain};
    }
    return std::nullopt;
}

} // namespace briarhub
