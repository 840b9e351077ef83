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
#include <set>
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
    claim_author m_author;
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

class claim_writer
{
public:
    explicit claim_writer(member self);

    /// Asks for the right to run a request before `deadline`.
    void request(
        time_point now,
        request_ticket ticket,
        claim_name name,
        std::string request_digest,
        time_point deadline);

    /// The caller of an undecided request is gone.
    void cancel(request_ticket ticket);

    /// After the run, or when the author gives the claim up unsent.
    void record_outcome(claim_outcome outcome);
    void release(claim_release release);

    void set_member_count(std::size_t count);

    /// The record to append now, if any; at most one append is in flight.
    std::optional<std::string> take_append(time_point now);

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

    [[nodiscard]] time_point next_poll() const;

private:
    struct pending_claim
    {
        request_ticket m_ticket = 0;
        claim m_claim;
        time_point m_deadline{};
        bool m_appended = false;
        std::optional<log_offset> m_offset;
        bool m_waits_for_winner = false;
        bool m_cancelled = false;
    };

    member m_self;
    std::uint64_t m_next_sequence = 1;
    std::size_t m_member_count = 1;
    std::vector<pending_claim> m_pending;
    std::deque<claim_entry> m_unsent;
    std::vector<claim_entry> m_in_flight;
    /// Claims given up after an unknown append, to be released on sight.
    std::map<std::uint64_t, claim> m_abandoned;
    std::optional<time_point> m_last_append;
};

} // namespace briarhub

#endif
