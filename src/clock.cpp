#include "clock.hpp"

#include <atomic>
#include <ctime>

namespace briarhub
{
namespace
{

/// Time of the paused clock in nanoseconds; negative while the clock runs.
std::atomic<std::int64_t> paused_at_ns{-1};

/// Offset added to CLOCK_BOOTTIME so that a resumed clock does not jump.
std::atomic<std::int64_t> offset_ns{0};

/// Wall time minus `runtime_clock`, captured when the clock is paused.
std::atomic<std::int64_t> wall_offset_ns{0};

std::int64_t boot_time_ns() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return std::int64_t{value.tv_sec} * 1'000'000'000 + value.tv_nsec;
}

std::int64_t wall_clock_ns() noexcept
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(since_epoch).count();
}

} // namespace

runtime_clock::time_point runtime_clock::now() noexcept
{
    std::int64_t const paused = paused_at_ns.load();
    std::int64_t const value =
        paused >= 0 ? paused : boot_time_ns() + offset_ns.load();
    return time_point{duration{value}};
}

void runtime_clock::pause() noexcept
{
    std::int64_t const value = now().time_since_epoch().count();
    wall_offset_ns.store(wall_clock_ns() - value);
    paused_at_ns.store(value);
}

void runtime_clock::advance(duration step) noexcept
{
    paused_at_ns.fetch_add(step.count());
}

void runtime_clock::resume() noexcept
{
    offset_ns.store(paused_at_ns.load() - boot_time_ns());
    paused_at_ns.store(-1);
}

bool runtime_clock::is_paused() noexcept
{
    return paused_at_ns.load() >= 0;
}

wall_time wall_now() noexcept
{
    std::int64_t const paused = paused_at_ns.load();
    std::int64_t const value =
        paused >= 0 ? paused + wall_offset_ns.load() : wall_clock_ns();
    return wall_time{
        std::chrono::duration_cast<std::chrono::milliseconds>(duration{value})};
}

} // namespace briarhub
