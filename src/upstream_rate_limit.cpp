#include "upstream_rate_limit.hpp"

#include "parse_number.hpp"

#include <algorithm>
#include <cmath>

namespace briarhub
{
namespace
{

/// An upstream that accepts fewer requests still gets some, since only a
/// response shows that its limit has ended.
constexpr double min_requests_per_second = 0.25;

/// Unused requests are kept for this time, beyond the most that a VM needs for
/// one request.
constexpr std::chrono::duration<double> burst_period{0.5};
constexpr double max_needed_tokens = 2.0;

/// Requests that VMs sent at the same time, before they knew of each other's,
/// are made up for by later pauses of up to this length, and of some requests
/// more at low rates.
constexpr std::chrono::duration<double> debt_period{4.0};
constexpr double min_debt_requests = 5.0;

shared_bucket_limits limits_for(double requests_per_second)
{
    double const rate = std::max(requests_per_second, min_requests_per_second);
    return {
        rate,
        max_needed_tokens + rate * burst_period.count(),
        min_debt_requests + rate * debt_period.count(),
        max_needed_tokens};
}

} // namespace

std::optional<double> parse_rate_limit(std::string_view text)
{
    auto const rate = parse_number<double>(text);
    bool const is_valid = rate && std::isfinite(*rate) && *rate >= 0.0;
    return is_valid ? rate : std::nullopt;
}

bool upstream_rate_limiter::set(
    time_point now, rate_limit_notice const& notice, double share)
{
    if (notice.m_requests_per_second == m_limit)
    {
        return false;
    }
    m_limit = notice.m_requests_per_second;
    if (!m_limit)
    {
        m_bucket.reset();
        return true;
    }
    if (m_bucket)
    {
        m_bucket->set_limits(now, limits_for(*m_limit));
        return true;
    }
    constexpr double initial_tokens = 0.0;
    m_bucket.emplace(now, limits_for(*m_limit), initial_tokens);
    m_bucket->set_share(now, share);
    return true;
}

void upstream_rate_limiter::set_share(time_point now, double share)
{
    if (m_bucket)
    {
        m_bucket->set_share(now, share);
    }
}

void upstream_rate_limiter::record_own_request(
    time_point now, double extra_tokens)
{
    m_needed_tokens = 1.0 + extra_tokens;
    if (m_bucket)
    {
        m_bucket->consume_admitted(now, 1.0);
    }
}

void upstream_rate_limiter::record_remote_requests(
    time_point now, unsigned count)
{
    if (m_bucket)
    {
        m_bucket->consume_admitted(now, count);
    }
}

duration upstream_rate_limiter::wait(time_point now) const
{
    return m_bucket ? m_bucket->time_until(now, m_needed_tokens)
                    : duration::zero();
}

} // namespace briarhub
