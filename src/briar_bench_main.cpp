/// briar-bench: runs the decision modules on seeded inputs in simulated time
/// and prints the results and their signature.

#include "admission_bench.hpp"
#include "bench_result.hpp"
#include "claim_bench.hpp"
#include "health_bench.hpp"
#include "rate_bench.hpp"
#include "retry_bench.hpp"

#include <cxxopts.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace briarhub;

struct subcommand
{
    std::string_view m_name;
    std::string_view m_description;
    std::vector<bench_result> (*m_run)(std::uint64_t seed);
};

constexpr std::array subcommands{
    subcommand{
        "rates",
        "refusals within the rate, excess and messages of rate shares",
        run_rate_bench},
    subcommand{"claims", "appends and latency of claims", run_claim_bench},
    subcommand{
        "claims-cost",
        "memory and fold time of claims; vary between runs",
        run_claim_cost_bench},
    subcommand{
        "health",
        "detection times and false ejections of the health monitors",
        run_health_bench},
    subcommand{
        "health-sweep",
        "detection and false ejections by configured false ejection rate",
        run_health_sweep},
    subcommand{
        "dispatch",
        "success of the worst-served account under a flood",
        run_dispatch_bench},
    subcommand{
        "retries",
        "margin and use of the retry budget under kills and partitions",
        run_retry_bench},
    subcommand{
        "admission",
        "lost requests under overload, against limits by priority alone",
        run_admission_bench},
};

subcommand const* find_subcommand(std::string_view name)
{
    for (subcommand const& candidate : subcommands)
    {
        if (candidate.m_name == name)
        {
            return &candidate;
        }
    }
    return nullptr;
}

std::string usage(cxxopts::Options const& options)
{
    std::string text = options.help() + "\nSubcommands:\n";
    for (subcommand const& entry : subcommands)
    {
        text += fmt::format("  {:<12} {}\n", entry.m_name, entry.m_description);
    }
    return text;
}

int run(int argc, char** argv)
{
    cxxopts::Options options{
        "briar-bench", "Benchmarks of the decision modules on seeded inputs"};
    options.add_options()(
        "subcommand", "benchmark to run", cxxopts::value<std::string>())(
        "seed",
        "seed of all inputs",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("help", "print help");
    options.parse_positional({"subcommand"});
    options.positional_help("SUBCOMMAND");
    auto const arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("subcommand") == 0)
    {
        std::cout << usage(options);
        return arguments.count("help") != 0 ? 0 : 2;
    }
    auto const name = arguments["subcommand"].as<std::string>();
    subcommand const* const selected = find_subcommand(name);
    if (selected == nullptr)
    {
        std::cerr << fmt::format("unknown subcommand: {}\n", name)
                  << usage(options);
        return 2;
    }
    auto const results = selected->m_run(arguments["seed"].as<std::uint64_t>());
    bool const is_json = arguments.count("json") != 0;
    std::cout << (is_json ? to_json_text(results) + "\n" : to_table(results));
    std::cout << fmt::format("signature: {}\n", signature(results));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << fmt::format("briar-bench: {}\n", error.what());
        return 2;
    }
}
