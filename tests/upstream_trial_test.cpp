#include "load_balancer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <string>
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

upstream_entry make_entry(std::size_t number)
{
    upstream_entry entry;
    entry.m_upstream.m_id = "u" + std::to_string(number);
    entry.m_upstream.m_service = "desk";
    entry.m_upstream.m_failure_domain = "z" + std::to_string(number % 4);
    entry.m_upstream.m_address = "10.0.0.1:80";
    entry.m_upstream.m_slots = 4;
    entry.m_start_time = 1;
    return entry;
}

struct outcome_counts
{
    std::size_t m_requests = 0;
    std::size_t m_failed = 0;
    /// Longest time for which a healthy upstream got no request.
    milliseconds m_longest_idle{};
};

/// A fleet in front of a service that gets only non-idempotent requests. At any
/// time `failing_share` of the upstreams fail most requests; which ones changes
/// every `failing_period`.
class simulated_service
{
public:
    explicit simulated_service(unsigned seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            m_entries.push_back(make_entry(i));
        }
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            m_vms.emplace_back("z" + std::to_string(i % 4), seed * 1000 + i);
            m_vms.back().set_upstreams(at(0ms), m_entries);
        }
        m_failing_since.resize(upstream_count);
        m_healthy_since.resize(upstream_count);
        m_used.resize(upstream_count);
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            m_changes.push({random_time(failing_period), i});
        }
    }

    outcome_counts run(milliseconds length)
    {
        std::bernoulli_distribution arrives{requests_per_ms};
        std::uniform_int_distribution<std::size_t> pick{0, vm_count - 1};
        for (auto now = 0ms; now < length; now += 1ms)
        {
            change_upstreams(now);
            finish_requests(now);
            deliver_updates(now);
            if (arrives(m_random))
            {
                send_request(now, pick(m_random));
            }
            if (now >= settling_time)
            {
                check_idle_times(now);
            }
        }
        return m_counts;
    }

private:
    static constexpr std::size_t vm_count = 40;
    static constexpr std::size_t upstream_count = 60;
    static constexpr double requests_per_ms = 0.25;
    static constexpr double failing_share = 0.3;
    static constexpr double failure_probability = 0.9;
    static constexpr double healthy_failure_probability = 0.012;
    static constexpr milliseconds failing_period{9000};
    static constexpr milliseconds service_time{310};
    static constexpr milliseconds gossip_delay{60};
    static constexpr milliseconds settling_time{10000};

    struct state_change
    {
        milliseconds m_at{};
        std::size_t m_upstream = 0;

        friend bool operator>(state_change const& a, state_change const& b)
        {
            return a.m_at > b.m_at;
        }
    };

    struct running_request
    {
        milliseconds m_end{};
        std::size_t m_vm = 0;
        std::size_t m_upstream = 0;
    };

    struct delayed_update
    {
        milliseconds m_due{};
        std::size_t m_from = 0;
        std::vector<upstream_update> m_update;
    };

    milliseconds random_time(milliseconds limit)
    {
        return milliseconds{std::uniform_int_distribution<std::int64_t>{
            1, limit.count()}(m_random)};
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution{probability}(m_random);
    }

    [[nodiscard]] bool is_failing(std::size_t upstream) const
    {
        return m_failing_since[upstream].has_value();
    }

    void change_upstreams(milliseconds now)
    {
        while (m_changes.top().m_at <= now)
        {
            auto const upstream = m_changes.top().m_upstream;
            m_changes.pop();
            m_changes.push({now + failing_period, upstream});
            bool const was_failing = is_failing(upstream);
            m_failing_since[upstream].reset();
            if (happens(failing_share))
            {
                m_failing_since[upstream] = now;
            }
            else if (was_failing)
            {
                m_healthy_since[upstream] = now;
            }
        }
    }

    void send_request(milliseconds now, std::size_t vm)
    {
        selection_context request;
        request.m_service = "desk";
        request.m_is_idempotent = false;
        request.m_latency_target = 1200ms;
        auto const target = m_vms[vm].select_upstream(at(now), request);
        REQUIRE(target);
        auto const number = static_cast<std::size_t>(
            std::stoul(target->m_entry.m_upstream.m_id.substr(1)));
        m_vms[vm].attempt_started(at(now), tag_of(target->m_entry));
        m_used[number] = now;
        m_running.push_back({now + service_time, vm, number});
        send_update(now, vm);
    }

    void finish_requests(milliseconds now)
    {
        while (!m_running.empty() && m_running.front().m_end <= now)
        {
            auto const request = m_running.front();
            m_running.pop_front();
            bool const has_failed = happens(
                is_failing(request.m_upstream) ? failure_probability
                                               : healthy_failure_probability);
            auto const tag = tag_of(m_entries[request.m_upstream]);
            m_vms[request.m_vm].attempt_ended(tag);
            m_vms[request.m_vm].observe(
                at(now),
                tag,
                has_failed ? observation::failed : observation::served);
            send_update(now, request.m_vm);
            if (now >= settling_time)
            {
                ++m_counts.m_requests;
                m_counts.m_failed += has_failed ? 1 : 0;
            }
        }
    }

    void send_update(milliseconds now, std::size_t vm)
    {
        m_updates.push_back(
            {now + gossip_delay, vm, m_vms[vm].collect_updates(false)});
    }

    void deliver_updates(milliseconds now)
    {
        while (!m_updates.empty() && m_updates.front().m_due <= now)
        {
            auto const& update = m_updates.front();
            ++m_sequence;
            for (std::size_t i = 0; i < vm_count; ++i)
            {
                if (i != update.m_from)
                {
                    m_vms[i].receive(
                        at(now),
                        static_cast<vm_tag>(update.m_from + 1),
                        m_sequence,
                        update.m_update);
                }
            }
            m_updates.pop_front();
        }
    }

    void check_idle_times(milliseconds now)
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            if (is_failing(i))
            {
                continue;
            }
            auto const idle = now - std::max(m_healthy_since[i], m_used[i]);
            m_counts.m_longest_idle = std::max(m_counts.m_longest_idle, idle);
        }
    }

    std::mt19937 m_random;
    std::vector<upstream_entry> m_entries;
    std::deque<load_balancer> m_vms;
    std::priority_queue<state_change, std::vector<state_change>, std::greater<>>
        m_changes;
    std::vector<std::optional<milliseconds>> m_failing_since;
    std::vector<milliseconds> m_healthy_since;
    std::vector<milliseconds> m_used;
    std::deque<running_request> m_running;
    std::deque<delayed_update> m_updates;
    std::uint64_t m_sequence = 0;
    outcome_counts m_counts;
};

} // namespace

TEST_CASE("upstreams that recovered are used again by non-idempotent requests")
{
    // Without idempotent requests nothing tests an upstream that failed once,
    // and it stays idle for as long as the others have room.
    constexpr milliseconds max_idle{15000};
    constexpr double max_failed_share = 0.07; // a quarter of random choice
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        simulated_service service{seed};
        auto const counts = service.run(60s);
        auto const failed_share = static_cast<double>(counts.m_failed) /
                                  static_cast<double>(counts.m_requests);
        CHECK(counts.m_longest_idle <= max_idle);
        CHECK(failed_share <= max_failed_share);
    }
}

TEST_CASE("a VM whose directory may be old does not test idle upstreams")
{
    // The peers leave a draining upstream idle, so of all upstreams it would be
    // tested first by a VM that does not know of the drain.
    load_balancer balancer{"z0", 1};
    std::vector<upstream_entry> const entries{make_entry(0), make_entry(4)};
    balancer.set_upstreams(at(0ms), entries);
    selection_context request;
    request.m_service = "desk";
    request.m_is_idempotent = false;
    request.m_latency_target = 1200ms;
    auto const count_idle = [&](bool may_test_idle)
    {
        request.m_may_test_idle = may_test_idle;
        std::size_t count = 0;
        for (int i = 0; i < 1000; ++i)
        {
            balancer.observe(at(10s), tag_of(entries[0]), observation::served);
            auto const chosen = balancer.select_upstream(at(10s), request);
            REQUIRE(chosen);
            count += chosen->m_entry.m_upstream.m_id == "u4" ? 1 : 0;
        }
        return count;
    };
    CHECK(count_idle(false) == 0);
    CHECK(count_idle(true) > 0);
}
