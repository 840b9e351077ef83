#ifndef BRIARHUB_SCALE_BENCH_HPP
#define BRIARHUB_SCALE_BENCH_HPP

/// Benchmark of the memory and CPU time of the modules with the state of a
/// large fleet. The results depend on the machine, so they have no signature.

#include "bench_result.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarhub
{

/// Entity counts of the simulated fleet; the defaults are those of
/// docs/CAPACITY.md.
struct fleet_dimensions
{
    std::size_t m_vms = 4'600;
    std::size_t m_upstreams = 60'000;
    std::size_t m_services = 1'400;
    std::size_t m_work_classes = 44'000;
    std::size_t m_accounts = 140'000;
    std::size_t m_claims = 200'000;
};

/// Costs per entity are slopes between half the size and the full size. Other
/// results are the cost of one call, or a total where the name says so.
std::vector<bench_result>
run_scale_bench(fleet_dimensions const& size, std::uint64_t seed);

} // namespace briarhub

#endif
