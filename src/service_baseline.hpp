#ifndef BRIARHUB_SERVICE_BASELINE_HPP
#define BRIARHUB_SERVICE_BASELINE_HPP

/// What is usual in a service at present: ratio of bad outcomes and number of
/// outcomes. An upstream is compared with the others of its service, so that
/// trouble common to all of them is evidence against none.

#include "types.hpp"

#include <cstdint>

namespace briarhub
{

/// Outcomes of one kind of test.
struct outcome_counts
{
    double m_total = 0.0;
    double m_bad = 0.0;
};

/// Counts that fade with the number of the service's outcomes and not with
/// time, so that the ratio follows a change equally fast at any load.
class decaying_counts
{
public:
    void add(double position, double window, outcome_counts counts);

    [[nodiscard]] outcome_counts read(double position, double window) const;

private:
    outcome_counts m_counts;
    double m_position = 0.0; ///< number of service outcomes at the update
};

/// Outcomes per hour, averaged over `rate_time_constant`.
class outcome_rate
{
public:
    void add(time_point now, double outcomes);

    [[nodiscard]] double per_hour(time_point now) const;

private:
    double m_decayed_outcomes = 0.0;
    time_point m_updated{};
    time_point m_since{};
    bool m_started = false;
};

/// Healthy ratio of bad outcomes, from the counts of a service's other
/// upstreams. A few bad outcomes of theirs count as chance, so that they do not
/// hide a sick upstream at low traffic; with many it is an upper bound.
double healthy_failure_ratio(outcome_counts others, double min_ratio);

} // namespace briarhub

#endif
