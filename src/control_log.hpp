#ifndef BRIARHUB_CONTROL_LOG_HPP
#define BRIARHUB_CONTROL_LOG_HPP

/// Replicated state machine of the control stream. Each VM folds the records
/// of the stream, in the order of their offsets, into the same state: the
/// configuration and the members of the fleet. Pure: no I/O, reads no clock.
///
/// Offsets of the stream are consecutive, so a jump is a gap: the records in
/// between were trimmed, and the state is unusable until a snapshot closes the
/// gap.

#include "config.hpp"
#include "types.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhub
{

/// Changes whose results are retained, in fold order.
inline constexpr std::size_t max_retained_changes = 4096;

/// Changes whose errors are retained; for older ones only the status and the
/// versions are. With more, a snapshot would exceed the size of a log record.
inline constexpr std::size_t max_changes_with_errors = 32;

/// Errors retained for one change, and the bytes of each text.
inline constexpr std::size_t max_retained_errors = 4;
inline constexpr std::size_t max_error_bytes = 200;

/// Membership changes that the state retains.
inline constexpr std::size_t max_member_changes = 256;

/// Recent records retained for peers that lag by a few records.
inline constexpr std::size_t max_recent_records = 1024;
inline constexpr std::size_t max_recent_bytes = 4 * 1024 * 1024;

/// Largest record that the platform's log accepts. A state whose snapshot is
/// larger can only be obtained from peers.
inline constexpr std::size_t max_record_bytes = 256 * 1024;

/// `through_offset` of a state that no record was folded into. The offset
/// after it is 0.
inline constexpr log_offset before_first_offset =
    std::numeric_limits<log_offset>::max();

/// A change of the configuration by an operator. Its key withdrawals take
/// effect even if the other operations conflict, unless the change is invalid.
struct change_record
{
    std::string m_change_id; ///< UUID
    config_version m_parent = 0;
    std::vector<config_operation> m_operations;
};

struct join_record
{
    member m_member;
};

inline constexpr std::string_view leave_by_shutdown = "shutdown";
inline constexpr std::string_view leave_by_fence = "fence";

struct leave_record
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    std::string m_reason; ///< "shutdown" or "fence"
};

enum class change_status
{
    accepted,
    conflict, ///< parent was not the current configuration version
    invalid
};

struct change_result
{
    change_status m_status = change_status::accepted;
    /// Versions after the change was folded.
    control_version m_version = 0;
    config_version m_config_version = 0;
    std::vector<config_error> m_errors;

    friend bool
    operator==(change_result const&, change_result const&) = default;
};

/// The change of the members at a version.
struct member_change
{
    control_version m_version = 0;
    std::optional<member> m_joined;
    std::optional<member> m_left;
    /// The process of `m_left` has ended: its VM joined with a later
    /// incarnation, or it left by itself. It never joins again.
    bool m_left_ended = false;

    friend bool
    operator==(member_change const&, member_change const&) = default;
};

/// The members from a version on.
struct member_set
{
    control_version m_version = 0;
    std::vector<member> m_members;

    friend bool operator==(member_set const&, member_set const&) = default;
};

/// All member sets from a version on, without a gap, oldest first.
struct member_history
{
    std::vector<member_set> m_sets;
    std::vector<member> m_ended; ///< incarnations whose process has ended
};

/// The state that the fold produces. Two VMs that folded up to the same offset
/// have equal states.
struct control_state
{
    control_version m_version = 0;
    config_version m_config_version = 0;
    config m_config;
    std::vector<member> m_members;                  ///< in the order of joining
    std::map<std::string, change_result> m_changes; ///< by change id
    std::deque<std::string> m_change_order;         ///< oldest first
    std::set<std::string> m_withdrawn_keys;         ///< key ids, never reused
    std::deque<member_change> m_member_changes;     ///< oldest first
    /// `m_member_changes` is complete for the member sets from this version on.
    control_version m_member_changes_since = 0;

    friend bool
    operator==(control_state const&, control_state const&) = default;
};

/// The member sets that can be derived from a state, for `freshness_tracker`.
member_history get_member_history(control_state const& state);

struct snapshot_record
{
    control_state m_state;
    log_offset m_through_offset = 0;
    /// Highest version that the author knew to be stable. It lets a VM that
    /// starts from the snapshot determine which later versions are stable.
    control_version m_stable_version = 0;

    friend bool
    operator==(snapshot_record const&, snapshot_record const&) = default;
};

using control_record =
    std::variant<change_record, join_record, leave_record, snapshot_record>;

std::string to_record(control_record const& record);

/// Nullopt for records that cannot be parsed; the fold skips them.
std::optional<control_record> parse_control_record(std::string_view text);

/// Effect of one folded record, from which the other threads are updated.
struct fold_effect
{
    bool m_accepted = false;
    bool m_replaced_state = false; ///< a snapshot was installed
    bool m_members_changed = false;
    std::vector<config_operation> m_operations; ///< applied in this order
};

class control_log
{
public:
    /// Folds one record. Offsets must rise; an offset folded before is
    /// ignored. A record that cannot be parsed has no effect.
    fold_effect fold(log_record const& record);

    /// Sets the oldest offset that can be read; to be called before the
    /// records of a read are folded. An offset of 0 in the first call means
    /// that nothing was trimmed, so that an empty state is complete. An offset
    /// above `next_offset` is a gap.
    void set_start_offset(log_offset first);

    /// Replaces the state by a peer's snapshot if that is newer and leaves no
    /// gap to the records read so far. Returns false otherwise.
    bool install_snapshot(snapshot_record const& snapshot);

    /// False until a snapshot or the start of the stream was folded, and after
    /// a gap. While it is false, a read of the stream does not confirm that the
    /// configuration is fresh.
    [[nodiscard]] bool has_state() const;

    [[nodiscard]] control_state const& state() const;
    [[nodiscard]] log_offset next_offset() const;

    /// A snapshot of the current state; requires `has_state`. The caller sets
    /// the stable version, which is not part of the fold.
    [[nodiscard]] snapshot_record make_snapshot() const;

    /// The highest stable version named by a snapshot in the log or from a
    /// peer.
    [[nodiscard]] control_version known_stable_version() const;

    /// When the first record after the newest snapshot's `through_offset` was
    /// appended, so that a snapshot that was appended late does not count as
    /// new. Nullopt if there is no snapshot or that record is no longer
    /// retained.
    [[nodiscard]] std::optional<wall_time> last_snapshot_at() const;

    /// Recently folded records after an offset, for peers that lag by a few
    /// records; nullopt if the first of them is no longer retained.
    [[nodiscard]] std::optional<std::vector<log_record>>
    records_after(log_offset after) const;

private:
    struct fold_visitor;

    void restart_after_gap(log_offset first);
    void retain(log_record const& record);
    void track_snapshot(snapshot_record const& snapshot);
    bool closes_gap(snapshot_record const& snapshot) const;
    void replace_state(snapshot_record const& snapshot);
    fold_effect fold_without_state(
        std::optional<control_record> const& parsed, log_offset offset);

    control_state m_state;
    bool m_has_state = false;
    bool m_started = false;
    log_offset m_next_offset = 0;
    std::vector<log_record> m_buffer; ///< read while there is no state
    std::deque<log_record> m_recent;
    std::size_t m_recent_bytes = 0;
    control_version m_known_stable_version = 0;
    std::optional<wall_time> m_last_snapshot_at;
};

} // namespace briarhub

#endif
