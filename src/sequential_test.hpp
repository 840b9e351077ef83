#ifndef BRIARHUB_SEQUENTIAL_TEST_HPP
#define BRIARHUB_SEQUENTIAL_TEST_HPP

/// Sequential test that detects the change from a healthy to an unhealthy ratio
/// of bad outcomes: a CUSUM (cumulative sum) of log-likelihood ratios.

#include <algorithm>
#include <cmath>

namespace briarhub
{

/// Log-likelihood ratio of unhealthy against healthy for one bad and for one
/// good outcome.
struct log_likelihood_ratios
{
    double m_bad = 0.0;
    double m_good = 0.0;
};

/// Log-likelihood ratios for a healthy ratio `p0` and an unhealthy ratio of bad
/// outcomes. The unhealthy ratio is at least `min_unhealthy_ratio` and three
/// times `p0`, but stays below 1.
log_likelihood_ratios
make_log_likelihood_ratios(double p0, double min_unhealthy_ratio);

/// Score at which the test raises an alarm. A CUSUM raises a false alarm on
/// average after at least exp(threshold) samples, so the threshold follows from
/// the samples and the allowed false alarms per hour.
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
    /// Limits how many good outcomes it takes to recover from a long fault.
    static constexpr double max_value = 60.0;

    double m_value = 0.0;
};

} // namespace briarhub

#endif
