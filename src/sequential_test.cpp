#include "sequential_test.hpp"

namespace briarhub
{
namespace
{

/// An unhealthy ratio is at least this multiple of the healthy ratio.
constexpr double unhealthy_multiple = 3.0;

/// Where the multiple above would exceed 1, the ratio of good outcomes at an
/// unhealthy upstream is at most this share of the healthy one.
constexpr double min_good_share = 0.25;

/// Bounds of the threshold. The lower one requires at least two bad outcomes of
/// typical weight.
constexpr double min_threshold = 5.0;
constexpr double max_threshold = 30.0;

constexpr double min_samples_per_hour = 60.0;
constexpr double min_false_alarms_per_hour = 1e-6;

double unhealthy_ratio(double p0, double min_unhealthy_ratio)
{
    double const scaled =
        std::min(unhealthy_multiple * p0, 1.0 - (1.0 - p0) * min_good_share);
    return std::max(min_unhealthy_ratio, scaled);
}

} // namespace

log_likelihood_ratios
make_log_likelihood_ratios(double p0, double min_unhealthy_ratio)
{
    double const p1 = unhealthy_ratio(p0, min_unhealthy_ratio);
    return {std::log(p1 / p0), std::log((1.0 - p1) / (1.0 - p0))};
}

double alarm_threshold(double samples_per_hour, double false_alarms_per_hour)
{
    double const samples = std::max(samples_per_hour, min_samples_per_hour);
    double const allowed =
        std::max(false_alarms_per_hour, min_false_alarms_per_hour);
    return std::clamp(
        std::log(samples / allowed), min_threshold, max_threshold);
}

} // namespace briarhub
