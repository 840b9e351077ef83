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

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
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

/// Requests have no body, and only their path is read.
constexpr std::uint32_t max_request_bytes = 8 * 1024;

/// With a request of the largest size on each, connections hold 1 MiB. One
/// more closes the connection whose last request is the oldest, so that
/// connections without requests do not keep readiness checks away.
constexpr std::size_t max_connections = 128;

using stream_list = std::list<std::shared_ptr<beast::tcp_stream>>;

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
                self->add_connection(std::move(socket));
                continue;
            }
            timer retry_timer{self->m_io, accept_retry_delay};
            co_await retry_timer.async_wait(use_tuple);
        }
    }

    void add_connection(tcp::socket socket)
    {
        if (m_streams.size() >= max_connections)
        {
            m_streams.front()->close();
            m_streams.pop_front();
        }
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        m_streams.push_back(stream);
        asio::co_spawn(
            m_io, serve(shared_from_this(), std::move(stream)), asio::detached);
    }

    static asio::awaitable<void> serve(
        std::shared_ptr<implementation> self,
        std::shared_ptr<beast::tcp_stream> stream)
    {
        co_await self->serve_requests(*stream);
        self->m_streams.remove(stream);
    }

    asio::awaitable<void> serve_requests(beast::tcp_stream& stream)
    {
        beast::flat_buffer buffer{max_request_bytes};
        for (;;)
        {
            http::request_parser<http::empty_body> parser;
            parser.header_limit(max_request_bytes);
            stream.expires_after(idle_timeout);
            auto [error, bytes] =
                co_await http::async_read(stream, buffer, parser, use_tuple);
            if (error)
            {
                co_return;
            }
            mark_used(stream);
            auto const& request = parser.get();
            std::string_view const path{
                request.target().data(), request.target().size()};
            auto reply = m_on_request(path);
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

    /// Moves the connection to the end of those that may be closed.
    void mark_used(beast::tcp_stream const& stream)
    {
        auto const used = std::find_if(
            m_streams.begin(),
            m_streams.end(),
            [&stream](auto const& each)
            {
                return each.get() == &stream;
            });
        if (used != m_streams.end())
        {
            m_streams.splice(m_streams.end(), m_streams, used);
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    handler m_on_request;
    stream_list m_streams; ///< in the order of their last requests
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
