#include "event_log.hpp"

#include <boost/json/serialize.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

constexpr std::size_t log_queue_lines = 4096;
constexpr std::size_t log_threads = 1;

} // namespace

event_log::event_log(vm_id vm) : m_vm(std::move(vm))
{
}

void event_log::write(std::string_view event, boost::json::object const& fields)
{
    auto const now = runtime_clock::now();
    std::uint64_t suppressed = 0;
    {
        std::lock_guard const lock{m_mutex};
        auto found = m_limiters.find(event);
        if (found == m_limiters.end())
        {
            found = m_limiters.try_emplace(std::string{event}).first;
        }
        auto& limiter = found->second;
        std::chrono::duration<double> const elapsed =
            now - limiter.m_refilled_at;
        limiter.m_tokens = std::min(
            event_lines_per_second,
            limiter.m_tokens + elapsed.count() * event_lines_per_second);
        limiter.m_refilled_at = now;
        if (limiter.m_tokens < 1.0)
        {
            ++limiter.m_suppressed;
            return;
        }
        limiter.m_tokens -= 1.0;
        suppressed = std::exchange(limiter.m_suppressed, 0);
    }
    boost::json::object line;
    line["time_ms"] = wall_now().time_since_epoch().count();
    line["vm"] = m_vm;
    line["event"] = event;
    if (suppressed > 0)
    {
        line["left_out"] = suppressed;
    }
    for (auto const& field : fields)
    {
        line[field.key()] = field.value();
    }
    spdlog::info("{}", boost::json::serialize(line));
}

void start_event_logging(std::string const& level)
{
    spdlog::init_thread_pool(log_queue_lines, log_threads);
    auto logger =
        spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("briarhub");
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

} // namespace briarhub
