#ifndef BRIARHUB_RETRY_SIMULATION_HPP
#define BRIARHUB_RETRY_SIMULATION_HPP

/// Simulates the retry decisions of a fleet while an upstream service
/// rejects requests, processes are killed in series, VMs are cut off from each
/// other and messages are late or lost. Upstreams answer at once; sockets and
/// encodings are not modelled. Equal seeds give equal results.

#include "clock.hpp"
#include "retry_budget.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace briarhub
{

struct retry_setup
{
    std::size_t m_vms = 36;
    std::size_t m_failure_domains = 4;
    double m_requests_per_s = 13.0; ///< for the service, over the fleet
    retry_bounds m_bounds{0.2, 58.0, std::chrono::seconds{10}};
    bool m_has_kills = true;
    bool m_kills_whole_fleet = false; ///< each kill hits every VM
    bool m_has_partitions = true;
    bool m_has_message_faults = true;
    /// Periods in which many attempts are rejected. A few attempts fail at all
    /// times.
    bool m_has_rejections = true;
    std::chrono::seconds m_duration{50};
    std::uint64_t m_seed = 1;
};

struct retry_figures
{
    std::size_t m_requests = 0;
    std::size_t m_retries_requested = 0;
    std::size_t m_retries_made = 0;
    /// Retries allowed less retries made, in the worst window.
    double m_worst_margin = 0.0;
};

retry_figures run_retry_simulation(retry_setup const& setup);

} // namespace briarhub

#endif
