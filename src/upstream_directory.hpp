#ifndef BRIARHUB_UPSTREAM_DIRECTORY_HPP
#define BRIARHUB_UPSTREAM_DIRECTORY_HPP

/// The endpoint set: all upstreams that are registered in the store. Each
/// change carries its position in the store, so that a peer can fetch only the
/// changes after the last one it has applied. An upstream's own announcements
/// are ordered by its start time and sequence number, since the store can
/// execute a write late. When the store returns from an older copy, a snapshot
/// of the later era replaces the positions, and what was known of each upstream
/// remains known. Does no I/O and reads no clock.

#include "fleet_policy.hpp"
#include "fleet_store.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace briarhub
{

/// Entries of live upstreams can expire while the store is unavailable, and an
/// older copy of the store lacks the latest ones. An upstream that has not
/// registered again this long after the store recovers is removed.
inline constexpr std::chrono::milliseconds removal_grace_period{2000};

/// The store can execute a write this long after it was sent, far above the
/// timeouts of calls. Removals that are older need no comparison with the
/// announcements of a new process.
inline constexpr std::chrono::seconds late_write_period{30};

/// A record of the directory as peers send it.
struct directory_record
{
    std::string m_key;
    /// The upstream's announcement; the last known one if it was removed, or
    /// empty if none is known.
    std::string m_value;
    bool m_is_removed = false;
    log_position m_position;

    friend bool
    operator==(directory_record const&, directory_record const&) = default;
};

/// What the first snapshot of a later era changed.
struct era_change
{
    log_position m_before; ///< last change before the snapshot
    log_position m_after;
    std::size_t m_missing = 0;  ///< entries that the snapshot lacks
    std::size_t m_outdated = 0; ///< records older than what was known
};

class upstream_directory
{
public:
    using decoder = std::function<std::variant<upstream_entry, decode_failure>(
        std::string_view key, std::string_view value)>;
    using reject_handler =
        std::function<void(std::string const& key, std::string const& reason)>;

    upstream_directory(decoder decode, reject_handler on_reject);

    /// Applies records of an era in the order of their offsets. Returns true if
    /// an upstream was added or removed, or changed more than its sequence
    /// number and the warm-up time that has passed since. Records of an era
    /// other than the directory's have no effect, since changes between them
    /// are unknown.
    bool
    apply(time_point now, store_era era, std::span<store_record const> records);

    struct change_set;
    /// Applies the changes or the snapshot that a peer sent. Those of an older
    /// era have no effect.
    bool adopt(time_point now, change_set const& peer_changes);

    /// Applies what a peer knows of listed upstreams that the store lost when
    /// it returned, or that this process has not seen since it started:
    /// removals, and announcements after those of the store. Does not change
    /// `last_change`.
    bool adopt_lost(time_point now, change_set const& peer_changes);

    /// Applies a snapshot, which has the latest record of every key before the
    /// position `end`. Entries whose keys it lacks are removed; in the first
    /// snapshot of a later era, after `removal_grace_period`. A snapshot of an
    /// older era has no effect.
    bool apply_snapshot(
        time_point now,
        std::span<store_record const> records,
        log_position end);

    /// Called when the store is reachable again after an outage. For the next
    /// `removal_grace_period`, removed live upstreams remain usable, since
    /// their entries may have expired only because of the outage. Peers receive
    /// the removals at once and decide for themselves.
    void start_removal_grace(time_point now);

    /// Removes the entries whose grace period has ended. Returns true if there
    /// was one.
    bool remove_expired(time_point now);

    /// Returns when `remove_expired` is due next, or nullopt if no removal is
    /// deferred.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// Returns the upstreams that may receive new requests. Draining upstreams
    /// are left out.
    [[nodiscard]] std::vector<upstream_entry> usable() const;

    /// Returns the position of the last change.
    [[nodiscard]] log_position last_change() const
    {
        return m_last_change;
    }

    /// The latest change of the era; nullopt if there was none.
    [[nodiscard]] std::optional<era_change> const& last_era_change() const
    {
        return m_era_change;
    }

    /// The records that changed after a position. `m_is_snapshot` is set if the
    /// change history after that position is not complete; then all entries
    /// and all known removals are included.
    struct change_set
    {
        bool m_is_snapshot = false;
        std::vector<directory_record> m_records;
        log_position m_last_change;
    };
    [[nodiscard]] change_set changes_since(log_position position) const;

    /// What a process that starts may not read from the store: upstreams that
    /// are leaving, and the removals of the last `late_write_period`, with the
    /// last announcement before each.
    [[nodiscard]] change_set departures(time_point now) const;

private:
    struct directory_entry
    {
        upstream_entry m_value;
        std::string m_encoded_value; ///< as stored in the store
        log_position m_position;
        log_position m_change_position;
        std::optional<time_point> m_removal_due;
        log_position m_removal_position; ///< of the deferred removal
        time_point m_warm_at{}; ///< as of the last change; the epoch if warm
        /// The store lost the announcement, and its copy differs.
        bool m_is_lost = false;
    };

    /// An upstream that was removed.
    struct tombstone
    {
        log_position m_position; ///< of the removal
        std::uint64_t m_start_time = 0;
        std::uint64_t m_sequence = 0; ///< of the last known announcement
        std::string m_encoded_value;  ///< of that announcement
        /// Peers before it, or before the removal, are told of the removal.
        log_position m_change_position;
        time_point m_recorded{}; ///< when this VM learned of the removal
    };

    bool
    apply_records(time_point now, std::span<directory_record const> records);
    bool apply_record(time_point now, directory_record const& record);
    bool replace(
        time_point now,
        std::span<directory_record const> records,
        log_position last);
    bool remove(time_point now, directory_record const& removal);
    bool adopt_later(time_point now, directory_record const& record);
    void keep_lost(
        directory_entry& entry,
        directory_record const& record,
        upstream_entry const& value);
    void renew_removal(tombstone& removed, log_position position);
    bool remove_earlier(
        time_point now,
        std::span<directory_record const> records,
        store_era era);
    bool remove_unlisted(
        time_point now,
        std::span<directory_record const> records,
        log_position last);
    bool put(time_point now, directory_record const& record);
    void
    add(time_point now, directory_record const& record, upstream_entry value);
    bool update(
        time_point now,
        directory_entry& entry,
        directory_record const& record,
        upstream_entry value);
    [[nodiscard]] bool removes(
        directory_record const& removal, directory_entry const& entry) const;
    [[nodiscard]] bool is_known_removed(
        directory_record const& record, upstream_entry const& value) const;
    void reject_late_write(
        directory_record const& record, tombstone const& removed) const;
    void adopt_last_announcement(
        directory_entry& entry, directory_record const& removal) const;
    [[nodiscard]] bool is_address_reused(
        directory_record const& record, upstream_entry const& value) const;
    [[nodiscard]] bool is_later_era(log_position position) const;
    void remember_removal(time_point now, directory_record const& removal);
    void
    record_removal(time_point now, std::string const& key, tombstone removed);
    void advance_last_change(log_position position);
    void record_history_gap(log_position begin, log_position end);
    [[nodiscard]] bool has_history_since(log_position position) const;

    decoder m_decode;
    reject_handler m_on_reject;
    std::map<std::string, directory_entry> m_entries;
    std::map<std::string, tombstone> m_tombstones;
    log_position m_last_change;
    /// A peer whose last change is before this position gets a snapshot.
    log_position m_history_start;
    /// Positions before and of the latest snapshot. Entries that were added and
    /// removed between them are unknown here, but a peer whose last change lies
    /// between them may know them.
    log_position m_gap_begin;
    log_position m_gap_end;
    time_point m_removal_grace_end{};
    std::optional<era_change> m_era_change;
    std::size_t m_missing = 0;  ///< entries that the last snapshot lacked
    std::size_t m_outdated = 0; ///< records that an older copy still had
};

} // namespace briarhub

#endif
