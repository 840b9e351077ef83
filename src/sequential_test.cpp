#include "sequential_test.hpp"

namespace briarhub
{
namespace
{

/// A sick ratio is at least this multiple of the healthy ratio.
constexpr double sick_multiple = 3.0;

/// A sick upstream leaves at most this share of the healthy good ratio, where
/// the multiple above would exceed 1.
constexpr double least_good_share = 0.25;

/// Bounds of the threshold: at least two outcomes of the usual weight.
constexpr double least_threshold = 5.0;
constexpr double largest_threshold = 30.0;

constexpr double least_samples_per_hour = 60.0;
constexpr double least_false_alarms_per_hour = 1e-6;

double sick_ratio(double p0, double least_sick)
{
    double const scaled =
        std::min(sick_multiple * p0, 1.0 - (1.0 - p0) * least_good_share);
    return std::max(least_sick, scaled);
}

} // namespace

test_weights make_weights(double p0, double least_sick)
{
    double const p1 = sick_ratio(p0, least_sick);
    return {std::log(p1 / p0), std::log((1.0 - p1) / (1.0 - p0))};
}

double alarm_threshold(double samples_per_hour, double false_alarms_per_hour)
{
    double const samples = std::max(samples_per_hour, least_samples_per_hour);
    double const allowed =
        std::max(false_alarms_per_hour, least_false_alarms_per_hour);
    return std::clamp(
        std::log(samples / allowed), least_threshold, largest_threshold);
}

} // namespace briarhub
