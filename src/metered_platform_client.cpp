#include "metered_platform_client.hpp"

#include <utility>

namespace briarhub
{

metered_platform_client::metered_platform_client(
    boost::asio::io_context& io,
    settings const& options,
    metrics_registry& metrics)
    : m_metrics(metrics),
      m_client(io, options.m_platform, options.m_platform_timeout, options.m_vm)
{
}

boost::asio::awaitable<platform_result<log_offset>>
metered_platform_client::append(std::string stream, std::string record)
{
    auto result =
        co_await m_client.append(std::move(stream), std::move(record));
    count("append", std::get_if<platform_error>(&result));
    co_return result;
}

boost::asio::awaitable<platform_result<log_read_result>>
metered_platform_client::read(
    std::string stream,
    log_offset from,
    std::size_t limit,
    std::chrono::milliseconds wait)
{
    auto result = co_await m_client.read(std::move(stream), from, limit, wait);
    count("read", std::get_if<platform_error>(&result));
    co_return result;
}

boost::asio::awaitable<platform_result<vm_list>>
metered_platform_client::list_vms()
{
    auto result = co_await m_client.list_vms();
    count("list_vms", std::get_if<platform_error>(&result));
    co_return result;
}

void metered_platform_client::close()
{
    m_client.close();
}

void metered_platform_client::count(
    std::string_view operation, platform_error const* error)
{
    std::string_view const result =
        error == nullptr ? "ok" : describe(error->m_code).m_name;
    m_metrics
        .get_counter(
            "briarhub_platform_requests_total",
            {{"operation", std::string{operation}},
             {"result", std::string{result}}})
        .add();
}

} // namespace briarhub
