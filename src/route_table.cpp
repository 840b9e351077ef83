#include "route_table.hpp"

#include "request_validation.hpp"

namespace briarhub
{
namespace
{

/// Removes trailing slashes: "/a/" and "/a" are the same prefix.
std::string normalize_prefix(std::string prefix)
{
    while (prefix.ends_with('/'))
    {
        prefix.pop_back();
    }
    return prefix;
}

} // namespace

void route_table::assign(config const& configuration)
{
    m_by_method.clear();
    m_keys_by_class.clear();
    for (auto const& [name, work_class] : configuration.m_work_classes)
    {
        put(work_class);
    }
}

void route_table::put(work_class_config const& work_class)
{
    remove(work_class.m_name);
    std::string const prefix = normalize_prefix(work_class.m_path_prefix);
    m_by_method[work_class.m_method][prefix] = work_class;
    m_keys_by_class[work_class.m_name] = {work_class.m_method, prefix};
}

void route_table::remove(work_class_name const& name)
{
    auto const class_key = m_keys_by_class.find(name);
    if (class_key == m_keys_by_class.end())
    {
        return;
    }
    auto const& [method, prefix] = class_key->second;
    auto& by_path = m_by_method[method];
    auto const entry = by_path.find(prefix);
    // A class that was added later may have replaced this entry.
    if (entry != by_path.end() && entry->second.m_name == name)
    {
        by_path.erase(entry);
    }
    m_keys_by_class.erase(class_key);
}

work_class_config const*
route_table::find(std::string_view method, std::string_view target) const
{
    auto const by_path = m_by_method.find(method);
    if (by_path == m_by_method.end())
    {
        return nullptr;
    }
    // The decoded path is matched, as the upstream reads it, so that an escaped
    // character cannot select another work class.
    auto const path = percent_decode(target.substr(0, target.find('?')));
    if (!path)
    {
        return nullptr;
    }
    std::string_view prefix{*path};
    for (;;)
    {
        auto const found = by_path->second.find(prefix);
        if (found != by_path->second.end())
        {
            return &found->second;
        }
        auto const slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
        {
            return nullptr;
        }
        prefix = prefix.substr(0, slash);
    }
}

std::size_t route_table::size() const
{
    return m_keys_by_class.size();
}

} // namespace briarhub
