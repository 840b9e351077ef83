#include "logging.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>

namespace briarhub
{
namespace
{

constexpr std::size_t log_queue_capacity = 8192;
constexpr std::size_t log_threads = 1;

/// Formats the message as a quoted JSON string.
class json_message_flag : public spdlog::custom_flag_formatter
{
public:
    void format(
        spdlog::details::log_msg const& message,
        std::tm const& /*time*/,
        spdlog::memory_buf_t& buffer) override
    {
        std::string_view const text{
            message.payload.data(), message.payload.size()};
        std::string const quoted =
            boost::json::serialize(boost::json::value(text));
        buffer.append(quoted.data(), quoted.data() + quoted.size());
    }

    [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_message_flag>();
    }
};

std::unique_ptr<spdlog::formatter> make_formatter(log_format format)
{
    auto formatter = std::make_unique<spdlog::pattern_formatter>(
        spdlog::pattern_time_type::utc);
    if (format == log_format::text)
    {
        formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v");
        return formatter;
    }
    formatter->add_flag<json_message_flag>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","message":%*})");
    return formatter;
}

} // namespace

void start_logging(log_format format, std::string const& level)
{
    spdlog::init_thread_pool(log_queue_capacity, log_threads);
    auto logger =
        spdlog::create_async_nb<spdlog::sinks::stderr_sink_mt>("briarhub");
    logger->set_formatter(make_formatter(format));
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void stop_logging()
{
    spdlog::shutdown();
}

} // namespace briarhub
