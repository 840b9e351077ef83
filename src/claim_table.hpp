#ifndef BRIARHUB_CLAIM_TABLE_HPP
#define BRIARHUB_CLAIM_TABLE_HPP

/// Deterministic fold of a claims stream: who may run a non-idempotent
/// request, and its outcome. Pure: no I/O, reads no clock.

#include "types.hpp"

#include <cstdint>
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

/// Names a request across retries.
struct claim_name
{
    account_name m_account;
    std::string m_idempotency_key;

    friend auto operator<=>(claim_name const&, claim_name const&) = default;
};

/// Identifies one claim for ever.
struct claim_author
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    std::uint64_t m_sequence = 0;

    friend bool operator==(claim_author const&, claim_author const&) = default;
};

struct claim
{
    claim_name m_name;
    claim_author m_author;
    std::string m_request_digest; ///< hex SHA-256 of method, path and body
};

/// The stored answer of a request that ran, or the note that it is unknown.
struct claim_outcome
{
    claim_name m_name;
    claim_author m_author;
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
    claim_author m_author;
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

class claim_table
{
public:
    /// Folds one record. Records must come in the order of their offsets; an
    /// offset that was folded before is ignored.
    void fold(log_record const& record);

    /// Tells the table that the stream was read without a gap from a record
    /// appended at `since`.
    void set_covered_since(wall_time since);

    /// Claims of requests with a key time at or after this are all known.
    [[nodiscard]] wall_time covered_since() const;

    [[nodiscard]] log_offset next_offset() const;

    /// The claim that holds the name, if any.
    [[nodiscard]] claim_view const* find(claim_name const& name) const;

    /// Claims without a known outcome, oldest first.
    [[nodiscard]] std::vector<claim_view> unresolved() const;

    /// Forgets claims appended before `horizon`; moves `covered_since`.
    void expire(wall_time horizon);

    [[nodiscard]] std::size_t size() const;

private:
    struct name_hash
    {
        std::size_t operator()(claim_name const& name) const noexcept;
    };

    void fold_entry(log_record const& record, claim const& entry);
    void fold_entry(log_record const& record, claim_outcome const& entry);
    void fold_entry(log_record const& record, claim_release const& entry);

    std::unordered_map<claim_name, claim_view, name_hash> m_claims;
    log_offset m_next_offset = 0;
    wall_time m_covered_since{};
};

} // namespace briarhub

#endif
