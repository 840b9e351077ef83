#include "fleet_score.hpp"

#include <algorithm>
#include <chrono>

namespace briarhub
{
namespace
{

/// Reports older than this do not show which VMs use the upstream at present.
constexpr std::chrono::seconds report_max_age{120};

/// Score from which a reporter or a failure domain finds the upstream
/// unhealthy: its outcomes are about 4 times as likely from an unhealthy
/// upstream.
constexpr double corroboration_score = 1.5;

bool is_recent(time_point now, time_point last)
{
    return now - last <= report_max_age;
}

} // namespace

void fleet_score::add(
    time_point now, member const& reporter, double bad, double good, double cap)
{
    reporter_contribution& contribution = contribution_of(now, reporter.m_vm);
    double const counted =
        std::min(bad, std::max(cap - contribution.m_added, 0.0));
    contribution.m_added = std::max(contribution.m_added + counted + good, 0.0);
    domain_score_of(now, reporter.m_failure_domain).m_score.add(counted + good);
    m_score.add(counted + good);
    if (m_score.value() <= 0.0)
    {
        for (reporter_contribution& each : m_contributions)
        {
            each.m_added = 0.0;
        }
    }
}

bool fleet_score::is_corroborated(time_point now) const
{
    if (has_single_reporter(now))
    {
        return true;
    }
    auto const vms = std::ranges::count_if(
        m_contributions,
        [&](reporter_contribution const& contribution)
        {
            return contribution.m_added >= corroboration_score;
        });
    auto const reporting = std::ranges::count_if(
        m_domains,
        [&](domain_score const& domain)
        {
            return is_recent(now, domain.m_last_report);
        });
    auto const corroborating = std::ranges::count_if(
        m_domains,
        [&](domain_score const& domain)
        {
            return is_recent(now, domain.m_last_report) &&
                   domain.m_score.value() >= corroboration_score;
        });
    return vms >= 2 && corroborating >= std::min<std::ptrdiff_t>(reporting, 2);
}

bool fleet_score::has_single_reporter(time_point now) const
{
    return std::ranges::count_if(
               m_contributions,
               [&](reporter_contribution const& contribution)
               {
                   return is_recent(now, contribution.m_last_report);
               }) == 1;
}

void fleet_score::remove_reporter(vm_id const& reporter)
{
    auto const contribution = std::ranges::find(
        m_contributions, reporter, &reporter_contribution::m_vm);
    if (contribution != m_contributions.end())
    {
        m_score.add(-contribution->m_added);
        contribution->m_added = 0.0;
    }
}

void fleet_score::reset(double value)
{
    m_score.reset(value);
    for (reporter_contribution& contribution : m_contributions)
    {
        contribution.m_added = 0.0;
    }
    for (domain_score& domain : m_domains)
    {
        domain.m_score.reset();
    }
}

// Removes contributions that are old and zero, which bounds the memory.
fleet_score::reporter_contribution&
fleet_score::contribution_of(time_point now, vm_id const& reporter)
{
    auto const found = std::ranges::find(
        m_contributions, reporter, &reporter_contribution::m_vm);
    if (found != m_contributions.end())
    {
        found->m_last_report = now;
        return *found;
    }
    std::erase_if(
        m_contributions,
        [&](reporter_contribution const& contribution)
        {
            return contribution.m_added <= 0.0 &&
                   !is_recent(now, contribution.m_last_report);
        });
    return m_contributions.emplace_back(
        reporter_contribution{reporter, 0.0, now});
}

fleet_score::domain_score&
fleet_score::domain_score_of(time_point now, failure_domain const& domain)
{
    auto const found =
        std::ranges::find(m_domains, domain, &domain_score::m_domain);
    if (found != m_domains.end())
    {
        found->m_last_report = now;
        return *found;
    }
    return m_domains.emplace_back(domain_score{domain, {}, now});
}

} // namespace briarhub
