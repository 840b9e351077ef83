#ifndef BRIARHUB_THREAD_MESSAGES_HPP
#define BRIARHUB_THREAD_MESSAGES_HPP

/// Messages between the control thread and the traffic thread.

#include "claim_writer.hpp"
#include "config.hpp"
#include "lease_rate_limiter.hpp"
#include "types.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace briarhub
{

// To the traffic thread.

/// Either the full configuration or operations on the previous one.
struct config_update
{
    config_version m_version = 0;
    std::unique_ptr<config> m_full_config;
    std::vector<config_operation> m_operations;
    /// Control stream version that contains this change. Increases of an
    /// account's base fraction are applied only once it is stable.
    control_version m_control_version = 0;
};

struct upstreams_update
{
    std::vector<upstream> m_upstreams;
};

struct members_update
{
    control_version m_version = 0;
    std::vector<member> m_members;
    bool m_is_first = false; ///< no earlier version had members
    bool m_has_gap = false;  ///< versions since the last update were skipped
};

struct stable_version_update
{
    control_version m_version = 0;
};

/// Requests may be admitted and sent to upstreams until this time.
struct freshness_update
{
    time_point m_valid_until{};
};

/// All claims made since `m_covered_since` are known. `m_available` tells
/// whether new claims can be made.
struct claim_coverage
{
    wall_time m_covered_since{};
    bool m_available = false;
};

struct peer_evidence
{
    member m_reporter;
    std::vector<evidence> m_items;
};

struct peer_suspects
{
    std::vector<suspect_request> m_items;
};

/// Stops admission; the thread ends once no request is in flight.
struct stop_traffic
{
};

using traffic_message = std::variant<
    config_update,
    upstreams_update,
    members_update,
    stable_version_update,
    freshness_update,
    claim_coverage,
    claim_decision,
    addressed_lease_message,
    peer_evidence,
    peer_suspects,
    stop_traffic>;

// To the control thread.

struct claim_request
{
    request_ticket m_ticket = 0;
    claim_name m_name;
    std::string m_request_digest;
    time_point m_deadline{};
};

struct claim_cancel
{
    request_ticket m_ticket = 0;
};

struct evidence_report
{
    std::vector<evidence> m_items;
};

struct suspect_report
{
    std::vector<suspect_request> m_items;
};

/// The traffic thread has ended, with no request in flight.
struct traffic_stopped
{
};

using control_message = std::variant<
    claim_request,
    claim_cancel,
    claim_outcome,
    claim_release,
    addressed_lease_message,
    evidence_report,
    suspect_report,
    traffic_stopped>;

} // namespace briarhub

#endif
