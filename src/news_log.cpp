#include "news_log.hpp"

#include <fmt/format.h>

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

news_log::news_log(member const& self)
    : m_own_origin(fmt::format("{}/{:016x}", self.m_vm, self.m_incarnation))
{
}

void news_log::add_evidence(time_point now, std::span<evidence const> items)
{
    for (evidence const& item : items)
    {
        m_evidence.push_back({++m_sequence, now, item});
    }
    expire(now);
}

void news_log::add_suspects(
    time_point now, std::span<suspect_request const> items)
{
    expire(now);
    for (suspect_request const& item : items)
    {
        std::uint32_t const before = known_total(m_own_origin, item.m_digest);
        set_total(now, m_own_origin, item.m_digest, before + item.m_crashes);
    }
}

std::vector<suspect_request>
news_log::receive(time_point now, std::span<reported_suspect const> items)
{
    expire(now);
    std::vector<suspect_request> added;
    for (reported_suspect const& item : items)
    {
        std::uint32_t const before = known_total(item.m_origin, item.m_digest);
        if (item.m_origin != m_own_origin && item.m_total_crashes > before)
        {
            added.push_back({item.m_digest, item.m_total_crashes - before});
            set_total(now, item.m_origin, item.m_digest, item.m_total_crashes);
        }
    }
    return added;
}

std::uint32_t news_log::known_total(
    std::string const& origin, std::string const& digest) const
{
    auto const found = m_totals.find({origin, digest});
    return found == m_totals.end() ? 0 : found->second.m_crashes;
}

void news_log::set_total(
    time_point now,
    std::string const& origin,
    std::string const& digest,
    std::uint32_t total)
{
    m_totals[{origin, digest}] = {total, now};
    m_suspects.push_back({++m_sequence, now, {origin, digest, total}});
}

void news_log::expire(time_point now)
{
    drop_old(m_evidence, now - evidence_age_limit);
    drop_old(m_suspects, now - suspect_age_limit);
    std::erase_if(
        m_totals,
        [&](auto const& known)
        {
            return now - known.second.m_at > known_total_age_limit;
        });
}

peer_news news_log::take_for(time_point now, vm_id const& peer)
{
    expire(now);
    cursor& given = m_cursors[peer];
    peer_news news{merged_evidence(given.m_evidence), {}};
    given.m_evidence = m_sequence;
    for (auto const& [sequence, at, item] : m_suspects)
    {
        if (sequence > given.m_suspects &&
            news.m_suspects.size() < max_suspect_items)
        {
            given.m_suspects = sequence;
            news.m_suspects.push_back(item);
        }
    }
    return news;
}

void news_log::note_lost(vm_id const& peer)
{
    m_cursors[peer].m_suspects = 0;
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

} // namespace briarhub
