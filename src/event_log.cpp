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

void event_log::write(std::string_view kind, boost::json::object const& fields)
{
    auto const now = runtime_clock::now();
    std::uint64_t left_out = 0;
    {
        std::lock_guard const lock{m_mutex};
        auto found = m_allowances.find(kind);
        if (found == m_allowances.end())
        {
            found = m_allowances.try_emplace(std::string{kind}).first;
        }
        auto& allowed = found->second;
        std::chrono::duration<double> const passed = now - allowed.m_updated;
        allowed.m_lines = std::min(
            event_lines_per_second,
            allowed.m_lines + passed.count() * event_lines_per_second);
        allowed.m_updated = now;
        if (allowed.m_lines < 1.0)
        {
            ++allowed.m_left_out;
            return;
        }
        allowed.m_lines -= 1.0;
        left_out = std::exchange(allowed.m_left_out, 0);
    }
    boost::json::object line;
    line["time_ms"] = wall_now().time_since_epoch().count();
    line["vm"] = m_vm;
    line["event"] = kind;
    if (left_out > 0)
    {
        line["left_out"] = left_out;
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
