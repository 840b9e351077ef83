#include "replica_freshness.hpp"

#include <algorithm>

namespace briarhub
{

void replica_freshness::set_version(log_position version)
{
    m_version = version;
    if (m_newer_version != log_position{} && version >= m_newer_version)
    {
        confirm(m_newer_version, m_newer_confirmed);
        m_newer_version = log_position{};
    }
}

void replica_freshness::confirm(log_position version, time_point as_of)
{
    m_last_confirmation = std::max(m_last_confirmation.value_or(as_of), as_of);
    if (version <= m_version)
    {
        m_confirmed = std::max(m_confirmed.value_or(as_of), as_of);
    }
    else if (version > m_newer_version)
    {
        m_newer_version = version;
        m_newer_confirmed = as_of;
    }
    else if (version == m_newer_version)
    {
        m_newer_confirmed = std::max(m_newer_confirmed, as_of);
    }
}

std::optional<duration> replica_freshness::age(time_point now) const
{
    if (!m_confirmed)
    {
        return std::nullopt;
    }
    return std::max(now - *m_confirmed, duration::zero());
}

time_point replica_freshness::expiry(duration limit) const
{
    return m_confirmed ? *m_confirmed + limit : time_point{};
}

std::optional<time_point>
replicas_freshness::unread_since(time_point now, duration min_length) const
{
    auto const last_read =
        std::max(m_policy.last_confirmation(), m_directory.last_confirmation());
    bool const is_unread = last_read && now - *last_read >= min_length;
    return is_unread ? last_read : std::nullopt;
}

} // namespace briarhub
