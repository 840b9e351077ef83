#ifndef BRIARHUB_ACCOUNT_SHARE_HPP
#define BRIARHUB_ACCOUNT_SHARE_HPP

/// One VM's share of one account: its bucket, its base and its loans. The
/// strict bound rests on this class alone; when and how much to borrow is
/// decided elsewhere.

#include "account_homes.hpp"
#include "token_bucket.hpp"

#include <map>
#include <optional>

namespace briarhub
{

using loan_id = std::uint64_t;

/// A fraction of an account and tokens of it that move together.
struct share_amount
{
    double m_fraction = 0.0;
    double m_tokens = 0.0;
};

struct lent_loan
{
    vm_id m_borrower;
    std::uint64_t m_request_id = 0; ///< latest request granted
    loan_reply m_reply;             ///< answer to that request
    double m_fraction = 0.0;
    time_point m_end{};
    time_point m_recalled_at{};
};

struct borrowed_loan
{
    vm_id m_lender;
    double m_fraction = 0.0;
    time_point m_end{};
    time_point m_changed_at{}; ///< last addition of a fraction
};

class account_share
{
public:
    explicit account_share(account_config config);

    [[nodiscard]] account_config const& config() const;
    void configure(time_point now, account_config const& config);

    /// The base for a version; increases wait until the version settles.
    void add_base(time_point now, control_version version, double fraction);
    void restart_base(time_point now, control_version version, double fraction);
    void settle(time_point now, control_version version);

    /// Ends the loans that are due, in order of time, and refills.
    void advance(time_point now);

    /// The following functions expect `advance` to have been called.
    bool take();
    [[nodiscard]] token_bucket const& bucket() const;
    [[nodiscard]] double tokens() const;
    [[nodiscard]] double base() const;
    [[nodiscard]] double lent() const;
    [[nodiscard]] double borrowed() const;
    [[nodiscard]] double fraction() const; ///< in use here

    /// Fraction that may be lent: base that is not lent. Borrowed fractions
    /// are not lent on, since the bound on a loan's end would not hold.
    [[nodiscard]] double lendable() const;

    /// Lends and returns what was lent: at most `wanted`, at most what is
    /// here after `kept`, with no more tokens than fit the fraction.
    share_amount lend(share_amount const& wanted, share_amount const& kept);

    std::map<loan_id, lent_loan>& lent_loans();
    std::map<loan_id, borrowed_loan> const& borrowed_loans() const;

    /// Enters what `lend` returned under a new or renewed loan.
    void record_lent(
        time_point now,
        loan_id id,
        vm_id const& borrower,
        share_amount const& added);

    /// A returned loan. False if it is unknown, ended or someone else's.
    bool
    take_back(time_point now, loan_id id, vm_id const& borrower, double tokens);

    /// A granted loan, or an addition to a known one, that ends at `end`.
    void add_borrowed(
        time_point now,
        loan_id id,
        vm_id const& lender,
        share_amount const& added,
        time_point end);

    /// Removes a borrowed loan with all tokens above `kept_tokens` that fit
    /// its fraction, for its return to the lender.
    share_amount give_back(time_point now, loan_id id, double kept_tokens);

private:
    void apply_limits(time_point now);
    [[nodiscard]] std::optional<time_point> next_end() const;
    void end_loans(time_point at);

    account_config m_config;
    base_history m_base;
    token_bucket m_bucket;
    double m_lent = 0.0;
    double m_borrowed = 0.0;
    std::map<loan_id, lent_loan> m_lent_loans;
    std::map<loan_id, borrowed_loan> m_borrowed_loans;
};

} // namespace briarhub

#endif
