#ifndef BRIARHUB_CALLER_SESSION_HPP
#define BRIARHUB_CALLER_SESSION_HPP

/// The HTTP/1.1 server side of one caller connection: reads requests, runs them
/// one after the other and writes their responses.

#include "caller_response.hpp"
#include "input_buffer.hpp"
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

/// A connection is closed after this time without a request.
inline constexpr std::chrono::minutes idle_timeout{5};

/// Owned by two coroutines. One reads continuously, so that a disconnect of the
/// caller is detected while its request runs. The other serves the requests.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(
        boost::asio::ip::tcp::socket socket,
        std::shared_ptr<traffic_state> state);

    /// Serves requests until either side closes the connection.
    void start();

    /// Responds with a refusal before any request is read, then closes the
    /// connection.
    void start_refusing(result_code code);

    /// Closes the connection if no request is in progress on it.
    void close_if_idle();

    /// Closes the connection at once.
    void abort();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// The refusal of a request that cannot be read, or nothing on success.
    using read_failure = std::optional<refusal>;

    boost::asio::awaitable<void> read_input();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> refuse_and_close(result_code code);

    /// Serves one request. Returns false if the connection has to be closed.
    boost::asio::awaitable<bool> serve_request();
    boost::asio::awaitable<bool> process_request(
        request_parser& parser, request_context& context, bool keep_open);
    boost::asio::awaitable<bool>
    run_and_respond(request_context& context, bool keep_open);
    boost::asio::awaitable<request_result> run(request_context& context);
    boost::asio::awaitable<request_result>
    run_archive(request_context& context);

    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<read_failure>
    read_head(request_parser& parser, request_context& context);
    boost::asio::awaitable<read_failure>
    read_body(request_parser& parser, request_context& context);
    boost::asio::awaitable<bool> wait_for_input(time_point deadline);
    boost::asio::awaitable<void> send_continue(request_context const& context);

    /// Writes a response. Returns false if the connection has to be closed.
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

    [[nodiscard]] bool is_input_full() const;
    void consume(std::size_t bytes);
    void arm_write_timeout();
    void disarm_write_timeout();
    void record(request_context const& context, request_result const& result);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<traffic_state> m_state;
    disconnect_monitor m_caller;
    input_buffer m_input;
    timer m_input_timer; ///< cancelled when input arrives
    timer m_space_timer; ///< cancelled when input is consumed
    timer m_write_timer;
    std::uint64_t m_write_id = 0;
    time_point m_request_deadline{};
    bool m_is_idle = false;
    bool m_is_discarding = false;
    bool m_is_out_of_space = false; ///< the last read had no buffer space
    bool m_has_served = false;
};

} // namespace briarhub

#endif
