#ifndef BRIARHUB_BENCH_RESULT_HPP
#define BRIARHUB_BENCH_RESULT_HPP

/// Benchmark results of `briar-bench` and `briar-scale`, and their output as a
/// table or JSON.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarhub
{

/// One measured value with its baseline and target.
struct bench_result
{
    std::string m_name;
    std::string m_unit;
    std::optional<double> m_baseline; ///< value of a simpler policy
    double m_value = 0.0;
    std::optional<double> m_target;
    std::uint64_t m_seed = 0;
    std::string m_command; ///< reproduces the value
};

/// Formats a text table with one result per line.
std::string to_table(std::span<bench_result const> results);

std::string to_json_text(std::span<bench_result const> results);

/// First 16 hex digits of a SHA-256 over the names, values and baselines. Two
/// builds with equal signatures decide alike on the seeded input.
std::string signature(std::span<bench_result const> results);

} // namespace briarhub

#endif
