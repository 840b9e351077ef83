#ifndef BRIARHUB_DETECTION_SIMULATION_HPP
#define BRIARHUB_DETECTION_SIMULATION_HPP

/// Seeded simulation of the outlier detectors of a fleet on generated traffic
/// with an injected fault. Upstreams respond after random latencies. Queues,
/// connections and peer messages are not modelled.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace briarhub
{

enum class simulated_fault
{
    none,
    hang,       ///< one upstream never responds
    slow,       ///< one upstream is 5 times slower
    wrong,      ///< 5% of one upstream's responses are wrong
    error,      ///< 30% of one upstream's responses are errors
    flap,       ///< one upstream hangs for 10 s, is healthy for 10 s
    slow_all,   ///< all upstreams are 5 times slower
    vm_network, ///< one VM loses half of its attempts at all upstreams
    path        ///< one VM gets no response from one upstream
};

enum class simulated_detector
{
    sequential_test,   ///< `outlier_detector`, with evidence from peers
    consecutive_errors ///< five consecutive errors on each VM, no exchange
};

struct detection_scenario
{
    simulated_detector m_detector = simulated_detector::sequential_test;
    simulated_fault m_fault = simulated_fault::none;
    std::size_t m_vms = 36;
    std::size_t m_upstreams = 25;
    std::uint32_t m_slots = 2;
    double m_requests_per_s = 300.0;
    double m_false_ejections_per_hour = 0.01;
    std::chrono::seconds m_healthy_time{120}; ///< before the fault
    std::chrono::seconds m_fault_time{300};   ///< upper limit
    std::uint64_t m_seed = 1;
};

struct detection_result
{
    /// From the start of the fault until 90% of the VMs have stopped using the
    /// faulty upstream; `m_fault_time` if they do not. For `flap`, the median
    /// over the hanging phases.
    std::chrono::duration<double> m_detection{};
    /// Ejections of healthy upstreams; those by several VMs within a minute
    /// count once.
    std::size_t m_false_ejections = 0;
    /// Avoidances of healthy upstreams by single VMs.
    std::size_t m_false_avoidances = 0;
    /// Share of the requests that failed or took longer than 500 ms during the
    /// fault.
    double m_bad_requests_share = 0.0;
};

detection_result simulate_detection(detection_scenario const& scenario);

} // namespace briarhub

#endif
