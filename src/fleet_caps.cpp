#include "fleet_caps.hpp"

#include <algorithm>
#include <cmath>

namespace briarhub
{
namespace
{

using seconds = std::chrono::duration<double>;

/// A part of the fleet may use this many times its share: callers of silent
/// VMs move to the others, and accounts rarely use their whole rate.
constexpr double generosity = 1.3;

/// A process that starts does not know what the fleet admitted before. Its
/// peers tell it; if all were killed, accounts begin with this part of their
/// burst.
constexpr double initial_burst_share = 0.2;

/// Levels that peers tell are taken over for so long after the start.
constexpr std::chrono::seconds adoption_time{2};

/// A VM that has run for longer knows the fleet: a peer that it has not heard
/// before is new, and so is all that it used.
constexpr std::chrono::seconds history_age{3};

/// Processes that start within this time of each other start together.
constexpr std::chrono::seconds start_spread{1};

/// Bound on what a peer's new run can have used before it was heard.
constexpr std::uint64_t most_at_first = 20;

double to_seconds(duration value)
{
    return seconds(value).count();
}

} // namespace

double fleet_view::share() const
{
    if (m_known == 0 || m_heard >= m_known)
    {
        return 1.0;
    }
    double const heard =
        static_cast<double>(m_heard) / static_cast<double>(m_known);
    return std::min(1.0, heard * generosity);
}

account_bucket::account_bucket(time_point now, double rate, double burst)
    : m_rate(rate), m_burst(burst), m_tokens(burst * initial_burst_share),
      m_updated(now)
{
}

void account_bucket::set_limits(time_point now, double rate, double burst)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

void account_bucket::set_share(time_point now, double share)
{
    refill(now);
    m_share = share;
}

bool account_bucket::try_take(time_point now)
{
    if (m_rate <= 0.0)
    {
        return true;
    }
    refill(now);
    if (m_tokens < 1.0)
    {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void account_bucket::take_remote(time_point now, double amount)
{
    refill(now);
    m_tokens = std::max(m_tokens - amount, -m_burst);
}

double account_bucket::level(time_point now)
{
    refill(now);
    return m_tokens;
}

void account_bucket::set_level(time_point now, double tokens)
{
    m_tokens = std::clamp(tokens, -m_burst, m_burst);
    m_updated = std::max(m_updated, now);
}

duration account_bucket::wait(time_point now) const
{
    double const rate = m_rate * m_share;
    if (rate <= 0.0)
    {
        return duration{};
    }
    double const tokens = m_tokens + to_seconds(now - m_updated) * rate;
    auto const left = seconds(std::max(0.0, 1.0 - tokens) / rate);
    return std::chrono::duration_cast<duration>(left);
}

void account_bucket::refill(time_point now)
{
    if (now <= m_updated)
    {
        return;
    }
    double const earned = to_seconds(now - m_updated) * m_rate * m_share;
    m_tokens = std::min(m_burst, m_tokens + earned);
    m_updated = now;
}

fleet_caps::fleet_caps(time_point now) : m_started(now)
{
}

void fleet_caps::set_accounts(
    time_point now, std::vector<account_policy> const& accounts)
{
    std::unordered_map<account_tag, account_bucket> buckets;
    for (auto const& account : accounts)
    {
        auto const tag = short_hash(account.m_name);
        auto const known = m_accounts.find(tag);
        if (known == m_accounts.end())
        {
            account_bucket fresh{now, account.m_rate, account.m_burst};
            fresh.set_share(now, m_view.share());
            auto const told = m_told.find(tag);
            if (told != m_told.end() && now - m_started <= adoption_time)
            {
                fresh.set_level(now, told->second);
            }
            buckets.emplace(tag, fresh);
            continue;
        }
        known->second.set_limits(now, account.m_rate, account.m_burst);
        buckets.emplace(tag, known->second);
    }
    m_accounts = std::move(buckets);
}

void fleet_caps::set_view(time_point now, fleet_view view)
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

bool fleet_caps::try_admit(time_point now, account_name const& account)
{
    auto const tag = short_hash(account);
    auto const found = m_accounts.find(tag);
    if (found != m_accounts.end() && !found->second.try_take(now))
    {
        return false;
    }
    ++m_own[tag];
    m_has_news = true;
    return true;
}

duration
fleet_caps::admission_wait(time_point now, account_name const& account) const
{
    auto const found = m_accounts.find(short_hash(account));
    return found == m_accounts.end() ? duration{} : found->second.wait(now);
}

// What peers used before this VM started is history: the buckets of the others
// have it. A run that began later begins at zero, so all that it used is news.
void fleet_caps::receive(
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
    auto const own_age = now - m_started;
    bool const is_history =
        from.m_age > own_age + start_spread && own_age < history_age;
    for (auto const& total : totals)
    {
        auto const [place, is_first] =
            peer.m_totals.try_emplace(total.m_tag, total.m_total);
        if (is_first)
        {
            auto const used = std::min(total.m_total, most_at_first);
            apply_remote(now, total.m_tag, is_history ? 0 : used);
            continue;
        }
        std::uint64_t const known = place->second;
        place->second = std::max(known, total.m_total);
        apply_remote(now, total.m_tag, place->second - known);
    }
}

std::vector<account_level> fleet_caps::levels(time_point now)
{
    std::vector<account_level> told;
    for (auto& [tag, bucket] : m_accounts)
    {
        if (told.size() == max_levels_told)
        {
            break;
        }
        told.push_back({tag, bucket.level(now)});
    }
    return told;
}

// The peer may not have heard yet what this process admitted since its start.
void fleet_caps::adopt_levels(
    time_point now, std::vector<account_level> const& levels)
{
    if (now - m_started > adoption_time)
    {
        return;
    }
    for (auto const& level : levels)
    {
        bool const is_first =
            m_told.try_emplace(level.m_tag, level.m_tokens).second;
        auto const found = m_accounts.find(level.m_tag);
        if (is_first && found != m_accounts.end())
        {
            auto const own = static_cast<double>(m_own[level.m_tag]);
            found->second.set_level(now, level.m_tokens - own);
        }
    }
}

void fleet_caps::apply_remote(
    time_point now, account_tag account, std::uint64_t amount)
{
    auto const found = m_accounts.find(account);
    if (found != m_accounts.end())
    {
        found->second.take_remote(now, static_cast<double>(amount));
    }
}

std::vector<usage_count> fleet_caps::take_totals(bool all)
{
    m_has_news = false;
    std::vector<usage_count> taken;
    for (auto const& [tag, total] : m_own)
    {
        auto& sent = m_sent[tag];
        if (all || sent != total)
        {
            sent = total;
            taken.push_back({tag, total});
        }
    }
    return taken;
}

} // namespace briarhub
