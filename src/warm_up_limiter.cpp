#include "warm_up_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace briarhub
{
namespace
{

/// Products of a rate and the overshoot that are meant to be whole may be
/// smaller by a rounding error.
constexpr double rounding_tolerance = 1e-9;

/// Weight of a VM for an upstream, the same on every VM.
std::uint64_t rendezvous_weight(vm_tag vm, std::uint32_t upstream_hash)
{
    return mix_bits((std::uint64_t{upstream_hash} << 32U) | vm);
}

} // namespace

void warm_up_limiter::set_services(std::span<service_policy const> services)
{
    m_services.clear();
    for (auto const& service : services)
    {
        m_services.insert_or_assign(service.m_name, service);
    }
}

void warm_up_limiter::set_members(vm_tag self, std::vector<vm_tag> members)
{
    if (self == m_self && members == m_members)
    {
        return;
    }
    m_self = self;
    m_members = std::move(members);
    for (auto& [id, entry] : m_upstreams)
    {
        entry.m_rank = rank_of(id);
    }
}

std::size_t warm_up_limiter::rank_of(upstream_id const& id) const
{
    auto const hash = short_hash(id);
    auto const own_weight = rendezvous_weight(m_self, hash);
    auto const count = std::ranges::count_if(
        m_members,
        [&](vm_tag vm)
        {
            return rendezvous_weight(vm, hash) > own_weight;
        });
    return static_cast<std::size_t>(count);
}

/// Permits of this VM: those with the numbers `rank`, `rank + members` and so
/// on below the number of all permits. With further members a VM has as many or
/// fewer, so VMs that know each live VM never hold more than all permits
/// together, even if they know different numbers of VMs that are gone.
std::size_t warm_up_limiter::permits(cold_upstream const& entry) const
{
    auto const service = m_services.find(entry.m_service);
    if (service == m_services.end() || m_members.empty())
    {
        return 0;
    }
    double const allowed = std::floor(
        service->second.m_warm_up_rate * m_bounds.m_overshoot +
        rounding_tolerance);
    double const least = m_bounds.m_slack >= 1.0 ? 1.0 : 0.0;
    auto const all = static_cast<std::size_t>(std::max(allowed, least));
    if (entry.m_rank >= all)
    {
        return 0;
    }
    return (all - entry.m_rank - 1) / m_members.size() + 1;
}

warm_up_limiter::cold_upstream const*
warm_up_limiter::find(upstream_id const& id) const
{
    auto const found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

warm_up_limiter::cold_upstream& warm_up_limiter::obtain(upstream const& target)
{
    auto const [found, is_new] = m_upstreams.try_emplace(target.m_id);
    if (is_new)
    {
        found->second.m_rank = rank_of(target.m_id);
    }
    found->second.m_service = target.m_service;
    return found->second;
}

time_point warm_up_limiter::cold_until(cold_upstream const& entry) const
{
    auto const service = m_services.find(entry.m_service);
    if (!entry.m_presumed_since || service == m_services.end())
    {
        return entry.m_announced_until;
    }
    return std::max(
        entry.m_announced_until,
        *entry.m_presumed_since + service->second.m_slow_start);
}

bool warm_up_limiter::announce(
    time_point now, upstream const& target, std::chrono::milliseconds remaining)
{
    bool const was_cold = is_cold(now, target);
    bool const announces_cold = remaining > std::chrono::milliseconds::zero();
    if (!announces_cold && !m_upstreams.contains(target.m_id))
    {
        return false;
    }
    obtain(target).m_announced_until =
        announces_cold ? now + remaining + warm_up_tolerance : now;
    return announces_cold && !was_cold;
}

void warm_up_limiter::presume_cold(time_point now, upstream const& target)
{
    obtain(target).m_presumed_since = now;
}

bool warm_up_limiter::is_cold(time_point now, upstream const& target) const
{
    auto const* const entry = find(target.m_id);
    return entry != nullptr && now < cold_until(*entry);
}

duration warm_up_limiter::wait(time_point now, upstream const& target) const
{
    auto const* const entry = find(target.m_id);
    if (entry == nullptr || now >= cold_until(*entry))
    {
        return duration::zero();
    }
    auto const service = m_services.find(entry->m_service);
    if (service == m_services.end() || service->second.m_warm_up_rate <= 0.0)
    {
        return duration::zero();
    }
    duration const until_warm = cold_until(*entry) - now;
    auto const permitted = permits(*entry);
    if (permitted == 0)
    {
        return until_warm;
    }
    auto const& sent = entry->m_requests;
    if (sent.size() < permitted)
    {
        return duration::zero();
    }
    auto const free_at = sent[sent.size() - permitted] + permit_window;
    return std::clamp(free_at - now, duration::zero(), until_warm);
}

void warm_up_limiter::record_request(time_point now, upstream const& target)
{
    auto const found = m_upstreams.find(target.m_id);
    if (found == m_upstreams.end())
    {
        return;
    }
    auto& sent = found->second.m_requests;
    while (!sent.empty() && now - sent.front() >= permit_window)
    {
        sent.pop_front();
    }
    sent.push_back(now);
}

std::size_t warm_up_limiter::cold_upstreams(time_point now) const
{
    auto const count = std::ranges::count_if(
        m_upstreams,
        [&](auto const& item)
        {
            return now < cold_until(item.second);
        });
    return static_cast<std::size_t>(count);
}

void warm_up_limiter::remove_warm(time_point now)
{
    std::erase_if(
        m_upstreams,
        [&](auto const& item)
        {
            return now >= cold_until(item.second) + permit_window;
        });
}

} // namespace briarhub
