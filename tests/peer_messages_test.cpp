#include "peer_messages.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <random>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

peer_sender const sender{"vm-1", 0xfedcba9876543210U, 17, 15};

probe_message make_probe()
{
    return {
        sender, {{{"u-1", 1, 2, 3, 4}}, {{"vm-3/1", "digest", 2}}}, {"vm-7"}};
}

records_reply make_records()
{
    return {
        sender,
        {{3, wall_time{1234567ms}, "a"}, {5, wall_time{1234568ms}, "b"}},
        "state"};
}

/// Runs every parser, for sanitizers and for checks of value limits.
void parse_all(std::string const& text)
{
    if (auto const probe = parse_probe(text))
    {
        CHECK_FALSE(probe->m_sender.m_vm.empty());
    }
    if (auto const loan = parse_loan_request(text))
    {
        CHECK(std::isfinite(loan->m_content.m_tokens));
    }
    if (auto const loan = parse_loan_reply(text))
    {
        CHECK(loan->m_fraction <= 1.0);
    }
    static_cast<void>(parse_probe_reply(text));
    static_cast<void>(parse_records_request(text));
    static_cast<void>(parse_records_reply(text));
    static_cast<void>(parse_loan_return(text));
}

} // namespace

TEST_CASE("messages round-trip with all their fields")
{
    auto const probe = parse_probe(serialize(make_probe()));
    REQUIRE(probe);
    CHECK(probe->m_sender == sender);
    CHECK(probe->m_news == make_probe().m_news);
    CHECK(probe->m_silent == make_probe().m_silent);
    CHECK(parse_probe_reply(serialize_reply(make_probe())));

    auto const records = parse_records_reply(serialize(make_records()));
    REQUIRE(records);
    REQUIRE(records->m_records.size() == 2);
    CHECK(records->m_records[1].m_offset == 5);
    CHECK(records->m_records[1].m_appended_at == wall_time{1234568ms});
    CHECK(records->m_snapshot == "state");

    auto const initial_request =
        parse_records_request(serialize(records_request{sender, {}}));
    REQUIRE(initial_request);
    CHECK_FALSE(initial_request->m_after);
    auto const incremental_request =
        parse_records_request(serialize(records_request{sender, 0}));
    CHECK(incremental_request->m_after == 0U);

    auto const reply =
        parse_loan_reply(serialize(lease_reply{"shop", 1, 2, 0.25, 3.5, 5s}));
    REQUIRE(reply);
    CHECK(reply->m_lease_id == 2);
    CHECK(reply->m_tokens == 3.5);
    CHECK(reply->m_duration == 5s);
}

TEST_CASE("loans with negative or non-finite amounts are refused")
{
    // Such amounts would create tokens without bound and break the rate limit
    // of the fleet.
    double const infinite = std::numeric_limits<double>::infinity();
    for (double const bad : {-1.0, infinite, std::nan("")})
    {
        CHECK_FALSE(
            parse_loan_reply(serialize(lease_reply{"a", 1, 2, 0.1, bad, 5s})));
        CHECK_FALSE(
            parse_loan_reply(serialize(lease_reply{"a", 1, 2, bad, 1.0, 5s})));
        CHECK_FALSE(parse_loan_return(serialize(
            sent_loan_message<lease_return>{sender, {"a", 1, 0.1, bad}})));
    }
}

TEST_CASE("unordered records and senders without a VM name are refused")
{
    records_reply reply = make_records();
    std::swap(reply.m_records[0], reply.m_records[1]);
    CHECK_FALSE(parse_records_reply(serialize(reply)));
    CHECK_FALSE(parse_probe(""));
}

TEST_CASE("parsers handle mutated messages without a crash")
{
    std::uint64_t const seed = 20261204;
    CAPTURE(seed);
    std::mt19937_64 random{seed};
    std::vector<std::string> const originals{
        serialize(make_probe()),
        serialize(make_records()),
        serialize(records_request{sender, 9}),
        serialize(
            sent_loan_message<lease_request>{sender, {"a", 1, 3, 0.5, 2.0}}),
        serialize(lease_reply{"a", 1, 2, 0.5, 2.0, 5s})};
    for (int i = 0; i < 20'000; ++i)
    {
        std::string text = originals[random() % originals.size()];
        for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes)
        {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(text.size() - random() % 3);
        parse_all(text);
    }
}
