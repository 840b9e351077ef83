#include "retry_run.hpp"

#include <doctest/doctest.h>

#include <cstdint>

using namespace briarhub;

namespace
{

constexpr std::uint64_t seeds = 200;

/// Seeds whose run passes the retry budget in some window.
std::uint64_t count_violations(retry_setup setup)
{
    std::uint64_t violations = 0;
    for (setup.m_seed = 1; setup.m_seed <= seeds; ++setup.m_seed)
    {
        auto const result = run_retries(setup);
        if (result.m_margin < 0.0)
        {
            ++violations;
            MESSAGE("seed " << setup.m_seed << " margin " << result.m_margin);
        }
    }
    return violations;
}

} // namespace

TEST_CASE("restarts in series do not renew the fleet's retry budget")
{
    // Processes that were killed in a storm of rejections forgot what the
    // fleet had spent, and repeated requests passed the budget (krr-gate).
    retry_setup setup;
    setup.m_has_cuts = false;
    setup.m_has_late_messages = false;
    CHECK(count_violations(setup) == 0);
}

TEST_CASE("a fleet whose processes were all killed keeps its retry budget")
{
    // Each VM took the first totals of its peers for history
    // (kolamba-tags scale-1, seed 588223350767).
    retry_setup setup;
    setup.m_kills_all = true;
    CHECK(count_violations(setup) == 0);
}

TEST_CASE("VMs that do not hear each other keep one retry budget")
{
    retry_setup setup;
    setup.m_has_kills = false;
    CHECK(count_violations(setup) == 0);
}

TEST_CASE("kills, cuts and late messages together keep the retry budget")
{
    CHECK(count_violations(retry_setup{}) == 0);
}
