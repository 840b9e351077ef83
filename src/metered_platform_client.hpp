#ifndef BRIARHUB_METERED_PLATFORM_CLIENT_HPP
#define BRIARHUB_METERED_PLATFORM_CLIENT_HPP

/// The platform client with metrics: counts its operations by their result.

#include "metrics.hpp"
#include "platform_client.hpp"
#include "settings.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace briarhub
{

class metered_platform_client
{
public:
    metered_platform_client(
        boost::asio::io_context& io,
        settings const& options,
        metrics_registry& metrics);

    boost::asio::awaitable<platform_result<log_offset>>
    append(std::string stream, std::string record);

    boost::asio::awaitable<platform_result<log_read_result>> read(
        std::string stream,
        log_offset from,
        std::size_t limit,
        std::chrono::milliseconds wait);

    boost::asio::awaitable<platform_result<vm_list>> list_vms();

    void close();

private:
    void count(std::string_view operation, platform_error const* error);

    metrics_registry& m_metrics;
    platform_client m_client;
};

} // namespace briarhub

#endif
