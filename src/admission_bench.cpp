#include "admission_bench.hpp"

#include "admission_simulation.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <string_view>

namespace briarhub
{
namespace
{

double lost_share(route_result const& result)
{
    return static_cast<double>(result.lost()) /
           static_cast<double>(result.m_requests);
}

void append_results(
    std::vector<bench_result>& results,
    std::string_view name,
    load_pattern const& pattern,
    std::uint64_t seed)
{
    auto const baseline =
        replay_admission(pattern, admission_rule::by_priority, seed);
    auto const value = replay_admission(pattern, admission_rule::by_cost, seed);
    for (std::size_t i = 0; i < pattern.m_routes.size(); ++i)
    {
        bench_result result;
        result.m_name = fmt::format(
            "admission, {}: lost of {}", name, pattern.m_routes[i].m_name);
        result.m_unit = "share";
        result.m_baseline = lost_share(baseline.m_routes[i]);
        result.m_value = lost_share(value.m_routes[i]);
        result.m_seed = seed;
        result.m_command = fmt::format("briar-bench admission --seed {}", seed);
        results.push_back(result);
    }
}

} // namespace

std::vector<bench_result> run_admission_bench(std::uint64_t seed)
{
    std::vector<bench_result> results;
    append_results(
        results, "burst beside failures", burst_beside_failures(), seed);
    append_results(results, "peak of two routes", peak_of_two_routes(), seed);
    return results;
}

} // namespace briarhub
