#include "admission.hpp"
#include "admission_simulation.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

time_point at(duration offset)
{
    return time_point{} + 1h + offset;
}

constexpr unsigned slots_per_upstream = 3;

std::vector<upstream_entry> make_entries(std::size_t count)
{
    std::vector<upstream_entry> entries(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto& added = entries[i].m_upstream;
        added.m_id = "u" + std::to_string(i);
        added.m_service = "desk";
        added.m_failure_domain = "z" + std::to_string(i % 4);
        added.m_address = "10.0.0.1:80";
        added.m_slots = slots_per_upstream;
        entries[i].m_start_time = 1;
    }
    return entries;
}

struct comparison
{
    std::vector<route_result> m_before;
    std::vector<route_result> m_after;
};

std::string to_text(route_result const& result)
{
    return std::to_string(result.m_requests) + " requests, " +
           std::to_string(result.m_served) + " served in time, " +
           std::to_string(result.m_late) + " late, " +
           std::to_string(result.m_refused) + " refused, " +
           std::to_string(result.m_failed) + " failed";
}

comparison compare(load_pattern const& pattern, unsigned seed)
{
    comparison result;
    result.m_before =
        replay_admission(pattern, admission_rule::by_priority, seed).m_routes;
    auto const after = replay_admission(pattern, admission_rule::by_cost, seed);
    result.m_after = after.m_routes;
    CHECK(after.m_violations == 0);
    for (std::size_t i = 0; i < pattern.m_routes.size(); ++i)
    {
        MESSAGE(
            pattern.m_routes[i].m_name,
            " by priority: ",
            to_text(result.m_before[i]));
        MESSAGE(
            pattern.m_routes[i].m_name,
            " by cost: ",
            to_text(result.m_after[i]));
    }
    return result;
}

} // namespace

TEST_CASE("a burst beside failing upstreams loses a third fewer requests")
{
    // The rule before sent requests that must not run twice to failing
    // upstreams as soon as the queues at the others were long.
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        auto const result = compare(burst_beside_failures(), seed);
        CHECK(3 * result.m_after[0].lost() < 2 * result.m_before[0].lost());
    }
}

TEST_CASE("routes of different priority and work at a peak lose fewer requests")
{
    // The rule before let an urgent request join a queue that it could not
    // leave before its deadline, behind long requests that were less urgent.
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        auto const result = compare(peak_of_two_routes(), seed);
        CHECK(result.m_after[0].lost() < result.m_before[0].lost());
        CHECK(
            result.m_after[0].lost() + result.m_after[1].lost() <
            result.m_before[0].lost() + result.m_before[1].lost());
    }
}

TEST_CASE("an urgent route above the capacity does not shut out another one")
{
    // By priority alone the queues would be full for the less urgent route for
    // as long as the peak lasts.
    constexpr double min_served_share = 0.1;
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        load_pattern const pattern{
            20,
            0.0,
            2s,
            15s,
            {{"urgent", 0, false, 2s, 200ms, 150.0, 3.0},
             {"batch", 4, false, 5s, 200ms, 20.0, 1.0}}};
        auto const after =
            replay_admission(pattern, admission_rule::by_cost, seed);
        CHECK(after.m_violations == 0);
        for (auto const& result : after.m_routes)
        {
            MESSAGE(to_text(result));
            CHECK(
                static_cast<double>(result.m_served) >=
                min_served_share * static_cast<double>(result.m_requests));
        }
    }
}

TEST_CASE("a service whose upstreams are all suspect still gets requests")
{
    // Refusals would leave nothing to learn from, and no other upstream is
    // better.
    for (int failures = 1; failures <= 3; ++failures)
    {
        load_balancer upstreams{"z0", 1};
        auto const entries = make_entries(8);
        upstreams.set_upstreams(at(0ms), entries);
        for (auto const& entry : entries)
        {
            for (int i = 0; i < failures; ++i)
            {
                upstreams.observe(at(0ms), tag_of(entry), observation::failed);
            }
        }
        admission rule;
        selection_context context;
        context.m_service = "desk";
        context.m_is_idempotent = false;
        context.m_latency_target = 2s;
        admission_request request;
        request.m_route = "order";
        request.m_time_left = 6s;
        for (auto now = 1ms; now < 20s; now += 500ms)
        {
            auto const decision =
                rule.decide(at(now), upstreams, context, request);
            CHECK(std::holds_alternative<upstream_choice>(decision));
        }
    }
}

TEST_CASE(
    "upstreams without observations get requests beside healthy full ones")
{
    // Their failure probability is above that of the others, so refusals would
    // keep them idle for as long as the others are full.
    load_balancer upstreams{"z0", 1};
    auto const entries = make_entries(8);
    upstreams.set_upstreams(at(0ms), entries);
    for (std::size_t i = 0; i + 1 < entries.size(); ++i)
    {
        auto const tag = tag_of(entries[i]);
        for (unsigned n = 0; n < 5 * slots_per_upstream; ++n)
        {
            upstreams.attempt_started(at(60s), tag);
            upstreams.observe(at(60s), tag, observation::served);
        }
    }
    admission rule;
    selection_context context;
    context.m_service = "desk";
    context.m_is_idempotent = false;
    context.m_latency_target = 2s;
    admission_request request;
    request.m_route = "order";
    request.m_priority = 9;
    request.m_time_left = 1h;
    auto const decision = rule.decide(at(60s), upstreams, context, request);
    REQUIRE(std::holds_alternative<upstream_choice>(decision));
    CHECK(std::get<upstream_choice>(decision).m_entry == entries.back());
}

namespace
{

/// A service with random estimates and loads.
load_balancer make_random_service(std::mt19937_64& random)
{
    load_balancer upstreams{"z0", random()};
    auto const entries = make_entries(1 + random() % 6);
    upstreams.set_upstreams(at(0ms), entries);
    for (auto const& entry : entries)
    {
        auto const tag = tag_of(entry);
        for (auto failures = random() % 4; failures > 0; --failures)
        {
            upstreams.observe(at(0ms), tag, observation::failed);
        }
        upstreams.observe(at(0ms), tag, observation::served);
        for (auto load = random() % 14; load > 0; --load)
        {
            upstreams.attempt_started(at(0ms), tag);
        }
    }
    return upstreams;
}

milliseconds random_time(std::mt19937_64& random, unsigned limit)
{
    return milliseconds{random() % limit};
}

} // namespace

TEST_CASE("decisions keep deadlines, the order of priorities and at most once")
{
    // A request would be admitted that cannot be served in time, refused as not
    // run although it may have run, or refused while a less urgent one with the
    // same deadline and work is admitted.
    std::mt19937_64 random{11};
    std::size_t admitted_count = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        CAPTURE(i);
        auto upstreams = make_random_service(random);
        admission rule;
        auto const work = 1ms + random_time(random, 1500);
        rule.record_work(at(0ms), "route", "desk", work);
        rule.record_work(at(0ms), "other", "desk", random_time(random, 1500));
        selection_context context;
        context.m_service = "desk";
        context.m_is_idempotent = random() % 2 == 0;
        context.m_latency_target = 500ms;
        context.m_may_test_idle = false;
        admission_request request;
        request.m_route = "route";
        request.m_time_left = random_time(random, 6000);
        request.m_may_have_run = random() % 4 == 0;
        auto const now = at(random_time(random, 10'000));
        bool is_more_urgent_refused = false;
        for (unsigned priority = 0; priority < 6; ++priority)
        {
            request.m_priority = priority;
            auto const decision = rule.decide(now, upstreams, context, request);
            if (auto const* choice = std::get_if<upstream_choice>(&decision))
            {
                ++admitted_count;
                CHECK(choice->m_expected_wait + work <= request.m_time_left);
                CHECK(!is_more_urgent_refused);
                continue;
            }
            is_more_urgent_refused = true;
            bool const is_suspect =
                std::get<admission_refusal>(decision).m_code ==
                result_code::upstreams_suspect;
            CHECK(
                !(is_suspect &&
                  (context.m_is_idempotent || request.m_may_have_run)));
        }
    }
    CHECK(admitted_count > 10'000);
}

TEST_CASE("a refusal costs more with less time left and with more urgency")
{
    // A caller without time to return would be told to return.
    double previous = 1.0;
    for (auto time_left = 100ms; time_left < 6s; time_left += 100ms)
    {
        double const cost = refusal_cost(time_left, 100ms, 1);
        CHECK(cost <= previous);
        CHECK(cost < refusal_cost(time_left, 100ms, 0) + 1e-12);
        previous = cost;
    }
    CHECK(refusal_cost(50ms, 100ms, 3) == doctest::Approx(1.0));
}

TEST_CASE("the limit falls with the work of a route down to the free slots")
{
    // Long requests would fill the queues of short ones, or get no free slots.
    CHECK(requests_per_slot_limit(0, std::nullopt, std::nullopt) == 4.0);
    CHECK(requests_per_slot_limit(2, 100ms, 200ms) == 3.0);
    CHECK(requests_per_slot_limit(9, 100ms, 200ms) == 2.0);
    CHECK(requests_per_slot_limit(0, 400ms, 200ms) == 2.0);
    CHECK(requests_per_slot_limit(4, 10s, 200ms) == 1.0);
}

TEST_CASE("a credit admits at the limit of the most urgent priority")
{
    // A route would be shut out while others keep the queues at its limit, or
    // earn so much that its limit means nothing.
    load_balancer upstreams{"z0", 1};
    auto const entries = make_entries(1);
    upstreams.set_upstreams(at(0ms), entries);
    for (unsigned n = 0; n < 3 * slots_per_upstream; ++n)
    {
        upstreams.attempt_started(at(0ms), tag_of(entries[0]));
    }
    admission rule;
    selection_context context;
    context.m_service = "desk";
    context.m_latency_target = 2s;
    admission_request request;
    request.m_route = "batch";
    request.m_priority = 4;
    request.m_time_left = 10s;
    std::size_t admitted = 0;
    constexpr std::size_t attempts = 1000;
    for (std::size_t i = 0; i < attempts; ++i)
    {
        auto const decision = rule.decide(at(0ms), upstreams, context, request);
        if (auto const* refused = std::get_if<admission_refusal>(&decision))
        {
            CHECK(refused->m_code == result_code::upstreams_full);
            rule.record_refusal(request.m_route, refused->m_code);
            continue;
        }
        ++admitted;
    }
    CHECK(
        static_cast<double>(admitted) ==
        doctest::Approx(starvation_credit_per_refusal * attempts).epsilon(0.1));
}
