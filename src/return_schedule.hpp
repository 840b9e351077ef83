#ifndef BRIARHUB_RETURN_SCHEDULE_HPP
#define BRIARHUB_RETURN_SCHEDULE_HPP

/// When callers that were refused should send their requests again. The load
/// pattern: all upstreams of a service are closed or at their limits for a
/// while, and the callers that were refused meanwhile would all return when the
/// first upstream is available. Performs no I/O and takes the time as an
/// argument.

#include "clock.hpp"

#include <chrono>
#include <random>

namespace briarhub
{

/// The schedule of one service at one VM. Callers get consecutive times to
/// return, at the rate at which they came.
class return_schedule
{
public:
    /// Retry-After of a request that found no upstream. `availability_wait` is
    /// the time until an upstream accepts requests, zero if it is unknown.
    /// Callers of a lower priority (a higher number) return later.
    [[nodiscard]] duration next(
        time_point now,
        duration availability_wait,
        unsigned priority,
        std::mt19937_64& random);

private:
    void record_refusal(time_point now);

    time_point m_last_refusal{};
    time_point m_last_return{};
    duration m_mean_gap{}; ///< between refusals
};

} // namespace briarhub

#endif
