#ifndef BRIARHUB_BUCKET_OWNERS_HPP
#define BRIARHUB_BUCKET_OWNERS_HPP

/// Selects the VMs that own parts of an account's token bucket by rendezvous
/// hashing, and determines the base fraction that an owner may use while a
/// membership change propagates.

#include "lease_rate_limiter.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarhub
{

/// Limits the number of leases that one busy VM needs for a large account.
inline constexpr std::size_t max_owners = 64;

/// Burst per owner. Few owners avoid fragmenting the tokens of small accounts:
/// with one owner per two tokens, 0.92% of the requests within rate were
/// refused for an account of 20/s and burst 20, instead of 0.24% (briar-bench
/// rates).
inline constexpr double burst_per_owner = 10.0;

/// An account has at least two owners if the burst of each is at least this
/// (two tokens), so that the failure of one VM never blocks the account.
inline constexpr double min_owner_burst = 2.0;

/// All fractions are multiples of this, which makes their sums exact.
inline constexpr double fraction_unit = 1.0 / (std::uint64_t{1} << 32);

/// Rounds down to a multiple of `fraction_unit`.
double floor_fraction(double fraction);

std::size_t owner_count(double burst, std::size_t members);

/// Rendezvous hash weight. It ignores the incarnation, so that a restart of a
/// VM does not reassign base fractions.
std::uint64_t rendezvous_weight(account_name const& account, vm_id const& vm);

/// The base fractions of one VM for all control versions that some VM may still
/// use.
///
/// The effective fraction is the minimum over the last applied version and all
/// later ones. Every VM that admits requests uses at least the last applied
/// version, so each effective fraction is at most the one of that version, and
/// their sum over the fleet is at most one.
class base_fraction_history
{
public:
    /// The base fraction is zero before the first added version.
    void add(control_version version, double fraction);

    /// Called when every VM that admits requests uses `version`, and the leases
    /// granted under older versions have expired.
    void apply_increases(control_version version);

    /// Discards all earlier versions.
    void reset(control_version version, double fraction);

    [[nodiscard]] double effective() const;

private:
    struct version_fraction
    {
        control_version m_version = 0;
        double m_fraction = 0.0;
    };
    std::vector<version_fraction> m_fractions{version_fraction{}};
};

} // namespace briarhub

#endif
