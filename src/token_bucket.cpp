#include "token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace briarhub
{

void token_bucket::set_limits(
    time_point now, double tokens_per_second, double capacity)
{
    advance(now);
    m_rate = tokens_per_second;
    m_capacity = capacity;
    m_level = std::min(m_level, m_capacity);
}

void token_bucket::advance(time_point now)
{
    if (now <= m_last_refill)
    {
        return;
    }
    std::chrono::duration<double> const elapsed = now - m_last_refill;
    m_level = std::min(m_capacity, m_level + m_rate * elapsed.count());
    m_last_refill = now;
}

bool token_bucket::take()
{
    if (m_level < 1.0)
    {
        return false;
    }
    m_level -= 1.0;
    return true;
}

void token_bucket::add(double tokens)
{
    m_level = std::min(m_capacity, m_level + tokens);
}

void token_bucket::remove(double tokens)
{
    m_level = std::max(0.0, m_level - tokens);
}

double token_bucket::level() const
{
    return m_level;
}

duration token_bucket::time_until(double tokens) const
{
    if (m_level >= tokens)
    {
        return duration::zero();
    }
    if (m_rate <= 0.0 || m_capacity < tokens)
    {
        return duration::max();
    }
    double const seconds = (tokens - m_level) / m_rate;
    double const nanoseconds = std::ceil(seconds * 1e9);
    return nanoseconds < 1e18 ? duration{std::int64_t(nanoseconds)}
                              : duration::max();
}

} // namespace briarhub
