#include "evacuation_orders.hpp"

#include <algorithm>

namespace briarhub
{

std::set<failure_domain> evacuation_orders::domains() const
{
    auto all = m_ordered;
    for (auto const& [domain, due] : m_lost)
    {
        all.insert(domain);
    }
    return all;
}

bool evacuation_orders::replace(
    time_point now,
    log_position position,
    std::set<failure_domain> const& ordered)
{
    if (position <= m_position)
    {
        return false;
    }
    auto const before = domains();
    if (position.m_era > m_position.m_era)
    {
        retain_missing(now, ordered);
    }
    m_position = position;
    m_ordered = ordered;
    for (auto const& domain : ordered)
    {
        m_lost.erase(domain);
    }
    return domains() != before;
}

void evacuation_orders::retain_missing(
    time_point now, std::set<failure_domain> const& ordered)
{
    for (auto const& domain : m_ordered)
    {
        if (!ordered.contains(domain))
        {
            m_lost[domain] = now + lost_order_retention;
        }
    }
}

bool evacuation_orders::apply(
    log_position position, std::span<evacuation_record const> records)
{
    if (position.m_era != m_position.m_era)
    {
        return false;
    }
    auto const before = domains();
    for (auto const& record : records)
    {
        if (record.m_offset < m_position.m_offset)
        {
            continue;
        }
        m_lost.erase(record.m_domain);
        if (record.m_is_evacuated)
        {
            m_ordered.insert(record.m_domain);
        }
        else
        {
            m_ordered.erase(record.m_domain);
        }
    }
    m_position = std::max(m_position, position);
    return domains() != before;
}

bool evacuation_orders::remove_expired(time_point now)
{
    auto const removed = std::erase_if(
        m_lost,
        [now](auto const& item)
        {
            return now >= item.second;
        });
    return removed > 0;
}

std::optional<time_point> evacuation_orders::next_expiry() const
{
    if (m_lost.empty())
    {
        return std::nullopt;
    }
    return std::ranges::min_element(
               m_lost,
               {},
               [](auto const& item)
               {
                   return item.second;
               })
        ->second;
}

} // namespace briarhub
