#ifndef BRIARHUB_CALLER_SESSION_HPP
#define BRIARHUB_CALLER_SESSION_HPP

/// One caller connection: reads requests, runs them in order, writes answers.

#include "caller_response.hpp"
#include "request.hpp"
#include "traffic_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace briarhub
{

/// A connection without a request is closed after this time.
inline constexpr std::chrono::minutes idle_timeout{5};

/// Its two coroutines share its ownership: one reads all the time, so that a
/// disconnected caller is noticed while its request runs; the other serves.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(
        boost::asio::ip::tcp::socket socket,
        std::shared_ptr<traffic_state> state);

    /// Serves requests until either side closes the connection.
    void start();

    /// Answers the first request with a refusal without reading it.
    void start_refusing(result_code code);

    /// Closes the connection if it waits for a request.
    void close_if_idle();

    /// Closes the connection at once.
    void abort();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// What reading brought: a refusal, or nothing if the request is there.
    using read_failure = std::optional<refusal>;

    boost::asio::awaitable<void> read_input();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> refuse_and_close(result_code code);

    /// Serves one request; false if the connection has to be closed.
    boost::asio::awaitable<bool> serve_request();
    boost::asio::awaitable<bool>
    process_request(request_parser& parser, request_context& context);
    boost::asio::awaitable<bool>
    run_and_respond(request_context& context, bool keep_open);
    boost::asio::awaitable<request_result> run(request_context& context);
    boost::asio::awaitable<request_result>
    run_archive(request_context& context);

    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<read_failure> read_head(request_parser& parser);
    boost::asio::awaitable<read_failure> read_body(request_parser& parser);
    boost::asio::awaitable<bool> wait_for_input(time_point deadline);
    boost::asio::awaitable<void> send_continue(request_context const& context);

    /// Writes an answer; false if the connection has to be closed.
    boost::asio::awaitable<bool> write_response(
        request_context const& context,
        caller_response response,
        bool keep_open);
    boost::asio::awaitable<bool> write_refusal(
        request_context const& context, refusal reason, bool keep_open);
    boost::asio::awaitable<bool>
    write_stream_head(boost::beast::http::response_header<> const& head);
    boost::asio::awaitable<bool> write_data(std::string_view data);
    boost::asio::awaitable<void> close_gracefully();

    void consume(std::size_t bytes);
    void arm_write_timeout();
    void disarm_write_timeout();
    void record(request_context const& context, request_result const& result);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<traffic_state> m_state;
    disconnect_monitor m_caller;
    std::string m_input;
    timer m_input_timer; ///< cancelled when input arrived
    timer m_space_timer; ///< cancelled when input was consumed
    timer m_write_timer;
    std::uint64_t m_write_id = 0;
    time_point m_request_deadline{};
    bool m_is_idle = false;
    bool m_is_discarding = false;
    bool m_has_served = false;
};

} // namespace briarhub

#endif
