#include "claim_writer.hpp"

#include "idempotency_key.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace briarhub
{
namespace
{

/// Upper bound of an entry's JSON without its headers and body.
constexpr std::size_t entry_overhead_bytes = 512;

/// Upper bound of an entry's size in a record. JSON escapes at most double
/// plain text, and base64 adds a third.
std::size_t record_size(claim_entry const& entry)
{
    auto const* const outcome = std::get_if<claim_outcome>(&entry);
    std::size_t size = entry_overhead_bytes;
    if (outcome != nullptr)
    {
        size += 2 * outcome->m_body.size();
        for (auto const& [name, value] : outcome->m_headers)
        {
            size += 2 * (name.size() + value.size()) + entry_overhead_bytes / 8;
        }
    }
    return size;
}

std::size_t header_bytes(claim_outcome const& outcome)
{
    std::size_t size = 0;
    for (auto const& [name, value] : outcome.m_headers)
    {
        size += name.size() + value.size();
    }
    return size;
}

/// Converts the key to canonical text, so that a retry with an upper-case key
/// claims the same name.
void normalise(claim_name& name)
{
    if (auto const uuid = parse_uuid_v7(name.m_idempotency_key))
    {
        name.m_idempotency_key = to_text(*uuid);
    }
}

bool is_key_covered(claim_name const& name, claim_table const& table)
{
    auto const time = uuid_v7_time(name.m_idempotency_key);
    return time && *time >= table.covered_since();
}

/// The refusal for a key that the table does not cover. Until the table's
/// coverage is known it covers no key, so such a key need not be expired.
result_code uncovered_code(claim_table const& table)
{
    return table.covered_since() == wall_time::max()
               ? result_code::claims_unavailable
               : result_code::idempotency_key_expired;
}

claim_release make_release(claim const& released)
{
    return {released.m_name, released.m_claim_id};
}

claim_verdict finished_verdict(claim_outcome const& outcome)
{
    if (!outcome.m_body_stored)
    {
        return claim_refused{result_code::outcome_not_stored};
    }
    return claim_finished{outcome};
}

} // namespace

claim_writer::claim_writer(member self) : m_self(std::move(self))
{
}

void claim_writer::request(
    time_point /*now*/,
    request_ticket ticket,
    claim_name name,
    std::string request_digest,
    time_point deadline)
{
    normalise(name);
    pending_claim pending;
    pending.m_ticket = ticket;
    pending.m_claim.m_name = std::move(name);
    pending.m_claim.m_request_digest = std::move(request_digest);
    pending.m_deadline = deadline;
    enqueue(pending);
    m_pending.push_back(std::move(pending));
}

/// Each claim gets a new sequence number, so that the release of an earlier
/// claim of the same request does not release it.
void claim_writer::enqueue(pending_claim& pending)
{
    pending.m_claim.m_claim_id = {
        m_self.m_vm, m_self.m_incarnation, m_next_sequence++};
    pending.m_stage = claim_stage::queued;
    ++pending.m_attempts;
    m_queued_entries.emplace_back(pending.m_claim);
}

void claim_writer::remove_queued(std::uint64_t sequence)
{
    std::erase_if(
        m_queued_entries,
        [&](claim_entry const& entry)
        {
            auto const* const queued = std::get_if<claim>(&entry);
            return queued != nullptr &&
                   queued->m_claim_id.m_sequence == sequence;
        });
}

void claim_writer::cancel(request_ticket ticket)
{
    for (pending_claim& pending : m_pending)
    {
        if (pending.m_ticket == ticket)
        {
            pending.m_cancelled = true;
        }
    }
}

void claim_writer::record_outcome(claim_outcome outcome)
{
    normalise(outcome.m_name);
    if (!outcome.m_known)
    {
        outcome.m_headers.clear();
        outcome.m_body.clear();
    }
    if (outcome.m_body.size() > max_stored_body_bytes ||
        header_bytes(outcome) > max_stored_header_bytes)
    {
        outcome.m_body_length = std::max<std::uint64_t>(
            outcome.m_body_length, outcome.m_body.size());
        outcome.m_body.clear();
        outcome.m_headers.clear();
        outcome.m_body_stored = false;
    }
    m_queued_entries.emplace_back(std::move(outcome));
}

void claim_writer::release(claim_release release)
{
    normalise(release.m_name);
    m_queued_entries.emplace_back(std::move(release));
}

void claim_writer::set_member_count(std::size_t count)
{
    m_member_count = std::max<std::size_t>(count, 1);
}

std::chrono::nanoseconds claim_writer::append_interval() const
{
    std::chrono::duration<double> const seconds{
        static_cast<double>(m_member_count) / claim_append_budget_per_second};
    return std::chrono::duration_cast<std::chrono::nanoseconds>(seconds);
}

std::optional<std::string> claim_writer::start_append(time_point now)
{
    bool const has_record = !m_queued_entries.empty() || m_heartbeat_due;
    if (m_is_appending || !has_record || now < m_next_append)
    {
        return std::nullopt;
    }
    std::size_t size = 0;
    while (!m_queued_entries.empty())
    {
        size += record_size(m_queued_entries.front());
        if (!m_in_flight.empty() && size > max_batch_bytes)
        {
            break;
        }
        m_in_flight.push_back(std::move(m_queued_entries.front()));
        m_queued_entries.pop_front();
    }
    set_in_flight_stage(claim_stage::in_flight);
    m_next_append = now + append_interval();
    m_is_appending = true;
    m_heartbeat_due = false;
    return to_record(m_in_flight);
}

/// Sets the stage of the claims in the current append.
void claim_writer::set_in_flight_stage(claim_stage stage, log_offset offset)
{
    std::unordered_set<std::uint64_t> sequences;
    for (claim_entry const& entry : m_in_flight)
    {
        if (auto const* const sent = std::get_if<claim>(&entry))
        {
            sequences.insert(sent->m_claim_id.m_sequence);
        }
    }
    for (pending_claim& pending : m_pending)
    {
        if (sequences.contains(pending.m_claim.m_claim_id.m_sequence))
        {
            pending.m_stage = stage;
            pending.m_offset = offset;
        }
    }
}

/// Puts outcomes and releases of the failed append back at the front of the
/// queue.
void claim_writer::requeue_in_flight()
{
    for (auto entry = m_in_flight.rbegin(); entry != m_in_flight.rend();
         ++entry)
    {
        if (!std::holds_alternative<claim>(*entry))
        {
            m_queued_entries.push_front(std::move(*entry));
        }
    }
}

void claim_writer::end_append(time_point now, std::chrono::nanoseconds wait)
{
    m_in_flight.clear();
    m_is_appending = false;
    m_next_append = std::max(m_next_append, now + wait);
}

void claim_writer::append_succeeded(time_point now, log_offset offset)
{
    set_in_flight_stage(claim_stage::appended, offset);
    end_append(now, std::chrono::nanoseconds{0});
}

void claim_writer::append_refused(time_point now)
{
    set_in_flight_stage(claim_stage::refused);
    for (claim_entry const& entry : m_in_flight)
    {
        if (auto const* const sent = std::get_if<claim>(&entry))
        {
            m_abandoned.erase(sent->m_claim_id.m_sequence);
        }
    }
    requeue_in_flight();
    end_append(now, append_retry_interval);
}

void claim_writer::append_unknown(time_point now)
{
    set_in_flight_stage(claim_stage::unknown);
    requeue_in_flight();
    end_append(now, append_retry_interval);
}

std::vector<claim_decision>
claim_writer::poll(time_point now, claim_table const& table)
{
    release_abandoned(table);
    request_heartbeat(now, table);
    std::vector<claim_decision> decisions;
    std::vector<pending_claim> undecided;
    for (pending_claim& pending : m_pending)
    {
        if (pending.m_cancelled)
        {
            abandon(pending, table);
            continue;
        }
        auto verdict = decide(now, table, pending);
        if (verdict)
        {
            decisions.push_back({pending.m_ticket, std::move(*verdict)});
            continue;
        }
        undecided.push_back(std::move(pending));
    }
    m_pending = std::move(undecided);
    return decisions;
}

/// Releases abandoned claims that appeared in the log. A release that is
/// appended earlier may precede its claim in the log and would have no effect.
void claim_writer::release_abandoned(claim_table const& table)
{
    log_offset const from = m_abandoned_scan_offset;
    m_abandoned_scan_offset = table.next_offset();
    if (m_abandoned.empty())
    {
        return;
    }
    for (claim_view const& running : table.running_claims(m_self, from))
    {
        if (m_abandoned.erase(running.m_claim.m_claim_id.m_sequence) > 0)
        {
            release(make_release(running.m_claim));
        }
    }
}

/// Requests a heartbeat record if the stream is idle. The interval differs
/// between VMs, so that usually only one VM appends a heartbeat.
void claim_writer::request_heartbeat(time_point now, claim_table const& table)
{
    constexpr incarnation jitter_steps = 64;
    auto const jitter =
        heartbeat_record_interval * (m_self.m_incarnation % jitter_steps);
    auto const interval = heartbeat_record_interval + jitter / jitter_steps;
    bool const has_changed = table.next_offset() != m_last_folded_offset;
    if (!m_last_folded_at || has_changed)
    {
        m_last_folded_offset = table.next_offset();
        m_last_folded_at = now;
    }
    bool const is_idle = now >= *m_last_folded_at + interval;
    if ((is_idle || table.needs_heartbeat()) && now >= m_next_heartbeat)
    {
        m_heartbeat_due = true;
        m_next_heartbeat = now + heartbeat_record_retry_interval;
    }
}

/// Withdraws the request's current claim, so that it never runs: removes it
/// from the queue, releases it, or tracks it as abandoned.
void claim_writer::abandon(pending_claim& pending, claim_table const& table)
{
    claim const& abandoned = pending.m_claim;
    auto const sequence = abandoned.m_claim_id.m_sequence;
    if (pending.m_stage == claim_stage::queued)
    {
        remove_queued(sequence);
    }
    else if (holds_name(pending, table))
    {
        release(make_release(abandoned));
    }
    else if (may_be_in_unread_log(pending, table))
    {
        m_abandoned.emplace(sequence, abandoned.m_name);
        // Sequence numbers increase, so the first element is the oldest.
        if (m_abandoned.size() > max_abandoned_claims)
        {
            m_abandoned.erase(m_abandoned.begin());
        }
    }
    pending.m_stage = claim_stage::none;
}

/// True if the request's current claim holds its name in the table.
bool claim_writer::holds_name(
    pending_claim const& pending, claim_table const& table)
{
    if (pending.m_stage == claim_stage::queued ||
        pending.m_stage == claim_stage::refused ||
        pending.m_stage == claim_stage::none)
    {
        return false;
    }
    auto const holder = table.find(pending.m_claim.m_name);
    return holder && holder->m_claim.m_claim_id == pending.m_claim.m_claim_id;
}

/// True if the request's current claim may be in the part of the log that is
/// not folded yet.
bool claim_writer::may_be_in_unread_log(
    pending_claim const& pending, claim_table const& table)
{
    switch (pending.m_stage)
    {
    case claim_stage::in_flight:
    case claim_stage::unknown:
        return true;
    case claim_stage::appended:
        return table.next_offset() <= pending.m_offset;
    case claim_stage::queued:
    case claim_stage::refused:
    case claim_stage::none:
        return false;
    }
    return false;
}

/// A claim that holds its name wins. A claim that may still appear in the log
/// is waited for. Otherwise the state of the name decides.
claim_writer::optional_verdict claim_writer::decide(
    time_point now, claim_table const& table, pending_claim& pending)
{
    if (pending.m_stage == claim_stage::unknown)
    {
        abandon(pending, table);
        pending.m_stage = claim_stage::refused;
        return decide_without_claim(now, table, pending);
    }
    if (holds_name(pending, table))
    {
        return decide_name_won(now, table, pending);
    }
    if (may_be_in_unread_log(pending, table))
    {
        if (now < pending.m_deadline)
        {
            return std::nullopt;
        }
        abandon(pending, table);
    }
    if (pending.m_stage == claim_stage::appended)
    {
        pending.m_stage = claim_stage::none;
    }
    return decide_without_claim(now, table, pending);
}

claim_writer::optional_verdict claim_writer::decide_name_won(
    time_point now, claim_table const& table, pending_claim& own)
{
    if (now >= own.m_deadline)
    {
        abandon(own, table);
        return claim_refused{result_code::claims_unavailable};
    }
    if (!is_key_covered(own.m_claim.m_name, table))
    {
        // An earlier claim of the same name may have expired from the table.
        abandon(own, table);
        return claim_refused{uncovered_code(table)};
    }
    return claim_won{own.m_claim.m_claim_id};
}

/// Decides a request that has no claim in the log or in flight.
claim_writer::optional_verdict claim_writer::decide_without_claim(
    time_point now, claim_table const& table, pending_claim& pending)
{
    auto const holder = table.find(pending.m_claim.m_name);
    if (holder && holder->m_claim.m_claim_id != pending.m_claim.m_claim_id)
    {
        return decide_name_held(now, *holder, table, pending);
    }
    return decide_name_free(now, table, pending);
}

claim_writer::optional_verdict claim_writer::decide_name_held(
    time_point now,
    claim_view const& holder,
    claim_table const& table,
    pending_claim& pending)
{
    // The request's own claim would lose. It claims again if the holder is
    // released.
    abandon(pending, table);
    if (holder.m_claim.m_request_digest != pending.m_claim.m_request_digest)
    {
        return claim_refused{result_code::idempotency_key_reused};
    }
    if (holder.m_state == claim_state::finished)
    {
        return finished_verdict(*holder.m_outcome);
    }
    claim_id const& id = holder.m_claim.m_claim_id;
    bool const owner_ended =
        id.m_vm == m_self.m_vm && id.m_incarnation != m_self.m_incarnation;
    if (holder.m_state == claim_state::in_doubt || owner_ended)
    {
        return claim_refused{result_code::claim_in_doubt};
    }
    if (now >= pending.m_deadline)
    {
        return claim_refused{result_code::claim_in_progress};
    }
    return std::nullopt;
}

claim_writer::optional_verdict claim_writer::decide_name_free(
    time_point now, claim_table const& table, pending_claim& pending)
{
    if (!is_key_covered(pending.m_claim.m_name, table))
    {
        abandon(pending, table);
        return claim_refused{uncovered_code(table)};
    }
    bool const refused = pending.m_stage == claim_stage::refused;
    bool const exhausted = pending.m_stage == claim_stage::none &&
                           pending.m_attempts >= max_claim_attempts;
    if (refused || exhausted || now >= pending.m_deadline)
    {
        abandon(pending, table);
        return claim_refused{result_code::claims_unavailable};
    }
    if (pending.m_stage == claim_stage::none)
    {
        enqueue(pending);
    }
    return std::nullopt;
}

bool claim_writer::needs_read(claim_table const& table) const
{
    return std::any_of(
        m_pending.begin(),
        m_pending.end(),
        [&](pending_claim const& pending)
        {
            return pending.m_stage == claim_stage::none ||
                   (pending.m_stage == claim_stage::appended &&
                    table.next_offset() <= pending.m_offset);
        });
}

time_point claim_writer::next_poll() const
{
    bool const has_record = !m_queued_entries.empty() || m_heartbeat_due;
    bool const can_append = !m_is_appending && has_record;
    time_point next = can_append ? m_next_append : time_point::max();
    for (pending_claim const& pending : m_pending)
    {
        bool const due = pending.m_cancelled ||
                         pending.m_stage == claim_stage::refused ||
                         pending.m_stage == claim_stage::unknown;
        next = std::min(next, due ? time_point::min() : pending.m_deadline);
    }
    return next;
}

bool claim_writer::has_unacknowledged() const
{
    auto const is_not_claim = [](claim_entry const& entry)
    {
        return !std::holds_alternative<claim>(entry);
    };
    return std::any_of(
               m_queued_entries.begin(),
               m_queued_entries.end(),
               is_not_claim) ||
           std::any_of(m_in_flight.begin(), m_in_flight.end(), is_not_claim);
}

} // namespace briarhub
