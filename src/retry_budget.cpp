#include "retry_budget.hpp"

#include "tags.hpp"

#include <algorithm>

namespace briarhub
{
namespace
{

/// Share of the fixed extra that is assigned to VMs. The rest is a margin: an
/// attempt can reach its upstream later than its permit was used, in a window
/// with other attempts.
constexpr double assigned_share = 0.95;

/// Longest delay between the use of a permit and the arrival of the attempt.
constexpr std::chrono::milliseconds arrival_slack{100};

} // namespace

retry_budget::retry_budget(time_point now, retry_bounds bounds)
    : m_started(now), m_bounds(bounds)
{
}

void retry_budget::set_bounds(retry_bounds bounds)
{
    m_bounds = bounds;
}

void retry_budget::set_position(fleet_position position)
{
    m_position = position;
}

void retry_budget::request_started(time_point now, service_name const& service)
{
    service_permits& own = refresh(now, service);
    if (own.m_returns.empty())
    {
        return;
    }
    own.m_earned += m_bounds.m_ratio;
    if (own.m_earned >= 1.0)
    {
        own.m_earned -= 1.0;
        own.m_returns.pop_front();
    }
}

bool retry_budget::try_retry(time_point now, service_name const& service)
{
    service_permits& own = refresh(now, service);
    if (own.m_returns.size() >= own.m_assigned)
    {
        return false;
    }
    if (own.m_returns.empty())
    {
        own.m_earned = 0.0;
    }
    own.m_returns.push_back(now + m_bounds.m_window + arrival_slack);
    return true;
}

std::size_t retry_budget::remaining(time_point now, service_name const& service)
{
    service_permits const& own = refresh(now, service);
    return own.m_assigned - own.m_returns.size();
}

/// The remainder of the division goes to different VMs for each service.
std::size_t retry_budget::assigned_permits(std::string_view service) const
{
    if (m_position.m_vms == 0)
    {
        return 0;
    }
    auto const total = static_cast<std::size_t>(
        std::max(m_bounds.m_extra * assigned_share, 0.0));
    std::size_t const place =
        (m_position.m_rank + short_hash(service)) % m_position.m_vms;
    std::size_t const remainder = total % m_position.m_vms;
    return total / m_position.m_vms + (place < remainder ? 1 : 0);
}

// A permit that returns after the window clears the earned part. A window then
// has no more retries than the permits plus those earned inside the window.
retry_budget::service_permits&
retry_budget::refresh(time_point now, service_name const& service)
{
    auto const [place, is_new] = m_permits.try_emplace(service);
    service_permits& own = place->second;
    std::size_t const assigned = assigned_permits(service);
    // An earlier process or another VM may have used the added permits.
    time_point const return_time =
        (own.m_had_position ? now : m_started) + m_bounds.m_window;
    own.m_had_position = own.m_had_position || m_position.m_vms > 0;
    for (; own.m_assigned < assigned; ++own.m_assigned)
    {
        own.m_returns.push_back(return_time);
    }
    own.m_assigned = assigned;
    own.m_returns.resize(std::min(own.m_returns.size(), assigned));
    while (!own.m_returns.empty() && own.m_returns.front() <= now)
    {
        own.m_returns.pop_front();
        own.m_earned = 0.0;
    }
    return own;
}

} // namespace briarhub
