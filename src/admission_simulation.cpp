#include "admission_simulation.hpp"

#include "admission.hpp"
#include "clock.hpp"
#include "return_schedule.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <variant>

namespace briarhub
{
namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

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
        added.m_id = std::string{"u"}.append(std::to_string(i));
        added.m_service = "desk";
        added.m_failure_domain = std::string{"z"}.append(std::to_string(i % 4));
        added.m_address = "10.0.0.1:80";
        added.m_slots = slots_per_upstream;
        entries[i].m_start_time = 1;
    }
    return entries;
}

/// No feasibility, no cost of a refusal, and a limit by priority alone.
admission_decision decide_by_priority(
    time_point now,
    load_balancer& upstreams,
    selection_context context,
    unsigned priority)
{
    context.m_requests_per_slot = std::max(2.0, 4.0 - 0.5 * priority);
    if (auto choice = upstreams.select_upstream(now, context))
    {
        return *std::move(choice);
    }
    return admission_refusal{};
}

class admission_replay
{
public:
    admission_replay(
        load_pattern pattern, admission_rule rule, std::uint64_t seed)
        : m_pattern(std::move(pattern)), m_rule(rule), m_random(seed),
          m_load_random(seed), m_entries(make_entries(m_pattern.m_upstreams)),
          m_upstreams(m_pattern.m_upstreams),
          m_results(m_pattern.m_routes.size())
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            m_vms.emplace_back(
                std::string{"z"}.append(std::to_string(i % 4)),
                seed * 1000 + i);
            m_vms.back().m_upstreams.set_upstreams(at(0ms), m_entries);
        }
        for (auto& upstream : m_upstreams)
        {
            upstream.m_next_change = random_time(failing_period);
        }
    }

    admission_replay_result run()
    {
        auto const end =
            m_pattern.m_peak_begin + m_pattern.m_peak_length + settling_time;
        for (auto now = 0ms; now < end; now += 1ms)
        {
            change_upstreams(now);
            add_arrivals(now);
            run_events(now);
        }
        while (!m_events.empty())
        {
            run_events(m_events.top().m_at);
        }
        return {m_results, m_violations};
    }

private:
    static constexpr std::size_t vm_count = 8;
    static constexpr double failure_share = 0.75;
    static constexpr double healthy_failure_share = 0.012;
    static constexpr milliseconds failing_period{9000};
    static constexpr milliseconds gossip_delay{60};
    static constexpr milliseconds settling_time{2000};
    static constexpr unsigned max_attempts = 3;

    struct simulated_vm
    {
        simulated_vm(failure_domain const& domain, std::uint64_t seed)
            : m_upstreams(domain, seed)
        {
        }

        load_balancer m_upstreams;
        admission m_admission;
        return_schedule m_returns;
    };

    struct simulated_upstream
    {
        bool m_is_failing = false;
        milliseconds m_next_change{};
        unsigned m_running = 0;
        std::deque<std::size_t> m_queue;
    };

    struct simulated_request
    {
        std::size_t m_route = 0;
        std::size_t m_vm = 0;
        milliseconds m_deadline{};
        milliseconds m_started{};
        std::size_t m_upstream = 0;
        bool m_found_spare_slots = false;
        bool m_is_counted = false;
        std::vector<upstream_id> m_attempted{};
    };

    struct event
    {
        milliseconds m_at{};
        std::uint64_t m_number = 0; ///< events of a time happen in this order
        std::function<void(milliseconds)> m_run;

        friend bool operator>(event const& a, event const& b)
        {
            return std::tie(a.m_at, a.m_number) > std::tie(b.m_at, b.m_number);
        }
    };

    void schedule(milliseconds time, std::function<void(milliseconds)> run)
    {
        m_events.push({time, m_next_event++, std::move(run)});
    }

    void run_events(milliseconds now)
    {
        while (!m_events.empty() && m_events.top().m_at <= now)
        {
            auto const run = m_events.top().m_run;
            m_events.pop();
            run(now);
        }
    }

    milliseconds random_time(milliseconds limit)
    {
        return milliseconds{std::uniform_int_distribution<std::int64_t>{
            1, limit.count()}(m_random)};
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution{probability}(m_random);
    }

    void change_upstreams(milliseconds now)
    {
        for (auto& upstream : m_upstreams)
        {
            if (upstream.m_next_change <= now)
            {
                upstream.m_next_change = now + failing_period;
                upstream.m_is_failing = std::bernoulli_distribution{
                    m_pattern.m_failing_share}(m_load_random);
            }
        }
    }

    [[nodiscard]] bool is_peak(milliseconds now) const
    {
        return now >= m_pattern.m_peak_begin &&
               now < m_pattern.m_peak_begin + m_pattern.m_peak_length;
    }

    void add_arrivals(milliseconds now)
    {
        for (std::size_t i = 0; i < m_pattern.m_routes.size(); ++i)
        {
            auto const& route = m_pattern.m_routes[i];
            double const rate =
                route.m_usual_rate * (is_peak(now) ? route.m_peak_factor : 1.0);
            std::poisson_distribution<unsigned> arrivals{rate / 1000.0};
            for (auto count = arrivals(m_load_random); count > 0; --count)
            {
                add_request(now, i);
            }
        }
    }

    void add_request(milliseconds now, std::size_t route)
    {
        simulated_request added;
        added.m_route = route;
        added.m_deadline = now + m_pattern.m_routes[route].m_deadline;
        added.m_is_counted = now >= m_pattern.m_peak_begin;
        m_results[route].m_requests += added.m_is_counted ? 1 : 0;
        auto const number = m_requests.size();
        m_requests.push_back(std::move(added));
        send(now, number);
    }

    void send(milliseconds now, std::size_t number)
    {
        m_requests[number].m_vm = m_random() % vm_count;
        m_requests[number].m_attempted.clear();
        attempt(now, number);
    }

    admission_decision decide(milliseconds now, simulated_request const& sent)
    {
        auto const& route = m_pattern.m_routes[sent.m_route];
        auto& vm = m_vms[sent.m_vm];
        selection_context context;
        context.m_service = "desk";
        context.m_is_idempotent = route.m_is_idempotent;
        context.m_is_retry = !sent.m_attempted.empty();
        context.m_latency_target = route.m_deadline / 3;
        context.m_excluded = sent.m_attempted;
        if (m_rule == admission_rule::by_priority)
        {
            return decide_by_priority(
                at(now), vm.m_upstreams, context, route.m_priority);
        }
        admission_request request;
        request.m_route = route.m_name;
        request.m_priority = route.m_priority;
        request.m_time_left = sent.m_deadline - now;
        request.m_may_have_run = !sent.m_attempted.empty();
        auto decision =
            vm.m_admission.decide(at(now), vm.m_upstreams, context, request);
        check(now, decision, request, vm);
        return decision;
    }

    void check(
        milliseconds now,
        admission_decision const& decision,
        admission_request const& request,
        simulated_vm const& vm)
    {
        if (auto const* choice = std::get_if<upstream_choice>(&decision))
        {
            auto const work =
                vm.m_admission.route_work(at(now), request.m_route)
                    .value_or(0ns);
            bool const fits =
                choice->m_expected_wait + work <= request.m_time_left;
            m_violations += fits ? 0 : 1;
            return;
        }
        auto const code = std::get<admission_refusal>(decision).m_code;
        bool const is_false_promise =
            request.m_may_have_run && code == result_code::upstreams_suspect;
        m_violations += is_false_promise ? 1 : 0;
    }

    void attempt(milliseconds now, std::size_t number)
    {
        auto& sent = m_requests[number];
        auto const decision = decide(now, sent);
        if (auto const* refused = std::get_if<admission_refusal>(&decision))
        {
            handle_refusal(now, number, *refused);
            return;
        }
        auto const& entry = std::get<upstream_choice>(decision).m_entry;
        auto& vm = m_vms[sent.m_vm];
        auto const tag = tag_of(entry);
        sent.m_attempted.push_back(entry.m_upstream.m_id);
        sent.m_upstream = std::stoul(entry.m_upstream.m_id.substr(1));
        sent.m_started = now;
        sent.m_found_spare_slots = vm.m_upstreams.has_spare_slots(at(now), tag);
        vm.m_upstreams.attempt_started(at(now), tag);
        send_update(now, sent.m_vm);
        m_upstreams[sent.m_upstream].m_queue.push_back(number);
        start_queued(now, sent.m_upstream);
    }

    void handle_refusal(
        milliseconds now, std::size_t number, admission_refusal const& refused)
    {
        auto const& sent = m_requests[number];
        auto const& route = m_pattern.m_routes[sent.m_route];
        if (!sent.m_attempted.empty())
        {
            count(sent, &route_result::m_failed);
            return;
        }
        auto& vm = m_vms[sent.m_vm];
        vm.m_admission.record_refusal(route.m_name, refused.m_code);
        auto const wait =
            vm.m_returns.next(at(now), 0ms, route.m_priority, m_random);
        auto const returns = now + std::chrono::ceil<milliseconds>(wait);
        if (returns >= sent.m_deadline)
        {
            count(sent, &route_result::m_refused);
            return;
        }
        schedule(
            returns,
            [this, number](milliseconds then)
            {
                send(then, number);
            });
    }

    void start_queued(milliseconds now, std::size_t number)
    {
        auto& upstream = m_upstreams[number];
        while (!upstream.m_queue.empty() &&
               upstream.m_running < slots_per_upstream)
        {
            auto const request = upstream.m_queue.front();
            upstream.m_queue.pop_front();
            ++upstream.m_running;
            auto const mean =
                m_pattern.m_routes[m_requests[request].m_route].m_work;
            schedule(
                now + mean / 2 + random_time(mean),
                [this, request](milliseconds end)
                {
                    finish(end, request);
                });
        }
    }

    void finish(milliseconds now, std::size_t number)
    {
        auto& sent = m_requests[number];
        auto& upstream = m_upstreams[sent.m_upstream];
        --upstream.m_running;
        start_queued(now, sent.m_upstream);
        bool const has_failed = happens(
            upstream.m_is_failing ? failure_share : healthy_failure_share);
        auto& vm = m_vms[sent.m_vm];
        auto const tag = tag_of(m_entries[sent.m_upstream]);
        vm.m_upstreams.attempt_ended(tag);
        vm.m_upstreams.observe(
            at(now),
            tag,
            has_failed ? observation::failed : observation::served);
        if (has_failed)
        {
            handle_failure(now, number);
        }
        else
        {
            record_served(now, sent);
        }
        send_update(now, sent.m_vm);
    }

    void handle_failure(milliseconds now, std::size_t number)
    {
        auto const& sent = m_requests[number];
        bool const may_retry =
            m_pattern.m_routes[sent.m_route].m_is_idempotent &&
            sent.m_attempted.size() < max_attempts && now < sent.m_deadline;
        if (may_retry)
        {
            attempt(now, number);
            return;
        }
        count(sent, &route_result::m_failed);
    }

    void record_served(milliseconds now, simulated_request const& sent)
    {
        auto& vm = m_vms[sent.m_vm];
        auto const elapsed = now - sent.m_started;
        vm.m_upstreams.record_duration("desk", elapsed);
        if (sent.m_found_spare_slots)
        {
            vm.m_admission.record_work(
                at(now),
                m_pattern.m_routes[sent.m_route].m_name,
                "desk",
                elapsed);
        }
        count(
            sent,
            now <= sent.m_deadline ? &route_result::m_served
                                   : &route_result::m_late);
    }

    void count(simulated_request const& sent, std::size_t route_result::*result)
    {
        m_results[sent.m_route].*result += sent.m_is_counted ? 1 : 0;
    }

    void send_update(milliseconds now, std::size_t from)
    {
        schedule(
            now + gossip_delay,
            [this,
             from,
             update = m_vms[from].m_upstreams.collect_updates(false)](
                milliseconds then)
            {
                ++m_sequence;
                for (std::size_t i = 0; i < vm_count; ++i)
                {
                    if (i != from)
                    {
                        m_vms[i].m_upstreams.receive(
                            at(then),
                            static_cast<vm_tag>(from + 1),
                            m_sequence,
                            update);
                    }
                }
            });
    }

    load_pattern m_pattern;
    admission_rule m_rule;
    std::mt19937_64 m_random;
    std::mt19937_64 m_load_random; ///< both rules get the same load
    std::vector<upstream_entry> m_entries;
    std::deque<simulated_vm> m_vms;
    std::vector<simulated_upstream> m_upstreams;
    std::deque<simulated_request> m_requests;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_next_event = 0;
    std::uint64_t m_sequence = 0;
    std::vector<route_result> m_results;
    std::size_t m_violations = 0;
};

} // namespace

admission_replay_result replay_admission(
    load_pattern const& pattern, admission_rule rule, std::uint64_t seed)
{
    return admission_replay{pattern, rule, seed}.run();
}

load_pattern burst_beside_failures()
{
    return {
        159, 1.0 / 3, 12s, 6s, {{"order", 0, false, 6s, 240ms, 750.0, 2.4}}};
}

load_pattern peak_of_two_routes()
{
    return {
        40,
        0.0,
        6s,
        8s,
        {{"urgent", 0, true, 900ms, 150ms, 250.0, 2.4},
         {"batch", 4, true, 5s, 600ms, 60.0, 2.4}}};
}

} // namespace briarhub
