#include "rate_bench.hpp"

#include "token_bucket.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhub
{
namespace
{

/// Start of the simulated time; not the epoch, which stands for "never".
constexpr time_point start_time{std::chrono::hours{1}};

} // namespace

rate_simulation::rate_simulation(
    std::size_t vms,
    std::uint64_t seed,
    network_conditions const& conditions,
    lease_policy const& policy)
    : m_conditions{conditions}, m_policy{policy}, m_random{seed},
      m_now{start_time}, m_simulated_vms(vms)
{
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        m_simulated_vms[vm].m_self.m_vm = fmt::format("vm-{}", vm);
        start(vm);
    }
}

void rate_simulation::start(std::size_t vm)
{
    simulated_vm& entry = m_simulated_vms.at(vm);
    entry.m_self.m_incarnation = m_random();
    entry.m_share.emplace(entry.m_self, m_random(), m_policy);
    entry.m_is_paused = false;
    entry.m_is_dead = false;
    entry.m_valid_until = time_point{};
    entry.m_next_poll = time_point::max();
    entry.m_deferred.clear();
}

std::size_t rate_simulation::size() const
{
    return m_simulated_vms.size();
}

member const& rate_simulation::self(std::size_t vm) const
{
    return m_simulated_vms.at(vm).m_self;
}

lease_rate_limiter& rate_simulation::share(std::size_t vm)
{
    return *m_simulated_vms.at(vm).m_share;
}

time_point rate_simulation::now() const
{
    return m_now;
}

void rate_simulation::restart(std::size_t vm)
{
    start(vm);
}

void rate_simulation::set_paused(std::size_t vm, bool is_paused)
{
    simulated_vm& entry = m_simulated_vms.at(vm);
    entry.m_is_paused = is_paused;
    if (!is_paused)
    {
        for (auto const& action : std::exchange(entry.m_deferred, {}))
        {
            run_on_vm(vm, action);
        }
    }
}

void rate_simulation::set_dead(std::size_t vm)
{
    m_simulated_vms.at(vm).m_is_dead = true;
}

void rate_simulation::set_valid_until(std::size_t vm, time_point valid_until)
{
    m_simulated_vms.at(vm).m_valid_until = valid_until;
    share(vm).set_valid_until(valid_until);
}

void rate_simulation::at(time_point when, std::function<void()> action)
{
    m_events.push({when, m_next_order++, std::move(action)});
}

void rate_simulation::schedule_on_vm(
    time_point when, std::size_t vm, std::function<void()> action)
{
    at(when,
       [this, vm, action = std::move(action)]
       {
           run_on_vm(vm, action);
       });
}

void rate_simulation::run_on_vm(
    std::size_t vm, std::function<void()> const& action)
{
    simulated_vm& entry = m_simulated_vms.at(vm);
    if (entry.m_is_dead)
    {
        return;
    }
    if (entry.m_is_paused)
    {
        entry.m_deferred.push_back(action);
        return;
    }
    action();
    send_outgoing(vm);
}

void rate_simulation::add_request(bench_request request)
{
    std::size_t const index = m_requests.size();
    time_point const when = request.m_arrived_at;
    std::size_t const vm = request.m_vm;
    m_requests.push_back(std::move(request));
    schedule_on_vm(
        when,
        vm,
        [this, index]
        {
            attempt(index, true);
        });
}

void rate_simulation::attempt(std::size_t index, bool is_first)
{
    bench_request& request = m_requests[index];
    simulated_vm& entry = m_simulated_vms[request.m_vm];
    if (m_now >= entry.m_valid_until)
    {
        return;
    }
    std::optional<time_point> since;
    if (!is_first)
    {
        since = request.m_arrived_at;
    }
    else
    {
        request.m_arrived_at = m_now;
    }
    auto const result =
        entry.m_share->try_admit(m_now, request.m_account, since);
    if (result.m_kind == admission_kind::admitted)
    {
        request.m_admitted_at = m_now;
    }
    if (result.m_kind == admission_kind::wait)
    {
        schedule_on_vm(
            result.m_retry_at,
            request.m_vm,
            [this, index]
            {
                attempt(index, false);
            });
    }
}

void rate_simulation::send_outgoing(std::size_t vm)
{
    for (auto const& message : share(vm).poll(m_now))
    {
        send(vm, message);
    }
    schedule_poll(vm);
}

void rate_simulation::schedule_poll(std::size_t vm)
{
    simulated_vm& entry = m_simulated_vms[vm];
    time_point const next = std::max(share(vm).next_poll(), m_now);
    if (next == time_point::max() || next == entry.m_next_poll)
    {
        return;
    }
    entry.m_next_poll = next;
    at(next,
       [this, vm, next]
       {
           // Skip if a later call has rescheduled the poll.
           if (m_simulated_vms[vm].m_next_poll == next)
           {
               m_simulated_vms[vm].m_next_poll = time_point::max();
               run_on_vm(
                   vm,
                   []
                   {
                   });
           }
       });
}

void rate_simulation::send(
    std::size_t from, addressed_lease_message const& message)
{
    ++m_messages;
    auto const to = find(message.m_peer);
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    if (!to || uniform(m_random) < m_conditions.m_loss_probability)
    {
        return;
    }
    int const copies =
        uniform(m_random) < m_conditions.m_duplicate_probability ? 2 : 1;
    addressed_lease_message const received{
        m_simulated_vms[from].m_self.m_vm, message.m_message};
    for (int copy = 0; copy < copies; ++copy)
    {
        std::chrono::duration<double, std::micro> const jitter =
            m_conditions.m_jitter * uniform(m_random);
        auto const delay =
            m_conditions.m_delay +
            std::chrono::duration_cast<std::chrono::microseconds>(jitter);
        schedule_on_vm(
            m_now + delay,
            *to,
            [this, vm = *to, received]
            {
                share(vm).receive(m_now, received);
            });
    }
}

std::optional<std::size_t> rate_simulation::find(vm_id const& vm) const
{
    for (std::size_t i = 0; i < m_simulated_vms.size(); ++i)
    {
        if (m_simulated_vms[i].m_self.m_vm == vm)
        {
            return i;
        }
    }
    return std::nullopt;
}

void rate_simulation::run_until(time_point end)
{
    while (!m_events.empty() && m_events.top().m_at <= end)
    {
        event const next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.m_at);
        next.m_action();
    }
    m_now = std::max(m_now, end);
}

std::vector<bench_request> const& rate_simulation::requests() const
{
    return m_requests;
}

std::uint64_t rate_simulation::messages() const
{
    return m_messages;
}

namespace
{

/// Traffic of one account that arrives at a subset of the VMs, which is
/// reselected periodically.
struct rate_scenario
{
    std::string m_name;
    account_config m_account;
    std::size_t m_vms = 36;
    std::size_t m_active_vms = 3;
    double m_demand_ratio = 0.8; ///< demand as a multiple of the account's rate
    std::chrono::seconds m_move_interval{10};
    std::chrono::seconds m_duration{600};
    network_conditions m_network;
};

struct rate_figures
{
    double m_refused_share = 0.0; ///< of requests that a single bucket admits
    double m_admitted_ratio =
        0.0;                 ///< to the number that a single bucket admits
    double m_excess = 0.0;   ///< requests over burst + rate * interval
    double m_messages = 0.0; ///< per second, whole fleet
};

/// After this time the base rates are in effect and the buckets are full.
constexpr std::chrono::seconds warm_up{30};

/// Generates a Poisson arrival process.
std::vector<bench_request>
make_requests(rate_scenario const& scenario, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    double const rate = scenario.m_account.m_rate * scenario.m_demand_ratio;
    std::exponential_distribution<double> gap{rate};
    std::vector<std::size_t> vms(scenario.m_vms);
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        vms[i] = i;
    }
    std::uniform_int_distribution<std::size_t> pick{
        0, scenario.m_active_vms - 1};
    std::vector<bench_request> requests;
    time_point at = start_time + warm_up;
    time_point const end = at + scenario.m_duration;
    time_point next_move = at;
    while (at < end)
    {
        if (at >= next_move)
        {
            std::shuffle(vms.begin(), vms.end(), random);
            next_move += scenario.m_move_interval;
        }
        requests.push_back(
            {vms[pick(random)], scenario.m_account.m_name, at, {}});
        at += duration{std::int64_t(gap(random) * 1e9)};
    }
    return requests;
}

/// Largest excess of admissions over burst + rate * interval, over all
/// intervals. Computed as the level of a leaky bucket that drains at the rate.
double worst_excess(
    account_config const& account, std::vector<bench_request> const& requests)
{
    std::vector<time_point> admitted;
    for (bench_request const& request : requests)
    {
        if (request.m_admitted_at)
        {
            admitted.push_back(*request.m_admitted_at);
        }
    }
    std::sort(admitted.begin(), admitted.end());
    double queue = 0.0;
    double worst = -account.m_burst;
    time_point last{};
    for (time_point const at : admitted)
    {
        std::chrono::duration<double> const elapsed = at - last;
        queue = std::max(0.0, queue - account.m_rate * elapsed.count()) + 1.0;
        worst = std::max(worst, queue - account.m_burst);
        last = at;
    }
    return worst;
}

/// Compares the decisions with a single token bucket that sees all requests.
rate_figures compare_with_single_bucket(
    account_config const& account, std::vector<bench_request> const& requests)
{
    token_bucket single_bucket;
    single_bucket.set_limits(start_time, account.m_rate, account.m_burst);
    double within_rate = 0.0;
    double refused = 0.0;
    double admitted = 0.0;
    for (bench_request const& request : requests)
    {
        bool const is_admitted = request.m_admitted_at.has_value();
        admitted += is_admitted ? 1.0 : 0.0;
        single_bucket.advance(request.m_arrived_at);
        if (single_bucket.take())
        {
            within_rate += 1.0;
            refused += is_admitted ? 0.0 : 1.0;
        }
    }
    rate_figures figures;
    figures.m_refused_share = refused / std::max(1.0, within_rate);
    figures.m_admitted_ratio = admitted / std::max(1.0, within_rate);
    return figures;
}

rate_figures make_figures(
    rate_scenario const& scenario,
    std::vector<bench_request> const& requests,
    double messages)
{
    std::chrono::duration<double> const length = scenario.m_duration;
    rate_figures figures =
        compare_with_single_bucket(scenario.m_account, requests);
    figures.m_excess = worst_excess(scenario.m_account, requests);
    figures.m_messages = messages / length.count();
    return figures;
}

rate_figures run_rate_shares(
    rate_scenario const& scenario,
    std::vector<bench_request> const& requests,
    std::uint64_t seed)
{
    rate_simulation simulation{scenario.m_vms, seed, scenario.m_network};
    lease_rate_limiter::member_view view{1, {}, false, false};
    for (std::size_t vm = 0; vm < simulation.size(); ++vm)
    {
        view.m_members.push_back(simulation.self(vm));
    }
    for (std::size_t vm = 0; vm < simulation.size(); ++vm)
    {
        simulation.share(vm).set_members(simulation.now(), view);
        simulation.share(vm).put_account(
            simulation.now(), scenario.m_account, 1);
        simulation.share(vm).set_stable(simulation.now(), 1);
        simulation.set_valid_until(vm, time_point::max());
    }
    for (bench_request const& request : requests)
    {
        simulation.add_request(request);
    }
    simulation.run_until(start_time + warm_up + scenario.m_duration);
    return make_figures(
        scenario, simulation.requests(), double(simulation.messages()));
}

/// Baseline A: rate and burst are split evenly over the VMs.
rate_figures run_static_split(
    rate_scenario const& scenario, std::vector<bench_request> requests)
{
    double const vms = double(scenario.m_vms);
    std::vector<token_bucket> buckets(scenario.m_vms);
    for (token_bucket& bucket : buckets)
    {
        bucket.set_limits(
            start_time,
            scenario.m_account.m_rate / vms,
            scenario.m_account.m_burst / vms);
    }
    for (bench_request& request : requests)
    {
        token_bucket& bucket = buckets[request.m_vm];
        bucket.advance(request.m_arrived_at);
        if (bucket.take())
        {
            request.m_admitted_at = request.m_arrived_at;
        }
    }
    return make_figures(scenario, requests, 0.0);
}

/// Baseline B: each VM has a bucket with the full rate and burst, and subtracts
/// the admissions of the other VMs once per interval.
constexpr std::chrono::seconds reconcile_interval{1};

rate_figures run_reconciled(
    rate_scenario const& scenario, std::vector<bench_request> requests)
{
    std::vector<double> levels(scenario.m_vms, scenario.m_account.m_burst);
    std::vector<double> admitted(scenario.m_vms, 0.0);
    time_point last = start_time;
    time_point next = start_time + reconcile_interval;
    double messages = 0.0;
    auto const refill = [&](time_point now)
    {
        std::chrono::duration<double> const elapsed = now - last;
        for (double& level : levels)
        {
            level = std::min(
                scenario.m_account.m_burst,
                level + scenario.m_account.m_rate * elapsed.count());
        }
        last = now;
    };
    auto const reconcile = [&]
    {
        for (std::size_t from = 0; from < levels.size(); ++from)
        {
            messages += admitted[from] > 0.0 ? double(levels.size() - 1) : 0.0;
            for (std::size_t to = 0; to < levels.size(); ++to)
            {
                levels[to] -= to == from ? 0.0 : admitted[from];
            }
            admitted[from] = 0.0;
        }
    };
    for (bench_request& request : requests)
    {
        while (next <= request.m_arrived_at)
        {
            refill(next);
            reconcile();
            next += reconcile_interval;
        }
        refill(request.m_arrived_at);
        if (levels[request.m_vm] >= 1.0)
        {
            levels[request.m_vm] -= 1.0;
            admitted[request.m_vm] += 1.0;
            request.m_admitted_at = request.m_arrived_at;
        }
    }
    return make_figures(scenario, requests, messages);
}

std::vector<rate_scenario> scenarios()
{
    account_config const large{"large", 200.0, 100.0};
    account_config const medium{"medium", 20.0, 20.0};
    account_config const small{"small", 5.0, 10.0};
    std::vector<rate_scenario> list;
    for (account_config const& account : {large, medium, small})
    {
        rate_scenario scenario;
        scenario.m_account = account;
        scenario.m_name = fmt::format(
            "{}/s burst {}, 3 moving VMs", account.m_rate, account.m_burst);
        list.push_back(scenario);
    }
    for (account_config const& account : {large, medium, small})
    {
        rate_scenario scenario;
        scenario.m_account = account;
        scenario.m_name = fmt::format(
            "{}/s burst {}, all VMs", account.m_rate, account.m_burst);
        scenario.m_active_vms = scenario.m_vms;
        list.push_back(scenario);
    }
    rate_scenario flood = list.front();
    flood.m_name = "200/s burst 100, 3 times the rate at all VMs";
    flood.m_demand_ratio = 3.0;
    flood.m_active_vms = flood.m_vms;
    flood.m_duration = std::chrono::seconds{60};
    list.push_back(flood);
    rate_scenario lossy = list.front();
    lossy.m_name += ", 5% lost";
    lossy.m_network.m_loss_probability = 0.05;
    lossy.m_network.m_duplicate_probability = 0.05;
    list.push_back(lossy);
    return list;
}

void add_results(
    std::vector<bench_result>& results,
    rate_scenario const& scenario,
    std::uint64_t seed)
{
    auto const requests = make_requests(scenario, seed);
    auto const measured = run_rate_shares(scenario, requests, seed);
    auto const split = run_static_split(scenario, requests);
    auto const reconciled = run_reconciled(scenario, requests);
    std::string const command =
        fmt::format("briar-bench rates --seed {}", seed);
    double const vms = double(scenario.m_vms);
    auto const add = [&](std::string const& name,
                         std::string const& unit,
                         double baseline,
                         double value,
                         std::optional<double> target)
    {
        results.push_back(
            {scenario.m_name + ": " + name,
             unit,
             baseline,
             value,
             target,
             seed,
             command});
    };
    // Above the account's rate, a single bucket admits other requests than the
    // fleet does, so only the number of admissions is comparable.
    if (scenario.m_demand_ratio > 1.0)
    {
        add("admitted (A)",
            "% of one bucket's",
            100.0 * split.m_admitted_ratio,
            100.0 * measured.m_admitted_ratio,
            100.0);
        add("admitted (B)",
            "% of one bucket's",
            100.0 * reconciled.m_admitted_ratio,
            100.0 * measured.m_admitted_ratio,
            100.0);
    }
    else
    {
        add("refused (A)",
            "% of within rate",
            100.0 * split.m_refused_share,
            100.0 * measured.m_refused_share,
            {});
        add("refused (B)",
            "% of within rate",
            100.0 * reconciled.m_refused_share,
            100.0 * measured.m_refused_share,
            {});
    }
    add("excess (A)", "requests", split.m_excess, measured.m_excess, 0.0);
    add("excess (B)", "requests", reconciled.m_excess, measured.m_excess, 0.0);
    add("messages (B)",
        "1/s per VM",
        reconciled.m_messages / vms,
        measured.m_messages / vms,
        {});
}

} // namespace

std::vector<bench_result> run_rate_bench(std::uint64_t seed)
{
    std::vector<bench_result> results;
    for (rate_scenario const& scenario : scenarios())
    {
        add_results(results, scenario, seed);
    }
    return results;
}

} // namespace briarhub
