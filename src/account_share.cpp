#include "account_share.hpp"

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

template <class Loans>
void take_earliest_end(std::optional<time_point>& earliest, Loans const& loans)
{
    for (auto const& [id, loan] : loans)
    {
        if (!earliest || loan.m_end < *earliest)
        {
            earliest = loan.m_end;
        }
    }
}

/// Removes the loans that end by `at` and returns the sum of their fractions.
template <class Loans>
double erase_ended(Loans& loans, time_point at)
{
    double ended = 0.0;
    std::erase_if(
        loans,
        [&](auto const& entry)
        {
            bool const is_over = entry.second.m_end <= at;
            ended += is_over ? entry.second.m_fraction : 0.0;
            return is_over;
        });
    return ended;
}

} // namespace

account_share::account_share(account_config config)
    : m_config{std::move(config)}
{
}

account_config const& account_share::config() const
{
    return m_config;
}

void account_share::configure(time_point now, account_config const& config)
{
    advance(now);
    m_config = config;
    apply_limits(now);
}

void account_share::add_base(
    time_point now, control_version version, double fraction)
{
    advance(now);
    m_base.add(version, floor_fraction(fraction));
    apply_limits(now);
}

void account_share::restart_base(
    time_point now, control_version version, double fraction)
{
    advance(now);
    m_base.restart(version, floor_fraction(fraction));
    apply_limits(now);
}

void account_share::settle(time_point now, control_version version)
{
    advance(now);
    m_base.settle(version);
    apply_limits(now);
}

void account_share::advance(time_point now)
{
    for (auto end = next_end(); end && *end <= now; end = next_end())
    {
        end_loans(*end);
    }
    m_bucket.advance(now);
}

bool account_share::take()
{
    return m_bucket.take();
}

token_bucket const& account_share::bucket() const
{
    return m_bucket;
}

double account_share::tokens() const
{
    return m_bucket.level();
}

double account_share::base() const
{
    return m_base.in_use();
}

double account_share::lent() const
{
    return m_lent;
}

double account_share::borrowed() const
{
    return m_borrowed;
}

double account_share::lendable() const
{
    return std::max(0.0, base() - m_lent);
}

double account_share::fraction() const
{
    return lendable() + m_borrowed;
}

share_amount
account_share::lend(share_amount const& wanted, share_amount const& kept)
{
    double const burst = m_config.m_burst;
    double const spare =
        std::min(lendable(), fraction() - std::max(0.0, kept.m_fraction));
    double const offered = std::clamp(
        tokens() - kept.m_tokens, 0.0, std::max(0.0, wanted.m_tokens));
    // Rounded up, so that the borrower has room for all of the tokens.
    double const carrier = offered / burst + 2 * fraction_unit;
    double const granted =
        floor_fraction(std::min(std::max(wanted.m_fraction, carrier), spare));
    if (burst <= 0.0 || granted <= 2 * fraction_unit)
    {
        return {};
    }
    // Tokens that do not fit here any more go along instead of being lost.
    double const overflow = tokens() - (fraction() - granted) * burst;
    double const moved = std::clamp(
        std::max(offered, overflow), 0.0, std::min(granted * burst, tokens()));
    return {granted, moved};
}

std::map<loan_id, lent_loan>& account_share::lent_loans()
{
    return m_lent_loans;
}

std::map<loan_id, borrowed_loan> const& account_share::borrowed_loans() const
{
    return m_borrowed_loans;
}

void account_share::record_lent(
    time_point now,
    loan_id id,
    vm_id const& borrower,
    share_amount const& added)
{
    lent_loan& loan = m_lent_loans[id];
    loan.m_borrower = borrower;
    loan.m_fraction += added.m_fraction;
    loan.m_end = now + loan_duration + loan_margin;
    m_lent += added.m_fraction;
    m_bucket.remove(added.m_tokens);
    apply_limits(now);
}

bool account_share::take_back(
    time_point now, loan_id id, vm_id const& borrower, double tokens)
{
    auto const found = m_lent_loans.find(id);
    if (found == m_lent_loans.end() || found->second.m_borrower != borrower)
    {
        return false;
    }
    double const fraction = found->second.m_fraction;
    m_lent_loans.erase(found);
    m_lent -= fraction;
    apply_limits(now);
    m_bucket.add(std::clamp(tokens, 0.0, fraction * m_config.m_burst));
    return true;
}

void account_share::add_borrowed(
    time_point now,
    loan_id id,
    vm_id const& lender,
    share_amount const& added,
    time_point end)
{
    borrowed_loan& loan = m_borrowed_loans[id];
    loan.m_lender = lender;
    loan.m_fraction += added.m_fraction;
    loan.m_end = std::max(loan.m_end, end);
    loan.m_changed_at = added.m_fraction > 0.0 ? now : loan.m_changed_at;
    m_borrowed += added.m_fraction;
    apply_limits(now);
    m_bucket.add(
        std::clamp(added.m_tokens, 0.0, added.m_fraction * m_config.m_burst));
}

share_amount
account_share::give_back(time_point now, loan_id id, double kept_tokens)
{
    auto const found = m_borrowed_loans.find(id);
    if (found == m_borrowed_loans.end())
    {
        return {};
    }
    double const returned = found->second.m_fraction;
    m_borrowed_loans.erase(found);
    double const remaining = (fraction() - returned) * m_config.m_burst;
    double const kept = std::min(kept_tokens, remaining);
    double const moved = std::clamp(
        tokens() - kept, 0.0, std::min(returned * m_config.m_burst, tokens()));
    m_bucket.remove(moved);
    m_borrowed -= returned;
    apply_limits(now);
    return {returned, moved};
}

void account_share::apply_limits(time_point now)
{
    double const used = fraction();
    m_bucket.set_limits(now, used * m_config.m_rate, used * m_config.m_burst);
}

std::optional<time_point> account_share::next_end() const
{
    std::optional<time_point> earliest;
    take_earliest_end(earliest, m_lent_loans);
    take_earliest_end(earliest, m_borrowed_loans);
    return earliest;
}

/// The fraction of a borrowed loan leaves with the tokens that do not fit any
/// more; the fraction of a lent one comes back without tokens.
void account_share::end_loans(time_point at)
{
    m_bucket.advance(at);
    m_lent -= erase_ended(m_lent_loans, at);
    m_borrowed -= erase_ended(m_borrowed_loans, at);
    apply_limits(at);
}

} // namespace briarhub
