#include "policy_index.hpp"

#include "caller_key.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace briarhub
{
namespace
{

/// The host of a Host header field in lower case, without the port.
std::string normalize_host(std::string_view field)
{
    auto const colon = field.rfind(':');
    bool const has_port =
        colon != std::string_view::npos && field.find(']') < colon;
    bool const is_ip6 = field.starts_with('[');
    if (colon != std::string_view::npos && (!is_ip6 || has_port))
    {
        field = field.substr(0, colon);
    }
    std::string host{field};
    std::ranges::transform(
        host,
        host.begin(),
        [](unsigned char c)
        {
            return static_cast<char>(std::tolower(c));
        });
    return host;
}

} // namespace

policy_index::policy_index(fleet_policy policy) : m_policy(std::move(policy))
{
    rebuild();
}

void policy_index::assign(fleet_policy policy)
{
    m_policy = std::move(policy);
    rebuild();
}

void policy_index::rebuild()
{
    m_routes.clear();
    m_by_key_digest.clear();
    m_by_name.clear();
    for (auto const& route : m_policy.m_routes)
    {
        m_routes[normalize_host(route.m_host)][route.m_path_prefix] = &route;
    }
    for (auto const& account : m_policy.m_accounts)
    {
        m_by_name[account.m_name] = &account;
        for (auto const& digest : account.m_key_digests)
        {
            m_by_key_digest[digest] = &account;
        }
    }
}

// Every prefix ends with a slash, so only prefixes of the path that end at a
// slash are looked up.
route_policy const*
policy_index::find_route(std::string_view host, std::string_view path) const
{
    auto const routes = m_routes.find(normalize_host(host));
    if (routes == m_routes.end())
    {
        return nullptr;
    }
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        auto const found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
        {
            return found->second;
        }
    }
    return nullptr;
}

account_policy const*
policy_index::find_account(std::string_view caller_key) const
{
    auto const found = m_by_key_digest.find(sha256_hex(caller_key));
    return found == m_by_key_digest.end() ? nullptr : found->second;
}

account_policy const*
policy_index::find_account_by_name(account_name const& name) const
{
    auto const found = m_by_name.find(name);
    return found == m_by_name.end() ? nullptr : found->second;
}

} // namespace briarhub
