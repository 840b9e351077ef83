#ifndef BRIARHUB_BENCH_RESULT_HPP
#define BRIARHUB_BENCH_RESULT_HPP

/// Results of `briar-bench`: one figure next to its baseline.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarhub
{

struct bench_result
{
    std::string m_name;
    std::string m_unit;
    std::optional<double> m_baseline; ///< the same figure of a simpler policy
    double m_value = 0.0;
    std::optional<double> m_target;
    std::uint64_t m_seed = 0;
    std::string m_command; ///< prints the figure again
};

/// A table with one result per line.
std::string to_table(std::span<bench_result const> results);

std::string to_json_text(std::span<bench_result const> results);

/// SHA-256 over names and figures, as the first 16 hex digits. Equal
/// signatures of two builds mean equal decisions on the seeded input.
std::string signature(std::span<bench_result const> results);

} // namespace briarhub

#endif
