#ifndef BRIARHUB_FLEET_SCORE_HPP
#define BRIARHUB_FLEET_SCORE_HPP

/// Fleet-wide failure score of one upstream, pooled from the evidence that all
/// VMs report. It tells an unhealthy upstream, which all VMs observe, from a
/// faulty network path, which only some observe. Ejection is based on it.

#include "sequential_test.hpp"
#include "types.hpp"

#include <cstddef>
#include <vector>

namespace briarhub
{

class fleet_score
{
public:
    /// Adds log-likelihood ratios of a reporter's bad and good outcomes. The
    /// sum that one reporter contributes is at most `cap`.
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

    /// At least two VMs find the upstream unhealthy, in two failure domains if
    /// two report; or only one VM reports at all.
    [[nodiscard]] bool is_corroborated(time_point now) const;

    /// Only one VM reported within the last two minutes.
    [[nodiscard]] bool has_single_reporter(time_point now) const;

    /// Removes the contribution of a VM that suspects its own network.
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
