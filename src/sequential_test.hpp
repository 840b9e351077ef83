#ifndef BRIARHUB_SEQUENTIAL_TEST_HPP
#define BRIARHUB_SEQUENTIAL_TEST_HPP

/// Sequential test for a change from a healthy to a sick ratio of bad
/// outcomes: a CUSUM of log-likelihood ratios.

#include <algorithm>
#include <cmath>

namespace briarhub
{

/// Log-likelihood ratio of sick against healthy for one outcome.
struct log_likelihood_ratios
{
    double m_bad = 0.0;
    double m_good = 0.0;
};

/// Weights for a healthy ratio `p0` and a sick ratio of bad outcomes. The sick
/// ratio is at least `min_unhealthy_ratio` and three times `p0`, but stays
/// below 1.
log_likelihood_ratios
make_log_likelihood_ratios(double p0, double min_unhealthy_ratio);

/// Score at which the test decides. A CUSUM raises a false alarm on average
/// after at least exp(threshold) samples, so the threshold follows from the
/// samples and the allowed false alarms per hour.
double alarm_threshold(double samples_per_hour, double false_alarms_per_hour);

class cusum
{
public:
    void add(double log_likelihood_ratio)
    {
        m_value = std::clamp(m_value + log_likelihood_ratio, 0.0, max_value);
    }

    void reset(double value = 0.0)
    {
        m_value = value;
    }

    [[nodiscard]] double value() const noexcept
    {
        return m_value;
    }

private:
    /// Bounds the good outcomes needed to outweigh a long bad time.
    static constexpr double max_value = 60.0;

    double m_value = 0.0;
};

} // namespace briarhub

#endif
