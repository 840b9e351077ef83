#ifndef BRIARHUB_EDGE_SESSION_HPP
#define BRIARHUB_EDGE_SESSION_HPP

/// One caller connection of an edge process: reads requests, processes them one
/// after the other and writes the responses.

#include "edge_request.hpp"
#include "edge_state.hpp"
#include "input_buffer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

class edge_session : public std::enable_shared_from_this<edge_session>
{
public:
    edge_session(
        boost::asio::ip::tcp::socket socket, std::shared_ptr<edge_state> state);

    /// Serves requests until either side closes the connection.
    void start();

    /// Closes the connection if it is waiting for a request.
    void close_if_idle();

    /// Ends a request that is in progress. Its caller gets a response that says
    /// whether the request may have run.
    void interrupt_request();

    /// Closes the connection immediately.
    void abort();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Result of a read that yields no request.
    struct read_failure
    {
        /// Refusal to send; nullopt closes the connection without a response.
        std::optional<result_code> m_code;
    };

    using read_outcome = std::variant<edge_request, read_failure>;

    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<bool> serve_request();
    boost::asio::awaitable<read_outcome> read_request();
    boost::asio::awaitable<std::optional<result_code>> read_body(
        request_parser& parser, edge_request& request, std::size_t head_bytes);
    boost::asio::awaitable<bool> read_more();
    boost::asio::awaitable<edge_reply> process_request(edge_request& request);
    boost::asio::awaitable<void> wait_for_state();
    boost::asio::awaitable<bool>
    send_reply(edge_request& request, edge_reply&& result);
    boost::asio::awaitable<bool>
    write_response(edge_request const& request, edge_response response);
    boost::asio::awaitable<bool> write_stream_head(
        boost::beast::http::response_header<> const& head,
        std::optional<std::uint64_t> length);
    boost::asio::awaitable<bool> write_stream_data(std::string_view data);
    boost::asio::awaitable<bool> end_stream();
    [[nodiscard]] duration write_timeout() const;
    bool is_written(boost::system::error_code const& error);
    void count_unfinished_response();
    boost::asio::awaitable<void> close_gracefully();
    [[nodiscard]] response_stream make_stream();
    void watch_for_disconnect();
    void stop_watching();
    void start_timeout(duration timeout);
    void cancel_timeout();
    void record(edge_request const& request, unsigned status);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<edge_state> m_state;
    disconnect_monitor m_caller;
    input_buffer m_input;
    timer m_timer;
    std::uint64_t m_timer_generation = 0;
    /// Of the admitted request in progress; the epoch if there is none.
    time_point m_response_deadline{};
    bool m_is_idle = false;
    bool m_is_timed_out = false;
    bool m_is_out_of_space = false; ///< the last read had no buffer space
    bool m_keep_alive = true;
    bool m_is_chunked = false;
    bool m_close_requested = false;
};

/// Response for a refusal. Its Retry-After has fractions of a second.
edge_response make_edge_refusal(refusal const& reason);

} // namespace briarhub

#endif
