#include "buffer_budget.hpp"

#include <doctest/doctest.h>

#include <utility>

using namespace briarhub;

TEST_CASE("the bodies of all connections share one budget")
{
    // Each response was within its own limit, and together they exceeded the
    // memory of the process.
    buffer_budget budget{100};
    buffer_reservation first{budget};
    buffer_reservation second{budget};
    CHECK(first.resize(60));
    CHECK(!second.resize(41));
    CHECK(budget.reserved() == 60);
    CHECK(second.resize(40));
    CHECK(!first.resize(61));
    CHECK(first.resize(10));
    CHECK(second.resize(90));
    first.release();
    CHECK(budget.reserved() == 90);
}

TEST_CASE("a reservation is returned once, by its last owner")
{
    buffer_budget budget{100};
    {
        buffer_reservation first{budget};
        CHECK(first.resize(30));
        buffer_reservation second = std::move(first);
        buffer_reservation third{budget};
        CHECK(third.resize(50));
        third = std::move(second);
        CHECK(budget.reserved() == 30);
        CHECK(third.resize(100));
    }
    CHECK(budget.reserved() == 0);
}

TEST_CASE("a reservation without a budget has no room")
{
    buffer_reservation reservation;
    CHECK(!reservation.resize(1));
    reservation.release();
}
