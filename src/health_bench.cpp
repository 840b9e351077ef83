#include "health_bench.hpp"

#include "detection_simulation.hpp"
#include "dispatch_simulation.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <future>
#include <string>
#include <string_view>

namespace briarhub
{
namespace
{

using namespace std::chrono_literals;

/// Independent runs per result, and how many run concurrently.
constexpr std::size_t runs_per_figure = 3;
constexpr std::size_t parallel_runs = 4;

constexpr double day_rate = 300.0;
constexpr double night_rate = 4.0;

/// Time without a fault, long enough that the monitors learn the latency
/// baseline at either request rate.
constexpr auto day_healthy_time = 60s;
constexpr auto night_healthy_time = 300s;

/// Detection times are capped at this value.
constexpr auto max_detection_time = 300s;

/// Simulated time per false ejection result.
constexpr auto false_ejection_time = 1200s;

constexpr double seconds_per_hour = 3600.0;

struct named_fault
{
    simulated_fault m_fault;
    std::string_view m_name;
};

constexpr named_fault ejecting_faults[] = {
    {simulated_fault::hang, "hang"},
    {simulated_fault::slow, "slow"},
    {simulated_fault::wrong, "wrong"},
    {simulated_fault::error, "error"},
    {simulated_fault::flap, "flap"}};

constexpr named_fault non_ejecting_faults[] = {
    {simulated_fault::none, "all healthy"},
    {simulated_fault::slow_all, "service slow"},
    {simulated_fault::vm_network, "one VM's network bad"},
    {simulated_fault::path, "one path bad"}};

detection_scenario
make_setup(std::size_t upstreams, std::uint32_t slots, double rate)
{
    detection_scenario setup;
    setup.m_upstreams = upstreams;
    setup.m_slots = slots;
    setup.m_requests_per_s = rate;
    setup.m_healthy_time =
        rate == day_rate ? day_healthy_time : night_healthy_time;
    setup.m_fault_time = max_detection_time;
    return setup;
}

/// Runs each setup with `runs_per_figure` seeds.
std::vector<std::vector<detection_result>>
run_all(std::vector<detection_scenario> const& setups, std::uint64_t seed)
{
    std::vector<detection_scenario> runs;
    for (detection_scenario setup : setups)
    {
        for (std::size_t i = 0; i < runs_per_figure; ++i)
        {
            setup.m_seed = seed + i;
            runs.push_back(setup);
        }
    }
    std::vector<detection_result> figures(runs.size());
    auto const work = [&](std::size_t first)
    {
        for (std::size_t i = first; i < runs.size(); i += parallel_runs)
        {
            figures[i] = simulate_detection(runs[i]);
        }
    };
    std::vector<std::future<void>> workers;
    for (std::size_t i = 0; i < parallel_runs; ++i)
    {
        workers.push_back(std::async(std::launch::async, work, i));
    }
    for (auto& worker : workers)
    {
        worker.get();
    }
    std::vector<std::vector<detection_result>> result;
    for (std::size_t i = 0; i < figures.size(); i += runs_per_figure)
    {
        auto const start = figures.begin() + static_cast<std::ptrdiff_t>(i);
        result.emplace_back(start, start + runs_per_figure);
    }
    return result;
}

std::vector<double> detection_times(std::vector<detection_result> const& runs)
{
    std::vector<double> times;
    times.reserve(runs.size());
    for (detection_result const& run : runs)
    {
        times.push_back(run.m_detection.count());
    }
    std::ranges::sort(times);
    return times;
}

double ejections_per_upstream_hour(
    std::vector<detection_result> const& runs, detection_scenario const& setup)
{
    std::size_t ejections = 0;
    for (detection_result const& run : runs)
    {
        ejections += run.m_false_ejections;
    }
    std::chrono::duration<double> const time =
        setup.m_healthy_time + setup.m_fault_time;
    double const upstream_hours = static_cast<double>(runs.size()) *
                                  static_cast<double>(setup.m_upstreams) *
                                  time.count() / seconds_per_hour;
    return static_cast<double>(ejections) / upstream_hours;
}

std::string make_command(std::string_view subcommand, std::uint64_t seed)
{
    return fmt::format("briar-bench {} --seed {}", subcommand, seed);
}

struct load_scenario
{
    std::string m_name;
    detection_scenario m_setup;
};

std::vector<load_scenario> load_scenarios()
{
    std::vector<load_scenario> result;
    for (auto const& [upstreams, slots] :
         {std::pair{25, 2U}, std::pair{20, 4U}})
    {
        for (double const rate : {day_rate, night_rate})
        {
            result.push_back(
                {fmt::format("{}x{} {}/s", upstreams, slots, rate),
                 make_setup(static_cast<std::size_t>(upstreams), slots, rate)});
        }
    }
    return result;
}

/// Target of the median detection time at this request rate.
double detection_target_s(double rate)
{
    constexpr double day_target_s = 5.0;
    constexpr double night_target_s = 60.0;
    return rate == day_rate ? day_target_s : night_target_s;
}

void add_detection(
    load_scenario const& scenario,
    std::uint64_t seed,
    std::vector<bench_result>& results)
{
    std::vector<detection_scenario> setups;
    for (named_fault const& fault : ejecting_faults)
    {
        detection_scenario setup = scenario.m_setup;
        setup.m_fault = fault.m_fault;
        setups.push_back(setup);
        setup.m_detector = simulated_detector::consecutive_errors;
        setups.push_back(setup);
    }
    auto const figures = run_all(setups, seed);
    for (std::size_t i = 0; i < std::size(ejecting_faults); ++i)
    {
        auto const times = detection_times(figures[2 * i]);
        auto const baseline = detection_times(figures[2 * i + 1]);
        std::string const name = fmt::format(
            "{} detection, {}", ejecting_faults[i].m_name, scenario.m_name);
        std::size_t const middle = times.size() / 2;
        results.push_back(
            {name + ", median",
             "s",
             baseline[middle],
             times[middle],
             detection_target_s(scenario.m_setup.m_requests_per_s),
             seed,
             make_command("health", seed)});
        results.push_back(
            {name + ", worst",
             "s",
             baseline.back(),
             times.back(),
             {},
             seed,
             make_command("health", seed)});
    }
}

void add_false_ejections(
    load_scenario const& scenario,
    std::uint64_t seed,
    std::vector<bench_result>& results)
{
    std::vector<detection_scenario> setups;
    for (named_fault const& fault : non_ejecting_faults)
    {
        detection_scenario setup = scenario.m_setup;
        setup.m_fault = fault.m_fault;
        setup.m_fault_time = false_ejection_time;
        setups.push_back(setup);
        setup.m_detector = simulated_detector::consecutive_errors;
        setups.push_back(setup);
    }
    auto const figures = run_all(setups, seed);
    for (std::size_t i = 0; i < std::size(non_ejecting_faults); ++i)
    {
        results.push_back(
            {fmt::format(
                 "false ejections, {}, {}",
                 non_ejecting_faults[i].m_name,
                 scenario.m_name),
             "1/upstream-h",
             ejections_per_upstream_hour(figures[2 * i + 1], setups[2 * i]),
             ejections_per_upstream_hour(figures[2 * i], setups[2 * i]),
             scenario.m_setup.m_false_ejections_per_hour,
             seed,
             make_command("health", seed)});
    }
}

} // namespace

std::vector<bench_result> run_health_bench(std::uint64_t seed)
{
    std::vector<bench_result> results;
    for (load_scenario const& scenario : load_scenarios())
    {
        add_detection(scenario, seed, results);
    }
    for (load_scenario const& scenario : load_scenarios())
    {
        if (scenario.m_setup.m_slots == detection_scenario{}.m_slots)
        {
            add_false_ejections(scenario, seed, results);
        }
    }
    return results;
}

std::vector<bench_result> run_health_sweep(std::uint64_t seed)
{
    std::vector<bench_result> results;
    for (double const setting : {0.0001, 0.001, 0.01, 0.1, 1.0, 10.0})
    {
        detection_scenario setup = make_setup(25, 2, day_rate);
        setup.m_false_ejections_per_hour = setting;
        detection_scenario day_hang = setup;
        day_hang.m_fault = simulated_fault::hang;
        detection_scenario night_hang = make_setup(25, 2, night_rate);
        night_hang.m_false_ejections_per_hour = setting;
        night_hang.m_fault = simulated_fault::hang;
        setup.m_fault_time = false_ejection_time;
        auto const figures = run_all({day_hang, night_hang, setup}, seed);
        auto const add = [&](char const* name, char const* unit, double value)
        {
            results.push_back(
                {fmt::format("{}, setting {}/h", name, setting),
                 unit,
                 {},
                 value,
                 {},
                 seed,
                 make_command("health-sweep", seed)});
        };
        std::size_t const middle = runs_per_figure / 2;
        add("hang detection by day", "s", detection_times(figures[0])[middle]);
        add("hang detection at night",
            "s",
            detection_times(figures[1])[middle]);
        add("false ejections by day",
            "1/upstream-h",
            ejections_per_upstream_hour(figures[2], setup));
    }
    return results;
}

std::vector<bench_result> run_dispatch_bench(std::uint64_t seed)
{
    dispatch_simulation_options setup;
    setup.m_seed = seed;
    dispatch_simulation_result const value = simulate_dispatch(setup);
    setup.m_dispatch_policy = dispatch_policy::round_robin;
    dispatch_simulation_result const baseline = simulate_dispatch(setup);
    constexpr double target = 0.95;
    return {
        {"worst-served account within 500 ms, flood, 1 in 5 slow",
         "share",
         baseline.m_worst_account_success,
         value.m_worst_account_success,
         target,
         seed,
         make_command("dispatch", seed)},
        {"flooding account within 500 ms",
         "share",
         baseline.m_flooding_account_success,
         value.m_flooding_account_success,
         {},
         seed,
         make_command("dispatch", seed)}};
}

} // namespace briarhub
