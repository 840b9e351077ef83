#ifndef BRIARHUB_FAILURE_ESTIMATOR_HPP
#define BRIARHUB_FAILURE_ESTIMATOR_HPP

/// Estimates the probability that an upstream, or the network path to it, is
/// failing, from the observed outcomes of attempts. Performs no I/O and takes
/// the time as an argument.

#include "clock.hpp"

#include <chrono>

namespace briarhub
{

/// Rates at which an upstream changes between healthy and failing.
struct transition_rates
{
    double m_failure_per_s = 0.0;  ///< healthy to failing
    double m_recovery_per_s = 0.0; ///< failing to healthy
};

/// Gray failures of an upstream last about ten seconds.
inline constexpr transition_rates upstream_transition_rates{0.035, 0.11};

/// The path between two machines is cut rarely, and only for seconds.
inline constexpr transition_rates path_transition_rates{0.003, 0.25};

/// What a VM observes of one attempt.
enum class observation
{
    served,        ///< complete response
    failed,        ///< error response, reset, refused or corrupt
    overdue,       ///< still in flight long after its class usually ends
    no_response,   ///< neither a response nor a reset
    rejected,      ///< refused before execution
    reset_on_reuse ///< reset a reused connection on the next request
};

/// A two-state hidden Markov model. Each observation multiplies the odds of
/// failing by its likelihood ratio. Without observations the probability
/// returns to its stationary value.
class failure_estimator
{
public:
    /// An upstream or path without observations.
    failure_estimator(transition_rates const& rates, time_point now);

    /// Starts from the estimate that another VM had at `as_of`.
    failure_estimator(
        transition_rates const& rates, time_point as_of, double probability);

    /// From 0, certainly healthy, to 1, certainly failing.
    [[nodiscard]] double probability(time_point now) const;

    void observe(time_point now, observation observed);

private:
    transition_rates m_rates;
    double m_probability;
    time_point m_updated;
};

} // namespace briarhub

#endif
