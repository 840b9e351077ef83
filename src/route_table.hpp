#ifndef BRIARHUB_ROUTE_TABLE_HPP
#define BRIARHUB_ROUTE_TABLE_HPP

/// Routing table: maps the method and path of a request to its work class by
/// the longest matching path prefix.

#include "config.hpp"

#include <map>
#include <string>
#include <string_view>

namespace briarhub
{

class route_table
{
public:
    void assign(config const& configuration);
    void put(work_class_config const& work_class);
    void remove(work_class_name const& name);

    /// The work class of a request, or null. A prefix matches whole path
    /// segments. The query is ignored.
    [[nodiscard]] work_class_config const*
    find(std::string_view method, std::string_view target) const;

    [[nodiscard]] std::size_t size() const;

private:
    using by_prefix = std::map<std::string, work_class_config, std::less<>>;

    std::map<std::string, by_prefix, std::less<>> m_by_method;
    std::map<work_class_name, std::pair<std::string, std::string>>
        m_keys_by_class;
};

} // namespace briarhub

#endif
