#include "news_log.hpp"

#include <algorithm>

namespace briarhub
{
namespace
{

/// Entries kept of each kind; the oldest are dropped first.
constexpr std::size_t max_entries = 4096;

std::uint64_t bad_attempts(evidence const& item)
{
    return std::uint64_t{item.m_slow} + item.m_error + item.m_wrong;
}

void add_counts(evidence& total, evidence const& item)
{
    total.m_upstream = item.m_upstream;
    total.m_good += item.m_good;
    total.m_slow += item.m_slow;
    total.m_error += item.m_error;
    total.m_wrong += item.m_wrong;
}

template <class Entries>
void drop_old(Entries& entries, time_point oldest)
{
    while (!entries.empty() &&
           (entries.front().m_at < oldest || entries.size() > max_entries))
    {
        entries.pop_front();
    }
}

} // namespace

void news_log::add_evidence(time_point now, std::span<evidence const> items)
{
    for (evidence const& item : items)
    {
        m_evidence.push_back({++m_sequence, now, item});
    }
    expire(now);
}

std::vector<suspect_request>
news_log::add_suspects(time_point now, std::span<suspect_request const> items)
{
    expire(now);
    std::vector<suspect_request> added;
    for (suspect_request const& item : items)
    {
        std::uint32_t& known = m_known_suspects[item.m_digest];
        if (item.m_crashes > known)
        {
            known = item.m_crashes;
            m_suspects.push_back({++m_sequence, now, item});
            added.push_back(item);
        }
    }
    return added;
}

void news_log::expire(time_point now)
{
    drop_old(m_evidence, now - evidence_age_limit);
    drop_old(m_suspects, now - suspect_age_limit);
    if (m_suspects.empty())
    {
        m_known_suspects.clear();
    }
}

news_log::batch news_log::news_for(time_point now, vm_id const& peer)
{
    expire(now);
    auto const found = m_delivered.find(peer);
    std::uint64_t const after = found == m_delivered.end() ? 0 : found->second;
    batch result{{merged_evidence(after), {}}, m_sequence};
    for (auto const& [sequence, at, item] : m_suspects)
    {
        if (sequence > after &&
            result.m_news.m_suspects.size() < max_suspect_items)
        {
            result.m_news.m_suspects.push_back(item);
        }
    }
    return result;
}

std::vector<evidence> news_log::merged_evidence(std::uint64_t after) const
{
    std::map<upstream_id, evidence> totals;
    for (auto const& [sequence, at, item] : m_evidence)
    {
        if (sequence > after)
        {
            add_counts(totals[item.m_upstream], item);
        }
    }
    std::vector<evidence> items;
    for (auto const& [id, total] : totals)
    {
        if (bad_attempts(total) > 0)
        {
            items.push_back(total);
        }
    }
    std::ranges::stable_sort(items, std::ranges::greater{}, bad_attempts);
    items.resize(std::min(items.size(), max_evidence_items));
    return items;
}

void news_log::delivered(vm_id const& peer, std::uint64_t through)
{
    std::uint64_t& delivered = m_delivered[peer];
    delivered = std::max(delivered, through);
}

} // namespace briarhub
