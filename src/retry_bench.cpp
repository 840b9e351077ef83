#include "retry_bench.hpp"

#include "retry_simulation.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace briarhub
{
namespace
{

constexpr std::uint64_t runs_per_figure = 200;

struct fault_set
{
    std::string_view m_name;
    bool m_has_kills;
    bool m_has_partitions;
    bool m_has_message_faults;
};

constexpr fault_set fault_sets[] = {
    {"no fault", false, false, false},
    {"late messages", false, false, true},
    {"cuts", false, true, false},
    {"kills", true, false, false},
    {"all", true, true, true}};

bench_result make_result(
    fault_set const& faults,
    std::string_view figure,
    std::string_view unit,
    std::uint64_t seed)
{
    bench_result result;
    result.m_name = fmt::format("retries, {}: {}", faults.m_name, figure);
    result.m_unit = unit;
    result.m_seed = seed;
    result.m_command = fmt::format("briar-bench retries --seed {}", seed);
    return result;
}

} // namespace

std::vector<bench_result> run_retry_bench(std::uint64_t seed)
{
    std::vector<bench_result> results;
    for (auto const& faults : fault_sets)
    {
        retry_setup setup;
        setup.m_has_kills = faults.m_has_kills;
        setup.m_has_partitions = faults.m_has_partitions;
        setup.m_has_message_faults = faults.m_has_message_faults;
        auto margin = make_result(faults, "worst margin", "retries", seed);
        margin.m_value = setup.m_bounds.m_extra;
        margin.m_target = 0.0;
        std::size_t requested = 0;
        std::size_t made = 0;
        for (std::uint64_t i = 0; i < runs_per_figure; ++i)
        {
            setup.m_seed = seed + i;
            auto const figures = run_retry_simulation(setup);
            margin.m_value = std::min(margin.m_value, figures.m_worst_margin);
            requested += figures.m_retries_requested;
            made += figures.m_retries_made;
        }
        auto share = make_result(faults, "made of the wanted", "share", seed);
        share.m_value =
            static_cast<double>(made) /
            static_cast<double>(std::max<std::size_t>(requested, 1));
        results.push_back(std::move(margin));
        results.push_back(std::move(share));
    }
    return results;
}

} // namespace briarhub
