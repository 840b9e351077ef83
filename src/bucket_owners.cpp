#include "bucket_owners.hpp"

#include "tags.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace briarhub
{
namespace
{

/// FNV-1a, 64 bits.
std::uint64_t hash_text(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (char const c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3;
    }
    return hash;
}

} // namespace

double floor_fraction(double fraction)
{
    return std::floor(fraction / fraction_unit) * fraction_unit;
}

std::size_t owner_count(double burst, std::size_t members)
{
    double const owners_with_min_burst = std::floor(burst / min_owner_burst);
    double const min_owners = std::clamp(owners_with_min_burst, 1.0, 2.0);
    double const preferred_owners = std::floor(burst / burst_per_owner);
    double const owners =
        std::clamp(preferred_owners, min_owners, double(max_owners));
    return std::min(std::size_t(owners), members);
}

std::uint64_t rendezvous_weight(account_name const& account, vm_id const& vm)
{
    return mix_bits(hash_text(account) ^ mix_bits(hash_text(vm)));
}

std::vector<member>
bucket_owners(account_config const& account, std::span<member const> members)
{
    std::vector<std::pair<std::uint64_t, member const*>> ranked;
    ranked.reserve(members.size());
    for (member const& candidate : members)
    {
        ranked.emplace_back(
            rendezvous_weight(account.m_name, candidate.m_vm), &candidate);
    }
    auto const ranks_before = [](auto const& left, auto const& right)
    {
        return left.first != right.first
                   ? left.first > right.first
                   : left.second->m_vm < right.second->m_vm;
    };
    std::size_t const owner_total = owner_count(account.m_burst, ranked.size());
    auto const owners_end = ranked.begin() + std::ptrdiff_t(owner_total);
    std::partial_sort(ranked.begin(), owners_end, ranked.end(), ranks_before);
    std::vector<member> owners;
    owners.reserve(owner_total);
    for (std::size_t i = 0; i < owner_total; ++i)
    {
        owners.push_back(*ranked[i].second);
    }
    return owners;
}

void base_fraction_history::add(control_version version, double fraction)
{
    // Account and membership updates may arrive out of order; waiting for the
    // later version is safe.
    control_version const at = std::max(version, m_fractions.back().m_version);
    m_fractions.push_back({at, fraction});
}

void base_fraction_history::apply_increases(control_version version)
{
    auto const is_later = [version](version_fraction const& s)
    {
        return s.m_version > version;
    };
    auto const later =
        std::find_if(m_fractions.begin(), m_fractions.end(), is_later);
    if (later != m_fractions.begin())
    {
        m_fractions.erase(m_fractions.begin(), std::prev(later));
    }
}

void base_fraction_history::reset(control_version version, double fraction)
{
    m_fractions.assign(1, {version, fraction});
}

double base_fraction_history::effective() const
{
    auto const less =
        [](version_fraction const& left, version_fraction const& right)
    {
        return left.m_fraction < right.m_fraction;
    };
    return std::min_element(m_fractions.begin(), m_fractions.end(), less)
        ->m_fraction;
}

} // namespace briarhub
