#include "upstream_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace briarhub
{
namespace
{

/// Limit of the tombstones that are kept for peers. Beyond it they are cleared,
/// and a peer with an older offset receives a snapshot.
constexpr std::size_t max_tombstones = 2000;

/// Compares entries without the fields that change with each announcement.
bool is_same_upstream(upstream_entry const& a, upstream_entry const& b)
{
    return a.m_upstream == b.m_upstream && a.m_start_time == b.m_start_time;
}

/// Returns true if `a` was announced after `b`, by a later process or later by
/// the same one.
bool supersedes(upstream_entry const& a, upstream_entry const& b)
{
    return std::pair{b.m_start_time, b.m_sequence} <
           std::pair{a.m_start_time, a.m_sequence};
}

/// When the upstream becomes warm; the epoch if it is.
time_point warm_time(time_point now, upstream_entry const& entry)
{
    bool const is_cold =
        entry.m_warm_up_remaining > std::chrono::milliseconds::zero();
    return is_cold ? now + entry.m_warm_up_remaining : time_point{};
}

/// True if an upstream turned cold or warm, or turned cold again meanwhile. The
/// end of a warm-up is a change too, so that a VM that starts does not get an
/// old announcement of a peer that the upstream is cold.
bool is_warm_up_change(time_point known, time_point announced)
{
    bool const was_cold = known != time_point{};
    bool const is_cold = announced != time_point{};
    return was_cold != is_cold || announced > known + warm_up_tolerance;
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
        is_changed = apply_record(now, record) || is_changed;
    }
    return is_changed;
}

bool upstream_directory::apply_record(
    time_point now, store_record const& record)
{
    if (record.m_value)
    {
        return put(now, record);
    }
    return remove(now, record.m_key, record.m_offset);
}

bool upstream_directory::put(time_point now, store_record const& record)
{
    auto const tombstone = m_tombstones.find(record.m_key);
    if (tombstone != m_tombstones.end() && record.m_offset <= tombstone->second)
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
    auto const warm_at = warm_time(now, value);
    auto const existing = m_entries.find(record.m_key);
    if (existing == m_entries.end())
    {
        m_entries[record.m_key] = {
            std::move(value),
            *record.m_value,
            record.m_offset,
            record.m_offset,
            std::nullopt,
            0,
            warm_at};
        m_tombstones.erase(record.m_key);
        advance_last_change(record.m_offset);
        return true;
    }
    auto& entry = existing->second;
    auto const known_offset = std::max(entry.m_offset, entry.m_removal_offset);
    if (record.m_offset >= entry.m_change_offset)
    {
        // A later page of a snapshot can show a change before the changes that
        // precede it are read.
        advance_last_change(entry.m_change_offset);
    }
    if (record.m_offset <= known_offset || supersedes(entry.m_value, value))
    {
        return false;
    }
    bool const is_changed = !is_same_upstream(entry.m_value, value) ||
                            is_warm_up_change(entry.m_warm_at, warm_at);
    bool const is_restored = entry.m_removal_due.has_value();
    entry.m_value = std::move(value);
    entry.m_encoded_value = *record.m_value;
    entry.m_offset = record.m_offset;
    entry.m_removal_due.reset();
    entry.m_removal_offset = 0;
    if (is_changed || is_restored)
    {
        entry.m_warm_at = warm_at;
        entry.m_change_offset = record.m_offset;
        advance_last_change(record.m_offset);
    }
    return is_changed;
}

bool upstream_directory::remove(
    time_point now, std::string const& key, log_offset offset)
{
    auto const existing = m_entries.find(key);
    if (existing == m_entries.end() || offset <= existing->second.m_offset)
    {
        return false;
    }
    auto& entry = existing->second;
    if (entry.m_removal_due)
    {
        return false;
    }
    advance_last_change(offset);
    // Upstreams could not renew their entries while the store was unavailable,
    // so they get time to register again.
    bool const may_be_alive =
        now < m_removal_grace_end &&
        entry.m_value.m_upstream.m_state == vm_state::live;
    if (may_be_alive)
    {
        entry.m_removal_due = m_removal_grace_end;
        entry.m_removal_offset = offset;
        return false;
    }
    m_entries.erase(existing);
    record_removal(key, offset);
    return true;
}

void upstream_directory::record_removal(
    std::string const& key, log_offset offset)
{
    m_tombstones[key] = offset;
    if (m_tombstones.size() > max_tombstones)
    {
        m_tombstones.clear();
        m_history_start = m_last_change;
    }
}

bool upstream_directory::adopt(time_point now, change_set const& peer_changes)
{
    auto const last_change =
        std::max(m_last_change, peer_changes.m_last_change);
    bool const is_changed =
        peer_changes.m_is_snapshot
            ? apply_snapshot(
                  now, peer_changes.m_records, peer_changes.m_last_change + 1)
            : apply(now, peer_changes.m_records);
    // A record has the offset of the upstream's last announcement, and the peer
    // may lack changes before it.
    m_last_change = last_change;
    return is_changed;
}

bool upstream_directory::apply_snapshot(
    time_point now, std::span<store_record const> records, log_offset end)
{
    log_offset const last = end > 0 ? end - 1 : 0;
    auto const last_complete = std::max(m_last_change, last);
    record_history_gap(m_last_change, last);
    bool is_changed = apply(now, records);
    std::set<std::string_view> listed_keys;
    for (auto const& record : records)
    {
        listed_keys.insert(record.m_key);
    }
    std::vector<std::string> missing_keys;
    for (auto const& [key, entry] : m_entries)
    {
        if (!listed_keys.contains(key))
        {
            missing_keys.push_back(key);
        }
    }
    for (auto const& key : missing_keys)
    {
        is_changed = remove(now, key, last) || is_changed;
    }
    // Later pages of a snapshot can show changes from after `end`, but not all
    // of them.
    m_last_change = std::min(m_last_change, last_complete);
    return is_changed;
}

void upstream_directory::advance_last_change(log_offset offset)
{
    m_last_change = std::max(m_last_change, offset);
}

void upstream_directory::record_history_gap(log_offset begin, log_offset end)
{
    if (begin >= end)
    {
        return;
    }
    m_history_start = std::max(m_history_start, m_gap_end);
    m_gap_begin = begin;
    m_gap_end = end;
}

/// True if all changes after the offset are known.
bool upstream_directory::has_history_since(log_offset offset) const
{
    bool const is_in_gap = m_gap_begin < offset && offset < m_gap_end;
    return offset != 0 && offset >= m_history_start && !is_in_gap;
}

void upstream_directory::start_removal_grace(time_point now)
{
    m_removal_grace_end = now + removal_grace_period;
}

bool upstream_directory::remove_expired(time_point now)
{
    auto const old_size = m_entries.size();
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
    {
        bool const is_expired =
            entry->second.m_removal_due && now >= *entry->second.m_removal_due;
        if (is_expired)
        {
            record_removal(entry->first, entry->second.m_removal_offset);
            entry = m_entries.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
    return m_entries.size() != old_size;
}

std::optional<time_point> upstream_directory::next_expiry() const
{
    std::optional<time_point> next;
    for (auto const& [key, entry] : m_entries)
    {
        if (entry.m_removal_due && (!next || *entry.m_removal_due < *next))
        {
            next = entry.m_removal_due;
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

upstream_directory::change_set
upstream_directory::changes_since(log_offset offset) const
{
    change_set result;
    result.m_is_snapshot = !has_history_since(offset);
    result.m_last_change = m_last_change;
    for (auto const& [key, entry] : m_entries)
    {
        if (result.m_is_snapshot || entry.m_change_offset > offset)
        {
            result.m_records.push_back(
                {key, entry.m_encoded_value, entry.m_offset});
        }
        if (entry.m_removal_due && entry.m_removal_offset > offset)
        {
            result.m_records.push_back(
                {key, std::nullopt, entry.m_removal_offset});
        }
    }
    if (!result.m_is_snapshot)
    {
        for (auto const& [key, removal_offset] : m_tombstones)
        {
            if (removal_offset > offset)
            {
                result.m_records.push_back({key, std::nullopt, removal_offset});
            }
        }
    }
    return result;
}

} // namespace briarhub
