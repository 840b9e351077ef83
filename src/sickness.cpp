#include "sickness.hpp"

#include <algorithm>
#include <cmath>

namespace briarhub
{
namespace
{

/// A sound upstream fails about 1.5% of its requests, a sick one about 70%.
constexpr double failed_ratio = 45.0;
constexpr double served_ratio = 0.3;

/// Long work, load and lost packets cause these as well.
constexpr double stuck_ratio = 1.5;
constexpr double silent_ratio = 4.0;
constexpr double rejected_ratio = 1.6;

/// An upstream may drop connections that rested and be sound.
constexpr double forgotten_ratio = 5.0;

/// Bounds on what is believed, so that later signs still count.
constexpr double min_probability = 0.002;
constexpr double max_probability = 0.98;

double likelihood_ratio(sign what)
{
    switch (what)
    {
    case sign::served:
        return served_ratio;
    case sign::failed:
        return failed_ratio;
    case sign::stuck:
        return stuck_ratio;
    case sign::silent:
        return silent_ratio;
    case sign::rejected:
        return rejected_ratio;
    case sign::forgotten:
        return forgotten_ratio;
    }
    return 1.0;
}

double long_run_mean(sickness_rates const& rates)
{
    return rates.m_fall_per_s / (rates.m_fall_per_s + rates.m_recover_per_s);
}

} // namespace

// An upstream without any evidence is taken as half as likely sick as in the
// long run: most join in good order.
sickness::sickness(sickness_rates const& rates, time_point now)
    : sickness(rates, now, long_run_mean(rates) / 2)
{
}

sickness::sickness(
    sickness_rates const& rates, time_point as_of, double probability)
    : m_rates(rates),
      m_probability(std::clamp(probability, min_probability, max_probability)),
      m_updated(as_of)
{
}

double sickness::probability(time_point now) const
{
    double const mean = long_run_mean(m_rates);
    double const passed =
        std::chrono::duration<double>(std::max(now - m_updated, duration{}))
            .count();
    double const kept =
        std::exp(-(m_rates.m_fall_per_s + m_rates.m_recover_per_s) * passed);
    return mean + (m_probability - mean) * kept;
}

void sickness::observe(time_point now, sign what)
{
    double const before = probability(now);
    double const odds = before / (1.0 - before) * likelihood_ratio(what);
    m_probability =
        std::clamp(odds / (1.0 + odds), min_probability, max_probability);
    m_updated = std::max(now, m_updated);
}

} // namespace briarhub
