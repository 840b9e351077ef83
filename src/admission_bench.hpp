#ifndef BRIARHUB_ADMISSION_BENCH_HPP
#define BRIARHUB_ADMISSION_BENCH_HPP

/// Benchmark of admission under overload, in simulated time.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Share of lost requests by route for each load pattern. The baseline admits
/// by priority alone.
std::vector<bench_result> run_admission_bench(std::uint64_t seed);

} // namespace briarhub

#endif
