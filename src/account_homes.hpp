#ifndef BRIARHUB_ACCOUNT_HOMES_HPP
#define BRIARHUB_ACCOUNT_HOMES_HPP

/// Which members are homes of an account, and the base share that a home may
/// use while member lists change.

#include "rate_share.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarhub
{

/// Bounds the loans that one busy VM needs for a large account.
inline constexpr std::size_t max_homes = 64;

/// Burst per home. Few homes keep the tokens of small accounts together: with
/// one home per two tokens, 3 times as many requests within rate were refused.
inline constexpr double home_burst = 10.0;

/// Each account that can have whole tokens at two homes has two, so that the
/// death of one VM never stops an account.
inline constexpr double min_home_burst = 2.0;

/// Fractions are multiples of this, so that sums of fractions are exact.
inline constexpr double fraction_unit = 1.0 / (std::uint64_t{1} << 32);

/// The largest multiple of `fraction_unit` that is not above `fraction`.
double floor_fraction(double fraction);

std::size_t home_count(double burst, std::size_t members);

/// Rendezvous weight. It ignores the incarnation, so that a restart of a VM
/// moves no base.
std::uint64_t home_weight(account_name const& account, vm_id const& vm);

/// The base fraction of one VM over the versions that may still be in force
/// somewhere in the fleet.
///
/// The base in use is the least one of all versions since the last settled
/// one. Every VM that admits has the settled version in force, so each base
/// is at most the one of that version and their sum is at most one.
class base_history
{
public:
    /// Versions before the first one count as no base.
    void add(control_version version, double fraction);

    /// `version` is in force everywhere, and loans from before it ended.
    void settle(control_version version);

    /// Forgets all earlier versions.
    void restart(control_version version, double fraction);

    [[nodiscard]] double in_use() const;

private:
    struct step
    {
        control_version m_version = 0;
        double m_fraction = 0.0;
    };
    std::vector<step> m_steps{step{}};
};

} // namespace briarhub

#endif
