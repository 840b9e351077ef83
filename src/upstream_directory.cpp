#include "upstream_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace briarhub
{
namespace
{

/// Removed keys that are remembered for peers; older ones make a peer take
/// the whole directory.
constexpr std::size_t max_removed_keys = 2000;

/// The same but for fields that change with each announcement.
bool is_same_upstream(upstream_entry const& a, upstream_entry const& b)
{
    return a.m_upstream == b.m_upstream && a.m_start_time == b.m_start_time;
}

/// `b` was announced before `a`: by an earlier process or earlier by the
/// same one.
bool is_older(upstream_entry const& a, upstream_entry const& b)
{
    return std::pair{b.m_start_time, b.m_sequence} <
           std::pair{a.m_start_time, a.m_sequence};
}

} // namespace

std::string_view to_string(store_failure failure) noexcept
{
    switch (failure)
    {
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::refused:
        return "refused";
    case store_failure::history_gone:
        return "history_gone";
    case store_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

upstream_directory::upstream_directory(decoder decode, reject_handler on_reject)
    : m_decode(std::move(decode)), m_on_reject(std::move(on_reject))
{
}

bool upstream_directory::apply(
    time_point now, std::span<store_record const> records)
{
    bool is_changed = false;
    for (auto const& record : records)
    {
        is_changed = apply_one(now, record) || is_changed;
    }
    return is_changed;
}

bool upstream_directory::apply_one(time_point now, store_record const& record)
{
    if (record.m_value)
    {
        return put(record);
    }
    return remove(now, record.m_key, record.m_offset);
}

bool upstream_directory::put(store_record const& record)
{
    auto const removed = m_removed.find(record.m_key);
    if (removed != m_removed.end() && record.m_offset <= removed->second)
    {
        return false;
    }
    auto decoded = m_decode(record.m_key, *record.m_value);
    if (auto const* failure = std::get_if<decode_failure>(&decoded))
    {
        m_on_reject(record.m_key, failure->m_reason);
        return false;
    }
    auto& value = std::get<upstream_entry>(decoded);
    auto const known = m_entries.find(record.m_key);
    if (known == m_entries.end())
    {
        m_entries[record.m_key] = {
            std::move(value),
            *record.m_value,
            record.m_offset,
            record.m_offset,
            std::nullopt,
            0};
        m_removed.erase(record.m_key);
        note_change(record.m_offset);
        return true;
    }
    auto& entry = known->second;
    if (record.m_offset <= entry.m_offset || is_older(entry.m_value, value))
    {
        return false;
    }
    bool const is_changed = !is_same_upstream(entry.m_value, value);
    bool const is_back = entry.m_lapses_at.has_value();
    entry.m_value = std::move(value);
    entry.m_text = *record.m_value;
    entry.m_offset = record.m_offset;
    entry.m_lapses_at.reset();
    if (is_changed || is_back)
    {
        entry.m_changed_at = record.m_offset;
        note_change(record.m_offset);
    }
    return is_changed;
}

bool upstream_directory::remove(
    time_point now, std::string const& key, log_offset offset)
{
    auto const known = m_entries.find(key);
    if (known == m_entries.end() || offset <= known->second.m_offset)
    {
        return false;
    }
    // Upstreams that could not announce themselves while the store was away
    // get time to return.
    bool const may_live =
        now < m_grace_until &&
        known->second.m_value.m_upstream.m_state == vm_state::live;
    if (may_live)
    {
        if (!known->second.m_lapses_at)
        {
            known->second.m_lapses_at = m_grace_until;
        }
        known->second.m_removed_at = offset;
        return false;
    }
    m_entries.erase(known);
    m_removed[key] = offset;
    if (m_removed.size() > max_removed_keys)
    {
        m_removed.clear();
        m_journal_start = offset;
    }
    note_change(offset);
    return true;
}

bool upstream_directory::adopt(time_point now, changes const& news)
{
    bool const is_changed = news.m_is_whole ? replace(now, news.m_records)
                                            : apply(now, news.m_records);
    note_change(news.m_last_change);
    return is_changed;
}

bool upstream_directory::replace(
    time_point now, std::span<store_record const> records)
{
    std::set<std::string> listed;
    log_offset end = m_last_change;
    for (auto const& record : records)
    {
        listed.insert(record.m_key);
        end = std::max(end, record.m_offset);
    }
    bool is_changed = apply(now, records);
    std::vector<std::string> missing;
    for (auto const& [key, entry] : m_entries)
    {
        if (!listed.contains(key))
        {
            missing.push_back(key);
        }
    }
    for (auto const& key : missing)
    {
        auto const offset = std::max(end, m_entries[key].m_offset + 1);
        is_changed = remove(now, key, offset) || is_changed;
    }
    return is_changed;
}

void upstream_directory::note_change(log_offset offset)
{
    m_last_change = std::max(m_last_change, offset);
}

void upstream_directory::store_returned(time_point now)
{
    m_grace_until = now + lapse_grace;
}

bool upstream_directory::expire(time_point now)
{
    auto const before = m_entries.size();
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
    {
        bool const is_gone =
            entry->second.m_lapses_at && now >= *entry->second.m_lapses_at;
        if (is_gone)
        {
            m_removed[entry->first] = entry->second.m_removed_at;
            note_change(entry->second.m_removed_at);
            entry = m_entries.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
    return m_entries.size() != before;
}

std::optional<time_point> upstream_directory::next_expiry() const
{
    std::optional<time_point> next;
    for (auto const& [key, entry] : m_entries)
    {
        if (entry.m_lapses_at && (!next || *entry.m_lapses_at < *next))
        {
            next = entry.m_lapses_at;
        }
    }
    return next;
}

std::vector<upstream_entry> upstream_directory::usable() const
{
    std::vector<upstream_entry> list;
    for (auto const& [key, entry] : m_entries)
    {
        if (entry.m_value.m_upstream.m_state == vm_state::live)
        {
            list.push_back(entry.m_value);
        }
    }
    return list;
}

upstream_directory::changes
upstream_directory::changes_since(log_offset offset) const
{
    changes found;
    found.m_is_whole = offset == 0 || offset < m_journal_start;
    found.m_last_change = m_last_change;
    for (auto const& [key, entry] : m_entries)
    {
        if (found.m_is_whole || entry.m_changed_at > offset)
        {
            found.m_records.push_back({key, entry.m_text, entry.m_offset});
        }
    }
    if (!found.m_is_whole)
    {
        for (auto const& [key, removed_at] : m_removed)
        {
            if (removed_at > offset)
            {
                found.m_records.push_back({key, std::nullopt, removed_at});
            }
        }
    }
    return found;
}

} // namespace briarhub
