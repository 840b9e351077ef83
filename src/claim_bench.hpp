#ifndef BRIARHUB_CLAIM_BENCH_HPP
#define BRIARHUB_CLAIM_BENCH_HPP

/// Cost of claims: appends and latency of a fleet with one log, and the memory
/// and time of the claim table.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Figures of the subcommand `claims`; the same for the same seed and build.
std::vector<bench_result> run_claim_bench(std::uint64_t seed);

/// Figures of the subcommand `claims-cost`: resident memory and time, which
/// differ from run to run.
std::vector<bench_result> run_claim_cost_bench(std::uint64_t seed);

} // namespace briarhub

#endif
