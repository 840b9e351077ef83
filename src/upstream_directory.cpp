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

constexpr std::string_view late_write_reason = "announced before its removal";

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

/// True if an announcement with a lower sequence number can be that of a new
/// process, since it has no start time. A store that returns from an older copy
/// brings back earlier ones, so there it is taken for one of them.
bool may_be_restart(
    upstream_entry const& announced,
    log_position position,
    log_position removal)
{
    return announced.m_start_time == 0 && position.m_era == removal.m_era;
}

std::vector<directory_record>
with_positions(store_era era, std::span<store_record const> records)
{
    std::vector<directory_record> list;
    list.reserve(records.size());
    for (auto const& record : records)
    {
        list.push_back(
            {record.m_key,
             record.m_value.value_or(std::string{}),
             !record.m_value,
             {era, record.m_offset}});
    }
    return list;
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
    case store_failure::outdated_era:
        return "outdated_era";
    }
    return "unknown";
}

upstream_directory::upstream_directory(decoder decode, reject_handler on_reject)
    : m_decode(std::move(decode)), m_on_reject(std::move(on_reject))
{
}

bool upstream_directory::apply(
    time_point now, store_era era, std::span<store_record const> records)
{
    bool const is_other_era =
        m_last_change != log_position{} && era != m_last_change.m_era;
    return !is_other_era && apply_records(now, with_positions(era, records));
}

bool upstream_directory::apply_records(
    time_point now, std::span<directory_record const> records)
{
    bool is_changed = false;
    for (auto const& record : records)
    {
        is_changed = apply_record(now, record) || is_changed;
    }
    return is_changed;
}

bool upstream_directory::apply_record(
    time_point now, directory_record const& record)
{
    return record.m_is_removed ? remove(now, record) : put(now, record);
}

bool upstream_directory::put(time_point now, directory_record const& record)
{
    auto const removed = m_tombstones.find(record.m_key);
    if (removed != m_tombstones.end() &&
        record.m_position <= removed->second.m_position)
    {
        return false;
    }
    auto decoded = m_decode(record.m_key, record.m_value);
    if (auto const* failure = std::get_if<decode_failure>(&decoded))
    {
        m_on_reject(record.m_key, failure->m_reason);
        return false;
    }
    auto& value = std::get<upstream_entry>(decoded);
    if (is_known_removed(record, value))
    {
        ++m_outdated;
        reject_late_write(record, removed->second);
        renew_removal(removed->second, record.m_position);
        return false;
    }
    auto const existing = m_entries.find(record.m_key);
    if (existing != m_entries.end())
    {
        return update(now, existing->second, record, std::move(value));
    }
    if (is_address_reused(record, value))
    {
        ++m_outdated;
        record_removal(
            now,
            record.m_key,
            {record.m_position,
             value.m_start_time,
             value.m_sequence,
             record.m_value,
             {},
             {}});
        return false;
    }
    add(now, record, std::move(value));
    return true;
}

/// True if the upstream announced this before its removal: the store can
/// execute a write seconds after it was sent, and an older copy of the store
/// has entries of upstreams that left since. Such an entry counts again once
/// the upstream announces itself later than that.
bool upstream_directory::is_known_removed(
    directory_record const& record, upstream_entry const& value) const
{
    auto const removed = m_tombstones.find(record.m_key);
    if (removed == m_tombstones.end())
    {
        return false;
    }
    auto const& last = removed->second;
    return !may_be_restart(value, record.m_position, last.m_position) &&
           std::pair{value.m_start_time, value.m_sequence} <=
               std::pair{last.m_start_time, last.m_sequence};
}

/// Reports a late write once. What an older copy of the store has is reported
/// with the change of the era.
void upstream_directory::reject_late_write(
    directory_record const& record, tombstone const& removed) const
{
    bool const is_late_write =
        record.m_position.m_era == removed.m_position.m_era &&
        record.m_position > removed.m_change_position;
    if (is_late_write)
    {
        m_on_reject(record.m_key, std::string{late_write_reason});
    }
}

/// True if an upstream of the older copy has an address that a later process is
/// known to have used before the store returned. Start times of different
/// machines are compared only there, since their clocks may differ.
bool upstream_directory::is_address_reused(
    directory_record const& record, upstream_entry const& value) const
{
    if (m_tombstones.contains(record.m_key))
    {
        return false;
    }
    return std::ranges::any_of(
        m_entries,
        [&](auto const& item)
        {
            auto const& other = item.second;
            return other.m_position.m_era < record.m_position.m_era &&
                   other.m_value.m_upstream.m_address ==
                       value.m_upstream.m_address &&
                   other.m_value.m_start_time > value.m_start_time;
        });
}

bool upstream_directory::is_later_era(log_position position) const
{
    return m_last_change != log_position{} &&
           position.m_era > m_last_change.m_era;
}

void upstream_directory::add(
    time_point now, directory_record const& record, upstream_entry value)
{
    auto const warm_at = warm_time(now, value);
    m_entries[record.m_key] = {
        std::move(value),
        record.m_value,
        record.m_position,
        record.m_position,
        std::nullopt,
        {},
        warm_at,
        false};
    m_tombstones.erase(record.m_key);
    advance_last_change(record.m_position);
}

bool upstream_directory::update(
    time_point now,
    directory_entry& entry,
    directory_record const& record,
    upstream_entry value)
{
    auto const known_position =
        std::max(entry.m_position, entry.m_removal_position);
    if (record.m_position >= entry.m_change_position)
    {
        // A later page of a snapshot can show a change before the changes that
        // precede it are read.
        advance_last_change(entry.m_change_position);
    }
    // Between eras, the announcements tell which record is later.
    bool const is_lost_record =
        record.m_position.m_era < entry.m_position.m_era &&
        supersedes(value, entry.m_value);
    if (record.m_position <= known_position && !is_lost_record)
    {
        return false;
    }
    // A late write, or the copy, can have what was known before the removal.
    bool const is_removal_later =
        entry.m_removal_due && !supersedes(value, entry.m_value);
    if (is_removal_later || supersedes(entry.m_value, value))
    {
        bool const is_older_copy =
            known_position.m_era < record.m_position.m_era;
        if (is_older_copy)
        {
            ++m_outdated;
            keep_lost(entry, record, value);
        }
        return false;
    }
    auto const warm_at = warm_time(now, value);
    bool const is_changed = !is_same_upstream(entry.m_value, value) ||
                            is_warm_up_change(entry.m_warm_at, warm_at);
    bool const is_news_to_peers =
        is_changed || entry.m_removal_due || entry.m_is_lost;
    if (is_news_to_peers)
    {
        entry.m_warm_at = warm_at;
    }
    entry.m_value = std::move(value);
    entry.m_encoded_value = record.m_value;
    if (is_lost_record)
    {
        return is_changed;
    }
    entry.m_position = record.m_position;
    entry.m_removal_due.reset();
    entry.m_removal_position = {};
    entry.m_is_lost = false;
    if (is_news_to_peers)
    {
        entry.m_change_position = record.m_position;
        advance_last_change(record.m_position);
    }
    return is_changed;
}

/// Makes the kept announcement a change of the copy's era, now and when the
/// upstream repeats it, for peers that know the copy's record only.
void upstream_directory::keep_lost(
    directory_entry& entry,
    directory_record const& record,
    upstream_entry const& value)
{
    if (is_same_upstream(entry.m_value, value))
    {
        return;
    }
    entry.m_is_lost = true;
    entry.m_change_position = record.m_position;
    advance_last_change(record.m_position);
}

/// Makes a known removal a change of the copy's era, for peers that know the
/// copy's record only.
void upstream_directory::renew_removal(
    tombstone& removed, log_position position)
{
    removed.m_change_position = position;
    advance_last_change(position);
}

bool upstream_directory::remove(time_point now, directory_record const& removal)
{
    auto const existing = m_entries.find(removal.m_key);
    if (existing == m_entries.end())
    {
        auto const known = m_tombstones.find(removal.m_key);
        bool const is_repeated = known != m_tombstones.end() &&
                                 known->second.m_position < removal.m_position;
        if (is_repeated)
        {
            renew_removal(known->second, removal.m_position);
        }
        remember_removal(now, removal);
        return false;
    }
    auto& entry = existing->second;
    if (entry.m_removal_due || !removes(removal, entry))
    {
        return false;
    }
    advance_last_change(removal.m_position);
    // Upstreams could not renew their entries while the store was unavailable,
    // so they get time to register again. A removal of an earlier era was read
    // before that.
    bool const may_be_alive =
        now < m_removal_grace_end &&
        removal.m_position.m_era >= m_last_change.m_era &&
        entry.m_value.m_upstream.m_state == vm_state::live;
    if (may_be_alive)
    {
        entry.m_removal_due = m_removal_grace_end;
        entry.m_removal_position = removal.m_position;
        adopt_last_announcement(entry, removal);
        return false;
    }
    tombstone removed{
        removal.m_position,
        entry.m_value.m_start_time,
        entry.m_value.m_sequence,
        std::move(entry.m_encoded_value),
        entry.m_position,
        {}};
    m_entries.erase(existing);
    record_removal(now, removal.m_key, std::move(removed));
    remember_removal(now, removal);
    return true;
}

/// True if the upstream has not announced itself since the removal. An entry
/// after it can come from a late write or, in a later era, from an older copy;
/// then the announcements tell.
bool upstream_directory::removes(
    directory_record const& removal, directory_entry const& entry) const
{
    if (removal.m_position > entry.m_position)
    {
        return true;
    }
    if (removal.m_value.empty() ||
        may_be_restart(entry.m_value, entry.m_position, removal.m_position))
    {
        return false;
    }
    auto const decoded = m_decode(removal.m_key, removal.m_value);
    auto const* last = std::get_if<upstream_entry>(&decoded);
    return last != nullptr && !supersedes(entry.m_value, *last);
}

/// A VM that does not read the store gets the last announcement with the
/// removal. Until the deferred removal is due, only a later one cancels it.
void upstream_directory::adopt_last_announcement(
    directory_entry& entry, directory_record const& removal) const
{
    if (removal.m_value.empty())
    {
        return;
    }
    auto decoded = m_decode(removal.m_key, removal.m_value);
    auto* last = std::get_if<upstream_entry>(&decoded);
    bool const is_later = last != nullptr &&
                          is_same_upstream(*last, entry.m_value) &&
                          supersedes(*last, entry.m_value);
    if (is_later)
    {
        entry.m_value = std::move(*last);
        entry.m_encoded_value = removal.m_value;
    }
}

/// Keeps the last announcement that a peer knew of a removed upstream: a VM
/// that does not read the store knows only those that changed something.
void upstream_directory::remember_removal(
    time_point now, directory_record const& removal)
{
    if (removal.m_value.empty())
    {
        return;
    }
    auto const decoded = m_decode(removal.m_key, removal.m_value);
    auto const* value = std::get_if<upstream_entry>(&decoded);
    if (value == nullptr)
    {
        m_on_reject(removal.m_key, std::get<decode_failure>(decoded).m_reason);
        return;
    }
    auto const known = m_tombstones.find(removal.m_key);
    bool const is_newer =
        known == m_tombstones.end() ||
        std::pair{known->second.m_start_time, known->second.m_sequence} <
            std::pair{value->m_start_time, value->m_sequence};
    if (is_newer)
    {
        record_removal(
            now,
            removal.m_key,
            {removal.m_position,
             value->m_start_time,
             value->m_sequence,
             removal.m_value,
             {},
             {}});
    }
}

void upstream_directory::record_removal(
    time_point now, std::string const& key, tombstone removed)
{
    removed.m_recorded = now;
    m_tombstones[key] = std::move(removed);
    if (m_tombstones.size() > max_tombstones)
    {
        m_tombstones.clear();
        m_history_start = m_last_change;
    }
}

bool upstream_directory::adopt(time_point now, change_set const& peer_changes)
{
    auto const& position = peer_changes.m_last_change;
    if (position.m_era < m_last_change.m_era)
    {
        return false;
    }
    bool const is_later = is_later_era(position);
    if (is_later && !peer_changes.m_is_snapshot)
    {
        return false;
    }
    auto const last_change = std::max(m_last_change, position);
    bool const is_changed = peer_changes.m_is_snapshot
                                ? replace(now, peer_changes.m_records, position)
                                : apply_records(now, peer_changes.m_records);
    // A record has the position of the upstream's last announcement, and the
    // peer may lack changes before it.
    m_last_change = last_change;
    return is_changed;
}

bool upstream_directory::adopt_lost(
    time_point now, change_set const& peer_changes)
{
    // Other changes before these may be unknown here.
    auto const last_change = m_last_change;
    bool is_changed = false;
    for (auto const& record : peer_changes.m_records)
    {
        bool const is_listed = m_entries.contains(record.m_key);
        bool const is_wanted = record.m_is_removed || is_listed;
        bool const is_later = is_listed && adopt_later(now, record);
        bool const is_applied = is_wanted && apply_record(now, record);
        is_changed = is_later || is_applied || is_changed;
    }
    m_last_change = last_change;
    return is_changed;
}

/// Adopts a peer's announcement that is later than the one of a higher position
/// here, which the store executed late. Returns true if that changes the entry.
/// Without a start time a late write cannot be told from a restart.
bool upstream_directory::adopt_later(
    time_point now, directory_record const& record)
{
    auto& entry = m_entries.at(record.m_key);
    bool const is_earlier_position =
        record.m_position.m_era == entry.m_position.m_era &&
        record.m_position < entry.m_position;
    if (record.m_is_removed || !is_earlier_position)
    {
        return false;
    }
    auto decoded = m_decode(record.m_key, record.m_value);
    auto* later = std::get_if<upstream_entry>(&decoded);
    bool const is_later = later != nullptr && later->m_start_time != 0 &&
                          supersedes(*later, entry.m_value);
    if (!is_later)
    {
        return false;
    }
    bool const is_changed = !is_same_upstream(entry.m_value, *later);
    entry.m_warm_at = warm_time(now, *later);
    entry.m_value = std::move(*later);
    entry.m_encoded_value = record.m_value;
    return is_changed;
}

bool upstream_directory::apply_snapshot(
    time_point now, std::span<store_record const> records, log_position end)
{
    if (end.m_era < m_last_change.m_era)
    {
        return false;
    }
    log_position const last{end.m_era, end.m_offset > 0 ? end.m_offset - 1 : 0};
    return replace(now, with_positions(end.m_era, records), last);
}

bool upstream_directory::replace(
    time_point now,
    std::span<directory_record const> records,
    log_position last)
{
    auto const before = m_last_change;
    auto const last_complete = std::max(before, last);
    bool const is_later = is_later_era(last);
    bool is_changed = false;
    m_outdated = 0;
    if (is_later)
    {
        is_changed = remove_earlier(now, records, last.m_era);
        start_removal_grace(now);
    }
    record_history_gap(before, last);
    is_changed = apply_records(now, records) || is_changed;
    is_changed = remove_unlisted(now, records, last) || is_changed;
    // Later pages of a snapshot can show changes from after `last`, but not all
    // of them.
    m_last_change = std::min(m_last_change, last_complete);
    if (is_later)
    {
        // Also if the copy has nothing new, positions are of its era now.
        advance_last_change({last.m_era, 0});
        m_era_change = {before, m_last_change, m_missing, m_outdated};
    }
    return is_changed;
}

/// Removes what a peer saw removed before an era. If the store returned since,
/// those upstreams left for good and get no time to register again.
bool upstream_directory::remove_earlier(
    time_point now, std::span<directory_record const> records, store_era era)
{
    bool is_changed = false;
    for (auto const& record : records)
    {
        bool const is_earlier =
            record.m_is_removed && record.m_position.m_era < era;
        is_changed = (is_earlier && remove(now, record)) || is_changed;
    }
    return is_changed;
}

bool upstream_directory::remove_unlisted(
    time_point now,
    std::span<directory_record const> records,
    log_position last)
{
    std::set<std::string_view> listed_keys;
    for (auto const& record : records)
    {
        if (!record.m_is_removed)
        {
            listed_keys.insert(record.m_key);
        }
    }
    std::vector<std::string> missing_keys;
    for (auto const& [key, entry] : m_entries)
    {
        if (!listed_keys.contains(key))
        {
            missing_keys.push_back(key);
        }
    }
    m_missing = missing_keys.size();
    bool is_changed = false;
    for (auto const& key : missing_keys)
    {
        is_changed = remove(now, {key, {}, true, last}) || is_changed;
    }
    return is_changed;
}

void upstream_directory::advance_last_change(log_position position)
{
    m_last_change = std::max(m_last_change, position);
}

void upstream_directory::record_history_gap(
    log_position begin, log_position end)
{
    if (begin >= end)
    {
        return;
    }
    m_history_start = std::max(m_history_start, m_gap_end);
    m_gap_begin = begin;
    m_gap_end = end;
}

/// True if all changes after the position are known.
bool upstream_directory::has_history_since(log_position position) const
{
    bool const is_in_gap = m_gap_begin < position && position < m_gap_end;
    return position != log_position{} &&
           position.m_era == m_last_change.m_era &&
           position >= m_history_start && !is_in_gap;
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
            auto& expired = entry->second;
            record_removal(
                now,
                entry->first,
                {expired.m_removal_position,
                 expired.m_value.m_start_time,
                 expired.m_value.m_sequence,
                 std::move(expired.m_encoded_value),
                 {},
                 {}});
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
upstream_directory::changes_since(log_position position) const
{
    change_set result;
    result.m_is_snapshot = !has_history_since(position);
    result.m_last_change = m_last_change;
    auto const is_wanted = [&](log_position change)
    {
        return result.m_is_snapshot || change > position;
    };
    for (auto const& [key, entry] : m_entries)
    {
        if (is_wanted(entry.m_change_position))
        {
            result.m_records.push_back(
                {key, entry.m_encoded_value, false, entry.m_position});
        }
        if (entry.m_removal_due && is_wanted(entry.m_removal_position))
        {
            result.m_records.push_back(
                {key, entry.m_encoded_value, true, entry.m_removal_position});
        }
    }
    for (auto const& [key, removed] : m_tombstones)
    {
        auto const change =
            std::max(removed.m_position, removed.m_change_position);
        if (is_wanted(change))
        {
            result.m_records.push_back(
                {key, removed.m_encoded_value, true, removed.m_position});
        }
    }
    return result;
}

upstream_directory::change_set
upstream_directory::departures(time_point now) const
{
    change_set result;
    result.m_last_change = m_last_change;
    for (auto const& [key, entry] : m_entries)
    {
        if (entry.m_value.m_upstream.m_state == vm_state::leaving)
        {
            result.m_records.push_back(
                {key, entry.m_encoded_value, false, entry.m_position});
        }
    }
    for (auto const& [key, removed] : m_tombstones)
    {
        if (now - removed.m_recorded < late_write_period)
        {
            result.m_records.push_back(
                {key, removed.m_encoded_value, true, removed.m_position});
        }
    }
    return result;
}

} // namespace briarhub
