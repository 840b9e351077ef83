#include "status_server.hpp"

#include "clock.hpp"
#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Readiness checks arrive every second on a persistent connection.
constexpr std::chrono::seconds idle_timeout{30};

constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

struct status_server::implementation
    : std::enable_shared_from_this<status_server::implementation>
{
    implementation(
        asio::io_context& io,
        endpoint_address const& listen,
        handler on_request)
        : m_io(io), m_acceptor(io, parse_listen_endpoint(listen)),
          m_on_request(std::move(on_request))
    {
    }

    static asio::awaitable<void> accept(std::shared_ptr<implementation> self)
    {
        while (self->m_acceptor.is_open())
        {
            auto [error, socket] =
                co_await self->m_acceptor.async_accept(use_tuple);
            if (!error)
            {
                asio::co_spawn(
                    self->m_io,
                    serve(self, beast::tcp_stream{std::move(socket)}),
                    asio::detached);
                continue;
            }
            timer retry_timer{self->m_io, accept_retry_delay};
            co_await retry_timer.async_wait(use_tuple);
        }
    }

    static asio::awaitable<void>
    serve(std::shared_ptr<implementation> self, beast::tcp_stream stream)
    {
        beast::flat_buffer buffer;
        for (;;)
        {
            http::request<http::string_body> request;
            stream.expires_after(idle_timeout);
            auto [error, bytes] =
                co_await http::async_read(stream, buffer, request, use_tuple);
            if (error)
            {
                co_return;
            }
            std::string_view const path{
                request.target().data(), request.target().size()};
            auto reply = self->m_on_request(path);
            http::response<http::string_body> response;
            response.result(reply.m_status);
            response.set(http::field::content_type, "text/plain");
            response.keep_alive(request.keep_alive());
            response.body() = std::move(reply.m_body);
            response.prepare_payload();
            auto [write_error, written] =
                co_await http::async_write(stream, response, use_tuple);
            if (write_error || !response.keep_alive())
            {
                co_return;
            }
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    handler m_on_request;
};

status_server::status_server(
    asio::io_context& io, endpoint_address const& listen, handler on_request)
    : m_implementation(
          std::make_shared<implementation>(io, listen, std::move(on_request)))
{
}

status_server::~status_server()
{
    stop();
}

void status_server::start()
{
    asio::co_spawn(
        m_implementation->m_io,
        implementation::accept(m_implementation),
        asio::detached);
}

void status_server::stop()
{
    boost::system::error_code ignored;
    m_implementation->m_acceptor.close(ignored);
}

} // namespace briarhub
