#ifndef BRIARHUB_TRAFFIC_OUTBOX_HPP
#define BRIARHUB_TRAFFIC_OUTBOX_HPP

/// Sends state updates and messages from the control thread to the traffic
/// thread. If the mailbox is full the message is dropped. `resend_dropped` then
/// sends the full state again; other dropped messages are lost.

#include "control_log.hpp"
#include "mailbox.hpp"
#include "metrics.hpp"
#include "thread_messages.hpp"

#include <optional>
#include <vector>

namespace briarhub
{

class traffic_outbox
{
public:
    traffic_outbox(
        mailbox<traffic_message>& to_traffic, metrics_registry& metrics);

    /// Returns false if the message was dropped.
    bool send(traffic_message&& message);

    /// Sends the full state: the first one, or one that was installed from a
    /// snapshot instead of being folded record by record.
    void send_full_state(control_state const& state);

    /// Sends the change made by one accepted record.
    void
    send_state_change(control_state const& state, fold_effect const& effect);

    void send_stable_version(control_version version);
    void send_freshness(time_point valid_until);
    void send_upstreams(std::vector<upstream> upstreams);

    /// Retries dropped state updates. Called periodically.
    void resend_dropped(control_state const& state);

    [[nodiscard]] bool has_sent_state() const
    {
        return m_has_sent_state;
    }

private:
    bool send_full_config(control_state const& state);
    bool send_full_members(control_state const& state);

    mailbox<traffic_message>& m_to_traffic;
    counter& m_dropped;
    bool m_has_sent_state = false;
    bool m_has_sent_members = false;
    bool m_resend_state = false;
    std::optional<control_version> m_stable_version;
    bool m_resend_stable_version = false;
    time_point m_valid_until{};
    bool m_resend_freshness = false;
    std::vector<upstream> m_upstreams;
    bool m_resend_upstreams = false;
};

} // namespace briarhub

#endif
