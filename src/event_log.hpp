#ifndef BRIARHUB_EVENT_LOG_HPP
#define BRIARHUB_EVENT_LOG_HPP

/// Structured log lines: one JSON object a line on standard output. Writing
/// never blocks, and each kind of event has a limit of lines per second.

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

/// Lines per second and kind; a burst of the same size may come at once. A
/// VM serves some tens of requests a second.
inline constexpr double event_lines_per_second = 200.0;

/// Any thread may write.
class event_log
{
public:
    /// Lines go to the default logger of `start_event_logging`.
    explicit event_log(vm_id vm);

    /// Writes a line with the time, the VM, the kind and the fields. Over the
    /// limit, lines are counted, and the next line says how many were left
    /// out.
    void write(std::string_view event, boost::json::object const& fields);

private:
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

/// Installs a logger that writes bare lines on standard output through a
/// bounded queue; a full queue drops the oldest lines.
void start_event_logging(std::string const& level);

} // namespace briarhub

#endif
