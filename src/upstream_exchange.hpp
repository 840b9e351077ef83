#ifndef BRIARHUB_UPSTREAM_EXCHANGE_HPP
#define BRIARHUB_UPSTREAM_EXCHANGE_HPP

/// Sends one HTTP request to an upstream over a pooled or new connection and
/// reads the response. The result says how the exchange ended and whether the
/// request may have reached the upstream, so that the caller can decide on a
/// retry. Responses to other requests on a reused connection are discarded.

#include "buffer_budget.hpp"
#include "connection_pool.hpp"
#include "header_names.hpp"
#include "types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

/// How an exchange ended.
enum class exchange_end
{
    answered,      ///< the complete response to this request was read
    refused,       ///< the connection was refused; nothing was sent
    unreachable,   ///< no connection in time; nothing was sent
    closed_unread, ///< closed or reset before the first response byte
    broken,        ///< closed or reset in the middle of the response
    damaged,       ///< malformed response, or one to another request
    timed_out,     ///< no complete response by the deadline
    stopped        ///< cancelled by `exchange_handle::stop`, or the caller
                   ///< accepted no more data
};

std::string_view to_string(exchange_end end) noexcept;

/// Receives a response that exceeds the buffer limit. Each call completes when
/// the data has been written to the caller; returning false ends the exchange.
struct response_stream
{
    std::function<boost::asio::awaitable<bool>(
        boost::beast::http::response_header<> const& head,
        std::optional<std::uint64_t> length)>
        m_on_head;
    std::function<boost::asio::awaitable<bool>(std::string_view data)>
        m_on_data;
};

struct exchange_request
{
    boost::beast::http::request_header<> m_head;
    /// Shared with the write, which can outlast the exchange; never null.
    std::shared_ptr<std::string const> m_body;
    std::string m_request_id;
    endpoint_address m_address;
    time_point m_deadline{};
    /// Whether the request may use an idle connection from the pool.
    bool m_may_reuse = true;
    /// A response body with more bytes, or for which the process has no more
    /// buffer space, is streamed.
    std::size_t m_max_buffered_bytes = 0;
    /// Whether a response with this head may be streamed. One that may not and
    /// exceeds the buffer is damaged.
    std::function<bool(boost::beast::http::response_header<> const& head)>
        m_may_stream;
};

struct exchange_result
{
    exchange_end m_end = exchange_end::unreachable;
    bool m_sent = false;     ///< the request may have reached the upstream
    bool m_streamed = false; ///< part of the response went to the caller
    bool m_is_new_connection = false;
    boost::beast::http::response_header<> m_head;
    std::string m_body;
    buffer_reservation m_buffer; ///< space of the body
    std::string m_error;         ///< cause of a failure, for the log
};

namespace detail
{
struct exchange_state;
}

/// Cancels a running exchange, for example from a timer.
class exchange_handle
{
public:
    /// Closes the connection; the exchange ends as `stopped`.
    void stop();

private:
    friend class upstream_exchange;
    std::weak_ptr<detail::exchange_state> m_state;
    bool m_is_stopped = false;
};

/// Runs exchanges over the connections of an upstream pool.
class upstream_exchange
{
public:
    upstream_exchange(
        boost::asio::io_context& io,
        header_names const& names,
        connection_pool& pool,
        buffer_budget& buffers);

    /// Runs one exchange. `control` and `stream` must outlive it.
    boost::asio::awaitable<exchange_result>
    run(exchange_request request,
        exchange_handle& control,
        response_stream const& stream);

private:
    boost::asio::io_context& m_io;
    header_names const& m_names;
    connection_pool& m_pool;
    buffer_budget& m_buffers;
};

} // namespace briarhub

#endif
