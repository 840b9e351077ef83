#include "suspect_requests.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace briarhub
{
namespace
{

bool is_expired(time_point now, time_point last_report)
{
    return now - last_report >= suspect_retention;
}

} // namespace

void suspect_requests::report_crash(time_point now, std::string const& digest)
{
    entry& suspect = touch(now, digest);
    ++suspect.m_crashes;
    ++suspect.m_unreported;
    suspect.m_has_unreported = true;
}

void suspect_requests::report_reset(time_point now, std::string const& digest)
{
    expire(now);
    if (has_room_for_reset(digest))
    {
        touch(now, digest).m_has_unreported = true;
    }
}

bool suspect_requests::has_room_for_reset(std::string const& digest) const
{
    return m_entries.size() < max_reset_suspects || m_entries.contains(digest);
}

suspect_requests::entry&
suspect_requests::touch(time_point now, std::string const& digest)
{
    expire(now);
    entry& suspect = m_entries[digest];
    suspect.m_last_report = now;
    return suspect;
}

void suspect_requests::report_success(std::string const& digest)
{
    m_entries.erase(digest);
}

// Peers report only the crashes that they observed themselves, so the counts
// are added and each crash counts once.
void suspect_requests::receive(
    time_point now, std::span<suspect_request const> items)
{
    expire(now);
    for (suspect_request const& item : items)
    {
        if (item.m_crashes > 0 || has_room_for_reset(item.m_digest))
        {
            entry& suspect = m_entries[item.m_digest];
            suspect.m_crashes += std::min(item.m_crashes, suspect_crash_limit);
            suspect.m_last_report = now;
        }
    }
}

bool suspect_requests::is_refused(
    time_point now, std::string const& digest) const
{
    auto const found = m_entries.find(digest);
    return found != m_entries.end() &&
           !is_expired(now, found->second.m_last_report) &&
           found->second.m_crashes >= suspect_crash_limit;
}

bool suspect_requests::is_suspect(
    time_point now, std::string const& digest) const
{
    auto const found = m_entries.find(digest);
    return found != m_entries.end() &&
           !is_expired(now, found->second.m_last_report);
}

std::vector<suspect_request> suspect_requests::collect_updates(time_point now)
{
    expire(now);
    std::vector<suspect_request> updates;
    for (auto& [digest, suspect] : m_entries)
    {
        if (std::exchange(suspect.m_has_unreported, false))
        {
            updates.push_back({digest, std::exchange(suspect.m_unreported, 0)});
        }
    }
    return updates;
}

std::vector<suspect_request> suspect_requests::snapshot(time_point now) const
{
    std::vector<suspect_request> all;
    for (auto const& [digest, suspect] : m_entries)
    {
        if (!is_expired(now, suspect.m_last_report))
        {
            all.push_back({digest, suspect.m_crashes});
        }
    }
    std::ranges::stable_sort(
        all, std::ranges::greater{}, &suspect_request::m_crashes);
    all.resize(std::min(all.size(), max_suspects_sent));
    return all;
}

// Several peers may send the same crashes, so the counts are not added.
void suspect_requests::adopt(
    time_point now, std::span<suspect_request const> items)
{
    for (suspect_request const& item : items)
    {
        entry& suspect = m_entries[item.m_digest];
        suspect.m_crashes = std::max(
            suspect.m_crashes, std::min(item.m_crashes, suspect_crash_limit));
        suspect.m_last_report = now;
    }
}

void suspect_requests::expire(time_point now)
{
    std::erase_if(
        m_entries,
        [&](auto const& item)
        {
            return is_expired(now, item.second.m_last_report);
        });
}

} // namespace briarhub
