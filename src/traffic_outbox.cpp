#include "traffic_outbox.hpp"

#include <utility>

namespace briarhub
{

traffic_outbox::traffic_outbox(
    mailbox<traffic_message>& to_traffic, metrics_registry& metrics)
    : m_to_traffic(to_traffic),
      m_dropped(metrics.get_counter(
          "briarhub_dropped_messages_total", {{"to", "traffic"}}))
{
}

bool traffic_outbox::send(traffic_message&& message)
{
    bool const sent = m_to_traffic.push(std::move(message));
    if (!sent)
    {
        m_dropped.add();
    }
    return sent;
}

void traffic_outbox::send_full_state(control_state const& state)
{
    m_has_sent_state = true;
    m_resend_state = !send_full_config(state) || !send_full_members(state);
}

bool traffic_outbox::send_full_config(control_state const& state)
{
    return send(config_update{
        state.m_config_version,
        std::make_unique<config>(state.m_config),
        {},
        state.m_version});
}

/// After a gap in the versions, an empty member list is sent first. Rate shares
/// of a member that joined and left inside the gap may still be in use on other
/// VMs, so this VM's shares have to end and restart after the rebalance delay.
bool traffic_outbox::send_full_members(control_state const& state)
{
    bool const after_gap = m_has_sent_members && state.m_version > 0;
    if (after_gap && !send(members_update{state.m_version - 1, {}}))
    {
        return false;
    }
    m_has_sent_members = true;
    return send(members_update{state.m_version, state.m_members});
}

void traffic_outbox::send_state_change(
    control_state const& state, fold_effect const& effect)
{
    if (m_resend_state)
    {
        // The operations apply to the previous state, which was dropped.
        return;
    }
    bool sent = true;
    if (!effect.m_operations.empty())
    {
        sent = send(config_update{
            state.m_config_version,
            nullptr,
            effect.m_operations,
            state.m_version});
    }
    if (sent && effect.m_members_changed)
    {
        sent = send(members_update{state.m_version, state.m_members});
    }
    m_resend_state = !sent;
}

void traffic_outbox::send_stable_version(control_version version)
{
    if (m_stable_version != version)
    {
        m_stable_version = version;
        m_resend_stable_version = !send(stable_version_update{version});
    }
}

void traffic_outbox::send_freshness(time_point valid_until)
{
    if (m_valid_until != valid_until)
    {
        m_valid_until = valid_until;
        m_resend_freshness = !send(freshness_update{valid_until});
    }
}

void traffic_outbox::send_upstreams(std::vector<upstream> upstreams)
{
    if (m_upstreams != upstreams)
    {
        m_upstreams = std::move(upstreams);
        m_resend_upstreams = !send(upstreams_update{m_upstreams});
    }
}

void traffic_outbox::resend_dropped(control_state const& state)
{
    if (m_resend_state)
    {
        send_full_state(state);
    }
    if (m_resend_stable_version)
    {
        m_resend_stable_version =
            !send(stable_version_update{*m_stable_version});
    }
    if (m_resend_freshness)
    {
        m_resend_freshness = !send(freshness_update{m_valid_until});
    }
    if (m_resend_upstreams)
    {
        m_resend_upstreams = !send(upstreams_update{m_upstreams});
    }
}

} // namespace briarhub
