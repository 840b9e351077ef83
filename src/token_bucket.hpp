#ifndef BRIARHUB_TOKEN_BUCKET_HPP
#define BRIARHUB_TOKEN_BUCKET_HPP

/// A token bucket whose rate and capacity may change at any time.

#include "clock.hpp"

namespace briarhub
{

class token_bucket
{
public:
    /// Refills up to `now` under the present limits, then changes them. A
    /// higher capacity brings no tokens; a lower one removes what exceeds it.
    void set_limits(time_point now, double tokens_per_second, double capacity);

    /// Refills up to `now`. Earlier times than the last one change nothing.
    void advance(time_point now);

    /// Takes one token if there is one.
    bool take();

    /// Adds tokens up to the capacity.
    void add(double tokens);

    /// Removes tokens; the caller makes sure that they are there.
    void remove(double tokens);

    /// Tokens at the time of the last call that had a time.
    [[nodiscard]] double level() const;

    /// Time from the last refill until `tokens` are there; the longest
    /// duration if the limits never allow that.
    [[nodiscard]] duration time_until(double tokens) const;

private:
    time_point m_last_refill{};
    double m_rate = 0.0;     ///< tokens per second
    double m_capacity = 0.0; ///< tokens
    double m_level = 0.0;    ///< tokens
};

} // namespace briarhub

#endif
