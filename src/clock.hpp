#ifndef BRIARHUB_CLOCK_HPP
#define BRIARHUB_CLOCK_HPP

/// The process's monotonic and wall clocks and the timer type based on them.
/// Tests can pause the clocks and advance them.

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include <chrono>
#include <cstdint>

namespace briarhub
{

/// Monotonic clock that also counts the time during which the VM is suspended
/// (CLOCK_BOOTTIME), so that a lease expires while its holder is suspended.
struct runtime_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;

    /// Stops the clock at its current value. For tests.
    static void pause() noexcept;

    /// Moves a paused clock forward. For tests.
    static void advance(duration step) noexcept;

    /// Resumes a paused clock from its current value. For tests.
    static void resume() noexcept;

    static bool is_paused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

/// Wall-clock time, for deadlines sent to other machines and for UUIDv7.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Current wall-clock time. Follows `runtime_clock` while that clock is paused.
wall_time wall_now() noexcept;

namespace detail
{

/// Real-time interval at which timers poll a paused clock.
inline constexpr std::chrono::milliseconds paused_poll_interval{1};

struct runtime_wait_traits
{
    static duration to_wait_duration(duration const& d)
    {
        if (runtime_clock::is_paused() && d > duration::zero())
        {
            return paused_poll_interval;
        }
        return d;
    }

    static duration to_wait_duration(time_point const& t)
    {
        return to_wait_duration(t - runtime_clock::now());
    }
};

} // namespace detail

/// An asio timer on `runtime_clock`.
using timer = boost::asio::
    basic_waitable_timer<runtime_clock, detail::runtime_wait_traits>;

} // namespace briarhub

#endif
