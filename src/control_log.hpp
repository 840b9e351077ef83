#ifndef BRIARHUB_CONTROL_LOG_HPP
#define BRIARHUB_CONTROL_LOG_HPP

/// Deterministic fold of the control stream: configuration and members.
/// Pure: no I/O, reads no clock.

#include "config.hpp"
#include "types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhub
{

/// Change ids whose results are remembered, in fold order.
inline constexpr std::size_t max_remembered_changes = 4096;

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

struct leave_record
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    std::string m_reason; ///< "shutdown" or "fence"
};

enum class change_status
{
    accepted,
    conflict, ///< parent is not the current configuration version
    invalid
};

struct change_result
{
    change_status m_status = change_status::accepted;
    /// Versions after the fold of the change.
    control_version m_version = 0;
    config_version m_config_version = 0;
    std::vector<config_error> m_errors;

    friend bool operator==(change_result const&, change_result const&);
};

/// Everything that the fold produces. Two VMs that folded up to the same
/// offset have equal states.
struct control_state
{
    control_version m_version = 0;
    config_version m_config_version = 0;
    config m_config;
    std::vector<member> m_members;                  ///< in the order of joining
    std::map<std::string, change_result> m_changes; ///< by change id
    std::deque<std::string> m_change_order;         ///< oldest first
    std::set<std::string> m_withdrawn_keys;         ///< key ids, never reused
};

struct snapshot_record
{
    control_state m_state;
    log_offset m_through_offset = 0;
};

using control_record =
    std::variant<change_record, join_record, leave_record, snapshot_record>;

std::string to_record(control_record const& record);

/// Nullopt for records that cannot be parsed; the fold skips them.
std::optional<control_record> parse_control_record(std::string_view text);

/// What one record did, for the other threads.
struct fold_effect
{
    bool m_accepted = false;
    bool m_replaced_state = false; ///< a snapshot was taken over
    bool m_members_changed = false;
    std::vector<config_operation> m_operations; ///< applied in this order
};

class control_log
{
public:
    /// Folds one record. Offsets must rise; an offset folded before is
    /// ignored. `first_kept` is the oldest offset the log keeps.
    fold_effect fold(log_record const& record);

    /// Tells that reading starts at this offset; 0 means that nothing was
    /// trimmed, so that an empty state is complete.
    void start_at(log_offset first);

    /// Takes over a peer's whole state, if it is newer.
    bool adopt(snapshot_record const& snapshot);

    /// False until a snapshot or the start of the stream was folded.
    [[nodiscard]] bool has_state() const;

    [[nodiscard]] control_state const& state() const;
    [[nodiscard]] log_offset next_offset() const;

    /// A snapshot of the present state.
    [[nodiscard]] snapshot_record make_snapshot() const;

    /// Append time of the newest snapshot seen, if any.
    [[nodiscard]] std::optional<wall_time> last_snapshot_at() const;

    /// Records folded lately, for peers that lack a few; nullopt if `after`
    /// is too old.
    [[nodiscard]] std::optional<std::vector<log_record>>
    records_after(log_offset after) const;

private:
    struct fold_visitor;

    control_state m_state;
    bool m_has_state = false;
    bool m_started = false;
    log_offset m_next_offset = 0;
    std::vector<log_record> m_buffer; ///< read before a usable snapshot
    std::deque<log_record> m_recent;
    std::optional<wall_time> m_last_snapshot_at;
};

} // namespace briarhub

#endif
