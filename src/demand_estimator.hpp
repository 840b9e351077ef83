#ifndef BRIARHUB_DEMAND_ESTIMATOR_HPP
#define BRIARHUB_DEMAND_ESTIMATOR_HPP

/// Estimates the recent request rate of one account at this VM by an
/// exponentially weighted moving average.

#include "clock.hpp"

#include <optional>

namespace briarhub
{

class demand_estimator
{
public:
    /// `account_rate`, in requests per second, sets the length of the averaging
    /// window and is the upper bound of the estimate.
    explicit demand_estimator(double account_rate);

    void arrived(time_point now);

    /// Requests per second.
    [[nodiscard]] double at(time_point now) const;

    /// Requests per second, one standard deviation below `at`. Zero after a
    /// single request, so that a rare caller keeps no share of the rate.
    [[nodiscard]] double lower_bound_at(time_point now) const;

    /// The time at which the account counts as idle if no request arrives
    /// before. `cost` is the number of messages that a wrong decision causes.
    [[nodiscard]] time_point idle_at(double cost) const;

    /// Clears the history; the next request starts a new estimate.
    void reset();

private:
    [[nodiscard]] double window() const; ///< seconds
    [[nodiscard]] double count_at(time_point now) const;
    [[nodiscard]] double covered_at(time_point now) const; ///< seconds

    double m_account_rate = 0.0;
    std::optional<time_point> m_first;
    time_point m_last{};
    double m_count = 0.0; ///< requests, decayed since `m_last`
};

} // namespace briarhub

#endif
