#include "retry_budget.hpp"
#include "suspect_requests.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

int retries_granted(retry_budget& budget, time_point now)
{
    int granted = 0;
    while (budget.try_retry(now, "desk") && granted < 10'000)
    {
        ++granted;
    }
    return granted;
}

} // namespace

TEST_CASE("retries stay within the ratio of requests plus the permits")
{
    // Unbounded retries multiply the load of an overloaded service.
    constexpr retry_bounds bounds{0.1, 60.0, 10s};
    retry_budget budget{start, bounds};
    budget.set_position({1, 0});
    time_point now = start + bounds.m_window;
    int granted = 0;
    constexpr int requests = 500;
    for (int i = 0; i < requests; ++i)
    {
        budget.request_started(now, "desk");
        granted += retries_granted(budget, now);
        now += 20ms;
    }
    CHECK(granted <= 0.1 * requests + 60);
    CHECK(granted >= 0.9 * (0.1 * requests + 60));
}

TEST_CASE("a service with little traffic can retry")
{
    // The ratio alone would deny the retry of a single request.
    retry_budget budget{start, {0.1, 30.0, 10s}};
    budget.set_position({1, 0});
    time_point const now = start + 10s;
    int const permits = retries_granted(budget, now);
    CHECK(permits >= 25);
    CHECK(permits <= 30);
    CHECK(budget.try_retry(now, "other"));
    CHECK_FALSE(budget.try_retry(now + 9s, "desk"));
    CHECK(retries_granted(budget, now + 11s) == permits);
    CHECK(retries_granted(budget, now + 1h) == permits);
}

TEST_CASE("the permits of all VMs add up to the extra, also in a large fleet")
{
    // Shares that are rounded up on each VM exceed the limit, and shares that
    // are rounded down to zero leave a large fleet without retries.
    for (std::size_t const vms : {1U, 7U, 36U, 58U, 59U, 300U})
    {
        int all = 0;
        for (std::size_t rank = 0; rank < vms; ++rank)
        {
            retry_budget budget{start, {0.2, 58.0, 10s}};
            budget.set_position({vms, rank});
            all += retries_granted(budget, start + 10s);
        }
        CHECK(all <= 58);
        CHECK(all >= 50);
    }
}

TEST_CASE("a starting process does not reuse the permits of its predecessor")
{
    // A killed process loses the count of used permits, so each restart would
    // renew the budget.
    retry_budget budget{start, {0.0, 58.0, 10s}};
    budget.set_position({36, 0});
    CHECK_FALSE(budget.try_retry(start, "desk"));
    CHECK_FALSE(budget.try_retry(start + 9s, "desk"));
    CHECK(budget.try_retry(start + 10s, "desk"));
}

TEST_CASE("a VM that does not know the fleet size makes no retries")
{
    // It would use the extra of the whole fleet.
    retry_budget budget{start, {0.2, 58.0, 10s}};
    CHECK_FALSE(budget.try_retry(start + 1h, "desk"));
    budget.set_position({36, 0});
    CHECK(budget.try_retry(start + 1h, "desk"));
}

TEST_CASE("permits that move to another VM are not used twice in a window")
{
    // The previous VM may have used them just before.
    retry_budget budget{start, {0.0, 58.0, 10s}};
    budget.set_position({36, 0});
    time_point const now = start + 1h;
    retries_granted(budget, now);
    budget.set_position({1, 0});
    CHECK_FALSE(budget.try_retry(now + 9s, "desk"));
    CHECK(retries_granted(budget, now + 20s) > 50);
}

TEST_CASE("a request is refused after two crashes, including those of peers")
{
    // It would otherwise crash one upstream after another.
    suspect_requests local;
    suspect_requests peer;
    time_point const now{1h};
    local.report_crash(now, "d");
    CHECK(local.is_suspect(now, "d"));
    CHECK_FALSE(local.is_refused(now, "d"));
    peer.report_crash(now, "d");
    local.receive(now, peer.collect_updates(now));
    CHECK(local.is_refused(now, "d"));
    CHECK_FALSE(local.is_suspect(now, "other"));
}

TEST_CASE("a crash is reported once, by the VM that observed it")
{
    // If peers forwarded crashes, one crash would count twice.
    suspect_requests local;
    suspect_requests peer;
    time_point const now{1h};
    local.report_crash(now, "d");
    auto const updates = local.collect_updates(now);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].m_crashes == 1);
    peer.receive(now, updates);
    CHECK(peer.collect_updates(now).empty());
    CHECK(local.collect_updates(now).empty());
    CHECK_FALSE(peer.is_refused(now, "d"));
}

TEST_CASE("a starting process imports the requests that crashed upstreams")
{
    // Otherwise the request would crash two more upstreams after each restart.
    suspect_requests local;
    time_point const now{1h};
    local.report_crash(now, "d");
    local.report_crash(now, "d");
    local.report_crash(now, "once");
    suspect_requests restarted;
    restarted.adopt(now, local.snapshot(now));
    restarted.adopt(now, local.snapshot(now));
    CHECK(restarted.is_refused(now, "d"));
    CHECK(restarted.is_suspect(now, "once"));
    CHECK_FALSE(restarted.is_refused(now, "once"));
    CHECK(restarted.collect_updates(now).empty());
    for (std::size_t i = 0; i < 2 * max_suspects_sent; ++i)
    {
        local.report_crash(now, std::to_string(i));
    }
    CHECK(local.snapshot(now).size() == max_suspects_sent);
    CHECK(local.snapshot(now)[0].m_digest == "d");
    CHECK(local.snapshot(now + suspect_retention).empty());
}

TEST_CASE("a suspect request expires after the retention time")
{
    // The request may run again once the upstreams are repaired.
    suspect_requests local;
    time_point const now{1h};
    local.report_crash(now, "d");
    local.report_crash(now, "d");
    CHECK(local.is_refused(now + suspect_retention - 1s, "d"));
    CHECK_FALSE(local.is_refused(now + suspect_retention, "d"));
    local.report_crash(now + suspect_retention, "d");
    CHECK_FALSE(local.is_refused(now + suspect_retention, "d"));
}
