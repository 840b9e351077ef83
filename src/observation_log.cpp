#include "observation_log.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace briarhub
{
namespace
{

/// Entries retained of each kind; the oldest are dropped first.
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
void remove_expired(Entries& entries, time_point oldest)
{
    while (!entries.empty() &&
           (entries.front().m_at < oldest || entries.size() > max_entries))
    {
        entries.pop_front();
    }
}

} // namespace

observation_log::observation_log(member const& self)
    : m_own_origin(fmt::format("{}/{:016x}", self.m_vm, self.m_incarnation))
{
}

void observation_log::add_evidence(
    time_point now, std::span<evidence const> items)
{
    for (evidence const& item : items)
    {
        m_evidence.push_back({++m_sequence, now, item});
    }
    expire(now);
}

void observation_log::add_suspects(
    time_point now, std::span<suspect_request const> items)
{
    expire(now);
    for (suspect_request const& item : items)
    {
        std::uint32_t const previous =
            last_crash_total(m_own_origin, item.m_digest);
        record_crash_total(
            now, m_own_origin, item.m_digest, previous + item.m_crashes);
    }
}

std::vector<suspect_request> observation_log::receive(
    time_point now, std::span<reported_suspect const> items)
{
    expire(now);
    std::vector<suspect_request> added;
    for (reported_suspect const& item : items)
    {
        std::uint32_t const previous =
            last_crash_total(item.m_origin, item.m_digest);
        if (item.m_origin != m_own_origin && item.m_total_crashes > previous)
        {
            added.push_back({item.m_digest, item.m_total_crashes - previous});
            record_crash_total(
                now, item.m_origin, item.m_digest, item.m_total_crashes);
        }
    }
    return added;
}

std::uint32_t observation_log::last_crash_total(
    std::string const& origin, std::string const& digest) const
{
    auto const found = m_crash_totals.find({origin, digest});
    return found == m_crash_totals.end() ? 0 : found->second.m_crashes;
}

void observation_log::record_crash_total(
    time_point now,
    std::string const& origin,
    std::string const& digest,
    std::uint32_t total)
{
    m_crash_totals[{origin, digest}] = {total, now};
    m_suspects.push_back({++m_sequence, now, {origin, digest, total}});
}

void observation_log::expire(time_point now)
{
    remove_expired(m_evidence, now - max_evidence_age);
    remove_expired(m_suspects, now - max_suspect_age);
    std::erase_if(
        m_crash_totals,
        [&](auto const& item)
        {
            return now - item.second.m_at > max_crash_total_age;
        });
}

peer_observations
observation_log::collect_for(time_point now, vm_id const& peer)
{
    expire(now);
    cursor& position = m_cursors[peer];
    peer_observations update{merged_evidence(position.m_evidence), {}};
    position.m_evidence = m_sequence;
    for (auto const& [sequence, at, item] : m_suspects)
    {
        if (sequence > position.m_suspects &&
            update.m_suspects.size() < max_suspect_items)
        {
            position.m_suspects = sequence;
            update.m_suspects.push_back(item);
        }
    }
    return update;
}

void observation_log::resend_suspects(vm_id const& peer)
{
    m_cursors[peer].m_suspects = 0;
}

std::vector<evidence>
observation_log::merged_evidence(std::uint64_t after) const
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
