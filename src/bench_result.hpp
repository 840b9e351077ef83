#ifndef BRIARHUB_BENCH_RESULT_HPP
#define BRIARHUB_BENCH_RESULT_HPP

/// One figure of a bench run.

#include <cstdint>
#include <string>

namespace briarhub
{

struct bench_result
{
    std::string m_name;
    std::string m_unit;
    double m_baseline = 0.0;
    double m_value = 0.0;
    double m_target = 0.0;
    std::uint64_t m_seed = 0;
    std::string m_command;
};

} // namespace briarhub

#endif
