#ifndef BRIARHUB_RETRY_BENCH_HPP
#define BRIARHUB_RETRY_BENCH_HPP

/// Figures of the retry budget under kills, cuts and late messages, from runs
/// of the decisions of many VMs under passed-in time.

#include "bench_result.hpp"

#include <cstdint>
#include <vector>

namespace briarhub
{

/// Worst margin to the budget and share of the wanted retries that were made,
/// for each set of faults; `seed` is the first of 200.
std::vector<bench_result> run_retry_bench(std::uint64_t seed);

} // namespace briarhub

#endif
