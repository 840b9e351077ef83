#include "dispatcher.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    explicit fixture(std::size_t count = 2, std::uint32_t slots = 2)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            upstream item;
            item.m_id = "u" + std::to_string(i);
            item.m_service = "desk";
            item.m_slots = slots;
            m_upstreams.push_back(item);
            m_weights[item.m_id] = 1.0;
        }
        m_dispatcher.set_upstreams(m_now, m_upstreams);
    }

    result_code enqueue(
        account_name const& account,
        std::vector<upstream_id> exclude = {},
        duration time_left = 5s)
    {
        ++m_ticket;
        m_accounts[m_ticket] = account;
        return m_dispatcher.enqueue(
            m_now,
            {m_ticket, "desk", account, m_now + time_left, std::move(exclude)});
    }

    std::vector<assignment> poll()
    {
        return m_dispatcher.poll(m_now).m_assignments;
    }

    void release(assignment const& item, duration service_time = 100ms)
    {
        m_dispatcher.release(m_now, item.m_upstream.m_id, service_time);
    }

    /// Runs `count` requests sequentially; returns the number for each
    /// upstream.
    std::map<upstream_id, int> serve(int count)
    {
        std::map<upstream_id, int> chosen;
        for (int i = 0; i < count; ++i)
        {
            enqueue("a");
            for (assignment const& item : poll())
            {
                ++chosen[item.m_upstream.m_id];
                release(item);
            }
        }
        return chosen;
    }

    time_point m_now{1h};
    std::map<upstream_id, double> m_weights;
    dispatcher m_dispatcher{
        [this](time_point, upstream_id const& id)
        {
            return m_weights[id];
        },
        3};
    std::vector<upstream> m_upstreams;
    std::map<request_ticket, account_name> m_accounts;
    request_ticket m_ticket = 0;
};

} // namespace

TEST_CASE("excess load from one account delays only its own requests")
{
    // A queue shared by all accounts would serve the excess load first.
    fixture test{1, 1};
    for (int i = 0; i < 100; ++i)
    {
        test.enqueue("flood");
    }
    for (int i = 0; i < 5; ++i)
    {
        test.enqueue("small");
    }
    int small = 0;
    for (int i = 0; i < 11; ++i)
    {
        for (assignment const& item : test.poll())
        {
            small += test.m_accounts[item.m_ticket] == "small" ? 1 : 0;
            test.release(item);
        }
    }
    CHECK(small == 5);
}

TEST_CASE("an expensive request uses the quantum of several rounds")
{
    // Round robin by request count would give accounts with long requests more
    // than their share.
    fixture test{1, 1};
    for (int i = 0; i < 30; ++i)
    {
        bool const is_long = i % 2 == 0;
        ++test.m_ticket;
        test.m_accounts[test.m_ticket] = is_long ? "long" : "short";
        test.m_dispatcher.enqueue(
            test.m_now,
            {test.m_ticket,
             "desk",
             is_long ? "long" : "short",
             test.m_now + 1min,
             {},
             is_long ? 3.0 : 1.0});
    }
    std::map<account_name, int> served;
    for (int i = 0; i < 12; ++i)
    {
        for (assignment const& item : test.poll())
        {
            ++served[test.m_accounts[item.m_ticket]];
            test.release(item);
        }
    }
    CHECK(served["long"] == 3);
    CHECK(served["short"] == 9);
}

TEST_CASE("each account's queue is bounded")
{
    // Excess load must not exhaust the memory or the queue space of other
    // accounts.
    fixture test{1, 1};
    int queued = 0;
    while (test.enqueue("flood") == result_code::ok && queued < 10'000)
    {
        ++queued;
    }
    CHECK(queued == 256);
    CHECK(test.enqueue("flood") == result_code::queue_full);
    CHECK(test.enqueue("small") == result_code::ok);
}

TEST_CASE("a request that cannot be served in time is refused early")
{
    // Queueing it would delay the caller's error and occupy the queue.
    fixture test{1, 1};
    test.enqueue("a");
    test.release(test.poll().front(), 100ms);
    for (int i = 0; i < 20; ++i)
    {
        CHECK(test.enqueue("a") == result_code::ok);
    }
    CHECK(test.enqueue("a", {}, 1s) == result_code::deadline_too_short);
    CHECK(test.enqueue("b", {}, 1s) == result_code::ok);
}

TEST_CASE("an expired request is refused and never assigned")
{
    // It would use a slot for a response that no caller waits for.
    fixture test{1, 1};
    test.enqueue("a");
    auto const running = test.poll();
    test.enqueue("a", {}, 200ms);
    CHECK(test.m_dispatcher.next_poll() <= test.m_now + 200ms);
    test.m_now += 200ms;
    test.release(running.front());
    auto const decisions = test.m_dispatcher.poll(test.m_now);
    CHECK(decisions.m_assignments.empty());
    REQUIRE(decisions.m_refusals.size() == 1);
    CHECK(decisions.m_refusals[0].m_code == result_code::deadline_passed);
}

TEST_CASE("a cancelled request is neither assigned nor refused")
{
    fixture test;
    test.enqueue("a");
    test.m_dispatcher.cancel(test.m_ticket);
    test.m_dispatcher.cancel(test.m_ticket);
    test.m_now += 1min;
    auto const decisions = test.m_dispatcher.poll(test.m_now);
    CHECK(decisions.m_assignments.empty());
    CHECK(decisions.m_refusals.empty());
}

TEST_CASE("a VM has at most `slots` requests at an upstream")
{
    // Without the limit, 36 VMs would overload upstreams with 2 slots.
    fixture test{2, 2};
    for (int i = 0; i < 10; ++i)
    {
        test.enqueue("a");
    }
    std::map<upstream_id, int> chosen;
    for (assignment const& item : test.poll())
    {
        ++chosen[item.m_upstream.m_id];
    }
    CHECK(chosen == std::map<upstream_id, int>{{"u0", 2}, {"u1", 2}});
}

TEST_CASE("a shed request lowers the limit for one second")
{
    // At an unchanged rate the upstream would shed more requests.
    fixture test{1, 4};
    test.m_dispatcher.report_shed(test.m_now, "u0");
    for (int i = 0; i < 10; ++i)
    {
        test.enqueue("a");
    }
    CHECK(test.poll().size() == 2);
    test.m_now += 1s;
    CHECK(test.poll().size() == 2);
}

TEST_CASE("a retry goes to another upstream, even if it has to wait")
{
    // The upstream that failed the request is likely to fail it again.
    fixture test{2, 1};
    test.enqueue("a", {"u0"});
    auto const first = test.poll();
    REQUIRE(first.size() == 1);
    CHECK(first[0].m_upstream.m_id == "u1");
    test.enqueue("a", {"u0"});
    CHECK(test.poll().empty());
    test.release(first[0]);
    CHECK(test.poll().size() == 1);
}

TEST_CASE("excluded upstreams are used if no other is usable")
{
    // The request would otherwise wait until its deadline.
    fixture test;
    test.m_weights["u1"] = 0.0;
    test.enqueue("a", {"u0"});
    CHECK(test.poll().size() == 1);
}

TEST_CASE("a waiting retry does not block other accounts")
{
    // Only the requests of its own account wait behind it.
    fixture test{2, 1};
    test.enqueue("a", {"u0"});
    test.poll();
    test.enqueue("a", {"u0"});
    test.enqueue("b");
    auto const next = test.poll();
    REQUIRE(next.size() == 1);
    CHECK(test.m_accounts[next[0].m_ticket] == "b");
}

TEST_CASE("draining, leaving and unusable upstreams get no requests")
{
    // This includes requests that are already queued (P9).
    fixture test{3, 2};
    test.m_weights["u0"] = 0.0;
    test.m_upstreams[1].m_state = vm_state::leaving;
    test.m_dispatcher.set_upstreams(test.m_now, test.m_upstreams);
    auto const chosen = test.serve(50);
    CHECK(chosen == std::map<upstream_id, int>{{"u2", 50}});
    test.m_weights["u2"] = 0.0;
    CHECK(test.enqueue("a") == result_code::no_upstream);
}

TEST_CASE("an upstream in slow start gets its weighted share")
{
    // Without any requests its recovery could not be observed.
    fixture test{4, 2};
    test.m_weights["u0"] = 0.1;
    auto const chosen = test.serve(1000);
    CHECK(chosen.at("u0") > 10);
    CHECK(chosen.at("u0") < 80);
}

TEST_CASE("a load report diverts requests for a short time")
{
    // Without load reports, 36 VMs have no information about each other's
    // requests. An outdated report would keep an idle upstream unused.
    fixture test{2, 2};
    test.m_dispatcher.report_load(test.m_now, "u0", 2, 2);
    CHECK(test.serve(200)["u0"] < 75);
    test.m_now += 5s;
    CHECK(test.serve(200)["u0"] > 75);
}

TEST_CASE("attempts at a removed upstream are still released")
{
    // An attempt whose release is lost would stay in flight forever.
    fixture test{2, 1};
    test.enqueue("a");
    auto const running = test.poll();
    auto const all = test.m_upstreams;
    test.m_dispatcher.set_upstreams(test.m_now, {});
    test.release(running[0]);
    test.m_dispatcher.set_upstreams(test.m_now, all);
    CHECK(test.m_dispatcher.status()[0].m_in_flight == 0);
    test.enqueue("a");
    test.enqueue("a");
    CHECK(test.poll().size() == 2);
}

TEST_CASE("a slow upstream gets fewer requests, a failing one not more")
{
    // Without service times, idle upstreams are indistinguishable. An upstream
    // that fails immediately has the shortest service time.
    fixture test{3, 2};
    std::map<upstream_id, int> chosen;
    std::map<upstream_id, duration> const times{
        {"u0", 500ms}, {"u1", 100ms}, {"u2", 1ms}};
    for (int i = 0; i < 600; ++i)
    {
        test.enqueue("a");
        for (assignment const& item : test.poll())
        {
            ++chosen[item.m_upstream.m_id];
            test.release(item, times.at(item.m_upstream.m_id));
        }
    }
    CHECK(chosen["u0"] < 120);
    CHECK(chosen["u0"] > 10);
    CHECK(chosen["u2"] < 300);
}
