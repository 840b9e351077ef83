#ifndef BRIARHUB_EDGE_SETTINGS_HPP
#define BRIARHUB_EDGE_SETTINGS_HPP

/// Settings of an edge process. The platform adapter reads them.

#include "retry_budget.hpp"
#include "types.hpp"
#include "warm_up_limiter.hpp"

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
    endpoint_address m_listen;       ///< caller connections
    endpoint_address m_ready_listen; ///< readiness checks of the load balancer
    endpoint_address m_peer_listen;  ///< state requests of peers
    endpoint_address m_metrics_listen; ///< metrics; empty disables them
    std::uint16_t m_gossip_port = 0;   ///< UDP port for gossip between VMs
    /// Peers that can provide the state before the store responds.
    std::vector<endpoint_address> m_seeds;
    endpoint_address m_store;
    /// Set when the whole fleet starts for the first time.
    bool m_is_bootstrap = false;
    retry_bounds m_retries;
    warm_up_bounds m_warm_up;
    /// Maximum time until a policy change is in force.
    std::chrono::milliseconds m_policy_update_limit{2000};
    /// Maximum time until an evacuation order is in force.
    std::chrono::milliseconds m_evacuation_limit{5000};
    /// Maximum time until a change of an upstream is in force.
    std::chrono::milliseconds m_upstream_update_limit{2000};
    /// Interval at which upstreams renew their announcements in the store.
    std::chrono::milliseconds m_announcement_interval{1500};
    /// Maximum time from the stop signal to the exit of the process.
    std::chrono::milliseconds m_shutdown_grace_period{6000};
    std::size_t m_max_connections = 3000;
    std::size_t m_memory_limit = 256UL * 1024 * 1024; ///< bytes, of the process
    std::string m_log_level = "info";

    friend bool
    operator==(edge_settings const&, edge_settings const&) = default;
};

} // namespace briarhub

#endif
