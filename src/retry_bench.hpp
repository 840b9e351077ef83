#ifndef BRIARHUB_RETRY_BENCH_HPP
#define BRIARHUB_RETRY_BENCH_HPP

/// Benchmark of the fleet-wide retry budget under process kills, network
/// partitions and message faults, in simulated time.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Worst margin to the budget and ratio of retries made to retries requested,
/// for each set of faults. Each result covers 200 consecutive seeds, starting
/// with `seed`.
std::vector<bench_result> run_retry_bench(std::uint64_t seed);

} // namespace briarhub

#endif
