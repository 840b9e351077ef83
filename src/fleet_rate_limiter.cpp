#include "fleet_rate_limiter.hpp"

#include <algorithm>
#include <limits>

namespace briarhub
{
namespace
{

/// A partition of the fleet may use this multiple of its share, so that single
/// VMs that are gone do not change it. The overshoot that is tolerated for the
/// fleet bounds it.
constexpr double overcommit_factor = 1.1;

/// A starting process does not know what the fleet admitted before and gets the
/// levels from its peers. If all processes were killed, each account starts
/// with this share of its burst.
constexpr double initial_burst_share = 0.2;

/// Levels from peers are imported for this time after the start.
constexpr std::chrono::seconds level_import_period{2};

/// A VM that has run for longer knows the fleet. A peer that it first receives
/// after this time is new, so all of the peer's usage counts.
constexpr std::chrono::seconds startup_period{3};

/// Processes whose start times differ by less count as started together.
constexpr std::chrono::seconds start_time_tolerance{1};

/// Upper bound on the usage of a peer's new run before its first message.
constexpr std::uint64_t max_initial_usage = 20;

/// An account's overuse is remembered up to its burst.
shared_bucket_limits limits_of(account_policy const& account)
{
    return {account.m_rate, account.m_burst, account.m_burst};
}

} // namespace

double fleet_view::share() const
{
    if (m_known == 0 || m_heard >= m_known)
    {
        return 1.0;
    }
    double const reachable =
        static_cast<double>(m_heard) / static_cast<double>(m_known);
    return std::min(1.0, reachable * overcommit_factor);
}

fleet_rate_limiter::fleet_rate_limiter(time_point now) : m_started(now)
{
}

void fleet_rate_limiter::set_accounts(
    time_point now, std::vector<account_policy> const& accounts)
{
    account_map buckets;
    for (auto const& account : accounts)
    {
        auto const tag = wide_hash(account.m_name);
        auto const existing = m_accounts.find(tag);
        if (existing == m_accounts.end())
        {
            shared_bucket new_bucket{
                now, limits_of(account), account.m_burst * initial_burst_share};
            new_bucket.set_share(now, m_view.share());
            auto const snapshot = snapshot_level(tag);
            if (snapshot && now - m_started <= level_import_period)
            {
                new_bucket.set_level(now, *snapshot);
            }
            buckets.emplace(tag, new_bucket);
            continue;
        }
        existing->second.set_limits(now, limits_of(account));
        buckets.emplace(tag, existing->second);
    }
    m_accounts = std::move(buckets);
}

void fleet_rate_limiter::set_view(time_point now, fleet_view view)
{
    if (view == m_view)
    {
        return;
    }
    m_view = view;
    for (auto& [tag, bucket] : m_accounts)
    {
        bucket.set_share(now, view.share());
    }
}

bool fleet_rate_limiter::try_admit(time_point now, account_name const& account)
{
    auto const tag = wide_hash(account);
    auto const found = m_accounts.find(tag);
    if (found != m_accounts.end() && !found->second.try_consume(now))
    {
        return false;
    }
    ++m_own_totals[tag];
    m_has_unsent_totals = true;
    return true;
}

duration fleet_rate_limiter::admission_wait(
    time_point now, account_name const& account) const
{
    auto const found = m_accounts.find(wide_hash(account));
    return found == m_accounts.end() ? duration{}
                                     : found->second.time_until(now);
}

// Usage before the start of this VM is ignored, because the levels that other
// VMs send already include it. A run that began later starts at zero, so its
// whole total counts.
void fleet_rate_limiter::receive(
    time_point now,
    peer_run const& from,
    std::vector<usage_count> const& totals)
{
    auto& peer = m_peers[from.m_vm];
    if (peer.m_run != from.m_run)
    {
        peer.m_run = from.m_run;
        peer.m_totals.clear();
    }
    bool const was_silent = now - peer.m_heard >= report_period;
    peer.m_heard = now;
    if (was_silent)
    {
        peer.m_settled = now + report_period;
    }
    bool const is_settlement = now < peer.m_settled;
    auto const own_age = now - m_started;
    bool const predates_start =
        from.m_age > own_age + start_time_tolerance && own_age < startup_period;
    for (auto const& total : totals)
    {
        auto const [entry, is_first] =
            peer.m_totals.try_emplace(total.m_tag, total.m_total);
        if (is_first)
        {
            auto const used = std::min(total.m_total, max_initial_usage);
            apply_remote(now, total.m_tag, predates_start ? 0 : used, false);
            continue;
        }
        std::uint64_t const existing = entry->second;
        entry->second = std::max(existing, total.m_total);
        apply_remote(now, total.m_tag, entry->second - existing, is_settlement);
    }
}

std::vector<account_level> fleet_rate_limiter::levels(time_point now)
{
    std::vector<account_level> snapshot;
    for (auto& [tag, bucket] : m_accounts)
    {
        if (snapshot.size() == max_levels_sent)
        {
            break;
        }
        snapshot.push_back({tag, bucket.level(now)});
    }
    return snapshot;
}

// The peer's level may not include what this process has admitted since its
// start, so that is subtracted.
void fleet_rate_limiter::import_levels(
    time_point now, std::vector<account_level> const& levels)
{
    if (now - m_started > level_import_period)
    {
        return;
    }
    for (auto const& level : levels)
    {
        bool const is_first =
            m_snapshot_levels.try_emplace(level.m_tag, level.m_tokens).second;
        if (!is_first)
        {
            continue;
        }
        for (auto& [tag, bucket] : accounts_of(level.m_tag))
        {
            auto const own = static_cast<double>(m_own_totals[tag]);
            bucket.set_level(now, level.m_tokens - own);
        }
    }
}

void fleet_rate_limiter::apply_remote(
    time_point now,
    account_tag account,
    std::uint64_t amount,
    bool is_settlement)
{
    auto const tokens = static_cast<double>(amount);
    for (auto& [tag, bucket] : accounts_of(account))
    {
        if (is_settlement)
        {
            bucket.settle(now, tokens);
        }
        else
        {
            bucket.consume_admitted(now, tokens);
        }
    }
}

/// The account of a peer's tag, or all that a short one stands for: a process
/// that sends those counts the accounts together.
fleet_rate_limiter::account_range
fleet_rate_limiter::accounts_of(account_tag received)
{
    constexpr std::uint32_t last_check =
        std::numeric_limits<std::uint32_t>::max();
    auto const last = is_short(received)
                          ? join_hash(short_part(received), last_check)
                          : received;
    return {m_accounts.lower_bound(received), m_accounts.upper_bound(last)};
}

std::optional<double> fleet_rate_limiter::snapshot_level(account_tag tag) const
{
    auto found = m_snapshot_levels.find(tag);
    if (found == m_snapshot_levels.end())
    {
        found = m_snapshot_levels.find(join_hash(short_part(tag), 0));
    }
    return found == m_snapshot_levels.end() ? std::nullopt
                                            : std::optional{found->second};
}

std::vector<usage_count> fleet_rate_limiter::collect_totals(bool all)
{
    m_has_unsent_totals = false;
    std::vector<usage_count> updates;
    for (auto const& [tag, total] : m_own_totals)
    {
        auto& sent = m_sent_totals[tag];
        if (all || sent != total)
        {
            sent = total;
            updates.push_back({tag, total});
        }
    }
    return updates;
}

} // namespace briarhub
