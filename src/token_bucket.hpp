#ifndef BRIARHUB_TOKEN_BUCKET_HPP
#define BRIARHUB_TOKEN_BUCKET_HPP

/// A token bucket for rate limits whose rate and capacity may change at any
/// time.

#include "clock.hpp"

namespace briarhub
{

class token_bucket
{
public:
    /// Refills up to `now` under the current limits, then changes them. A
    /// higher capacity adds no tokens; a lower one removes the excess.
    void set_limits(time_point now, double tokens_per_second, double capacity);

    /// Refills up to `now`. A time before the last refill has no effect.
    void advance(time_point now);

    /// Removes one token; false if fewer than one is available.
    bool take();

    /// Adds tokens up to the capacity.
    void add(double tokens);

    /// Removes tokens, which the caller has checked to be available.
    void remove(double tokens);

    /// Tokens at the time of the last refill.
    [[nodiscard]] double level() const;

    /// Time from the last refill until `tokens` are available; the maximum
    /// duration if the limits never allow that many.
    [[nodiscard]] duration time_until(double tokens) const;

private:
    time_point m_last_refill{};
    double m_rate = 0.0;     ///< tokens per second
    double m_capacity = 0.0; ///< tokens
    double m_level = 0.0;    ///< tokens
};

} // namespace briarhub

#endif
