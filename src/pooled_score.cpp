#include "pooled_score.hpp"

#include <algorithm>
#include <chrono>

namespace briarhub
{
namespace
{

/// Reports older than this say nothing about who uses the upstream.
constexpr std::chrono::seconds report_memory{120};

/// Score from which a reporter or a failure domain finds the upstream sick:
/// its outcomes are about 4 times as likely from a sick upstream.
constexpr double agreement_score = 1.5;

bool is_recent(time_point now, time_point last)
{
    return now - last <= report_memory;
}

} // namespace

void pooled_score::add(
    time_point now, member const& reporter, double bad, double good, double cap)
{
    reporter_share& share = share_of(now, reporter.m_vm);
    double const counted = std::min(bad, std::max(cap - share.m_added, 0.0));
    share.m_added = std::max(share.m_added + counted + good, 0.0);
    score_of(now, reporter.m_failure_domain).m_score.add(counted + good);
    m_score.add(counted + good);
    if (m_score.value() <= 0.0)
    {
        for (reporter_share& each : m_shares)
        {
            each.m_added = 0.0;
        }
    }
}

bool pooled_score::is_agreed(time_point now) const
{
    if (has_single_reporter(now))
    {
        return true;
    }
    auto const vms = std::ranges::count_if(
        m_shares,
        [&](reporter_share const& share)
        {
            return share.m_added >= agreement_score;
        });
    auto const reporting = std::ranges::count_if(
        m_domains,
        [&](domain_score const& domain)
        {
            return is_recent(now, domain.m_last);
        });
    auto const agreeing = std::ranges::count_if(
        m_domains,
        [&](domain_score const& domain)
        {
            return is_recent(now, domain.m_last) &&
                   domain.m_score.value() >= agreement_score;
        });
    return vms >= 2 && agreeing >= std::min<std::ptrdiff_t>(reporting, 2);
}

bool pooled_score::has_single_reporter(time_point now) const
{
    return std::ranges::count_if(
               m_shares,
               [&](reporter_share const& share)
               {
                   return is_recent(now, share.m_last);
               }) == 1;
}

void pooled_score::withdraw(vm_id const& reporter)
{
    auto const share =
        std::ranges::find(m_shares, reporter, &reporter_share::m_vm);
    if (share != m_shares.end())
    {
        m_score.add(-share->m_added);
        share->m_added = 0.0;
    }
}

void pooled_score::reset(double value)
{
    m_score.reset(value);
    for (reporter_share& share : m_shares)
    {
        share.m_added = 0.0;
    }
    for (domain_score& domain : m_domains)
    {
        domain.m_score.reset();
    }
}

// Shares that are old and empty are dropped, which bounds the memory.
pooled_score::reporter_share&
pooled_score::share_of(time_point now, vm_id const& reporter)
{
    auto const found =
        std::ranges::find(m_shares, reporter, &reporter_share::m_vm);
    if (found != m_shares.end())
    {
        found->m_last = now;
        return *found;
    }
    std::erase_if(
        m_shares,
        [&](reporter_share const& share)
        {
            return share.m_added <= 0.0 && !is_recent(now, share.m_last);
        });
    return m_shares.emplace_back(reporter_share{reporter, 0.0, now});
}

pooled_score::domain_score&
pooled_score::score_of(time_point now, failure_domain const& domain)
{
    auto const found =
        std::ranges::find(m_domains, domain, &domain_score::m_domain);
    if (found != m_domains.end())
    {
        found->m_last = now;
        return *found;
    }
    return m_domains.emplace_back(domain_score{domain, {}, now});
}

} // namespace briarhub
