#include "buffer_budget.hpp"
#include "input_buffer.hpp"

#include <doctest/doctest.h>

#include <string>
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

TEST_CASE("long messages leave space to short ones")
{
    // A few long bodies used up the space, and every short request was refused.
    buffer_budget budget{64 * short_message_bytes};
    buffer_reservation long_message{budget};
    CHECK(!long_message.resize(57 * short_message_bytes));
    CHECK(long_message.resize(56 * short_message_bytes));
    buffer_reservation short_message{budget};
    CHECK(short_message.resize(short_message_bytes));
    CHECK(!short_message.resize(short_message_bytes + 1));
}

TEST_CASE("input counts towards the budget while it is in memory")
{
    // Unparsed input of many connections exceeded the memory of the process.
    buffer_budget budget{2 * read_chunk_bytes};
    input_buffer first{budget};
    CHECK(first.reserve_read() == read_chunk_bytes);
    first.append(std::string(read_chunk_bytes, 'x'));
    CHECK(budget.reserved() >= read_chunk_bytes);

    input_buffer second{budget};
    buffer_reservation body{budget};
    CHECK(body.resize(read_chunk_bytes));
    CHECK(second.reserve_read() == free_buffer_bytes);
    second.append(std::string(free_buffer_bytes, 'x'));
    CHECK(second.reserve_read() == 0);

    body.release();
    first.consume(read_chunk_bytes);
    CHECK(budget.reserved() == 0);
    second.consume(free_buffer_bytes);
    CHECK(second.reserve_read() == read_chunk_bytes);
}
