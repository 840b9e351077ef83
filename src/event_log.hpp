#ifndef BRIARHUB_EVENT_LOG_HPP
#define BRIARHUB_EVENT_LOG_HPP

/// Structured event log: one JSON object per line on standard output. Writing
/// never waits for the output, and the lines of each event name are rate
/// limited.

#include "clock.hpp"
#include "types.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace spdlog
{
class logger;
}

namespace briarhub
{

/// Rate limit per event name, and the burst size. Normal traffic stays below
/// it: a VM serves some tens of requests per second.
inline constexpr double event_lines_per_second = 200.0;

/// Thread-safe.
class event_log
{
public:
    /// Writes to the default logger, see `start_event_logging`.
    explicit event_log(vm_id vm);

    /// Writes a line with the time, the VM, the event name and the fields.
    /// Lines above the rate limit are dropped, and the next line of the event
    /// states their number as `left_out`.
    void write(std::string_view event, boost::json::object const& fields);

private:
    /// Token bucket with one token per line.
    struct rate_limiter
    {
        double m_tokens = event_lines_per_second;
        time_point m_refilled_at{};
        std::uint64_t m_suppressed = 0;
    };

    vm_id m_vm;
    std::mutex m_mutex;
    std::map<std::string, rate_limiter, std::less<>> m_limiters;
};

/// Installs a default logger that writes lines without a prefix to standard
/// output through a bounded queue. A full queue drops the oldest lines.
void start_event_logging(std::string const& level);

} // namespace briarhub

#endif
