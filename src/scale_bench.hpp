#ifndef BRIARHUB_SCALE_BENCH_HPP
#define BRIARHUB_SCALE_BENCH_HPP

/// Memory and processor time of the modules when they are fed with the data of
/// a large fleet. The figures depend on the machine, so that they carry no
/// signature.

#include "bench_result.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarhub
{

/// The size to measure; the defaults are those of docs/CAPACITY.md.
struct fleet_dimensions
{
    std::size_t m_vms = 4'600;
    std::size_t m_upstreams = 60'000;
    std::size_t m_services = 1'400;
    std::size_t m_work_classes = 44'000;
    std::size_t m_accounts = 140'000;
    std::size_t m_claims = 200'000;
};

/// Each figure is measured at half the size and at the whole size; `m_value`
/// is the slope for one entity, or the total where the name says so.
std::vector<bench_result>
run_scale_bench(fleet_dimensions const& size, std::uint64_t seed);

} // namespace briarhub

#endif
