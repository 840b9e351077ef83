#include "admin_client.hpp"

#include "parse_number.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

#include <cstdint>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Large enough for a configuration of 140,000 accounts.
constexpr std::uint64_t max_response_bytes = 256ULL * 1024 * 1024;

using request = http::request<http::string_body>;

/// Sends a request over a new connection and reads the response. Throws
/// boost::system::system_error.
asio::awaitable<admin_response> exchange(
    tcp::endpoint endpoint, request message, std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    co_await http::async_write(stream, message, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    admin_response response;
    response.m_http_status = parser.get().result_int();
    response.m_body = boost::json::parse(parser.get().body());
    co_return response;
}

} // namespace

admin_client::admin_client(
    endpoint_address address,
    std::string token,
    std::chrono::milliseconds timeout)
    : m_address(std::move(address)), m_token(std::move(token)),
      m_timeout(timeout)
{
}

std::variant<admin_response, admin_unreachable>
admin_client::get(std::string const& path) const
{
    return call(http::verb::get, path, {});
}

std::variant<admin_response, admin_unreachable> admin_client::post(
    std::string const& path, boost::json::value const& body) const
{
    return call(http::verb::post, path, boost::json::serialize(body));
}

std::variant<admin_response, admin_unreachable> admin_client::call(
    http::verb method, std::string const& path, std::string body) const
{
    auto const address = split_endpoint(m_address);
    if (!address)
    {
        return admin_unreachable{m_address + " is not ip:port"};
    }
    tcp::endpoint const endpoint{
        asio::ip::make_address(address->m_ip), address->m_port};
    request message{method, path, 11};
    message.set(http::field::host, m_address);
    message.set(http::field::authorization, "Bearer " + m_token);
    message.body() = std::move(body);
    message.prepare_payload();

    asio::io_context io;
    std::variant<admin_response, admin_unreachable> result;
    asio::co_spawn(
        io,
        exchange(endpoint, std::move(message), m_timeout),
        [&result](std::exception_ptr const& failure, admin_response response)
        {
            if (!failure)
            {
                result = std::move(response);
                return;
            }
            try
            {
                std::rethrow_exception(failure);
            }
            catch (std::exception const& error)
            {
                result = admin_unreachable{error.what()};
            }
        });
    io.run();
    return result;
}

} // namespace briarhub
