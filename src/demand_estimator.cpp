#include "demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace briarhub
{
namespace
{

/// Constant part of the averaging window, seconds.
constexpr double min_window = 0.5;

/// Variable part of the averaging window, in requests at the account's rate.
constexpr double window_requests = 10.0;

/// Assumed age of a new estimate, partly in requests at the account's rate, so
/// that the first request does not give an infinite rate.
constexpr double initial_requests = 2.0;
constexpr double initial_age = 0.1; ///< seconds

/// Messages per second that wrong idle decisions may cause.
constexpr double false_idle_budget = 0.5;
constexpr double max_idle_gaps = 8.0; ///< mean gaps between requests

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

demand_estimator::demand_estimator(double account_rate)
    : m_account_rate{account_rate}
{
}

double demand_estimator::window() const
{
    return min_window + window_requests / std::max(m_account_rate, 1.0);
}

void demand_estimator::arrived(time_point now)
{
    if (!m_first)
    {
        m_first = now;
        m_last = now;
        m_count = 0.0;
    }
    double const gap = std::max(0.0, seconds_between(m_last, now));
    m_count = m_count * std::exp(-gap / window()) + 1.0;
    m_last = std::max(m_last, now);
}

/// The part of the window that the count covers.
double demand_estimator::covered_at(time_point now) const
{
    double const start =
        initial_age + initial_requests / std::max(m_account_rate, 1.0);
    double const age = start + seconds_between(*m_first, now);
    return window() * (1.0 - std::exp(-age / window()));
}

double demand_estimator::count_at(time_point now) const
{
    double const gap = std::max(0.0, seconds_between(m_last, now));
    return m_count * std::exp(-gap / window());
}

double demand_estimator::at(time_point now) const
{
    if (!m_first)
    {
        return 0.0;
    }
    return std::min(m_account_rate, count_at(now) / covered_at(now));
}

double demand_estimator::lower_bound_at(time_point now) const
{
    if (!m_first)
    {
        return 0.0;
    }
    double const count = count_at(now);
    double const lower = std::max(0.0, count - std::sqrt(count));
    return std::min(m_account_rate, lower / covered_at(now));
}

time_point demand_estimator::idle_at(double cost) const
{
    if (!m_first)
    {
        return time_point{};
    }
    // Assumes exponential gaps: each of the `rate` gaps a second exceeds g mean
    // gaps with probability exp(-g).
    double const rate = std::max(at(m_last), 0.1);
    double const gaps = std::clamp(
        std::log(rate * cost / false_idle_budget), 1.0, max_idle_gaps);
    return m_last + duration{std::int64_t(gaps / rate * 1e9)};
}

void demand_estimator::reset()
{
    m_first.reset();
    m_count = 0.0;
}

} // namespace briarhub
