#include "retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace briarhub
{

void retry_budget::set_members(std::size_t members)
{
    m_members = std::max<std::size_t>(members, 1);
}

void retry_budget::request_started(time_point now, service_name const& service)
{
    bucket& tokens = refill(now, service);
    tokens.m_tokens =
        std::min(tokens.m_tokens + retries_per_request, retry_burst);
}

bool retry_budget::try_retry(time_point now, service_name const& service)
{
    bucket& tokens = refill(now, service);
    if (tokens.m_tokens < 1.0)
    {
        return false;
    }
    tokens.m_tokens -= 1.0;
    return true;
}

// A new bucket starts full, so that the first failure after a start can be
// retried.
retry_budget::bucket&
retry_budget::refill(time_point now, service_name const& service)
{
    bucket& tokens = m_buckets[service];
    if (!tokens.m_started)
    {
        tokens.m_started = true;
        tokens.m_tokens = retry_burst;
        tokens.m_updated = now;
    }
    double const seconds =
        std::chrono::duration<double>(now - tokens.m_updated).count();
    double const rate = retries_per_second / static_cast<double>(m_members);
    tokens.m_tokens =
        std::min(tokens.m_tokens + std::max(seconds, 0.0) * rate, retry_burst);
    tokens.m_updated = std::max(now, tokens.m_updated);
    return tokens;
}

} // namespace briarhub
