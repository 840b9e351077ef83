#ifndef BRIARHUB_FAILURE_ESTIMATOR_HPP
#define BRIARHUB_FAILURE_ESTIMATOR_HPP

/// Probability that an upstream, or the path to it, is sick. Pure: no I/O,
/// reads no clock.

#include "clock.hpp"

#include <chrono>

namespace briarhub
{

/// How often an upstream changes between sound and sick.
struct transition_rates
{
    double m_failure_per_s = 0.0;  ///< sound to sick
    double m_recovery_per_s = 0.0; ///< sick to sound
};

/// Gray failures of an upstream last about ten seconds.
inline constexpr transition_rates upstream_transition_rates{0.035, 0.11};

/// A path between two machines is cut rarely and for seconds.
inline constexpr transition_rates path_transition_rates{0.003, 0.25};

/// What one attempt showed.
enum class observation
{
    served,        ///< whole answer
    failed,        ///< answered with a failure, reset, refused or damaged
    overdue,       ///< still in flight long after its class usually ends
    no_response,   ///< no answer and no reset
    rejected,      ///< refused before running
    reset_on_reuse ///< reset a kept connection as soon as a request came on it
};

/// A two-state hidden Markov model: each sign shifts the odds, and without
/// signs the probability returns to its long-run mean.
class failure_estimator
{
public:
    /// Not observed yet.
    failure_estimator(transition_rates const& rates, time_point now);

    /// As another VM believed it at `as_of`.
    failure_estimator(
        transition_rates const& rates, time_point as_of, double probability);

    /// 0 is certainly sound, 1 certainly sick.
    [[nodiscard]] double probability(time_point now) const;

    void observe(time_point now, observation observed);

private:
    transition_rates m_rates;
    double m_probability;
    time_point m_updated;
};

} // namespace briarhub

#endif
