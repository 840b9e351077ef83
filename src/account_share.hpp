#ifndef BRIARHUB_ACCOUNT_SHARE_HPP
#define BRIARHUB_ACCOUNT_SHARE_HPP

/// One VM's share of one account: the local token bucket, the base fraction and
/// the leases granted and held. This class alone guarantees the bound on
/// admitted requests; `lease_planner` decides when to request and return
/// leases.

#include "bucket_owners.hpp"
#include "token_bucket.hpp"

#include <map>
#include <optional>

namespace briarhub
{

using lease_id = std::uint64_t;

/// A fraction of an account's rate and burst, with the tokens that are
/// transferred together with it.
struct share_amount
{
    double m_fraction = 0.0;
    double m_tokens = 0.0;
};

struct granted_lease
{
    vm_id m_holder;
    std::uint64_t m_request_id = 0; ///< latest granted request
    lease_reply m_reply;            ///< reply to that request
    double m_fraction = 0.0;
    time_point m_expires_at{};
    time_point m_recalled_at{};
};

struct held_lease
{
    vm_id m_grantor;
    double m_fraction = 0.0;
    time_point m_expires_at{};
    time_point m_extended_at{}; ///< last increase of the fraction
};

class account_share
{
public:
    explicit account_share(account_config config);

    [[nodiscard]] account_config const& config() const;
    void configure(time_point now, account_config const& config);

    /// Adds the base fraction of a version. An increase applies only when
    /// `apply_increases` is called for the version.
    void
    add_base_fraction(time_point now, control_version version, double fraction);
    void reset_base_fraction(
        time_point now, control_version version, double fraction);
    void apply_increases(time_point now, control_version version);

    /// Expires leases in order of time, and refills the bucket.
    void advance(time_point now);

    /// The functions below require a preceding call of `advance`.
    bool take();
    [[nodiscard]] token_bucket const& bucket() const;
    [[nodiscard]] double tokens() const;
    [[nodiscard]] double base_fraction() const;
    [[nodiscard]] double leased_out() const;
    [[nodiscard]] double leased_in() const;
    [[nodiscard]] double fraction() const; ///< usable by this VM

    /// Base fraction that is not leased out. Held leases are never granted to
    /// other VMs, since those leases could outlive the held one.
    [[nodiscard]] double grantable_fraction() const;

    /// Returns the amount that can be granted for a request: at most what
    /// remains after `reserve`, with no more tokens than the fraction of the
    /// burst allows. It exceeds `requested` only by the fraction that carries
    /// the tokens and by tokens that would no longer fit into this bucket.
    share_amount grantable_amount(
        share_amount const& requested, share_amount const& reserve);

    std::map<lease_id, granted_lease>& granted_leases();
    std::map<lease_id, held_lease> const& held_leases() const;

    /// Records the result of `grantable_amount` as a new or renewed lease.
    void record_grant(
        time_point now,
        lease_id id,
        vm_id const& holder,
        share_amount const& added);

    /// Ends a lease that its holder returned. False if the lease is unknown,
    /// expired or held by another VM.
    bool reclaim_lease(
        time_point now, lease_id id, vm_id const& holder, double tokens);

    /// Adds a lease granted to this VM, or extends a held one, until `end`.
    void add_held_lease(
        time_point now,
        lease_id id,
        vm_id const& grantor,
        share_amount const& added,
        time_point end);

    /// Removes a held lease and returns the amount for the grantor: the
    /// fraction, and the tokens above `reserved_tokens` that fit into it.
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
