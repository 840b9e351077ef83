#include "retry_budget.hpp"
#include "suspect_requests.hpp"

#include <doctest/doctest.h>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

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

TEST_CASE("retries stay below a tenth of the requests and the fleet's rate")
{
    // Unbounded retries multiply the load of an overloaded service.
    retry_budget budget;
    budget.set_members(36);
    time_point now{1h};
    int granted = 0;
    constexpr int seconds = 100;
    constexpr int requests_per_s = 50;
    for (int i = 0; i < seconds * requests_per_s; ++i)
    {
        budget.request_started(now, "desk");
        granted += retries_granted(budget, now);
        now += 20ms;
    }
    double const bound = 0.1 * seconds * requests_per_s +
                         seconds * retries_per_second / 36.0 + retry_burst;
    CHECK(granted <= bound);
    CHECK(granted >= 0.95 * bound);
}

TEST_CASE("a service with little traffic can retry")
{
    // A tenth of almost nothing would refuse the retry of a lone request.
    retry_budget budget;
    time_point now{1h};
    budget.request_started(now, "desk");
    retries_granted(budget, now);
    CHECK_FALSE(budget.try_retry(now, "desk"));
    CHECK(budget.try_retry(now, "other"));
    now += 1s;
    CHECK(retries_granted(budget, now) == 3);
    CHECK(retries_granted(budget, now + 1h) == 10);
}

TEST_CASE("a request is refused after two crashes, also those peers saw")
{
    // It would crash one upstream after the other.
    suspect_requests here;
    suspect_requests peer;
    time_point const now{1h};
    here.report_crash(now, "d");
    CHECK(here.is_suspect(now, "d"));
    CHECK_FALSE(here.is_refused(now, "d"));
    peer.report_crash(now, "d");
    here.receive(now, peer.take_news(now));
    CHECK(here.is_refused(now, "d"));
    CHECK_FALSE(here.is_suspect(now, "other"));
}

TEST_CASE("a crash is told once and by the VM that saw it")
{
    // Crashes that come back from peers would make one crash look like two.
    suspect_requests here;
    suspect_requests peer;
    time_point const now{1h};
    here.report_crash(now, "d");
    auto const news = here.take_news(now);
    REQUIRE(news.size() == 1);
    CHECK(news[0].m_crashes == 1);
    peer.receive(now, news);
    CHECK(peer.take_news(now).empty());
    CHECK(here.take_news(now).empty());
    CHECK_FALSE(peer.is_refused(now, "d"));
}

TEST_CASE("a suspect is forgotten after a quiet time")
{
    // The request may run again once the upstreams are mended.
    suspect_requests here;
    time_point const now{1h};
    here.report_crash(now, "d");
    here.report_crash(now, "d");
    CHECK(here.is_refused(now + suspect_retention - 1s, "d"));
    CHECK_FALSE(here.is_refused(now + suspect_retention, "d"));
    here.report_crash(now + suspect_retention, "d");
    CHECK_FALSE(here.is_refused(now + suspect_retention, "d"));
}
