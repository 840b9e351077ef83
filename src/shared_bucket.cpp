#include "shared_bucket.hpp"

#include <algorithm>

namespace briarhub
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Peers that are heard from again have reported what they used by the end of
/// this time, two heartbeats.
constexpr std::chrono::seconds settlement_period{1};

double to_seconds(duration value)
{
    return seconds(value).count();
}

} // namespace

shared_bucket::shared_bucket(
    time_point now, shared_bucket_limits const& limits, double tokens)
    : m_limits(limits), m_tokens(tokens), m_updated(now)
{
}

void shared_bucket::set_limits(
    time_point now, shared_bucket_limits const& limits)
{
    refill(now);
    m_limits = limits;
    m_tokens = std::min(m_tokens, limits.m_capacity);
    withhold_excess();
}

void shared_bucket::set_share(time_point now, double share)
{
    if (share == m_share)
    {
        return;
    }
    refill(now);
    m_share = share;
    m_share_changed = now;
    withhold_excess();
}

bool shared_bucket::try_consume(time_point now)
{
    if (m_limits.m_rate <= 0.0)
    {
        return true;
    }
    refill(now);
    if (m_tokens < 1.0)
    {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void shared_bucket::consume_admitted(time_point now, double amount)
{
    refill(now);
    m_tokens = std::max(m_tokens - amount, -m_limits.m_max_debt);
}

void shared_bucket::settle(time_point now, double amount)
{
    refill(now);
    double const withheld = std::min(m_withheld, amount);
    m_withheld -= withheld;
    consume_admitted(now, amount - withheld);
}

double shared_bucket::level(time_point now)
{
    refill(now);
    return m_tokens;
}

void shared_bucket::set_level(time_point now, double tokens)
{
    m_tokens = std::clamp(tokens, -m_limits.m_max_debt, m_limits.m_capacity);
    m_updated = std::max(m_updated, now);
    withhold_excess();
}

duration shared_bucket::time_until(time_point now, double needed_tokens) const
{
    double const rate = m_limits.m_rate * m_share;
    if (rate <= 0.0)
    {
        return duration{};
    }
    double const tokens = m_tokens + to_seconds(now - m_updated) * rate;
    auto const remaining =
        seconds(std::max(0.0, needed_tokens - tokens) / rate);
    return std::chrono::duration_cast<duration>(remaining);
}

void shared_bucket::refill(time_point now)
{
    if (now <= m_updated)
    {
        return;
    }
    double const added = to_seconds(now - m_updated) * m_limits.m_rate;
    m_tokens = std::min(usable_capacity(), m_tokens + added * m_share);
    m_withheld += added * (1.0 - m_share);
    if (m_share >= 1.0 && now - m_share_changed >= settlement_period)
    {
        m_withheld = 0.0;
    }
    m_updated = now;
}

void shared_bucket::withhold_excess()
{
    double const excess = std::max(0.0, m_tokens - usable_capacity());
    m_tokens -= excess;
    m_withheld += excess;
}

double shared_bucket::usable_capacity() const
{
    return std::min(
        m_limits.m_capacity,
        std::max(m_limits.m_capacity * m_share, m_limits.m_max_needed));
}

} // namespace briarhub
