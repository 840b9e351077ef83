#include "service_baseline.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarhub
{
namespace
{

constexpr std::chrono::seconds rate_time_constant{60};

/// Standard deviations between the measured ratio and the bound that is used.
constexpr double confidence_deviations = 2.0;

/// Most bad outcomes of the other upstreams that are treated as chance.
constexpr double max_chance_outcomes = 4.0;

/// From this ratio on, the other upstreams have a fault in common, and the
/// upper bound is the safe estimate: an estimate below the true ratio would
/// raise the score of every upstream.
constexpr double shared_failure_ratio = 0.1;

/// At this ratio bad outcomes are too common to be evidence.
constexpr double max_ratio = 0.98;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double decay_factor(duration age)
{
    return std::exp(-std::max(seconds(age), 0.0) / seconds(rate_time_constant));
}

} // namespace

void decaying_counts::add(double position, double window, outcome_counts counts)
{
    m_counts = read(position, window);
    m_counts.m_total += counts.m_total;
    m_counts.m_bad += counts.m_bad;
    m_position = position;
}

outcome_counts decaying_counts::read(double position, double window) const
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
    m_decayed_outcomes =
        m_decayed_outcomes * decay_factor(now - m_updated) + outcomes;
    m_updated = std::max(now, m_updated);
}

double outcome_rate::per_hour(time_point now) const
{
    if (!m_started)
    {
        return 0.0;
    }
    // Until `rate_time_constant` has elapsed, the average covers less time.
    double const covered =
        1.0 - decay_factor(now - m_since + std::chrono::seconds{1});
    double const average_s = seconds(rate_time_constant) * covered;
    return m_decayed_outcomes * decay_factor(now - m_updated) / average_s *
           3600.0;
}

double healthy_failure_ratio(outcome_counts others, double min_ratio)
{
    if (others.m_total < 1.0)
    {
        return min_ratio;
    }
    double const bad = std::clamp(others.m_bad, 0.0, others.m_total);
    double const deviation = std::sqrt(bad * (1.0 - bad / others.m_total));
    double const margin = confidence_deviations * deviation;
    double const lower =
        (bad - std::min(margin, max_chance_outcomes)) / others.m_total;
    double const upper = (bad + margin) / others.m_total;
    return std::clamp(
        lower < shared_failure_ratio ? lower : upper, min_ratio, max_ratio);
}

} // namespace briarhub
