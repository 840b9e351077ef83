#ifndef BRIARHUB_CLAIM_WRITER_HPP
#define BRIARHUB_CLAIM_WRITER_HPP

/// Batches claims, outcomes and releases into appends within the fleet's
/// append budget, and decides each claim from the folded log. Pure: no I/O,
/// reads no clock.

#include "claim_table.hpp"
#include "result_code.hpp"
#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhub
{

/// Appends per second that all VMs together may make for claims.
inline constexpr double claim_append_budget_per_second = 300.0;

/// This VM won the claim and may send the request.
struct claim_won
{
    claim_id m_claim_id;
};

/// Another attempt ran the request; its stored answer.
struct claim_finished
{
    claim_outcome m_outcome;
};

/// The claim is refused: `claims_unavailable`, `claim_in_progress`,
/// `claim_in_doubt`, `idempotency_key_reused`, `idempotency_key_expired`,
/// `outcome_not_stored`.
struct claim_refused
{
    result_code m_code = result_code::claims_unavailable;
};

using claim_verdict = std::variant<claim_won, claim_finished, claim_refused>;

struct claim_decision
{
    request_ticket m_ticket = 0;
    claim_verdict m_verdict;
};

/// A failed append is not repeated for outcomes and releases before this time
/// has passed, so that an outage of the log costs few requests.
inline constexpr std::chrono::milliseconds append_retry_interval{250};

/// A claim whose name was freed by a release is made again at most this often.
inline constexpr unsigned max_claim_attempts = 16;

/// Abandoned claims that are released when they appear in the log. If more
/// wait, the oldest are forgotten; when they appear they stay in doubt, which
/// is safe.
inline constexpr std::size_t max_abandoned_claims = 16384;

/// Entries are added to a record up to this size; a single entry stays below
/// the platform's limit of 256 KiB.
inline constexpr std::size_t max_batch_bytes = 128 * 1024;

/// If no record was folded for this long, an empty one is appended. A VM that
/// starts covers the time from the oldest record kept, so that a stream without
/// records would make it refuse every key.
inline constexpr std::chrono::minutes heartbeat_record_interval{10};

/// Time for an empty record to be appended and folded.
inline constexpr std::chrono::seconds heartbeat_record_retry_interval{5};

/// A `not_run` refusal means that this attempt sent nothing and never will. If
/// the table holds the claim of another attempt with the same digest, the
/// request is never refused as `not_run`.
class claim_writer
{
public:
    explicit claim_writer(member self);

    /// Asks for the right to run a request before `deadline`. Exactly one
    /// decision follows from `poll`, unless the ticket is cancelled.
    void request(
        time_point now,
        request_ticket ticket,
        claim_name name,
        std::string request_digest,
        time_point deadline);

    /// The caller of an undecided request is gone. A decision that was already
    /// returned stands: the receiver of `claim_won` must release it.
    void cancel(request_ticket ticket);

    /// After the run, or when the author gives the claim up unsent.
    void record_outcome(claim_outcome outcome);
    void release(claim_release release);

    void set_member_count(std::size_t count);

    /// The record to append now, if any; at most one append is in flight.
    std::optional<std::string> start_append(time_point now);

    /// The append was acknowledged at `offset`.
    void append_succeeded(time_point now, log_offset offset);

    /// The append was certainly not made (refused by the log, or no
    /// connection): claims in it are refused, outcomes and releases kept.
    void append_refused(time_point now);

    /// The append may have been made: its claims are given up for good and
    /// refused; they are released when they appear in the log. Outcomes and
    /// releases are appended again, which the fold tolerates.
    void append_unknown(time_point now);

    /// Decides what the folded log allows to decide, and what is past its
    /// deadline.
    std::vector<claim_decision> poll(time_point now, claim_table const& table);

    /// True while a decision waits for records that are not folded yet.
    [[nodiscard]] bool needs_read(claim_table const& table) const;

    /// When `start_append` or `poll` has something to do next, apart from
    /// answers of the log; the maximum if nothing is pending.
    [[nodiscard]] time_point next_poll() const;

    /// Outcomes and releases that are not acknowledged by the log yet.
    [[nodiscard]] bool has_unacknowledged() const;

private:
    /// The claim of the present attempt.
    enum class claim_stage
    {
        queued,    ///< not given to the log
        in_flight, ///< no answer from the log yet
        appended,  ///< in the log at `m_offset`
        refused,   ///< certainly not in the log; the log is not available
        unknown,   ///< may be in the log or appear there later
        none       ///< lost, or not needed: another claim holds the name
    };

    struct pending_claim
    {
        request_ticket m_ticket = 0;
        claim m_claim;
        time_point m_deadline{};
        claim_stage m_stage = claim_stage::queued;
        log_offset m_offset = 0;
        unsigned m_attempts = 0;
        bool m_cancelled = false;
    };

    using optional_verdict = std::optional<claim_verdict>;

    void enqueue(pending_claim& pending);
    void remove_queued(std::uint64_t sequence);
    void set_in_flight_stage(claim_stage stage, log_offset offset = 0);
    void requeue_in_flight();
    void end_append(time_point now, std::chrono::nanoseconds wait);
    void release_abandoned(claim_table const& table);
    void request_heartbeat(time_point now, claim_table const& table);
    void abandon(pending_claim& pending, claim_table const& table);
    static bool
    holds_name(pending_claim const& pending, claim_table const& table);
    static bool may_be_in_unread_log(
        pending_claim const& pending, claim_table const& table);
    optional_verdict
    decide(time_point now, claim_table const& table, pending_claim& pending);
    optional_verdict decide_name_won(
        time_point now, claim_table const& table, pending_claim& own);
    optional_verdict decide_without_claim(
        time_point now, claim_table const& table, pending_claim& pending);
    optional_verdict decide_name_held(
        time_point now,
        claim_view const& holder,
        claim_table const& table,
        pending_claim& pending);
    optional_verdict decide_name_free(
        time_point now, claim_table const& table, pending_claim& pending);
    [[nodiscard]] std::chrono::nanoseconds append_interval() const;

    member m_self;
    std::uint64_t m_next_sequence = 1;
    std::size_t m_member_count = 1;
    std::vector<pending_claim> m_pending;
    std::deque<claim_entry> m_queued_entries;
    std::vector<claim_entry> m_in_flight;
    /// Claims that are given up but may appear in the log, by sequence number.
    std::map<std::uint64_t, claim_name> m_abandoned;
    /// Abandoned claims before this offset were looked for.
    log_offset m_abandoned_scan_offset = 0;
    time_point m_next_append = time_point::min();
    bool m_is_appending = false;
    bool m_heartbeat_due = false;
    log_offset m_last_folded_offset =
        0; ///< the table's next offset at the last poll
    std::optional<time_point> m_last_folded_at;
    time_point m_next_heartbeat = time_point::min();
};

} // namespace briarhub

#endif
