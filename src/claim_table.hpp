#ifndef BRIARHUB_CLAIM_TABLE_HPP
#define BRIARHUB_CLAIM_TABLE_HPP

/// Replicated state machine for the deduplication of non-idempotent requests.
/// Each VM folds the records of the claims stream, a shared log, in the same
/// order and gets the same table: which VM may send a request, and the outcome
/// of that request. The code does no I/O and reads no clock.

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

/// Limit of a stored response body. A larger body is not stored, only its
/// length.
inline constexpr std::size_t max_stored_body_bytes = 16 * 1024;

/// Limit of the stored header fields of a response, names and values together.
inline constexpr std::size_t max_stored_header_bytes = 8 * 1024;

/// Maximum accepted difference between a VM's clock and the log's clock.
inline constexpr std::chrono::seconds log_clock_skew{60};

/// A claim is valid only if its key's time is at most this much later than the
/// append time of its record. No valid claim of a key is therefore appended
/// earlier than this before the key's time, whatever the clock of the VM that
/// makes the claim.
inline constexpr std::chrono::seconds max_key_lead =
    idempotency_key_skew + log_clock_skew;

/// What a claim is for: one request, identified across retries by its client
/// account and idempotency key.
struct claim_name
{
    account_name m_account;
    std::string m_idempotency_key;

    // clang-tidy 14 mistakes the 0 in the defaulted comparison for a null.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(claim_name const&, claim_name const&) = default;
};

/// Unique id of a claim: the VM that makes it, that VM's incarnation, and a
/// sequence number within the incarnation. An id is never reused.
struct claim_id
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    std::uint64_t m_sequence = 0;

    friend bool operator==(claim_id const&, claim_id const&) = default;
};

/// A VM's attempt to acquire the right to send a request to an upstream.
struct claim
{
    claim_name m_name;
    claim_id m_claim_id;
    std::string m_request_digest; ///< hex SHA-256 of method, path and body
};

/// The stored response of a request that ran, or a mark that its outcome is
/// unknown.
struct claim_outcome
{
    claim_name m_name;
    claim_id m_claim_id;
    bool m_known = false; ///< false: the request may have run
    unsigned m_http_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
    std::uint64_t m_body_length = 0;
    bool m_body_stored = false;
};

/// Frees the name of a claim. The VM that made the claim has sent no byte of
/// the request and never will.
struct claim_release
{
    claim_name m_name;
    claim_id m_claim_id;
};

using claim_entry = std::variant<claim, claim_outcome, claim_release>;

/// Encodes and decodes a record of the claims stream as JSON. `nullopt` if the
/// text is malformed or its format is unknown.
std::string to_record(std::span<claim_entry const> entries);
std::optional<std::vector<claim_entry>>
parse_claims_record(std::string_view text);

enum class claim_state
{
    running,  ///< claimed, no outcome in the log
    finished, ///< outcome known
    in_doubt  ///< the log holds the outcome as unknown
};

/// A copy of a claim's state in the table.
struct claim_view
{
    claim m_claim;
    log_offset m_offset = 0;
    wall_time m_claimed_at{};
    claim_state m_state = claim_state::running;
    std::optional<claim_outcome> m_outcome;
};

/// The first valid claim of a name in the log holds the name until it is
/// released. A claim of a held name is ignored, also if the holder is released
/// later. Whether a claim wins thus depends only on the log up to that claim.
class claim_table
{
public:
    /// Applies one record. Records must come in offset order; an offset that
    /// was folded before is ignored. A gap in the offsets resets the table,
    /// because records in the gap may release or replace earlier claims.
    void fold(log_record const& record);

    /// Sets the append time of the record from which the stream is read without
    /// a gap; `wall_time{}` means the start of the stream. After a gap `fold`
    /// sets it.
    void set_covered_since(wall_time since);

    /// The table knows all claims of keys with a time at or after this. The
    /// maximum value until `set_covered_since` or a record sets the coverage.
    [[nodiscard]] wall_time covered_since() const;

    [[nodiscard]] log_offset next_offset() const;

    /// True if the stream was read to its end, its older records were trimmed
    /// and none is left. The table then covers no key until a record is
    /// appended, so a heartbeat record is due.
    [[nodiscard]] bool needs_heartbeat() const;

    /// The claim that holds the name, if any.
    [[nodiscard]] std::optional<claim_view> find(claim_name const& name) const;

    /// Claims that hold their names and have no known outcome, in log order.
    [[nodiscard]] std::vector<claim_view> unresolved() const;

    /// Running claims of `owner` that hold their names and whose records have
    /// an offset of at least `from`.
    [[nodiscard]] std::vector<claim_view>
    running_claims(member const& owner, log_offset from) const;

    /// Removes claims appended before `horizon` and advances `covered_since`.
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

    /// A claim in compact form, since the table keeps all claims of the log
    /// retention. Accounts and owners are interned.
    struct stored_claim
    {
        digest_bytes m_digest{};
        log_offset m_offset = 0;
        wall_time m_claimed_at{};
        std::uint64_t m_sequence = 0;
        std::uint64_t m_log_order = 0; ///< its element of the table's log order
        std::unique_ptr<claim_outcome> m_outcome; ///< without name and claim id
        interned_index m_owner = 0;               ///< index in `m_owners`
        claim_state m_state = claim_state::running;
        bool m_released = false; ///< no claim holds the name
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
    std::size_t m_held_count = 0; ///< stored claims that are not released
    /// All claims in log order, including released and replaced ones.
    std::deque<log_position> m_log_order;
    std::uint64_t m_first_log_order =
        0; ///< number of the front of `m_log_order`
    std::map<account_name, interned_index, std::less<>> m_account_index;
    std::vector<account_name const*> m_accounts;
    /// Owners of claims: VMs with their incarnations.
    std::map<std::pair<vm_id, incarnation>, interned_index> m_owner_index;
    std::vector<std::pair<vm_id, incarnation> const*> m_owners;
    log_offset m_next_offset = 0;
    wall_time m_covered_since = wall_time::max();
    bool m_is_untrimmed = false; ///< no record of the stream was trimmed
};

} // namespace briarhub

#endif
