#include "replica_freshness.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

time_point at(duration since_start)
{
    return time_point{1h + since_start};
}

} // namespace

TEST_CASE("the age of a replica counts from the latest confirmation")
{
    replica_freshness freshness;
    CHECK(!freshness.age(at(0s)));
    CHECK(freshness.expiry(1s) == time_point{});
    freshness.set_version({0, 7});
    freshness.confirm({0, 7}, at(2s));
    freshness.confirm({0, 7}, at(1s));
    CHECK(freshness.age(at(5s)) == duration{3s});
    CHECK(freshness.expiry(1s) == at(3s));
}

TEST_CASE("a peer with a newer version does not make a replica fresh")
{
    replica_freshness freshness;
    freshness.set_version({0, 7});
    freshness.confirm({0, 7}, at(1s));
    freshness.confirm({0, 8}, at(3s));
    CHECK(freshness.age(at(4s)) == duration{3s});
}

TEST_CASE("a replica is fresh if an older version was the newest one")
{
    replica_freshness freshness;
    freshness.set_version({0, 7});
    freshness.confirm({0, 7}, at(1s));
    freshness.confirm({0, 6}, at(2s));
    CHECK(freshness.age(at(4s)) == duration{2s});
}

TEST_CASE("what peers knew of a newer version counts once it is replicated")
{
    replica_freshness freshness;
    freshness.set_version({0, 7});
    freshness.confirm({0, 7}, at(1s));
    freshness.confirm({0, 9}, at(3s));
    freshness.confirm({0, 9}, at(2s));
    freshness.set_version({0, 9});
    CHECK(freshness.age(at(4s)) == duration{1s});
    freshness.confirm({0, 11}, at(5s));
    freshness.set_version({0, 12});
    CHECK(freshness.age(at(6s)) == duration{1s});
}

TEST_CASE("the age of a replica is not negative")
{
    replica_freshness freshness;
    freshness.confirm({0, 0}, at(2s));
    CHECK(freshness.age(at(1s)) == duration{0s});
}

TEST_CASE("the store counts as unread only if no VM has read it")
{
    // A VM whose own calls had failed long before took the next one that
    // succeeded for the end of an outage, and kept upstreams that had left.
    replicas_freshness freshness;
    CHECK(!freshness.unread_since(at(9s), 3s));
    freshness.m_directory.set_version({0, 7});
    freshness.m_directory.confirm({0, 7}, at(1s));
    freshness.m_policy.confirm({0, 2}, at(2s));
    CHECK(!freshness.unread_since(at(4s), 3s));
    CHECK(freshness.unread_since(at(5s), 3s) == at(2s));
    // The version that a peer has read is not known here yet.
    freshness.m_directory.confirm({0, 9}, at(4s));
    CHECK(!freshness.unread_since(at(5s), 3s));
    CHECK(freshness.unread_since(at(7s), 3s) == at(4s));
}
