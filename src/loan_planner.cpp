#include "loan_planner.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace briarhub
{
namespace
{

/// Requests counted as waiting at most; more would not change what is asked.
constexpr std::size_t max_waiting = 64;

/// Surplus of a wanted amount that covers rounding.
constexpr double token_slack = 1e-4;

/// A missing fraction below this part of the need is not worth the messages.
constexpr double min_lacking_part = 0.25;

/// A lender that had too little is not asked for this time, doubled with each
/// further refusal up to the limit.
constexpr std::chrono::milliseconds min_refusal_pause{20};
constexpr unsigned max_pause_doublings = 5;

/// Pause between two looks at work that a limit postponed.
constexpr std::chrono::milliseconds plan_interval{20};

/// Messages of a loan that is returned by mistake and requested again.
constexpr double messages_per_loan = 3.0;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

loan_planner::loan_planner(
    account_config const& account, loan_policy const& policy)
    : m_rate{account.m_rate}, m_burst{account.m_burst},
      m_demand{account.m_rate}, m_policy{policy}
{
    m_messages.set_limits(
        time_point{},
        policy.m_account_messages_per_second,
        policy.m_account_message_burst);
}

void loan_planner::set_lenders(
    std::vector<vm_id> lenders, std::size_t home_count)
{
    m_lenders = std::move(lenders);
    m_home_count = home_count;
}

void loan_planner::arrived(time_point now)
{
    m_demand.arrived(now);
}

void loan_planner::add_waiting(time_point since)
{
    if (m_waiting.size() < max_waiting)
    {
        m_waiting.push_back(since);
    }
}

void loan_planner::remove_waiting(time_point since)
{
    auto const found = std::find(m_waiting.begin(), m_waiting.end(), since);
    if (found != m_waiting.end())
    {
        m_waiting.erase(found);
    }
}

double loan_planner::stock(std::chrono::milliseconds span, time_point now) const
{
    return double(m_waiting.size()) +
           m_demand.lower_bound_at(now) * to_seconds(span);
}

share_amount
loan_planner::own_need(account_share const& share, time_point now) const
{
    if (m_rate <= 0.0 || is_idle(share, now))
    {
        return {};
    }
    double const fraction = std::min(
        1.0, m_policy.m_held_demand * m_demand.lower_bound_at(now) / m_rate);
    return {fraction, stock(m_policy.m_low_stock, now)};
}

void loan_planner::plan(account_share& share, loan_context& context)
{
    forget_old(context.m_now);
    if (is_idle(share, context.m_now))
    {
        m_demand.reset();
        return_all(share, context);
        return;
    }
    repeat_requests(share, context);
    renew(share, context);
    return_excess(share, context);
    borrow(share, context);
}

/// Waiting requests that were given up without a word, and replies that would
/// come too late to be of use.
void loan_planner::forget_old(time_point now)
{
    std::erase_if(
        m_waiting,
        [now](time_point since)
        {
            return since + admission_wait < now;
        });
    std::erase_if(
        m_pending,
        [now](auto const& entry)
        {
            return entry.second.m_sent_at + loan_duration <= now;
        });
}

time_point loan_planner::idle_at(account_share const& share) const
{
    double const loans = double(share.borrowed_loans().size());
    return m_demand.idle_at(messages_per_loan * std::max(1.0, loans));
}

bool loan_planner::is_idle(account_share const& share, time_point now) const
{
    return m_waiting.empty() && now >= idle_at(share);
}

void loan_planner::return_all(account_share& share, loan_context& context)
{
    while (!share.borrowed_loans().empty())
    {
        give_back(share, share.borrowed_loans().begin()->first, 0.0, context);
    }
}

/// A return is sent even when the message limit is reached, since each loan
/// passed the limit when it was requested; it delays the next request instead.
void loan_planner::give_back(
    account_share& share, loan_id id, double kept_tokens, loan_context& context)
{
    vm_id const lender = share.borrowed_loans().at(id).m_lender;
    auto const [fraction, tokens] =
        share.give_back(context.m_now, id, kept_tokens);
    m_messages.remove(1.0);
    context.m_messages.remove(1.0);
    // A reply that is still under way must not revive the loan.
    std::erase_if(
        m_pending,
        [id = id](auto const& entry)
        {
            return entry.second.m_renewed_loan == id;
        });
    context.m_outgoing.push_back(
        {lender, loan_return{share.config().m_name, id, fraction, tokens}});
}

/// A rare caller returns its loan at once; under steady demand the loan would
/// soon be requested again.
bool loan_planner::is_held(borrowed_loan const& loan, time_point now) const
{
    return m_demand.lower_bound_at(now) > 0.0 &&
           now < loan.m_changed_at + m_policy.m_hold;
}

void loan_planner::recall(
    account_share& share, loan_id id, loan_context& context)
{
    auto const found = share.borrowed_loans().find(id);
    if (found == share.borrowed_loans().end() || !m_waiting.empty())
    {
        return;
    }
    share_amount const need = own_need(share, context.m_now);
    double const rest = share.fraction() - found->second.m_fraction;
    // Between rare requests the tokens serve a request that waits elsewhere.
    bool const is_frequent =
        m_demand.at(context.m_now) * to_seconds(admission_wait) > 0.5;
    bool const is_needed =
        is_frequent && rest < need.m_fraction * m_policy.m_recall_above &&
        share.tokens() < stock(m_policy.m_recall_stock, context.m_now) + 1.0;
    if (!is_needed)
    {
        give_back(
            share, id, stock(m_policy.m_low_stock, context.m_now), context);
    }
}

bool loan_planner::send_recalls(
    account_share& share,
    vm_id const& requester,
    double lacking_fraction,
    loan_context& context)
{
    std::vector<std::pair<double, loan_id>> loans;
    for (auto const& [id, loan] : share.lent_loans())
    {
        bool const is_asked =
            loan.m_recalled_at + m_policy.m_recall_pause > context.m_now;
        if (loan.m_borrower != requester && !is_asked)
        {
            loans.emplace_back(loan.m_fraction, id);
        }
    }
    std::sort(loans.begin(), loans.end(), std::greater<>{});
    bool is_sent = false;
    for (auto const& [fraction, id] : loans)
    {
        if (lacking_fraction <= 0.0 || !may_send(context))
        {
            break;
        }
        is_sent = true;
        lent_loan& loan = share.lent_loans().at(id);
        loan.m_recalled_at = context.m_now;
        lacking_fraction -= fraction;
        context.m_outgoing.push_back(
            {loan.m_borrower,
             loan_return{share.config().m_name, id, 0.0, 0.0}});
    }
    return is_sent;
}

void loan_planner::return_excess(account_share& share, loan_context& context)
{
    share_amount const need = own_need(share, context.m_now);
    double const kept_fraction = need.m_fraction * m_policy.m_return_above;
    double const kept_tokens = stock(m_policy.m_batch, context.m_now);
    std::vector<loan_id> excess;
    double fraction = share.fraction();
    for (auto const& [id, loan] : share.borrowed_loans())
    {
        double const rest = fraction - loan.m_fraction;
        if (rest >= kept_fraction && m_waiting.empty() &&
            !is_held(loan, context.m_now))
        {
            excess.push_back(id);
            fraction = rest;
        }
    }
    for (loan_id const id : excess)
    {
        give_back(share, id, kept_tokens, context);
    }
}

void loan_planner::renew(account_share& share, loan_context& context)
{
    time_point const now = context.m_now;
    std::vector<std::pair<loan_id, vm_id>> due;
    for (auto const& [id, loan] : share.borrowed_loans())
    {
        if (loan.m_end - renewal_lead <= now && !is_asked(loan.m_lender, now) &&
            !is_paused(loan.m_lender, now))
        {
            due.emplace_back(id, loan.m_lender);
        }
    }
    for (auto const& [id, lender] : due)
    {
        ask(share, lender, {}, context);
    }
}

/// Without the repetition the lender would keep a loan that never arrived out
/// of use until its end.
void loan_planner::repeat_requests(
    account_share const& share, loan_context& context)
{
    for (auto& [id, request] : m_pending)
    {
        bool const is_due =
            request.m_last_sent_at + reply_timeout <= context.m_now;
        if (!is_due || request.m_sends == max_request_sends ||
            !may_send(context))
        {
            continue;
        }
        request.m_last_sent_at = context.m_now;
        ++request.m_sends;
        context.m_outgoing.push_back(
            {request.m_lender,
             loan_request{
                 share.config().m_name,
                 id,
                 request.m_renewed_loan,
                 request.m_wanted.m_fraction,
                 request.m_wanted.m_tokens}});
    }
}

bool loan_planner::is_asked(vm_id const& lender, time_point now) const
{
    return std::any_of(
        m_pending.begin(),
        m_pending.end(),
        [&](auto const& entry)
        {
            return entry.second.m_lender == lender &&
                   entry.second.m_last_sent_at + reply_timeout > now;
        });
}

share_amount loan_planner::pending(time_point now) const
{
    share_amount sum;
    for (auto const& [id, request] : m_pending)
    {
        if (request.m_last_sent_at + reply_timeout > now)
        {
            sum.m_fraction += request.m_wanted.m_fraction;
            sum.m_tokens += request.m_wanted.m_tokens;
        }
    }
    return sum;
}

bool loan_planner::is_paused(vm_id const& lender, time_point now) const
{
    auto const refusals = m_refusals.find(lender);
    return refusals != m_refusals.end() && refusals->second.m_pause_until > now;
}

std::vector<vm_id> loan_planner::usable_lenders(loan_context& context) const
{
    std::vector<vm_id> usable;
    for (vm_id const& lender : m_lenders)
    {
        if (!is_paused(lender, context.m_now) &&
            !is_asked(lender, context.m_now))
        {
            usable.push_back(lender);
        }
    }
    std::shuffle(usable.begin(), usable.end(), context.m_random);
    return usable;
}

void loan_planner::borrow(account_share& share, loan_context& context)
{
    time_point const now = context.m_now;
    share_amount const expected = pending(now);
    share_amount const need = own_need(share, now);
    double const tokens = share.tokens() + expected.m_tokens;
    double const fraction =
        need.m_fraction - share.fraction() - expected.m_fraction;
    bool const lacks_tokens = tokens < need.m_tokens;
    bool const lacks_fraction = fraction > min_lacking_part * need.m_fraction;
    if (!lacks_tokens && !lacks_fraction)
    {
        return;
    }
    double const batch = std::max(1.0, stock(m_policy.m_batch, now));
    double const missing =
        lacks_tokens ? std::max(0.0, batch - tokens + token_slack) : 0.0;
    // This VM's own loans to others are the nearest reserve.
    if (!m_waiting.empty() && missing > 0.0)
    {
        send_recalls(share, {}, missing / m_burst, context);
    }
    ask_lenders(share, {fraction, missing}, context);
}

/// Asks each lender for at most the share of a home.
void loan_planner::ask_lenders(
    account_share const& share, share_amount missing, loan_context& context)
{
    double const home_fraction =
        1.0 / double(std::max<std::size_t>(1, m_home_count));
    std::size_t asked = 0;
    for (vm_id const& lender : usable_lenders(context))
    {
        bool const is_enough =
            missing.m_fraction <= 0.0 && missing.m_tokens <= 0.0;
        share_amount const wanted{
            std::clamp(missing.m_fraction, 0.0, home_fraction),
            std::clamp(missing.m_tokens, 0.0, home_fraction * m_burst)};
        if (is_enough || asked == m_policy.m_lenders ||
            !ask(share, lender, wanted, context))
        {
            return;
        }
        missing.m_fraction -= wanted.m_fraction;
        missing.m_tokens -= wanted.m_tokens;
        ++asked;
    }
}

bool loan_planner::may_send(loan_context& context)
{
    m_messages.advance(context.m_now);
    if (m_messages.level() < 1.0 || !context.m_messages.take())
    {
        return false;
    }
    return m_messages.take();
}

/// Requests a loan, or an addition to the present loan of the same lender.
bool loan_planner::ask(
    account_share const& share,
    vm_id const& lender,
    share_amount const& wanted,
    loan_context& context)
{
    if (!may_send(context))
    {
        return false;
    }
    loan_id renewed = 0;
    for (auto const& [id, loan] : share.borrowed_loans())
    {
        renewed = loan.m_lender == lender ? id : renewed;
    }
    std::uint64_t const id = context.m_next_id++;
    m_pending[id] = {lender, renewed, context.m_now, context.m_now, 1, wanted};
    context.m_outgoing.push_back(
        {lender,
         loan_request{
             share.config().m_name,
             id,
             renewed,
             wanted.m_fraction,
             wanted.m_tokens}});
    return true;
}

/// Pauses double with each refusal, so that lenders without stock cost few
/// messages.
void loan_planner::note_grant(vm_id const& lender, bool is_full, time_point now)
{
    if (is_full)
    {
        m_refusals.erase(lender);
        return;
    }
    lender_refusals& refusals = m_refusals[lender];
    unsigned const doublings = std::min(refusals.m_count, max_pause_doublings);
    refusals.m_pause_until = now + min_refusal_pause * (1U << doublings);
    ++refusals.m_count;
}

void loan_planner::receive(
    account_share& share,
    time_point now,
    vm_id const& from,
    loan_reply const& reply)
{
    auto const found = m_pending.find(reply.m_request_id);
    if (found == m_pending.end() || found->second.m_lender != from)
    {
        return;
    }
    pending_request const request = found->second;
    m_pending.erase(found);
    bool const is_short =
        reply.m_loan_id == 0 ||
        reply.m_tokens + 2 * token_slack < request.m_wanted.m_tokens;
    note_grant(from, !is_short, now);
    if (reply.m_loan_id == 0)
    {
        return;
    }
    accept(share, now, request, reply);
}

/// A reply is taken only while its loan runs and has not been returned.
void loan_planner::accept(
    account_share& share,
    time_point now,
    pending_request const& request,
    loan_reply const& reply)
{
    auto const& loans = share.borrowed_loans();
    bool const is_known = loans.contains(reply.m_loan_id);
    bool const is_renewal = request.m_renewed_loan != 0;
    bool const matches =
        is_renewal ? is_known && reply.m_loan_id == request.m_renewed_loan
                   : !is_known;
    auto const span = std::min<duration>(reply.m_duration, loan_duration);
    time_point const end = request.m_sent_at + span;
    if (!matches || end <= now)
    {
        return;
    }
    share.add_borrowed(
        now,
        reply.m_loan_id,
        request.m_lender,
        {reply.m_fraction, reply.m_tokens},
        end);
}

std::optional<time_point>
loan_planner::next_plan(account_share const& share, time_point now) const
{
    bool const is_quiet = share.borrowed_loans().empty() && m_waiting.empty() &&
                          m_pending.empty();
    if (is_quiet && is_idle(share, now))
    {
        return std::nullopt;
    }
    time_point next = std::max(idle_at(share), now + plan_interval);
    for (auto const& [id, loan] : share.borrowed_loans())
    {
        next = std::min(next, loan.m_end - renewal_lead);
    }
    for (auto const& [id, request] : m_pending)
    {
        if (request.m_sends < max_request_sends)
        {
            next = std::min(next, request.m_last_sent_at + reply_timeout);
        }
    }
    return std::max(next, now + plan_interval);
}

} // namespace briarhub
