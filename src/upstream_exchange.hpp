#ifndef BRIARHUB_UPSTREAM_EXCHANGE_HPP
#define BRIARHUB_UPSTREAM_EXCHANGE_HPP

/// One request and its answer on a connection to an upstream. Answers of other
/// requests that arrive on the connection are skipped.

#include "header_names.hpp"
#include "types.hpp"
#include "upstream_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

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
    answered,      ///< the whole answer to this request
    refused,       ///< the connection was refused; nothing was sent
    unreachable,   ///< no connection in time; nothing was sent
    closed_unread, ///< closed or reset before any byte of the answer
    broken,        ///< closed or reset within the answer
    damaged,       ///< bytes that are no answer to this request
    timed_out,     ///< no whole answer until the deadline
    stopped        ///< ended by `exchange_handle::stop`
};

std::string_view to_string(exchange_end end) noexcept;

/// Passes an answer on that is too large to hold. Each call completes when
/// the caller took the data; false ends the exchange.
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
    boost::beast::http::request<boost::beast::http::string_body> m_message;
    std::string m_request_id;
    endpoint_address m_address;
    time_point m_deadline{};
    /// An answer with more bytes is passed on through the stream.
    /// A kept connection may carry the request.
    bool m_may_reuse = true;
    std::size_t m_max_buffered_bytes = 0;
};

struct exchange_result
{
    exchange_end m_end = exchange_end::unreachable;
    bool m_sent = false;     ///< a byte may have reached the upstream
    bool m_streamed = false; ///< part of the answer went to the caller
    bool m_is_new_connection = false;
    boost::beast::http::response_header<> m_head;
    std::string m_body;
    std::string m_error; ///< for logs
};

namespace detail
{
struct exchange_state;
}

/// Ends a running exchange from outside. Shared with its timers.
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

class upstream_exchange
{
public:
    upstream_exchange(
        boost::asio::io_context& io,
        header_names const& names,
        upstream_pool& pool);

    /// Runs one exchange; `control` and `stream` must outlive it.
    boost::asio::awaitable<exchange_result>
    run(exchange_request request,
        exchange_handle& control,
        response_stream const& stream);

private:
    boost::asio::io_context& m_io;
    header_names const& m_names;
    upstream_pool& m_pool;
};

} // namespace briarhub

#endif
