#include "service_baseline.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarhub
{
namespace
{

constexpr std::chrono::seconds rate_memory{60};

/// Standard deviations between the measured ratio and the bound used.
constexpr double confidence = 2.0;

/// Most bad outcomes of the others that may be chance.
constexpr double largest_chance = 4.0;

/// From this ratio on the others share a trouble. The upper bound is then the
/// careful estimate: below the true ratio, each upstream's score would rise.
constexpr double common_ratio = 0.1;

/// At this ratio bad outcomes are so usual that they tell nothing.
constexpr double largest_ratio = 0.98;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double fading(duration age)
{
    return std::exp(-std::max(seconds(age), 0.0) / seconds(rate_memory));
}

} // namespace

void fading_counts::add(double position, double window, outcome_counts counts)
{
    m_counts = read(position, window);
    m_counts.m_total += counts.m_total;
    m_counts.m_bad += counts.m_bad;
    m_position = position;
}

outcome_counts fading_counts::read(double position, double window) const
{
    double const factor = std::exp((m_position - position) / window);
    return {m_counts.m_total * factor, m_counts.m_bad * factor};
}

void outcome_rate::add(time_point now, double outcomes)
{
    if (!m_started)
    {
        m_started = true;
        m_since = now;
        m_updated = now;
    }
    m_faded = m_faded * fading(now - m_updated) + outcomes;
    m_updated = std::max(now, m_updated);
}

double outcome_rate::per_hour(time_point now) const
{
    if (!m_started)
    {
        return 0.0;
    }
    // Before `rate_memory` has passed, the average covers less time.
    double const covered =
        1.0 - fading(now - m_since + std::chrono::seconds{1});
    double const average_s = seconds(rate_memory) * covered;
    return m_faded * fading(now - m_updated) / average_s * 3600.0;
}

double healthy_ratio(outcome_counts others, double least_ratio)
{
    if (others.m_total < 1.0)
    {
        return least_ratio;
    }
    double const bad = std::clamp(others.m_bad, 0.0, others.m_total);
    double const deviation = std::sqrt(bad * (1.0 - bad / others.m_total));
    double const margin = confidence * deviation;
    double const lower =
        (bad - std::min(margin, largest_chance)) / others.m_total;
    double const upper = (bad + margin) / others.m_total;
    return std::clamp(
        lower < common_ratio ? lower : upper, least_ratio, largest_ratio);
}

} // namespace briarhub
