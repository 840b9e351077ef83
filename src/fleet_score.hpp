#ifndef BRIARHUB_FLEET_SCORE_HPP
#define BRIARHUB_FLEET_SCORE_HPP

/// Score of one upstream from the evidence of all VMs. It separates a sick
/// upstream, which all see, from a faulty path, which some see.

#include "sequential_test.hpp"
#include "types.hpp"

#include <cstddef>
#include <vector>

namespace briarhub
{

class fleet_score
{
public:
    /// Adds a reporter's evidence. `cap` bounds what one reporter adds.
    void
    add(time_point now,
        member const& reporter,
        double bad,
        double good,
        double cap);

    [[nodiscard]] double value() const noexcept
    {
        return m_score.value();
    }

    /// Reporters in two VMs, and in two failure domains where two of them
    /// report, find the upstream sick; or only one VM reports at all.
    [[nodiscard]] bool is_corroborated(time_point now) const;

    /// Only one VM reported lately.
    [[nodiscard]] bool has_single_reporter(time_point now) const;

    /// Removes what a VM added, for a VM that no longer trusts itself.
    void remove_reporter(vm_id const& reporter);

    void reset(double value);

private:
    struct reporter_contribution
    {
        vm_id m_vm;
        double m_added = 0.0;
        time_point m_last_report{};
    };

    struct domain_score
    {
        failure_domain m_domain;
        cusum m_score;
        time_point m_last_report{};
    };

    reporter_contribution&
    contribution_of(time_point now, vm_id const& reporter);
    domain_score& domain_score_of(time_point now, failure_domain const& domain);

    cusum m_score;
    std::vector<reporter_contribution> m_contributions;
    std::vector<domain_score> m_domains;
};

} // namespace briarhub

#endif
