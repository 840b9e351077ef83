#include "route_table.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace briarhub;

namespace
{

work_class_config
make_class(std::string name, std::string method, std::string prefix)
{
    work_class_config work_class;
    work_class.m_name = std::move(name);
    work_class.m_method = std::move(method);
    work_class.m_path_prefix = std::move(prefix);
    return work_class;
}

std::string
find(route_table const& routes, char const* method, char const* target)
{
    auto const* found = routes.find(method, target);
    return found == nullptr ? "" : found->m_name;
}

} // namespace

TEST_CASE("a request matches the longest prefix of whole path segments")
{
    // A prefix match by characters would route "/ordersX" to "/orders".
    route_table routes;
    routes.put(make_class("orders", "GET", "/orders"));
    routes.put(make_class("proofs", "GET", "/orders/proofs/"));
    routes.put(make_class("engrave", "POST", "/orders"));
    CHECK(find(routes, "GET", "/orders") == "orders");
    CHECK(find(routes, "GET", "/orders?x=/orders/proofs") == "orders");
    CHECK(find(routes, "GET", "/orders/7/proofs") == "orders");
    CHECK(find(routes, "GET", "/orders/proofs") == "proofs");
    CHECK(find(routes, "GET", "/orders/proofs/1") == "proofs");
    CHECK(find(routes, "POST", "/orders/proofs/1") == "engrave");
    CHECK(find(routes, "GET", "/ordersX") == "");
    CHECK(find(routes, "GET", "/") == "");
    CHECK(find(routes, "PUT", "/orders") == "");
    // An escaped character must not select a more general class.
    CHECK(find(routes, "GET", "/orders/%70roofs") == "proofs");
    routes.put(make_class("any", "GET", "/"));
    CHECK(find(routes, "GET", "/ordersX") == "any");
}

TEST_CASE("moved and removed classes leave no stale routes")
{
    route_table routes;
    routes.put(make_class("a", "GET", "/a"));
    routes.put(make_class("a", "GET", "/b"));
    CHECK(find(routes, "GET", "/a") == "");
    CHECK(find(routes, "GET", "/b") == "a");
    // Another class replaces the entry before the first is removed.
    routes.put(make_class("c", "GET", "/b"));
    routes.remove("a");
    CHECK(find(routes, "GET", "/b") == "c");
    routes.remove("c");
    CHECK(routes.size() == 0);
    CHECK(find(routes, "GET", "/b") == "");
}
