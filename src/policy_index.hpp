#ifndef BRIARHUB_POLICY_INDEX_HPP
#define BRIARHUB_POLICY_INDEX_HPP

/// Lookup tables for one version of the fleet policy: finds the route and the
/// client account of a request.

#include "fleet_policy.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace briarhub
{

class policy_index
{
public:
    policy_index() = default;
    explicit policy_index(fleet_policy policy);

    // The maps point into the policy.
    policy_index(policy_index const&) = delete;
    policy_index& operator=(policy_index const&) = delete;

    /// Replaces the policy and rebuilds the tables. Invalidates all pointers to
    /// the old policy.
    void assign(fleet_policy policy);

    [[nodiscard]] fleet_policy const& policy() const
    {
        return m_policy;
    }

    /// The route of `host` with the longest matching prefix of `path`, or null.
    [[nodiscard]] route_policy const*
    find_route(std::string_view host, std::string_view path) const;

    /// The account to which the key belongs, or null.
    [[nodiscard]] account_policy const*
    find_account(std::string_view caller_key) const;

    [[nodiscard]] account_policy const*
    find_account_by_name(account_name const& name) const;

    /// False if the policy has no accounts; requests then require no key.
    [[nodiscard]] bool requires_keys() const
    {
        return !m_policy.m_accounts.empty();
    }

private:
    using routes_by_prefix =
        std::map<std::string, route_policy const*, std::less<>>;

    void rebuild();

    fleet_policy m_policy;
    std::map<std::string, routes_by_prefix, std::less<>> m_routes;
    std::unordered_map<std::string, account_policy const*> m_by_key_digest;
    std::unordered_map<account_name, account_policy const*> m_by_name;
};

} // namespace briarhub

#endif
