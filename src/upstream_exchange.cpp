#include "upstream_exchange.hpp"

#include "clock.hpp"
#include "http_fields.hpp"
#include "parse_number.hpp"
#include "socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace briarhub
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Covers two round trips between failure domains and the accept delay of a
/// busy upstream. It does not wait for a retransmission of a lost SYN packet,
/// which TCP sends only after one second.
constexpr std::chrono::milliseconds connect_timeout{400};

constexpr std::uint32_t max_response_head_bytes = max_buffered_bytes;
constexpr std::size_t read_chunk_bytes = 16 * 1024;

/// Interim responses and responses to other requests that may precede the
/// response on a connection.
constexpr unsigned max_unmatched_responses = 4;

/// An upstream advertises its idle timeout in whole seconds and may close the
/// connection up to this much earlier.
constexpr std::chrono::milliseconds idle_timeout_margin{1000};

/// Receive buffers hold a request with a body up to this size, so it is
/// acknowledged even if the upstream does not read it yet.
constexpr std::size_t max_unread_body_bytes = 8 * 1024;

/// Idle timeout for an upstream that advertises none.
constexpr std::chrono::milliseconds default_idle_timeout{4000};

/// Returns how long an idle connection may be reused, from the Keep-Alive
/// header of the response.
std::chrono::milliseconds idle_timeout_from(http::response_header<> const& head)
{
    for (auto const& part : http::token_list{head[http::field::keep_alive]})
    {
        auto const text = to_view(part);
        constexpr std::string_view name = "timeout=";
        if (!text.starts_with(name))
        {
            continue;
        }
        auto const seconds = parse_number<unsigned>(text.substr(name.size()));
        if (seconds)
        {
            std::chrono::milliseconds const advertised =
                std::chrono::seconds{*seconds};
            return std::max(advertised - idle_timeout_margin, advertised / 2);
        }
    }
    return default_idle_timeout;
}

/// A response before the final one. After a 101 the connection no longer
/// carries HTTP, and no request asked for that.
bool is_interim(http::response_header<> const& head)
{
    return head.result_int() / 100 == 1 &&
           head.result() != http::status::switching_protocols;
}

} // namespace

namespace detail
{

/// Shared by the exchange, its timer and its pending write.
struct exchange_state
{
    explicit exchange_state(asio::io_context& io) : m_timer(io)
    {
    }

    void close()
    {
        if (m_connection)
        {
            error_code ignored;
            m_connection->m_socket.close(ignored);
        }
    }

    upstream_connection_ptr m_connection;
    std::shared_ptr<std::string const> m_body;
    http::request<http::span_body<char const>> m_message;
    timer m_timer;
    bool m_is_request_written = false;
    bool m_has_write_failed = false;
    bool m_is_timed_out = false;
    bool m_is_stopped = false;
};

} // namespace detail

namespace
{

using detail::exchange_state;

class active_exchange
{
public:
    active_exchange(
        header_names const& names,
        connection_pool& pool,
        buffer_budget& buffers,
        exchange_request&& request,
        response_stream const& stream,
        std::shared_ptr<exchange_state> state)
        : m_names(names), m_pool(pool), m_request(std::move(request)),
          m_stream(stream), m_state(std::move(state))
    {
        m_result.m_buffer = buffer_reservation{buffers};
        m_state->m_body = std::move(m_request.m_body);
        m_state->m_message.base() = std::move(m_request.m_head);
        m_state->m_message.body() = {
            m_state->m_body->data(), m_state->m_body->size()};
        m_is_head_request = m_state->m_message.method() == http::verb::head;
    }

    asio::awaitable<exchange_result> perform()
    {
        bool const is_connected = co_await connect();
        if (is_connected)
        {
            start_timer(m_request.m_deadline);
            start_write();
            co_await read_responses();
        }
        m_state->m_timer.cancel();
        finish();
        co_return std::move(m_result);
    }

private:
    void start_timer(time_point when)
    {
        m_state->m_timer.expires_at(when);
        m_state->m_timer.async_wait(
            [weak = std::weak_ptr{m_state}](error_code error)
            {
                auto const state = weak.lock();
                if (!error && state)
                {
                    state->m_is_timed_out = true;
                    state->close();
                }
            });
    }

    asio::awaitable<bool> connect()
    {
        if (m_request.m_may_reuse)
        {
            m_state->m_connection = m_pool.acquire_idle(m_request.m_address);
        }
        if (m_state->m_connection)
        {
            co_return true;
        }
        m_result.m_is_new_connection = true;
        auto const endpoint = parse_endpoint(m_request.m_address);
        if (!endpoint)
        {
            fail(exchange_end::refused, "malformed address");
            co_return false;
        }
        m_state->m_connection = m_pool.make(m_request.m_address);
        start_timer(std::min(
            m_request.m_deadline, runtime_clock::now() + connect_timeout));
        auto [error] = co_await socket().async_connect(*endpoint, use_tuple);
        m_state->m_timer.cancel();
        if (error)
        {
            bool const is_refused = error == asio::error::connection_refused ||
                                    error == asio::error::connection_reset;
            fail(
                is_refused ? exchange_end::refused : exchange_end::unreachable,
                error.message());
            m_state->m_is_timed_out = false;
            co_return false;
        }
        if (m_state->m_is_stopped)
        {
            co_return false;
        }
        m_state->m_is_timed_out = false;
        set_socket_options(socket());
        co_return true;
    }

    // An upstream may respond before it has read the whole request, so the
    // write runs concurrently with the read.
    void start_write()
    {
        m_result.m_sent = true;
        if (may_wait_for_reader())
        {
            // The deadline of the request limits the wait.
            set_user_timeout(socket(), std::nullopt);
        }
        http::async_write(
            socket(),
            m_state->m_message,
            [state = m_state](error_code error, std::size_t)
            {
                state->m_is_request_written = !error;
                state->m_has_write_failed = static_cast<bool>(error);
            });
    }

    asio::awaitable<void> read_responses()
    {
        for (unsigned unmatched = 0; unmatched <= max_unmatched_responses;
             ++unmatched)
        {
            http::response_parser<http::buffer_body> parser;
            parser.header_limit(max_response_head_bytes);
            parser.body_limit(boost::none);
            parser.skip(m_is_head_request);
            if (!co_await read_head(parser))
            {
                co_return;
            }
            auto const& head = parser.get().base();
            if (is_interim(head))
            {
                continue;
            }
            if (!is_final_status(head.result_int()))
            {
                fail(
                    exchange_end::damaged,
                    fmt::format("invalid status {}", head.result_int()));
                co_return;
            }
            bool const is_matching =
                to_view(head[m_names.m_request_id]) == m_request.m_request_id;
            if (!is_matching && !connection().m_reused)
            {
                fail(exchange_end::damaged, "response to another request");
                co_return;
            }
            m_result.m_head = head;
            m_result.m_body.clear();
            if (!co_await read_body(parser, is_matching))
            {
                co_return;
            }
            if (is_matching)
            {
                complete(parser);
                co_return;
            }
        }
        fail(exchange_end::damaged, "too many responses to other requests");
    }

    asio::awaitable<bool>
    read_head(http::response_parser<http::buffer_body>& parser)
    {
        auto [error, bytes] = co_await http::async_read_header(
            socket(), connection().m_buffer, parser, use_tuple);
        if (!error)
        {
            co_return true;
        }
        bool const is_end = error == http::error::end_of_stream ||
                            error == asio::error::connection_reset ||
                            error == asio::error::broken_pipe;
        bool const is_closed_unread =
            is_end && connection().m_buffer.size() == 0 && !parser.got_some();
        fail(
            is_closed_unread ? exchange_end::closed_unread
                             : end_from_error(error),
            error.message());
        co_return false;
    }

    /// Reads a response body. The body of a response to another request is
    /// discarded.
    asio::awaitable<bool> read_body(
        http::response_parser<http::buffer_body>& parser, bool is_matching)
    {
        std::array<char, read_chunk_bytes> chunk;
        while (!parser.is_done())
        {
            auto& body = parser.get().body();
            body.data = chunk.data();
            body.size = chunk.size();
            body.more = true;
            auto [error, bytes] = co_await http::async_read_some(
                socket(), connection().m_buffer, parser, use_tuple);
            std::string_view const data{chunk.data(), chunk.size() - body.size};
            if (is_matching)
            {
                bool const is_accepted =
                    co_await buffer_or_stream(parser, data);
                if (!is_accepted)
                {
                    co_return false;
                }
            }
            if (error && error != http::error::need_buffer)
            {
                fail(end_from_error(error), error.message());
                co_return false;
            }
        }
        // A reset is reported once. If the pending write took it, the read
        // finds an orderly end, which would complete a body without a length.
        bool const may_be_truncated =
            parser.need_eof() && m_state->m_has_write_failed;
        if (may_be_truncated)
        {
            fail(exchange_end::broken, "reset in a response without a length");
        }
        co_return !may_be_truncated;
    }

    /// Buffers body data, or streams it once the buffer limit is exceeded.
    asio::awaitable<bool> buffer_or_stream(
        http::response_parser<http::buffer_body>& parser, std::string_view data)
    {
        if (data.empty())
        {
            co_return true;
        }
        if (!m_result.m_streamed && buffer(data))
        {
            co_return true;
        }
        if (!m_result.m_streamed && !m_request.m_may_stream(m_result.m_head))
        {
            fail(exchange_end::damaged, "response exceeds the buffer");
            co_return false;
        }
        bool is_accepted = m_result.m_streamed || co_await start_stream(parser);
        is_accepted = is_accepted && co_await m_stream.m_on_data(data);
        if (!is_accepted)
        {
            fail(exchange_end::stopped, "the caller accepted no more data");
        }
        co_return is_accepted;
    }

    /// Returns false, and buffers nothing, if there is no space.
    bool buffer(std::string_view data)
    {
        auto& body = m_result.m_body;
        auto const size = body.size() + data.size();
        auto const limit = m_request.m_max_buffered_bytes;
        if (size > limit)
        {
            return false;
        }
        // A string that is too small doubles its capacity.
        auto const capacity =
            size <= body.capacity()
                ? body.capacity()
                : std::max(size, std::min(2 * body.capacity(), limit));
        // Short responses are buffered in any case, so that they can be
        // retried.
        auto const reserved = capacity - std::min(capacity, read_chunk_bytes);
        if (!m_result.m_buffer.resize(reserved))
        {
            return false;
        }
        body.reserve(capacity);
        body += data;
        return true;
    }

    asio::awaitable<bool>
    start_stream(http::response_parser<http::buffer_body>& parser)
    {
        m_result.m_streamed = true;
        std::optional<std::uint64_t> length;
        if (parser.content_length())
        {
            length = *parser.content_length();
        }
        if (!co_await m_stream.m_on_head(m_result.m_head, length))
        {
            co_return false;
        }
        bool const is_accepted = m_result.m_body.empty() ||
                                 co_await m_stream.m_on_data(m_result.m_body);
        std::string{}.swap(m_result.m_body);
        m_result.m_buffer.release();
        co_return is_accepted;
    }

    /// Returns the connection to the pool if the request was fully written and
    /// no further data can arrive for it.
    void complete(http::response_parser<http::buffer_body> const& parser)
    {
        m_result.m_end = exchange_end::answered;
        bool const is_reusable =
            m_state->m_is_request_written && parser.keep_alive() &&
            connection().m_buffer.size() == 0 && !m_state->m_is_timed_out &&
            !m_state->m_is_stopped;
        if (is_reusable)
        {
            if (may_wait_for_reader())
            {
                set_user_timeout(socket(), default_user_timeout);
            }
            auto const limit = idle_timeout_from(m_result.m_head);
            connection().m_idle_deadline = runtime_clock::now() + limit;
            m_pool.return_idle(std::move(m_state->m_connection));
        }
    }

    /// True if the request stays unacknowledged while the upstream, which is
    /// alive, does not read it.
    [[nodiscard]] bool may_wait_for_reader() const
    {
        return m_state->m_body->size() > max_unread_body_bytes;
    }

    void finish()
    {
        bool const is_answered = m_result.m_end == exchange_end::answered;
        if (!is_answered && m_state->m_is_timed_out && m_result.m_sent)
        {
            m_result.m_end = exchange_end::timed_out;
        }
        if (!is_answered && m_state->m_is_stopped)
        {
            m_result.m_end = exchange_end::stopped;
        }
        m_state->close();
    }

    [[nodiscard]] static exchange_end end_from_error(error_code const& error)
    {
        bool const is_truncated =
            error == http::error::partial_message ||
            error == http::error::end_of_stream ||
            error.category() == asio::error::get_system_category();
        return is_truncated ? exchange_end::broken : exchange_end::damaged;
    }

    void fail(exchange_end end, std::string reason)
    {
        m_result.m_end = end;
        m_result.m_error = std::move(reason);
    }

    upstream_connection& connection()
    {
        return *m_state->m_connection;
    }

    asio::ip::tcp::socket& socket()
    {
        return connection().m_socket;
    }

    header_names const& m_names;
    connection_pool& m_pool;
    exchange_request m_request;
    response_stream const& m_stream;
    std::shared_ptr<exchange_state> m_state;
    exchange_result m_result;
    bool m_is_head_request = false;
};

} // namespace

std::string_view to_string(exchange_end end) noexcept
{
    switch (end)
    {
    case exchange_end::answered:
        return "answered";
    case exchange_end::refused:
        return "refused";
    case exchange_end::unreachable:
        return "unreachable";
    case exchange_end::closed_unread:
        return "closed_unread";
    case exchange_end::broken:
        return "broken";
    case exchange_end::damaged:
        return "damaged";
    case exchange_end::timed_out:
        return "timed_out";
    case exchange_end::stopped:
        return "stopped";
    }
    return "unknown";
}

void exchange_handle::stop()
{
    m_is_stopped = true;
    if (auto const state = m_state.lock())
    {
        state->m_is_stopped = true;
        state->close();
    }
}

upstream_exchange::upstream_exchange(
    asio::io_context& io,
    header_names const& names,
    connection_pool& pool,
    buffer_budget& buffers)
    : m_io(io), m_names(names), m_pool(pool), m_buffers(buffers)
{
}

asio::awaitable<exchange_result> upstream_exchange::run(
    exchange_request request,
    exchange_handle& control,
    response_stream const& stream)
{
    auto state = std::make_shared<exchange_state>(m_io);
    control.m_state = state;
    if (control.m_is_stopped)
    {
        exchange_result unsent;
        unsent.m_end = exchange_end::stopped;
        co_return unsent;
    }
    active_exchange exchange{
        m_names,
        m_pool,
        m_buffers,
        std::move(request),
        stream,
        std::move(state)};
    co_return co_await exchange.perform();
}

} // namespace briarhub
