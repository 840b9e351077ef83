#include "account_share.hpp"

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

template <class Leases>
void update_earliest_expiry(
    std::optional<time_point>& earliest, Leases const& leases)
{
    for (auto const& [id, lease] : leases)
    {
        if (!earliest || lease.m_expires_at < *earliest)
        {
            earliest = lease.m_expires_at;
        }
    }
}

/// Removes the leases that expire by `at` and returns their total fraction.
template <class Leases>
double erase_expired(Leases& leases, time_point at)
{
    double expired = 0.0;
    std::erase_if(
        leases,
        [&](auto const& entry)
        {
            bool const is_expired = entry.second.m_expires_at <= at;
            expired += is_expired ? entry.second.m_fraction : 0.0;
            return is_expired;
        });
    return expired;
}

} // namespace

account_share::account_share(account_config config)
    : m_config{std::move(config)}
{
}

account_config const& account_share::config() const
{
    return m_config;
}

void account_share::configure(time_point now, account_config const& config)
{
    advance(now);
    m_config = config;
    apply_limits(now);
}

void account_share::add_base_fraction(
    time_point now, control_version version, double fraction)
{
    advance(now);
    m_base_fractions.add(version, floor_fraction(fraction));
    apply_limits(now);
}

void account_share::reset_base_fraction(
    time_point now, control_version version, double fraction)
{
    advance(now);
    m_base_fractions.reset(version, floor_fraction(fraction));
    apply_limits(now);
}

void account_share::apply_increases(time_point now, control_version version)
{
    advance(now);
    m_base_fractions.apply_increases(version);
    apply_limits(now);
}

void account_share::advance(time_point now)
{
    for (auto end = next_expiry(); end && *end <= now; end = next_expiry())
    {
        expire_leases(*end);
    }
    m_bucket.advance(now);
}

bool account_share::take()
{
    return m_bucket.take();
}

token_bucket const& account_share::bucket() const
{
    return m_bucket;
}

double account_share::tokens() const
{
    return m_bucket.level();
}

double account_share::base_fraction() const
{
    return m_base_fractions.effective();
}

double account_share::leased_out() const
{
    return m_leased_out;
}

double account_share::leased_in() const
{
    return m_leased_in;
}

double account_share::grantable_fraction() const
{
    return std::max(0.0, base_fraction() - m_leased_out);
}

double account_share::fraction() const
{
    return grantable_fraction() + m_leased_in;
}

share_amount account_share::grantable_amount(
    share_amount const& requested, share_amount const& reserve)
{
    double const burst = m_config.m_burst;
    double const spare_fraction = std::min(
        grantable_fraction(), fraction() - std::max(0.0, reserve.m_fraction));
    double const offered_tokens = std::clamp(
        tokens() - reserve.m_tokens, 0.0, std::max(0.0, requested.m_tokens));
    // Rounded up, so that all tokens fit into the holder's fraction.
    double const fraction_for_tokens =
        offered_tokens / burst + 2 * fraction_unit;
    double const granted_fraction = floor_fraction(std::min(
        std::max(requested.m_fraction, fraction_for_tokens), spare_fraction));
    if (burst <= 0.0 || granted_fraction <= 2 * fraction_unit)
    {
        return {};
    }
    // Tokens above the reduced burst are transferred instead of being lost.
    double const overflow = tokens() - (fraction() - granted_fraction) * burst;
    double const moved_tokens = std::clamp(
        std::max(offered_tokens, overflow),
        0.0,
        std::min(granted_fraction * burst, tokens()));
    return {granted_fraction, moved_tokens};
}

std::map<lease_id, granted_lease>& account_share::granted_leases()
{
    return m_granted_leases;
}

std::map<lease_id, held_lease> const& account_share::held_leases() const
{
    return m_held_leases;
}

void account_share::record_grant(
    time_point now, lease_id id, vm_id const& holder, share_amount const& added)
{
    granted_lease& lease = m_granted_leases[id];
    lease.m_holder = holder;
    lease.m_fraction += added.m_fraction;
    lease.m_expires_at = now + lease_duration + lease_clock_margin;
    m_leased_out += added.m_fraction;
    m_bucket.remove(added.m_tokens);
    apply_limits(now);
}

bool account_share::reclaim_lease(
    time_point now, lease_id id, vm_id const& holder, double tokens)
{
    auto const found = m_granted_leases.find(id);
    if (found == m_granted_leases.end() || found->second.m_holder != holder)
    {
        return false;
    }
    double const fraction = found->second.m_fraction;
    m_granted_leases.erase(found);
    m_leased_out -= fraction;
    apply_limits(now);
    m_bucket.add(std::clamp(tokens, 0.0, fraction * m_config.m_burst));
    return true;
}

void account_share::add_held_lease(
    time_point now,
    lease_id id,
    vm_id const& grantor,
    share_amount const& added,
    time_point end)
{
    held_lease& lease = m_held_leases[id];
    lease.m_grantor = grantor;
    lease.m_fraction += added.m_fraction;
    lease.m_expires_at = std::max(lease.m_expires_at, end);
    lease.m_extended_at = added.m_fraction > 0.0 ? now : lease.m_extended_at;
    m_leased_in += added.m_fraction;
    apply_limits(now);
    m_bucket.add(
        std::clamp(added.m_tokens, 0.0, added.m_fraction * m_config.m_burst));
}

share_amount
account_share::return_lease(time_point now, lease_id id, double reserved_tokens)
{
    auto const found = m_held_leases.find(id);
    if (found == m_held_leases.end())
    {
        return {};
    }
    double const returned = found->second.m_fraction;
    m_held_leases.erase(found);
    double const remaining = (fraction() - returned) * m_config.m_burst;
    double const reserve = std::min(reserved_tokens, remaining);
    double const moved_tokens = std::clamp(
        tokens() - reserve,
        0.0,
        std::min(returned * m_config.m_burst, tokens()));
    m_bucket.remove(moved_tokens);
    m_leased_in -= returned;
    apply_limits(now);
    return {returned, moved_tokens};
}

void account_share::apply_limits(time_point now)
{
    double const usable_fraction = fraction();
    m_bucket.set_limits(
        now,
        usable_fraction * m_config.m_rate,
        usable_fraction * m_config.m_burst);
}

std::optional<time_point> account_share::next_expiry() const
{
    std::optional<time_point> earliest;
    update_earliest_expiry(earliest, m_granted_leases);
    update_earliest_expiry(earliest, m_held_leases);
    return earliest;
}

/// When a held lease expires, its fraction is removed together with the tokens
/// above the reduced burst. When a granted lease expires, its fraction is
/// usable again but no tokens are added.
void account_share::expire_leases(time_point at)
{
    m_bucket.advance(at);
    m_leased_out -= erase_expired(m_granted_leases, at);
    m_leased_in -= erase_expired(m_held_leases, at);
    apply_limits(at);
}

} // namespace briarhub
