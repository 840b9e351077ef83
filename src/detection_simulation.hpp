#ifndef BRIARHUB_DETECTION_SIMULATION_HPP
#define BRIARHUB_DETECTION_SIMULATION_HPP

/// One seeded run of the detectors of a fleet on generated traffic with a
/// fault. Upstreams answer after drawn latencies; queues, connections and
/// peer messages are not modelled.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace briarhub
{

enum class simulated_fault
{
    none,
    hang,       ///< one upstream never answers
    slow,       ///< one upstream is 5 times slower
    wrong,      ///< 5% of one upstream's answers are wrong
    error,      ///< 30% of one upstream's answers are errors
    flap,       ///< one upstream hangs for 10 s, is healthy for 10 s
    slow_all,   ///< all upstreams are 5 times slower
    vm_network, ///< one VM loses half of its attempts at all upstreams
    path        ///< one VM gets no answer from one upstream
};

enum class simulated_detector
{
    sequential_test,   ///< `outlier_detector` with exchange between the VMs
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
    std::chrono::seconds m_fault_time{300};   ///< at most
    std::uint64_t m_seed = 1;
};

struct detection_result
{
    /// From the start of the fault until 90% of the VMs use the sick upstream
    /// no more; the longest allowed time if that did not happen. For `flap`
    /// the median over the hanging phases.
    std::chrono::duration<double> m_detection{};
    /// Healthy upstreams ejected; several VMs within a minute count once.
    std::size_t m_false_ejections = 0;
    /// The same for upstreams that only some VMs avoided.
    std::size_t m_false_avoidances = 0;
    /// Requests that failed or took longer than 500 ms while the fault lasted.
    double m_bad_requests_share = 0.0;
};

detection_result simulate_detection(detection_scenario const& scenario);

} // namespace briarhub

#endif
