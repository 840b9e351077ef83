#ifndef BRIARHUB_DISPATCH_SIMULATION_HPP
#define BRIARHUB_DISPATCH_SIMULATION_HPP

/// Discrete event simulation of the dispatchers of a fleet against upstreams
/// with slots, a short accept queue and load shedding. It has no health monitor
/// and is deterministic for a given seed.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace briarhub
{

enum class dispatch_policy
{
    fair,       ///< the `dispatcher` class
    round_robin ///< baseline: one FIFO queue per VM, round robin
};

struct dispatch_simulation_options
{
    dispatch_policy m_dispatch_policy = dispatch_policy::fair;
    std::size_t m_vms = 36;
    std::size_t m_upstreams = 25;
    std::uint32_t m_slots = 2;
    std::size_t m_accounts = 8;
    double m_account_rate = 30.0; ///< requests per second of each account
    double m_flood_factor = 5.0;  ///< factor for the rate of the first account
    std::size_t m_slow_every = 5; ///< one upstream in this many is slow
    std::chrono::seconds m_duration{60};
    std::uint64_t m_seed = 1;
};

struct dispatch_simulation_result
{
    /// Fraction of an account's requests served within 500 ms.
    double m_worst_account_success = 0.0; ///< lowest of the other accounts
    double m_flooding_account_success = 0.0;
};

dispatch_simulation_result
simulate_dispatch(dispatch_simulation_options const& options);

} // namespace briarhub

#endif
