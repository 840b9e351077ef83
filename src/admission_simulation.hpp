#ifndef BRIARHUB_ADMISSION_SIMULATION_HPP
#define BRIARHUB_ADMISSION_SIMULATION_HPP

/// Replays load patterns at a fleet before one service, with and without
/// `admission`. Upstreams queue what they cannot run at once, the VMs learn of
/// each other's attempts by delayed updates, and callers that are refused
/// return after Retry-After while their deadline allows it. Sockets and
/// encodings are not modelled. Equal seeds give equal results, and both rules
/// the same load.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace briarhub
{

/// The requests of one route.
struct route_load
{
    std::string m_name;
    unsigned m_priority = 0;
    bool m_is_idempotent = false;
    std::chrono::milliseconds m_deadline{};
    std::chrono::milliseconds m_work{};
    double m_usual_rate = 0.0; ///< requests/s
    double m_peak_factor = 1.0;
};

/// A service and its load.
struct load_pattern
{
    std::size_t m_upstreams = 0;
    double m_failing_share = 0.0; ///< fail 75% of their requests for 9 s
    std::chrono::milliseconds m_peak_begin{};
    std::chrono::milliseconds m_peak_length{};
    std::vector<route_load> m_routes;
};

/// What became of the requests of one route.
struct route_result
{
    std::size_t m_requests = 0;
    std::size_t m_served = 0;  ///< in time
    std::size_t m_late = 0;    ///< the caller's deadline passed meanwhile
    std::size_t m_refused = 0; ///< and had no time to return
    std::size_t m_failed = 0;  ///< run and lost

    [[nodiscard]] std::size_t lost() const
    {
        return m_requests - m_served;
    }
};

/// How a VM decides on a request.
enum class admission_rule
{
    by_priority, ///< the cheapest upstream below a limit by priority
    by_cost      ///< `admission`
};

struct admission_replay_result
{
    /// By route, of the requests that arrive from the begin of the peak until
    /// 2 s after its end.
    std::vector<route_result> m_routes;
    /// Admitted requests whose expected wait and work exceeded the time left,
    /// and refusals for suspect upstreams after an attempt that ran.
    std::size_t m_violations = 0;
};

admission_replay_result replay_admission(
    load_pattern const& pattern, admission_rule rule, std::uint64_t seed);

/// A burst at 159 upstreams, of which a third fail. The 477 slots serve 1,990
/// requests/s of 240 ms, those of the others 1,320; 1,800 arrive.
load_pattern burst_beside_failures();

/// A peak of an urgent route with a short deadline that shares a service with
/// long requests of a lower priority.
load_pattern peak_of_two_routes();

} // namespace briarhub

#endif
