#include "admin_server.hpp"

#include "clock.hpp"
#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

constexpr std::chrono::seconds idle_timeout{30};

/// Longer than the control thread waits for a change to become stable.
constexpr std::chrono::seconds query_timeout{8};

constexpr std::uint64_t max_admin_body_bytes = 64ULL * 1024 * 1024;

/// Limit of a request head, of trailers and of a chunk header.
constexpr std::uint32_t max_admin_head_bytes = 16 * 1024;

/// Unread input is discarded for this long after the last response.
constexpr std::chrono::seconds linger_timeout{1};
constexpr std::size_t discard_chunk_bytes = 4 * 1024;

/// One more closes the connection whose last request is the oldest, so that
/// connections without requests do not keep operators away.
constexpr std::size_t max_admin_connections = 128;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

struct route
{
    http::verb m_method;
    std::string_view m_path;
    admin_topic m_topic;
    bool m_has_argument; ///< the argument is the rest of the path
};

constexpr std::string_view changes_path = "/api/v1/changes/";

constexpr std::array<route, 8> routes{{
    {http::verb::get, "/api/v1/upstreams", admin_topic::upstreams, false},
    {http::verb::get, "/api/v1/accounts", admin_topic::accounts, false},
    {http::verb::get, "/api/v1/queues", admin_topic::queues, false},
    {http::verb::get, "/api/v1/members", admin_topic::members, false},
    {http::verb::get, "/api/v1/config", admin_topic::config_show, false},
    {http::verb::post, "/api/v1/changes", admin_topic::config_apply, false},
    {http::verb::get, changes_path, admin_topic::change_lookup, true},
    {http::verb::get, "/api/v1/in-doubt", admin_topic::in_doubt, false},
}};

bool is_traffic_topic(admin_topic topic)
{
    return topic == admin_topic::readiness || topic == admin_topic::upstreams ||
           topic == admin_topic::accounts || topic == admin_topic::queues;
}

route const* find_route(request const& message)
{
    std::string_view const target{
        message.target().data(), message.target().size()};
    for (auto const& entry : routes)
    {
        bool const matches = entry.m_has_argument
                                 ? target.starts_with(entry.m_path)
                                 : target == entry.m_path;
        if (matches && message.method() == entry.m_method)
        {
            return &entry;
        }
    }
    return nullptr;
}

response make_response(
    request const& message,
    unsigned status,
    std::string_view content_type,
    std::string body)
{
    response http_response{
        static_cast<http::status>(status), message.version()};
    http_response.set(http::field::content_type, content_type);
    http_response.keep_alive(message.keep_alive());
    http_response.body() = std::move(body);
    http_response.prepare_payload();
    return http_response;
}

/// Makes a response with the body of the reply. For a failed query the body
/// states the result code and contains the reply's body as "detail".
response make_json_response(request const& message, admin_reply const& reply)
{
    auto const& info = describe(reply.m_code);
    json::value body = reply.m_body;
    if (reply.m_code != result_code::ok)
    {
        json::object failure{
            {"code", static_cast<unsigned>(reply.m_code)},
            {"reason", info.m_name},
            {"text", info.m_description}};
        if (!reply.m_body.is_null())
        {
            failure["detail"] = reply.m_body;
        }
        body = std::move(failure);
    }
    return make_response(
        message,
        info.m_http_status,
        "application/json",
        json::serialize(body) + '\n');
}

bool is_authorized(request const& message, std::string const& token)
{
    std::string const expected = "Bearer " + token;
    auto const header_value = message[http::field::authorization];
    return header_value.size() == expected.size() &&
           CRYPTO_memcmp(
               header_value.data(), expected.data(), expected.size()) == 0;
}

/// The reply to a query and the timer on which the requesting coroutine waits.
struct pending_reply
{
    explicit pending_reply(asio::io_context& io) : m_timer(io, query_timeout)
    {
    }

    timer m_timer;
    std::optional<admin_reply> m_reply;
};

} // namespace

struct admin_server::implementation
{
    implementation(
        asio::io_context& io,
        settings const& options,
        metrics_registry const& metrics,
        admin_query_sender to_traffic,
        admin_query_sender to_control)
        : m_io(io), m_acceptor(io), m_token(options.m_admin_token),
          m_metrics(metrics), m_to_traffic(std::move(to_traffic)),
          m_to_control(std::move(to_control))
    {
        auto const address = split_endpoint(options.m_admin_listen);
        tcp::endpoint const endpoint{
            asio::ip::make_address(address.value().m_ip),
            address.value().m_port};
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    }

    asio::awaitable<void> accept_loop()
    {
        for (;;)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error == asio::error::operation_aborted)
            {
                co_return;
            }
            if (!error)
            {
                add_connection(std::move(socket));
            }
        }
    }

    void add_connection(tcp::socket socket)
    {
        if (m_streams.size() >= max_admin_connections)
        {
            m_streams.front()->close();
            m_streams.pop_front();
        }
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        m_streams.push_back(stream);
        asio::co_spawn(m_io, serve(std::move(stream)), asio::detached);
    }

    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream)
    {
        beast::flat_buffer buffer{max_admin_head_bytes};
        bool is_open = true;
        while (is_open)
        {
            is_open = co_await serve_request(*stream, buffer);
        }
        m_streams.remove(stream);
    }

    /// Returns false if the connection has to be closed.
    asio::awaitable<bool>
    serve_request(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        stream.expires_after(idle_timeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_admin_head_bytes);
        parser.body_limit(max_admin_body_bytes);
        auto [head_error, head_bytes] =
            co_await http::async_read_header(stream, buffer, parser, use_tuple);
        if (head_error)
        {
            co_return false;
        }
        mark_used(stream);
        // Without the token only the head is read. The rest would be parsed as
        // the next request, so the connection is closed.
        bool const reads_body = is_authorized(parser.get(), m_token);
        if (reads_body)
        {
            auto [body_error, body_bytes] =
                co_await http::async_read(stream, buffer, parser, use_tuple);
            if (body_error)
            {
                co_return false;
            }
        }
        response http_response = co_await handle(parser.get());
        if (!parser.is_done())
        {
            http_response.keep_alive(false);
        }
        stream.expires_after(idle_timeout);
        auto [write_error, write_bytes] =
            co_await http::async_write(stream, http_response, use_tuple);
        if (!write_error && !parser.is_done())
        {
            co_await discard_rest(stream);
        }
        co_return !write_error && http_response.keep_alive();
    }

    /// Closing a connection with unread input would reset it, and the response
    /// could be lost.
    static asio::awaitable<void> discard_rest(beast::tcp_stream& stream)
    {
        boost::system::error_code error;
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        stream.expires_after(linger_timeout);
        std::array<char, discard_chunk_bytes> chunk;
        while (!error)
        {
            auto [read_error, bytes] =
                co_await stream.async_read_some(asio::buffer(chunk), use_tuple);
            error = read_error;
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

    asio::awaitable<response> handle(request const& message)
    {
        if (message.target() == "/metrics")
        {
            co_return make_response(
                message, 200, "text/plain; version=0.0.4", m_metrics.to_text());
        }
        if (message.target() == "/healthz")
        {
            co_return make_response(message, 200, "text/plain", "ok\n");
        }
        if (message.target() == "/readyz")
        {
            co_return co_await handle_readiness(message);
        }
        if (!is_authorized(message, m_token))
        {
            co_return make_json_response(
                message, {result_code::admin_unauthorized, {}});
        }
        route const* const matched_route = find_route(message);
        if (matched_route == nullptr)
        {
            co_return make_json_response(
                message, {result_code::admin_not_found, {}});
        }
        co_return co_await handle_route(message, *matched_route);
    }

    asio::awaitable<response> handle_readiness(request const& message)
    {
        // GCC 12 destroys a braced temporary in a co_await operand twice, so
        // the query is a named variable.
        admin_query query;
        query.m_topic = admin_topic::readiness;
        admin_reply reply = co_await send_query(std::move(query));
        auto const* const fields = reply.m_body.if_object();
        bool const is_ready = fields != nullptr && fields->contains("ready") &&
                              fields->at("ready") == json::value(true);
        co_return make_response(
            message,
            is_ready ? 200 : 503,
            "application/json",
            json::serialize(reply.m_body) + '\n');
    }

    asio::awaitable<response>
    handle_route(request const& message, route const& matched_route)
    {
        admin_query query;
        query.m_topic = matched_route.m_topic;
        if (matched_route.m_has_argument)
        {
            query.m_argument = std::string{
                message.target().substr(matched_route.m_path.size())};
        }
        if (matched_route.m_method == http::verb::post)
        {
            boost::system::error_code error;
            query.m_body = json::parse(message.body(), error);
            if (error)
            {
                co_return make_json_response(
                    message,
                    {result_code::config_invalid,
                     json::value("the body is not JSON")});
            }
        }
        co_return make_json_response(
            message, co_await send_query(std::move(query)));
    }

    /// Sends a query to the thread that handles its topic and waits for the
    /// reply.
    asio::awaitable<admin_reply> send_query(admin_query query)
    {
        // Shared with the handling thread, which may reply after the timeout.
        auto const pending = std::make_shared<pending_reply>(m_io);
        query.m_reply = [this, pending](admin_reply reply)
        {
            asio::post(
                m_io,
                [pending, reply = std::move(reply)]() mutable
                {
                    pending->m_reply = std::move(reply);
                    pending->m_timer.cancel();
                });
        };
        auto const& submit =
            is_traffic_topic(query.m_topic) ? m_to_traffic : m_to_control;
        if (!submit(std::move(query)))
        {
            co_return admin_reply{result_code::overloaded, {}};
        }
        if (!pending->m_reply)
        {
            co_await pending->m_timer.async_wait(use_tuple);
        }
        co_return pending->m_reply.value_or(
            admin_reply{result_code::overloaded, {}});
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::string m_token;
    metrics_registry const& m_metrics;
    admin_query_sender m_to_traffic;
    admin_query_sender m_to_control;
    /// In the order of their last requests.
    std::list<std::shared_ptr<beast::tcp_stream>> m_streams;
};

admin_server::admin_server(
    asio::io_context& io,
    settings const& options,
    metrics_registry const& metrics,
    admin_query_sender to_traffic,
    admin_query_sender to_control)
    : m_implementation(std::make_unique<implementation>(
          io, options, metrics, std::move(to_traffic), std::move(to_control)))
{
}

admin_server::~admin_server() = default;

void admin_server::start()
{
    asio::co_spawn(
        m_implementation->m_io,
        m_implementation->accept_loop(),
        asio::detached);
}

std::uint16_t admin_server::port() const
{
    return m_implementation->m_acceptor.local_endpoint().port();
}

} // namespace briarhub
