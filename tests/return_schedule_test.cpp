#include "return_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <random>
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

/// Callers of a service whose upstreams are all closed until `opens_at`. They
/// come to `vms` VMs, every `interval` to one of them, and return when they
/// were told to. Returns when each is admitted.
std::vector<milliseconds> admission_times(
    milliseconds opens_at,
    milliseconds interval,
    std::size_t vms,
    unsigned seed)
{
    std::mt19937_64 random{seed};
    std::vector<return_schedule> schedules(vms);
    std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>>
        arrivals;
    for (auto time = 0ms; time < opens_at; time += interval)
    {
        arrivals.push(time);
    }
    std::vector<milliseconds> admitted;
    while (!arrivals.empty())
    {
        auto const now = arrivals.top();
        arrivals.pop();
        if (now >= opens_at)
        {
            admitted.push_back(now);
            continue;
        }
        auto& schedule = schedules[random() % vms];
        auto const wait = schedule.next(at(now), opens_at - now, 0, random);
        arrivals.push(now + std::chrono::ceil<milliseconds>(wait));
    }
    return admitted;
}

std::size_t
most_in_window(std::vector<milliseconds> const& times, milliseconds length)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        auto const end = std::lower_bound(first, times.end(), *first + length);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

TEST_CASE("callers do not return before an upstream is available")
{
    std::mt19937_64 random{1};
    return_schedule schedule;
    for (auto now = 0ms; now < 4000ms; now += 10ms)
    {
        CHECK(schedule.next(at(now), 5s - now, 0, random) >= 5s - now);
    }
}

TEST_CASE("a wait that is unknown or very long is bounded")
{
    std::mt19937_64 random{1};
    return_schedule schedule;
    for (int i = 0; i < 1000; ++i)
    {
        auto const unknown = schedule.next(at(0ms), 0ms, 9, random);
        CHECK(unknown >= 150ms);
        CHECK(unknown <= 450ms);
        CHECK(schedule.next(at(0ms), 1h, 0, random) <= 10s);
    }
}

TEST_CASE("refused callers return no faster than twice as quickly as they came")
{
    // With a fixed spread of 300 ms the callers of seconds come back at once.
    constexpr milliseconds interval{5};
    constexpr milliseconds window{500};
    constexpr std::size_t arrivals_in_window = window / interval;
    for (std::size_t const vms : {std::size_t{1}, std::size_t{36}})
    {
        for (auto const closed_for : {500ms, 2000ms, 4000ms})
        {
            for (unsigned seed = 1; seed <= 20; ++seed)
            {
                CAPTURE(vms);
                CAPTURE(closed_for);
                CAPTURE(seed);
                auto const times =
                    admission_times(closed_for, interval, vms, seed);
                CHECK(times.size() == closed_for / interval);
                CHECK(most_in_window(times, window) <= 2 * arrivals_in_window);
            }
        }
    }
}

TEST_CASE("a single caller returns soon after an upstream is available")
{
    std::mt19937_64 random{1};
    for (int i = 0; i < 100; ++i)
    {
        return_schedule schedule;
        CHECK(schedule.next(at(0ms), 500ms, 0, random) <= 700ms);
    }
}

TEST_CASE("the most urgent callers return first")
{
    std::mt19937_64 random{1};
    auto const mean_wait = [&random](unsigned priority)
    {
        duration sum{};
        for (int i = 0; i < 1000; ++i)
        {
            return_schedule schedule;
            sum += schedule.next(at(0ms), 500ms, priority, random);
        }
        return sum / 1000;
    };
    CHECK(mean_wait(0) < mean_wait(1));
    CHECK(mean_wait(1) < mean_wait(2));
}
