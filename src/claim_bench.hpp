#ifndef BRIARHUB_CLAIM_BENCH_HPP
#define BRIARHUB_CLAIM_BENCH_HPP

/// Benchmarks of the claim modules: append rate and latency of a simulated
/// fleet that shares one log, and memory and fold time of the claim table.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Results of the subcommand `claims`; deterministic for one seed and build.
std::vector<bench_result> run_claim_bench(std::uint64_t seed);

/// Results of the subcommand `claims-cost`: memory and time, which vary between
/// runs and builds.
std::vector<bench_result> run_claim_cost_bench(std::uint64_t seed);

} // namespace briarhub

#endif
