#ifndef BRIARHUB_CLAIM_WRITER_HPP
#define BRIARHUB_CLAIM_WRITER_HPP

/// Decides which VM may send a non-idempotent request. Batches claims, outcomes
/// and releases into records of the claims stream, within the fleet's append
/// budget, and decides each claim from the folded log. The code does no I/O and
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

/// Append budget of the claims stream per second, for all VMs together.
inline constexpr double claim_append_budget_per_second = 300.0;

/// This VM won the claim and may send the request.
struct claim_won
{
    claim_id m_claim_id;
};

/// Another attempt ran the request; holds its stored response.
struct claim_finished
{
    claim_outcome m_outcome;
};

/// The request must not be sent. The code is `claims_unavailable`,
/// `claim_in_progress`, `claim_in_doubt`, `idempotency_key_reused`,
/// `idempotency_key_expired` or `outcome_not_stored`.
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

/// Delay before the next append after a failed one, which appends its outcomes
/// and releases again. Bounds the request rate at the log during an outage.
inline constexpr std::chrono::milliseconds append_retry_interval{250};

/// Limit of claims per request. A request claims again when the holder of its
/// name is released.
inline constexpr unsigned max_claim_attempts = 16;

/// Limit of abandoned claims that are tracked, to release them when they appear
/// in the log. Above the limit the oldest are dropped. A dropped claim that
/// appears later holds its name without an outcome, which is safe: the request
/// is never sent twice.
inline constexpr std::size_t max_abandoned_claims = 16384;

/// Entries are added to a record up to this size. A single larger entry gets
/// its own record, which stays below the platform's limit of 256 KiB.
inline constexpr std::size_t max_batch_bytes = 128 * 1024;

/// If no record is folded for this long, an empty heartbeat record is appended.
/// A VM that starts covers keys from the oldest retained record on, so with an
/// empty stream it would reject every key.
inline constexpr std::chrono::minutes heartbeat_record_interval{10};

/// A heartbeat record that is not folded within this time is appended again.
inline constexpr std::chrono::seconds heartbeat_record_retry_interval{5};

/// A request claims the right to be sent, waits until its claim is folded, and
/// then is won, finished or refused. A refusal as `not_run` guarantees that
/// this attempt sent nothing and never will. If the table holds a claim of
/// another attempt with the same digest, no request is refused as `not_run`.
class claim_writer
{
public:
    explicit claim_writer(member self);

    /// Claims the right to send a request before `deadline`. `poll` returns
    /// exactly one decision for the ticket, unless it is cancelled.
    void request(
        time_point now,
        request_ticket ticket,
        claim_name name,
        std::string request_digest,
        time_point deadline);

    /// Drops an undecided request whose caller disconnected. A decision that
    /// `poll` already returned stays valid: the receiver of `claim_won` must
    /// release the claim.
    void cancel(request_ticket ticket);

    /// Appends the outcome, known or unknown, of a won claim whose request was
    /// sent.
    void record_outcome(claim_outcome outcome);

    /// Frees the name of a won claim whose request was not sent.
    void release(claim_release release);

    void set_member_count(std::size_t count);

    /// Starts an append and returns its record, if one is due. At most one
    /// append is in flight.
    std::optional<std::string> start_append(time_point now);

    /// The log acknowledged the append with its offset.
    void append_succeeded(time_point now, log_offset offset);

    /// The record is certainly not in the log: the log rejected it, or there
    /// was no connection. Its claims are refused; outcomes and releases are
    /// queued again.
    void append_refused(time_point now);

    /// The record may be in the log. Its claims are abandoned and refused, and
    /// released when they appear in the log. Outcomes and releases are appended
    /// again; the fold ignores duplicates.
    void append_unknown(time_point now);

    /// Returns decisions for requests that the folded log decides and for those
    /// past their deadline.
    std::vector<claim_decision> poll(time_point now, claim_table const& table);

    /// True while a request waits for records that are not folded yet.
    [[nodiscard]] bool needs_read(claim_table const& table) const;

    /// When `start_append` or `poll` must be called next, unless the log
    /// answers earlier. The maximum if nothing is pending.
    [[nodiscard]] time_point next_poll() const;

    /// True while outcomes or releases lack an acknowledgement of the log.
    [[nodiscard]] bool has_unacknowledged() const;

private:
    /// State of a request's current claim.
    enum class claim_stage
    {
        queued,    ///< not sent to the log
        in_flight, ///< sent; the log has not answered yet
        appended,  ///< in the log at `m_offset`
        refused,   ///< certainly not in the log; the log is unavailable
        unknown,   ///< may be in the log or reach it later
        none       ///< lost or withdrawn, since another claim holds the name
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
    /// Abandoned claims that may still appear in the log, by sequence number.
    std::map<std::uint64_t, claim_name> m_abandoned;
    /// The log before this offset was searched for abandoned claims.
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
