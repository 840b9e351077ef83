#ifndef BRIARHUB_UPSTREAM_DIRECTORY_HPP
#define BRIARHUB_UPSTREAM_DIRECTORY_HPP

/// The endpoint set: all upstreams that are registered in the store. Each
/// change carries its store offset, so that a peer can fetch only the changes
/// after the last one it has applied. Does no I/O and reads no clock.

#include "fleet_policy.hpp"
#include "fleet_store.hpp"

#include <chrono>
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

/// Entries of live upstreams can expire while the store is unavailable. An
/// upstream that has not registered again this long after the store recovers
/// is removed.
inline constexpr std::chrono::milliseconds removal_grace_period{2000};

class upstream_directory
{
public:
    using decoder = std::function<std::variant<upstream_entry, decode_failure>(
        std::string_view key, std::string_view value)>;
    using reject_handler =
        std::function<void(std::string const& key, std::string const& reason)>;

    upstream_directory(decoder decode, reject_handler on_reject);

    /// Applies records in the order of their offsets. Returns true if an
    /// upstream was added or removed, or changed more than its sequence number
    /// and the warm-up time that has passed since.
    bool apply(time_point now, std::span<store_record const> records);

    struct change_set;
    /// Applies the changes or the snapshot that a peer sent.
    bool adopt(time_point now, change_set const& peer_changes);

    /// Applies a snapshot, which has the latest record of every key before the
    /// offset `end`. Entries whose keys it lacks are removed.
    bool apply_snapshot(
        time_point now, std::span<store_record const> records, log_offset end);

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

    /// Returns the offset of the last change.
    [[nodiscard]] log_offset last_change() const
    {
        return m_last_change;
    }

    /// The records that changed after an offset. `m_is_snapshot` is set if the
    /// change history after that offset is not complete; then all entries are
    /// included.
    struct change_set
    {
        bool m_is_snapshot = false;
        std::vector<store_record> m_records;
        log_offset m_last_change = 0;
    };
    [[nodiscard]] change_set changes_since(log_offset offset) const;

private:
    struct directory_entry
    {
        upstream_entry m_value;
        std::string m_encoded_value; ///< as stored in the store
        log_offset m_offset = 0;
        log_offset m_change_offset = 0;
        std::optional<time_point> m_removal_due;
        log_offset m_removal_offset = 0; ///< of the deferred removal
        time_point m_warm_at{}; ///< as of the last change; the epoch if warm
    };

    bool apply_record(time_point now, store_record const& record);
    bool remove(time_point now, std::string const& key, log_offset offset);
    bool put(time_point now, store_record const& record);
    void record_removal(std::string const& key, log_offset offset);
    void advance_last_change(log_offset offset);
    void record_history_gap(log_offset begin, log_offset end);
    [[nodiscard]] bool has_history_since(log_offset offset) const;

    decoder m_decode;
    reject_handler m_on_reject;
    std::map<std::string, directory_entry> m_entries;
    std::map<std::string, log_offset> m_tombstones;
    log_offset m_last_change = 0;
    /// A peer whose last change is before this offset gets a snapshot.
    log_offset m_history_start = 0;
    /// Offsets before and of the latest snapshot. Entries that were added and
    /// removed between them are unknown here, but a peer whose last change lies
    /// between them may know them.
    log_offset m_gap_begin = 0;
    log_offset m_gap_end = 0;
    time_point m_removal_grace_end{};
};

} // namespace briarhub

#endif
