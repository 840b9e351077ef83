#include "load_balancer.hpp"
#include "upstream_rate_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

time_point at(milliseconds offset)
{
    return time_point{} + 1h + offset;
}

upstream_entry make_entry(std::string const& id)
{
    upstream_entry entry;
    entry.m_upstream.m_id = id;
    entry.m_upstream.m_service = "desk";
    entry.m_upstream.m_failure_domain = "z1";
    entry.m_upstream.m_address = "10.0.0.1:80";
    entry.m_upstream.m_slots = 4;
    entry.m_start_time = 1;
    return entry;
}

/// VMs that send requests to the same upstreams and know of each other's after
/// a delay. The first upstream states a rate limit.
class simulated_fleet
{
public:
    simulated_fleet(
        std::size_t vms, std::size_t upstreams, double limit, unsigned seed)
        : m_limit(limit), m_random(seed)
    {
        for (std::size_t i = 0; i < upstreams; ++i)
        {
            m_entries.push_back(make_entry("u" + std::to_string(i)));
        }
        for (std::size_t i = 0; i < vms; ++i)
        {
            m_vms.emplace_back("z1", seed + i);
            m_vms.back().set_upstreams(at(0ms), m_entries);
        }
    }

    /// Times of the requests to the first upstream.
    std::vector<milliseconds> run(milliseconds length, double requests_per_s)
    {
        std::bernoulli_distribution arrives{requests_per_s / 1000};
        std::uniform_int_distribution<std::size_t> pick{0, m_vms.size() - 1};
        for (auto now = 0ms; now < length; now += 1ms)
        {
            deliver(now);
            if (arrives(m_random))
            {
                send_request(now, pick(m_random));
            }
        }
        return m_limited_requests;
    }

private:
    struct delayed_update
    {
        milliseconds m_due{};
        std::size_t m_from = 0;
        std::vector<upstream_update> m_update;
    };

    void send_request(milliseconds now, std::size_t vm)
    {
        constexpr milliseconds delay = 60ms;
        auto& balancer = m_vms[vm];
        selection_context request;
        request.m_service = "desk";
        request.m_latency_target = 500ms;
        auto const target = balancer.select_upstream(at(now), request);
        if (!target)
        {
            return;
        }
        auto const tag = tag_of(target->m_entry);
        balancer.attempt_started(at(now), tag);
        balancer.attempt_ended(tag);
        balancer.observe(at(now), tag, observation::served);
        rate_limit_notice notice;
        if (target->m_entry.m_upstream.m_id == "u0")
        {
            m_limited_requests.push_back(now);
            notice.m_requests_per_second = m_limit;
        }
        balancer.set_rate_limit(at(now), tag, notice);
        m_updates.push_back({now + delay, vm, balancer.collect_updates(false)});
    }

    void deliver(milliseconds now)
    {
        while (!m_updates.empty() && m_updates.front().m_due <= now)
        {
            auto const& update = m_updates.front();
            for (std::size_t i = 0; i < m_vms.size(); ++i)
            {
                if (i != update.m_from)
                {
                    m_vms[i].receive(
                        at(now),
                        static_cast<vm_tag>(update.m_from + 1),
                        ++m_sequence,
                        update.m_update);
                }
            }
            m_updates.pop_front();
        }
    }

    double m_limit;
    std::mt19937 m_random;
    std::vector<upstream_entry> m_entries;
    std::deque<load_balancer> m_vms;
    std::deque<delayed_update> m_updates;
    std::uint64_t m_sequence = 0;
    std::vector<milliseconds> m_limited_requests;
};

/// The most requests in any window of 4 s from `start` on.
std::size_t
most_in_window(std::vector<milliseconds> const& times, milliseconds start)
{
    std::size_t most = 0;
    for (auto first = std::ranges::lower_bound(times, start);
         first != times.end();
         ++first)
    {
        auto const end = std::ranges::lower_bound(times, *first + 4s);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

TEST_CASE("a rate limit that is not a finite non-negative number is ignored")
{
    CHECK(parse_rate_limit("1.8") == 1.8);
    CHECK(parse_rate_limit("0") == 0.0);
    for (auto const* text :
         {"", "-1", "nan", "inf", "1e999", "1.8, 2", "1,8", "a few", " 2"})
    {
        CAPTURE(text);
        CHECK(!parse_rate_limit(text));
    }
}

TEST_CASE("the fleet keeps to the rate limit of an upstream")
{
    // Guards against VMs that each use the whole limit. The platform allows
    // half as much again and 5 requests in 4 s; the limit itself is the aim
    // over longer times.
    for (double const limit : {0.5, 1.8, 6.0})
    {
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            CAPTURE(limit);
            CAPTURE(seed);
            simulated_fleet fleet{32, 20, limit, seed};
            auto const times = fleet.run(30s, 150.0);
            CHECK(
                static_cast<double>(most_in_window(times, 3s)) <=
                1.5 * limit * 4 + 5);
            auto const late = times.end() - std::ranges::lower_bound(times, 6s);
            CHECK(static_cast<double>(late) <= 1.1 * limit * 24 + 6);
            CHECK(static_cast<double>(late) >= 0.6 * limit * 24);
        }
    }
}

TEST_CASE("an upstream whose limit is zero still gets a few requests")
{
    // Only a response can show that the limit has ended.
    simulated_fleet fleet{8, 4, 0.0, 1};
    auto const times = fleet.run(30s, 100.0);
    CHECK(most_in_window(times, 3s) <= 5);
    CHECK(std::ranges::lower_bound(times, 10s) != times.end());
}

TEST_CASE("the wait for upstreams at their limits ends with the first of them")
{
    load_balancer balancer{"z1", 1};
    std::vector<upstream_entry> const entries{
        make_entry("u0"), make_entry("u1")};
    balancer.set_upstreams(at(0ms), entries);
    balancer.set_rate_limit(at(0ms), tag_of(entries[0]), {0.5});
    CHECK(balancer.availability_wait(at(0ms), "desk") == duration{0});
    balancer.set_rate_limit(at(0ms), tag_of(entries[1]), {1.0});
    auto const wait = balancer.availability_wait(at(0ms), "desk");
    CHECK(wait >= 1s);
    CHECK(wait <= 2s);
    CHECK(balancer.availability_wait(at(0ms), "other") == duration{0});
    balancer.set_rate_limit(at(0ms), tag_of(entries[1]), {std::nullopt});
    CHECK(balancer.availability_wait(at(0ms), "desk") == duration{0});
}
