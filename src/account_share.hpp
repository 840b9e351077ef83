#ifndef BRIARHUB_ACCOUNT_SHARE_HPP
#define BRIARHUB_ACCOUNT_SHARE_HPP

/// One VM's share of one account: its bucket, its base and its loans. The
/// strict bound rests on this class alone; when and how much to borrow is
/// decided elsewhere.

#include "bucket_owners.hpp"
#include "token_bucket.hpp"

#include <map>
#include <optional>

namespace briarhub
{

using lease_id = std::uint64_t;

/// A fraction of an account and tokens of it that move together.
struct share_amount
{
    double m_fraction = 0.0;
    double m_tokens = 0.0;
};

struct granted_lease
{
    vm_id m_holder;
    std::uint64_t m_request_id = 0; ///< latest request granted
    lease_reply m_reply;            ///< answer to that request
    double m_fraction = 0.0;
    time_point m_expires_at{};
    time_point m_recalled_at{};
};

struct held_lease
{
    vm_id m_grantor;
    double m_fraction = 0.0;
    time_point m_expires_at{};
    time_point m_extended_at{}; ///< last addition of a fraction
};

class account_share
{
public:
    explicit account_share(account_config config);

    [[nodiscard]] account_config const& config() const;
    void configure(time_point now, account_config const& config);

    /// The base for a version; increases wait until the version settles.
    void
    add_base_fraction(time_point now, control_version version, double fraction);
    void reset_base_fraction(
        time_point now, control_version version, double fraction);
    void apply_increases(time_point now, control_version version);

    /// Ends the loans that are due, in order of time, and refills.
    void advance(time_point now);

    /// The following functions expect `advance` to have been called.
    bool take();
    [[nodiscard]] token_bucket const& bucket() const;
    [[nodiscard]] double tokens() const;
    [[nodiscard]] double base_fraction() const;
    [[nodiscard]] double leased_out() const;
    [[nodiscard]] double leased_in() const;
    [[nodiscard]] double fraction() const; ///< in use here

    /// Fraction that may be lent: base that is not lent. Borrowed fractions
    /// are not lent on, since the bound on a loan's end would not hold.
    [[nodiscard]] double grantable_fraction() const;

    /// Lends and returns what was lent: at most `requested`, at most what is
    /// here after `reserve`, with no more tokens than fit the fraction.
    share_amount grantable_amount(
        share_amount const& requested, share_amount const& reserve);

    std::map<lease_id, granted_lease>& granted_leases();
    std::map<lease_id, held_lease> const& held_leases() const;

    /// Enters what `grantable_amount` returned under a new or renewed loan.
    void record_grant(
        time_point now,
        lease_id id,
        vm_id const& holder,
        share_amount const& added);

    /// A returned loan. False if it is unknown, ended or someone else's.
    bool reclaim_lease(
        time_point now, lease_id id, vm_id const& holder, double tokens);

    /// A granted loan, or an addition to a known one, that ends at `end`.
    void add_held_lease(
        time_point now,
        lease_id id,
        vm_id const& grantor,
        share_amount const& added,
        time_point end);

    /// Removes a borrowed loan with all tokens above `reserved_tokens` that fit
    /// its fraction, for its return to the lender.
    share_amount
    return_lease(time_point now, lease_id id, double reserved_tokens);

private:
    void apply_limits(time_point now);
    [[nodiscard]] std::optional<time_point> next_expiry() const;
    void expire_leases(time_point at);

    account_config m_config;
    base_fraction_history m_base_fractions;
    token_bucket m_bucket;
    double m_leased_out = 0.0;
    double m_leased_in = 0.0;
    std::map<lease_id, granted_lease> m_granted_leases;
    std::map<lease_id, held_lease> m_held_leases;
};

} // namespace briarhub

#endif
