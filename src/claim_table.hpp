#ifndef BRIARHUB_CLAIM_TABLE_HPP
#define BRIARHUB_CLAIM_TABLE_HPP

/// Deterministic fold of a claims stream: who may run a non-idempotent
/// request, and its outcome. Pure: no I/O, reads no clock.

#include "idempotency_key.hpp"
#include "types.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace briarhub
{

/// Stored bodies are at most this large; of larger ones only the length is
/// kept.
inline constexpr std::size_t max_stored_body_bytes = 16 * 1024;

/// Stored header fields are at most this large together.
inline constexpr std::size_t max_stored_header_bytes = 8 * 1024;

/// Tolerated difference between a VM's clock and the log's.
inline constexpr std::chrono::seconds log_clock_skew{60};

/// A claim is valid only if its key's time is at most this much later than the
/// append of its record. So all valid claims of a key are found from this long
/// before the key's time on, whatever clock the claimers have.
inline constexpr std::chrono::seconds max_key_lead =
    idempotency_key_skew + log_clock_skew;

/// Names a request across retries.
struct claim_name
{
    account_name m_account;
    std::string m_idempotency_key;

    // clang-tidy 14 takes the comparison with 0 in the default for a null.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(claim_name const&, claim_name const&) = default;
};

/// Identifies one claim for ever.
struct claim_id
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    std::uint64_t m_sequence = 0;

    friend bool operator==(claim_id const&, claim_id const&) = default;
};

struct claim
{
    claim_name m_name;
    claim_id m_claim_id;
    std::string m_request_digest; ///< hex SHA-256 of method, path and body
};

/// The stored answer of a request that ran, or the note that it is unknown.
struct claim_outcome
{
    claim_name m_name;
    claim_id m_claim_id;
    bool m_known = false; ///< false: it may have run
    unsigned m_http_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
    std::uint64_t m_body_length = 0;
    bool m_body_stored = false;
};

/// The author sent no byte for the claim and never will.
struct claim_release
{
    claim_name m_name;
    claim_id m_claim_id;
};

using claim_entry = std::variant<claim, claim_outcome, claim_release>;

/// JSON text of a claims record, and back. Nullopt for an unknown format.
std::string to_record(std::span<claim_entry const> entries);
std::optional<std::vector<claim_entry>>
parse_claims_record(std::string_view text);

enum class claim_state
{
    running,  ///< claimed, no outcome in the log
    finished, ///< outcome known
    in_doubt  ///< outcome recorded as unknown
};

struct claim_view
{
    claim m_claim;
    log_offset m_offset = 0;
    wall_time m_claimed_at{};
    claim_state m_state = claim_state::running;
    std::optional<claim_outcome> m_outcome;
};

/// The first claim of a name that is valid and not released holds the name.
/// A claim that finds its name held loses for good, also if the holder is
/// released later: the verdict depends only on the log up to the claim.
class claim_table
{
public:
    /// Folds one record. Records must come in the order of their offsets; an
    /// offset that was folded before is ignored. After a gap, the table starts
    /// anew: claims before the gap may have been released or replaced in it.
    void fold(log_record const& record);

    /// Tells the table that the stream was read without a gap from a record
    /// appended at `since`, or from its start with `wall_time{}`. After a gap
    /// the table does this itself.
    void set_covered_since(wall_time since);

    /// Claims of requests with a key time at or after this are all known. The
    /// maximum until the stream's coverage is known.
    [[nodiscard]] wall_time covered_since() const;

    [[nodiscard]] log_offset next_offset() const;

    /// True if the stream was read to its end, older records were trimmed and
    /// none is left. The table then covers no key until a record is appended.
    [[nodiscard]] bool needs_heartbeat() const;

    /// The claim that holds the name, if any.
    [[nodiscard]] std::optional<claim_view> find(claim_name const& name) const;

    /// Claims without a known outcome, oldest first.
    [[nodiscard]] std::vector<claim_view> unresolved() const;

    /// Claims folded at or after `from` that hold their names, are running and
    /// were made by `id`.
    [[nodiscard]] std::vector<claim_view>
    running_claims(member const& id, log_offset from) const;

    /// Forgets claims appended before `horizon`; moves `covered_since`.
    void expire(wall_time horizon);

    [[nodiscard]] std::size_t size() const;

private:
    using interned_index = std::uint32_t;
    using digest_bytes = std::array<unsigned char, 32>;

    struct compact_name
    {
        uuid_bytes m_uuid{};
        interned_index m_account = 0;

        friend bool
        operator==(compact_name const&, compact_name const&) = default;
    };

    struct name_hash
    {
        std::size_t operator()(compact_name const& name) const noexcept;
    };

    /// A claim in few bytes: many are kept for the time of the retention.
    struct stored_claim
    {
        digest_bytes m_digest{};
        log_offset m_offset = 0;
        wall_time m_claimed_at{};
        std::uint64_t m_sequence = 0;
        std::uint64_t m_log_order = 0; ///< its element of `m_log_order`
        std::unique_ptr<claim_outcome> m_outcome; ///< without name and author
        interned_index m_claim_id = 0;
        claim_state m_state = claim_state::running;
        bool m_released = false; ///< the name is free
    };

    using stored_claims =
        std::unordered_map<compact_name, stored_claim, name_hash>;

    struct log_position
    {
        log_offset m_offset = 0;
        stored_claims::value_type* m_stored_claim = nullptr;
    };

    void fold_entry(log_record const& record, claim const& entry);
    void fold_entry(log_record const& record, claim_outcome& entry);
    void fold_entry(log_record const& record, claim_release const& entry);
    void reset_claims(wall_time since);
    void evict_oldest();
    [[nodiscard]] std::optional<compact_name>
    find_key(claim_name const& name) const;
    interned_index intern_account(account_name const& account);
    interned_index intern_owner(claim_id const& id);
    [[nodiscard]] bool
    has_id(stored_claim const& stored, claim_id const& id) const;
    stored_claim* find_held_claim(claim_name const& name, claim_id const& id);
    [[nodiscard]] bool holds_name(std::size_t position) const;
    [[nodiscard]] claim_view
    to_view(stored_claims::value_type const& stored) const;

    stored_claims m_stored_claims;
    std::size_t m_held_count = 0; ///< holders that are not released
    /// Claims in log order, also released and replaced ones.
    std::deque<log_position> m_log_order;
    std::uint64_t m_first_log_order =
        0; ///< number of the front of `m_log_order`
    std::map<account_name, interned_index, std::less<>> m_account_index;
    std::vector<account_name const*> m_accounts;
    std::map<std::pair<vm_id, incarnation>, interned_index> m_owner_index;
    std::vector<std::pair<vm_id, incarnation> const*> m_owners;
    log_offset m_next_offset = 0;
    wall_time m_covered_since = wall_time::max();
    bool m_is_untrimmed = false; ///< no record of the stream was trimmed
};

} // namespace briarhub

#endif
