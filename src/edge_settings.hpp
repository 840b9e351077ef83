#ifndef BRIARHUB_EDGE_SETTINGS_HPP
#define BRIARHUB_EDGE_SETTINGS_HPP

/// Settings of an edge process. A platform's adapter reads them.

#include "retry_budget.hpp"
#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace briarhub
{

struct edge_settings
{
    vm_id m_vm;
    std::string m_ip;
    failure_domain m_failure_domain;
    endpoint_address m_listen;         ///< callers
    endpoint_address m_ready_listen;   ///< the balancer's status checks
    endpoint_address m_peer_listen;    ///< state for peers
    endpoint_address m_metrics_listen; ///< counters, empty for none
    std::uint16_t m_gossip_port = 0;   ///< datagrams between VMs
    /// Peer addresses that may answer before the store does.
    std::vector<endpoint_address> m_seeds;
    endpoint_address m_store;
    /// The whole fleet starts for the first time.
    bool m_is_bootstrap = false;
    retry_bounds m_retries;
    /// Within this time a change of the policy must be in force.
    std::chrono::milliseconds m_policy_update_limit{2000};
    /// Within this time a change of an upstream must be in force.
    std::chrono::milliseconds m_upstream_update_limit{2000};
    /// From the stop signal to the end of the process.
    std::chrono::milliseconds m_shutdown_grace_period{6000};
    std::size_t m_max_connections = 3000;
    std::string m_log_level = "info";

    friend bool
    operator==(edge_settings const&, edge_settings const&) = default;
};

} // namespace briarhub

#endif
