#include "account_homes.hpp"

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

/// Finalizer of SplitMix64; spreads the bits of the combined hashes.
std::uint64_t mix_bits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

} // namespace

double floor_fraction(double fraction)
{
    return std::floor(fraction / fraction_unit) * fraction_unit;
}

std::size_t home_count(double burst, std::size_t members)
{
    double const whole = std::floor(burst / min_home_burst);
    double const least = std::clamp(whole, 1.0, 2.0);
    double const wanted = std::floor(burst / home_burst);
    double const homes = std::clamp(wanted, least, double(max_homes));
    return std::min(std::size_t(homes), members);
}

std::uint64_t home_weight(account_name const& account, vm_id const& vm)
{
    return mix_bits(hash_text(account) ^ mix_bits(hash_text(vm)));
}

std::vector<member>
account_homes(account_config const& account, std::span<member const> members)
{
    std::vector<std::pair<std::uint64_t, member const*>> ranked;
    ranked.reserve(members.size());
    for (member const& candidate : members)
    {
        ranked.emplace_back(
            home_weight(account.m_name, candidate.m_vm), &candidate);
    }
    auto const before = [](auto const& left, auto const& right)
    {
        return left.first != right.first
                   ? left.first > right.first
                   : left.second->m_vm < right.second->m_vm;
    };
    std::size_t const count = home_count(account.m_burst, ranked.size());
    auto const middle = ranked.begin() + std::ptrdiff_t(count);
    std::partial_sort(ranked.begin(), middle, ranked.end(), before);
    std::vector<member> homes;
    homes.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        homes.push_back(*ranked[i].second);
    }
    return homes;
}

void base_history::add(control_version version, double fraction)
{
    // Updates of accounts and members may arrive out of order; the later
    // version is the safe one to wait for.
    control_version const at = std::max(version, m_steps.back().m_version);
    m_steps.push_back({at, fraction});
}

void base_history::settle(control_version version)
{
    auto const is_later = [version](step const& s)
    {
        return s.m_version > version;
    };
    auto const later = std::find_if(m_steps.begin(), m_steps.end(), is_later);
    if (later != m_steps.begin())
    {
        m_steps.erase(m_steps.begin(), std::prev(later));
    }
}

void base_history::restart(control_version version, double fraction)
{
    m_steps.assign(1, {version, fraction});
}

double base_history::in_use() const
{
    auto const less = [](step const& left, step const& right)
    {
        return left.m_fraction < right.m_fraction;
    };
    return std::min_element(m_steps.begin(), m_steps.end(), less)->m_fraction;
}

} // namespace briarhub
