#ifndef BRIARHUB_BUCKET_OWNERS_HPP
#define BRIARHUB_BUCKET_OWNERS_HPP

/// Which members are homes of an account, and the base share that a home may
/// use while member lists change.

#include "lease_rate_limiter.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarhub
{

/// Bounds the loans that one busy VM needs for a large account.
inline constexpr std::size_t max_owners = 64;

/// Burst per home. Few homes keep the tokens of small accounts together: with
/// one home per two tokens an account of 20/s and burst 20 had 0.92% of its
/// requests within rate refused instead of 0.24% (briar-bench rates).
inline constexpr double burst_per_owner = 10.0;

/// Each account that can have whole tokens at two homes has two, so that the
/// death of one VM never stops an account.
inline constexpr double min_owner_burst = 2.0;

/// Fractions are multiples of this, so that sums of fractions are exact.
inline constexpr double fraction_unit = 1.0 / (std::uint64_t{1} << 32);

/// The largest multiple of `fraction_unit` that is not above `fraction`.
double floor_fraction(double fraction);

std::size_t owner_count(double burst, std::size_t members);

/// Rendezvous weight. It ignores the incarnation, so that a restart of a VM
/// moves no base.
std::uint64_t rendezvous_weight(account_name const& account, vm_id const& vm);

/// The base fraction of one VM over the versions that may still be in force
/// somewhere in the fleet.
///
/// The base in use is the least one of all versions since the last settled
/// one. Every VM that admits has the settled version in force, so each base
/// is at most the one of that version and their sum is at most one.
class base_fraction_history
{
public:
    /// Versions before the first one count as no base.
    void add(control_version version, double fraction);

    /// `version` is in force everywhere, and loans from before it ended.
    void apply_increases(control_version version);

    /// Forgets all earlier versions.
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
