#ifndef BRIARHUB_SERVICE_BASELINE_HPP
#define BRIARHUB_SERVICE_BASELINE_HPP

/// Current baseline of a service: its ratio of bad outcomes and its rate of
/// outcomes. Outlier detection compares an upstream with the others of its
/// service, so that a fault common to all of them counts against none.

#include "types.hpp"

#include <cstdint>

namespace briarhub
{

/// Outcomes as one of the sequential tests counts them.
struct outcome_counts
{
    double m_total = 0.0;
    double m_bad = 0.0;
};

/// Exponentially decaying counts. They decay with the number of the service's
/// outcomes and not with time, so that the ratio follows a change after the
/// same number of outcomes at any load.
class decaying_counts
{
public:
    void add(double position, double window, outcome_counts counts);

    [[nodiscard]] outcome_counts read(double position, double window) const;

private:
    outcome_counts m_counts;
    double m_position = 0.0; ///< service outcomes at the last update
};

/// Exponentially weighted average of outcomes per hour, with
/// `rate_time_constant`.
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

/// Estimates a healthy upstream's ratio of bad outcomes from the counts of the
/// service's other upstreams. A few bad outcomes of theirs are treated as
/// chance, so that they do not hide an unhealthy upstream at low traffic. With
/// many, the estimate is an upper bound.
double healthy_failure_ratio(outcome_counts others, double min_ratio);

} // namespace briarhub

#endif
