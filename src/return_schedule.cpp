#include "return_schedule.hpp"

#include <algorithm>
#include <cstdint>

namespace briarhub
{
namespace
{

/// Range of the wait while nothing is known of when an upstream is available.
constexpr std::chrono::milliseconds min_unknown_wait{150};
constexpr std::chrono::milliseconds max_unknown_wait{450};

/// Limit of the wait for an upstream: limits may end, or other upstreams may
/// join, earlier.
constexpr std::chrono::milliseconds max_availability_wait{5000};

/// Latest return after an upstream is available. Callers rarely wait longer.
constexpr std::chrono::milliseconds max_return_delay{4000};

/// Callers of each priority return this much later than those of the next more
/// urgent one.
constexpr std::chrono::milliseconds priority_step{100};
constexpr unsigned max_priority_steps = 10;

/// Mean time between refusals before there are any, and after a pause.
constexpr std::chrono::milliseconds initial_gap{100};
constexpr std::chrono::milliseconds max_gap{1000};
constexpr double gap_smoothing = 0.1;

duration random_duration(duration limit, std::mt19937_64& random)
{
    return duration{
        std::uniform_int_distribution<std::int64_t>{0, limit.count()}(random)};
}

} // namespace

void return_schedule::record_refusal(time_point now)
{
    auto const gap = now - m_last_refusal;
    m_last_refusal = now;
    if (gap > max_gap)
    {
        m_mean_gap = initial_gap;
        return;
    }
    m_mean_gap += std::chrono::duration_cast<duration>(
        gap_smoothing * (gap - m_mean_gap));
}

duration return_schedule::next(
    time_point now,
    duration availability_wait,
    unsigned priority,
    std::mt19937_64& random)
{
    record_refusal(now);
    if (availability_wait == duration::zero())
    {
        return min_unknown_wait +
               random_duration(max_unknown_wait - min_unknown_wait, random);
    }
    auto const earliest =
        now + std::min<duration>(availability_wait, max_availability_wait);
    auto at = std::max(earliest, m_last_return + m_mean_gap);
    if (at > earliest + max_return_delay)
    {
        at = earliest + random_duration(max_return_delay, random);
    }
    else
    {
        m_last_return = at;
    }
    auto const steps = std::min(priority, max_priority_steps);
    // The random part separates the callers of different VMs.
    return at - now + steps * priority_step +
           random_duration(m_mean_gap, random);
}

} // namespace briarhub
