#ifndef BRIARHUB_HEALTH_BENCH_HPP
#define BRIARHUB_HEALTH_BENCH_HPP

/// Figures of the health and dispatch modules on generated traffic under
/// passed-in time. No sockets and no clock: equal seeds give equal figures.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Detection times and false ejections of 36 monitors that exchange evidence,
/// against five consecutive errors or timeouts on each VM without exchange.
std::vector<bench_result> run_health_bench(std::uint64_t seed);

/// Detection time and false ejections over the false alarm setting; rows for
/// a plot.
std::vector<bench_result> run_health_sweep(std::uint64_t seed);

/// Success of the worst-served account under a flood and slow upstreams,
/// against one shared queue and round robin.
std::vector<bench_result> run_dispatch_bench(std::uint64_t seed);

} // namespace briarhub

#endif
