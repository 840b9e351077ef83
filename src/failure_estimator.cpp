#include "failure_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace briarhub
{
namespace
{

/// Likelihood ratios of failing to healthy. A healthy upstream fails about 1.5%
/// of its requests, a failing one about 70%.
constexpr double failed_ratio = 45.0;
constexpr double served_ratio = 0.3;

/// Long requests, load and packet loss cause these as well.
constexpr double overdue_ratio = 1.5;
constexpr double no_response_ratio = 4.0;
constexpr double rejected_ratio = 1.6;

/// A healthy upstream may also close idle connections.
constexpr double reset_on_reuse_ratio = 5.0;

/// Bounds on the probability, so that later observations still change it.
constexpr double min_probability = 0.002;
constexpr double max_probability = 0.98;

double likelihood_ratio(observation observed)
{
    switch (observed)
    {
    case observation::served:
        return served_ratio;
    case observation::failed:
        return failed_ratio;
    case observation::overdue:
        return overdue_ratio;
    case observation::no_response:
        return no_response_ratio;
    case observation::rejected:
        return rejected_ratio;
    case observation::reset_on_reuse:
        return reset_on_reuse_ratio;
    }
    return 1.0;
}

double stationary_probability(transition_rates const& rates)
{
    return rates.m_failure_per_s /
           (rates.m_failure_per_s + rates.m_recovery_per_s);
}

} // namespace

// An upstream without observations starts at half the stationary probability,
// because most upstreams are healthy when they join.
failure_estimator::failure_estimator(
    transition_rates const& rates, time_point now)
    : failure_estimator(rates, now, stationary_probability(rates) / 2)
{
}

failure_estimator::failure_estimator(
    transition_rates const& rates, time_point as_of, double probability)
    : m_rates(rates),
      m_probability(std::clamp(probability, min_probability, max_probability)),
      m_updated(as_of)
{
}

double failure_estimator::probability(time_point now) const
{
    double const mean = stationary_probability(m_rates);
    double const elapsed =
        std::chrono::duration<double>(std::max(now - m_updated, duration{}))
            .count();
    double const decay = std::exp(
        -(m_rates.m_failure_per_s + m_rates.m_recovery_per_s) * elapsed);
    return mean + (m_probability - mean) * decay;
}

void failure_estimator::observe(time_point now, observation observed)
{
    double const prior = probability(now);
    double const odds = prior / (1.0 - prior) * likelihood_ratio(observed);
    m_probability =
        std::clamp(odds / (1.0 + odds), min_probability, max_probability);
    m_updated = std::max(now, m_updated);
}

} // namespace briarhub
