#ifndef BRIARHUB_SHARED_BUCKET_HPP
#define BRIARHUB_SHARED_BUCKET_HPP

/// A token bucket that all VMs drain together: each keeps a copy, which its own
/// requests and those that its peers report drain. Reports come late, so the
/// level may become negative; the debt delays later requests. While peers are
/// silent, a copy holds and gains only the VM's share; the rest is withheld for
/// the requests that they may report later.

#include "clock.hpp"

namespace briarhub
{

struct shared_bucket_limits
{
    double m_rate = 0.0;       ///< tokens/s; 0 means no limit
    double m_capacity = 0.0;   ///< tokens
    double m_max_debt = 0.0;   ///< tokens by which the level may be negative
    double m_max_needed = 1.0; ///< tokens that one request may need
};

class shared_bucket
{
public:
    shared_bucket(
        time_point now, shared_bucket_limits const& limits, double tokens);

    void set_limits(time_point now, shared_bucket_limits const& limits);

    /// Sets the share of the rate and of the tokens that the reachable part of
    /// the fleet may use. Tokens above it are withheld.
    void set_share(time_point now, double share);
    bool try_consume(time_point now);

    /// Removes tokens for requests that were already admitted, for example by
    /// peers. The level may become negative.
    void consume_admitted(time_point now, double amount);

    /// The same for what peers used while they were silent: withheld tokens are
    /// removed first.
    void settle(time_point now, double amount);

    [[nodiscard]] double level(time_point now);

    /// Replaces the level by the one that a peer sent.
    void set_level(time_point now, double tokens);

    /// Time until a number of tokens is available.
    [[nodiscard]] duration
    time_until(time_point now, double needed_tokens = 1.0) const;

private:
    void refill(time_point now);
    void withhold_excess();
    /// Tokens that this VM may hold.
    [[nodiscard]] double usable_capacity() const;

    shared_bucket_limits m_limits;
    double m_share = 1.0;
    double m_tokens;
    double m_withheld = 0.0; ///< tokens that silent peers may have used
    time_point m_updated;
    time_point m_share_changed{};
};

} // namespace briarhub

#endif
