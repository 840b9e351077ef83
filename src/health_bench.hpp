#ifndef BRIARHUB_HEALTH_BENCH_HPP
#define BRIARHUB_HEALTH_BENCH_HPP

/// Benchmarks of outlier detection and dispatch on generated traffic with
/// simulated time. They use no sockets and read no clock, so that equal seeds
/// give equal results.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Detection times and false ejections of 36 health monitors that exchange
/// observations. The baseline ejects after five consecutive errors or timeouts
/// on each VM, without exchange.
std::vector<bench_result> run_health_bench(std::uint64_t seed);

/// Detection time and false ejections as a function of the configured false
/// ejection rate; one row per point of a plot.
std::vector<bench_result> run_health_sweep(std::uint64_t seed);

/// Success rate of the worst-served account while another account floods the
/// fleet and some upstreams are slow. The baseline is one queue for all
/// accounts on each VM, with round robin.
std::vector<bench_result> run_dispatch_bench(std::uint64_t seed);

} // namespace briarhub

#endif
