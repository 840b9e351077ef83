#include "dispatch_simulation.hpp"

#include "dispatcher.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace briarhub
{
namespace
{

using namespace std::chrono_literals;

constexpr auto latency_target = 500ms;
constexpr auto request_timeout = 2s;
constexpr auto poll_period = 20ms;
constexpr auto shed_latency = 1ms;
constexpr double mean_service_ms = 88.0;
constexpr double service_sigma = 0.5;
constexpr double slow_factor = 5.0;

/// Capacity of an upstream's accept queue per slot; it sheds further requests.
constexpr std::size_t accept_queue_per_slot = 2;

/// Baseline with the interface of `dispatcher`.
class round_robin_dispatcher
{
public:
    round_robin_dispatcher(
        dispatcher::weight_function const&, std::uint64_t seed)
        : m_next{seed}
    {
    }

    void set_upstreams(time_point, std::span<upstream const> upstreams)
    {
        m_upstreams.assign(upstreams.begin(), upstreams.end());
        m_in_flight.resize(upstreams.size());
    }

    result_code enqueue(time_point, dispatch_request request)
    {
        m_queue.push_back(std::move(request));
        return result_code::ok;
    }

    dispatch_decisions poll(time_point now)
    {
        dispatch_decisions result;
        while (!m_queue.empty())
        {
            if (m_queue.front().m_deadline <= now)
            {
                result.m_refusals.push_back({m_queue.front().m_ticket});
                m_queue.pop_front();
                continue;
            }
            if (!assign(result))
            {
                break;
            }
        }
        return result;
    }

    void release(time_point, upstream_id const& target_id, duration)
    {
        auto const found =
            std::ranges::find(m_upstreams, target_id, &upstream::m_id);
        --m_in_flight[static_cast<std::size_t>(found - m_upstreams.begin())];
    }

    void report_shed(time_point, upstream_id const&)
    {
    }

    void
    report_load(time_point, upstream_id const&, std::uint32_t, std::uint32_t)
    {
    }

private:
    bool assign(dispatch_decisions& result)
    {
        for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        {
            std::size_t const index = m_next++ % m_upstreams.size();
            if (m_in_flight[index] < m_upstreams[index].m_slots)
            {
                ++m_in_flight[index];
                result.m_assignments.push_back(
                    {m_queue.front().m_ticket, m_upstreams[index]});
                m_queue.pop_front();
                return true;
            }
        }
        return false;
    }

    std::deque<dispatch_request> m_queue;
    std::vector<upstream> m_upstreams;
    std::vector<std::uint32_t> m_in_flight;
    std::size_t m_next = 0;
};

enum class event_kind
{
    arrival,
    served,
    shed,
    poll
};

struct event
{
    time_point m_at{};
    std::uint64_t m_sequence = 0; ///< orders events at the same time
    event_kind m_kind = event_kind::arrival;
    std::size_t m_index = 0; ///< account, upstream or VM
    request_ticket m_ticket = 0;

    friend bool operator>(event const& left, event const& right)
    {
        return std::pair{left.m_at, left.m_sequence} >
               std::pair{right.m_at, right.m_sequence};
    }
};

struct simulated_request
{
    std::size_t m_vm = 0;
    std::size_t m_account = 0;
    time_point m_arrival{};
    time_point m_assigned{};
    std::vector<upstream_id> m_tried;
};

struct account_counts
{
    std::size_t m_requests = 0;
    std::size_t m_in_time = 0;

    [[nodiscard]] double success_rate() const
    {
        return m_requests == 0 ? 1.0
                               : static_cast<double>(m_in_time) /
                                     static_cast<double>(m_requests);
    }
};

struct simulated_upstream
{
    std::uint32_t m_in_use = 0;
    std::deque<request_ticket> m_accept_queue;
};

duration from_ms(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{milliseconds});
}

template <class Dispatcher>
class dispatch_simulation
{
public:
    explicit dispatch_simulation(dispatch_simulation_options const& options)
        : m_options{options}, m_random{options.m_seed},
          m_end{time_point{1h} + options.m_duration},
          m_simulated_upstreams(options.m_upstreams),
          m_counts(options.m_accounts)
    {
        for (std::size_t i = 0; i < options.m_upstreams; ++i)
        {
            upstream item;
            item.m_id = std::to_string(i);
            item.m_service = "desk";
            item.m_slots = options.m_slots;
            m_upstreams.push_back(item);
        }
        for (std::size_t i = 0; i < options.m_vms; ++i)
        {
            m_vms.emplace_back(
                [](time_point, upstream_id const&)
                {
                    return 1.0;
                },
                options.m_seed * 1000 + i);
            m_vms.back().set_upstreams(time_point{1h}, m_upstreams);
            push({time_point{1h} + poll_period, 0, event_kind::poll, i});
        }
        for (std::size_t i = 0; i < options.m_accounts; ++i)
        {
            push({time_point{1h}, 0, event_kind::arrival, i});
        }
    }

    dispatch_simulation_result run()
    {
        while (m_events.top().m_at < m_end)
        {
            event const next = m_events.top();
            m_events.pop();
            handle(next);
        }
        dispatch_simulation_result result;
        result.m_flooding_account_success = m_counts[0].success_rate();
        result.m_worst_account_success = 1.0;
        for (std::size_t i = 1; i < m_counts.size(); ++i)
        {
            result.m_worst_account_success = std::min(
                result.m_worst_account_success, m_counts[i].success_rate());
        }
        return result;
    }

private:
    void push(event item)
    {
        item.m_sequence = ++m_next_sequence;
        m_events.push(item);
    }

    void handle(event const& item)
    {
        switch (item.m_kind)
        {
        case event_kind::arrival:
            arrive(item.m_at, item.m_index);
            break;
        case event_kind::served:
            finish(item.m_at, item.m_index, item.m_ticket);
            break;
        case event_kind::shed:
            shed(item.m_at, item.m_index, item.m_ticket);
            break;
        case event_kind::poll:
            poll(item.m_at, item.m_index);
            push({item.m_at + poll_period, 0, event_kind::poll, item.m_index});
            break;
        }
    }

    void arrive(time_point now, std::size_t account)
    {
        double const factor = account == 0 ? m_options.m_flood_factor : 1.0;
        std::exponential_distribution<double> gap{
            m_options.m_account_rate * factor};
        push(
            {now + from_ms(1000.0 * gap(m_random)),
             0,
             event_kind::arrival,
             account});
        std::uniform_int_distribution<std::size_t> vm{0, m_options.m_vms - 1};
        request_ticket const ticket = ++m_next_ticket;
        m_requests[ticket] = {vm(m_random), account, now, now, {}};
        ++m_counts[account].m_requests;
        enqueue(now, ticket);
    }

    void enqueue(time_point now, request_ticket ticket)
    {
        simulated_request const& request = m_requests.at(ticket);
        dispatch_request item{
            ticket,
            "desk",
            std::to_string(request.m_account),
            request.m_arrival + request_timeout,
            request.m_tried};
        std::size_t const vm = request.m_vm;
        if (m_vms[vm].enqueue(now, std::move(item)) != result_code::ok)
        {
            m_requests.erase(ticket);
            return;
        }
        poll(now, vm);
    }

    void poll(time_point now, std::size_t vm)
    {
        dispatch_decisions const decisions = m_vms[vm].poll(now);
        for (dispatch_refusal const& refusal : decisions.m_refusals)
        {
            m_requests.erase(refusal.m_ticket);
        }
        for (assignment const& item : decisions.m_assignments)
        {
            m_requests.at(item.m_ticket).m_assigned = now;
            accept(now, std::stoul(item.m_upstream.m_id), item.m_ticket);
        }
    }

    void accept(time_point now, std::size_t target_index, request_ticket ticket)
    {
        simulated_upstream& served = m_simulated_upstreams[target_index];
        if (served.m_in_use < m_options.m_slots)
        {
            serve(now, target_index, ticket);
        }
        else if (
            served.m_accept_queue.size() <
            accept_queue_per_slot * m_options.m_slots)
        {
            served.m_accept_queue.push_back(ticket);
        }
        else
        {
            push(
                {now + shed_latency,
                 0,
                 event_kind::shed,
                 target_index,
                 ticket});
        }
    }

    void serve(time_point now, std::size_t target_index, request_ticket ticket)
    {
        ++m_simulated_upstreams[target_index].m_in_use;
        // The mean of a log-normal is exp(sigma^2 / 2) times its median.
        std::lognormal_distribution<double> noise{
            -service_sigma * service_sigma / 2.0, service_sigma};
        bool const is_slow = target_index % m_options.m_slow_every == 0;
        double const factor = is_slow ? slow_factor : 1.0;
        duration const time =
            from_ms(mean_service_ms * noise(m_random) * factor);
        push({now + time, 0, event_kind::served, target_index, ticket});
    }

    void finish(time_point now, std::size_t target_index, request_ticket ticket)
    {
        simulated_upstream& served = m_simulated_upstreams[target_index];
        --served.m_in_use;
        if (!served.m_accept_queue.empty())
        {
            request_ticket const next = served.m_accept_queue.front();
            served.m_accept_queue.pop_front();
            serve(now, target_index, next);
        }
        simulated_request const request = m_requests.at(ticket);
        m_requests.erase(ticket);
        bool const in_time = now - request.m_arrival <= latency_target;
        m_counts[request.m_account].m_in_time += in_time ? 1 : 0;
        release(now, request, target_index);
    }

    void shed(time_point now, std::size_t target_index, request_ticket ticket)
    {
        simulated_request& request = m_requests.at(ticket);
        upstream_id const& id = m_upstreams[target_index].m_id;
        request.m_tried.push_back(id);
        m_vms[request.m_vm].report_shed(now, id);
        release(now, request, target_index);
        enqueue(now, ticket);
    }

    void release(
        time_point now,
        simulated_request const& request,
        std::size_t target_index)
    {
        upstream_id const& id = m_upstreams[target_index].m_id;
        simulated_upstream const& served = m_simulated_upstreams[target_index];
        auto const waiting =
            static_cast<std::uint32_t>(served.m_accept_queue.size());
        auto& vm = m_vms[request.m_vm];
        vm.report_load(now, id, served.m_in_use + waiting, m_options.m_slots);
        vm.release(now, id, now - request.m_assigned);
        poll(now, request.m_vm);
    }

    dispatch_simulation_options m_options;
    std::mt19937_64 m_random;
    time_point m_end;
    std::vector<upstream> m_upstreams;
    std::vector<simulated_upstream> m_simulated_upstreams;
    std::vector<account_counts> m_counts;
    std::vector<Dispatcher> m_vms;
    std::map<request_ticket, simulated_request> m_requests;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_next_sequence = 0;
    request_ticket m_next_ticket = 0;
};

} // namespace

dispatch_simulation_result
simulate_dispatch(dispatch_simulation_options const& options)
{
    if (options.m_dispatch_policy == dispatch_policy::fair)
    {
        return dispatch_simulation<dispatcher>{options}.run();
    }
    return dispatch_simulation<round_robin_dispatcher>{options}.run();
}

} // namespace briarhub
