#include "edge_session.hpp"

#include "caller_response.hpp"
#include "edge_attempts.hpp"
#include "edge_filters.hpp"
#include "http_fields.hpp"
#include "request_validation.hpp"
#include "socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// A request's head is in memory twice while it is sent to an upstream.
constexpr std::size_t head_copies = 2;

/// A caller that does not read a response within this time, or by the deadline
/// of its request if that is later, is disconnected.
constexpr std::chrono::seconds min_write_timeout{10};

/// A request waits this long for the first policy and set of upstreams. The
/// Retry-After of a refusal is as long.
constexpr std::chrono::milliseconds state_wait_timeout{300};
constexpr std::chrono::milliseconds state_check_interval{5};

/// The timeout for a body is this many times that for a head.
constexpr int body_timeout_factor = 10;

/// Retry-After of a request whose body finds no buffer space. The bodies that
/// use the space are on their way to upstreams.
constexpr duration overloaded_retry_after = std::chrono::seconds{1};

/// Unread input is discarded for this long after the last response. Closing
/// immediately would reset the connection, and the caller could lose the
/// response.
constexpr std::chrono::seconds linger_timeout{1};

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

result_code parse_error_code(error_code const& error)
{
    if (error == http::error::body_limit)
    {
        return result_code::body_too_large;
    }
    return result_code::malformed_request;
}

caller_limits limits_of(edge_state const& state)
{
    auto const policy = state.policy();
    return policy ? policy->policy().m_limits : caller_limits{};
}

/// Code for input after a request's head that exceeds the limit of a head and
/// is not body data. It starts with a chunk header, or if that is complete,
/// with the last one and its trailers.
result_code framing_error_code(std::string_view unparsed)
{
    constexpr std::string_view line_end = "\r\n";
    if (unparsed.starts_with(line_end))
    {
        unparsed.remove_prefix(line_end.size());
    }
    return unparsed.find(line_end) == std::string_view::npos
               ? result_code::malformed_request
               : result_code::header_too_large;
}

/// Counts a request as active during its lifetime.
class active_request_scope
{
public:
    explicit active_request_scope(edge_state& state) : m_state(state)
    {
        ++m_state.m_active_requests;
    }
    ~active_request_scope()
    {
        --m_state.m_active_requests;
    }
    active_request_scope(active_request_scope const&) = delete;
    active_request_scope& operator=(active_request_scope const&) = delete;

private:
    edge_state& m_state;
};

boost::json::object to_json(admission_basis const& basis)
{
    auto const to_ms = [](std::chrono::nanoseconds value)
    {
        return std::chrono::floor<std::chrono::milliseconds>(value).count();
    };
    boost::json::object fields{
        {"time_left_ms", to_ms(basis.m_time_left)},
        {"limit", basis.m_requests_per_slot}};
    if (basis.m_work)
    {
        fields["work_ms"] = to_ms(*basis.m_work);
    }
    if (basis.m_expected_wait)
    {
        fields["wait_ms"] = to_ms(*basis.m_expected_wait);
    }
    if (basis.m_failure_probability)
    {
        fields["sickness"] = *basis.m_failure_probability;
    }
    if (basis.m_refusal_cost)
    {
        fields["refusal_cost"] = *basis.m_refusal_cost;
    }
    return fields;
}

} // namespace

edge_response make_edge_refusal(refusal const& reason)
{
    auto response = make_refusal(reason);
    if (reason.m_retry_after)
    {
        std::chrono::duration<double> const wait = *reason.m_retry_after;
        response.set(
            http::field::retry_after, fmt::format("{:.3f}", wait.count()));
    }
    return response;
}

edge_session::edge_session(
    asio::ip::tcp::socket socket, std::shared_ptr<edge_state> state)
    : m_socket(std::move(socket)), m_state(std::move(state)),
      m_input(m_state->m_buffers), m_timer(m_state->m_io)
{
    // A caller may read its response late, within its own time limit. One that
    // is gone is noticed by the timeouts of reads and writes.
    socket_options options;
    options.m_user_timeout = std::nullopt;
    set_socket_options(m_socket, options);
    error_code ignored;
    m_socket.non_blocking(true, ignored);
}

void edge_session::start()
{
    asio::co_spawn(
        m_state->m_io,
        [](std::shared_ptr<edge_session> self) -> asio::awaitable<void>
        {
            co_await self->serve();
        }(shared_from_this()),
        asio::detached);
}

void edge_session::close_if_idle()
{
    m_close_requested = true;
    if (m_is_idle && m_input.empty())
    {
        error_code ignored;
        m_socket.cancel(ignored);
    }
}

void edge_session::interrupt_request()
{
    m_caller.interrupt();
}

void edge_session::abort()
{
    error_code ignored;
    m_socket.close(ignored);
    m_caller.notify_disconnect();
}

asio::awaitable<void> edge_session::serve()
{
    try
    {
        bool is_open = true;
        while (is_open)
        {
            is_open = co_await serve_request();
        }
        if (m_socket.is_open())
        {
            co_await close_gracefully();
        }
    }
    catch (std::exception const& error)
    {
        m_state->m_events.write("session_failed", {{"error", error.what()}});
    }
    abort();
}

asio::awaitable<bool> edge_session::serve_request()
{
    auto outcome = co_await read_request();
    if (auto const* failure = std::get_if<read_failure>(&outcome))
    {
        if (failure->m_code)
        {
            m_keep_alive = false;
            edge_request empty_request;
            refusal reason{*failure->m_code, std::nullopt};
            if (reason.m_code == result_code::overloaded)
            {
                reason.m_retry_after = overloaded_retry_after;
            }
            co_await send_reply(empty_request, reason);
        }
        co_return false;
    }
    auto& request = std::get<edge_request>(outcome);
    request.m_caller = &m_caller;
    m_response_deadline = {};
    active_request_scope const active_request{*m_state};
    watch_for_disconnect();
    auto result = co_await process_request(request);
    stop_watching();
    bool const is_written = co_await send_reply(request, std::move(result));
    co_return is_written&& m_keep_alive;
}

asio::awaitable<edge_reply> edge_session::process_request(edge_request& request)
{
    co_await wait_for_state();
    if (auto refused = run_edge_filters(*m_state, request))
    {
        co_return *refused;
    }
    m_response_deadline = request.m_deadline;
    auto const stream = make_stream();
    co_return co_await run_attempts(*m_state, request, stream);
}

/// A newly started process loads its state within milliseconds; after a refusal
/// the caller would wait much longer.
asio::awaitable<void> edge_session::wait_for_state()
{
    auto const end = runtime_clock::now() + state_wait_timeout;
    while (!m_state->has_state() && !m_caller.is_disconnected() &&
           runtime_clock::now() < end)
    {
        timer pause{m_state->m_io, state_check_interval};
        co_await pause.async_wait(use_tuple);
    }
}

response_stream edge_session::make_stream()
{
    response_stream stream;
    stream.m_on_head = [this](
                           http::response_header<> const& head,
                           std::optional<std::uint64_t> length)
    {
        return write_stream_head(head, length);
    };
    stream.m_on_data = [this](std::string_view data)
    {
        return write_stream_data(data);
    };
    return stream;
}

asio::awaitable<edge_session::read_outcome> edge_session::read_request()
{
    auto const limits = limits_of(*m_state);
    m_is_idle = m_input.empty();
    start_timeout(
        m_input.empty() ? duration{limits.m_idle_timeout}
                        : duration{limits.m_header_timeout});
    head_scan scan = scan_head(m_input.view(), limits.m_max_header_bytes);
    while (scan.m_length == 0 && scan.m_code == result_code::ok)
    {
        bool const was_empty = m_input.empty();
        if (!co_await read_more())
        {
            bool const is_late = m_is_timed_out && !m_input.empty();
            cancel_timeout();
            if (m_is_out_of_space)
            {
                co_return read_failure{result_code::overloaded};
            }
            co_return read_failure{
                is_late ? std::optional{result_code::caller_too_slow}
                        : std::nullopt};
        }
        if (was_empty)
        {
            m_is_idle = false;
            start_timeout(limits.m_header_timeout);
        }
        scan = scan_head(m_input.view(), limits.m_max_header_bytes);
    }
    m_is_idle = false;
    if (scan.m_code == result_code::ok)
    {
        scan.m_code = validate_raw_head(
            m_input.view().substr(0, scan.m_length), limits.m_max_header_bytes);
    }
    if (scan.m_code != result_code::ok)
    {
        co_return read_failure{scan.m_code};
    }
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.m_max_header_bytes));
    parser.body_limit(limits.m_max_body_bytes);
    error_code error;
    parser.put(asio::buffer(m_input.view().data(), scan.m_length), error);
    if ((error && error != http::error::need_more) || !parser.is_header_done())
    {
        co_return read_failure{
            error ? parse_error_code(error) : result_code::malformed_request};
    }
    m_input.consume(scan.m_length);
    auto const code = validate_head(parser.get().base());
    if (code != result_code::ok)
    {
        co_return read_failure{code};
    }
    m_keep_alive = parser.get().keep_alive();
    edge_request request;
    // The parser adds trailers to its own fields, which are dropped: a trailer
    // must not set or repeat a field on which the filters decide.
    request.m_head = std::move(parser.get().base());
    start_timeout(limits.m_header_timeout * body_timeout_factor);
    request.m_body_buffer = buffer_reservation{m_state->m_buffers};
    auto const body_error =
        co_await read_body(parser, request, head_copies * scan.m_length);
    cancel_timeout();
    if (body_error)
    {
        co_return read_failure{
            *body_error == result_code::ok ? std::nullopt : body_error};
    }
    request.m_body =
        std::make_shared<std::string const>(std::move(parser.get().body()));
    request.m_id =
        to_view(request.m_head[m_state->m_header_names.m_request_id]);
    request.m_received = runtime_clock::now();
    co_return request;
}

/// Returns nullopt when the body is complete and `ok` when the caller
/// disconnected.
asio::awaitable<std::optional<result_code>> edge_session::read_body(
    request_parser& parser, edge_request& request, std::size_t head_bytes)
{
    auto& buffer = request.m_body_buffer;
    auto const max_framing_bytes = limits_of(*m_state).m_max_header_bytes;
    parser.eager(true);
    if (!reserve_message(
            buffer, head_bytes + parser.content_length().value_or(0)))
    {
        co_return result_code::overloaded;
    }
    bool const expects_continue =
        !request.m_head[http::field::expect].empty() && !parser.is_done();
    if (expects_continue && m_input.empty())
    {
        co_await asio::async_write(
            m_socket, asio::buffer(continue_response), use_tuple);
    }
    while (!parser.is_done())
    {
        error_code error;
        std::size_t const used =
            parser.put(asio::buffer(m_input.view()), error);
        m_input.consume(used);
        if (error && error != http::error::need_more)
        {
            co_return parse_error_code(error);
        }
        if (!reserve_message(
                buffer, head_bytes + parser.get().body().capacity()))
        {
            co_return result_code::overloaded;
        }
        if (parser.is_done())
        {
            break;
        }
        // Body data is always parsed, so this is a chunk header or trailers.
        if (m_input.view().size() > max_framing_bytes)
        {
            co_return framing_error_code(m_input.view());
        }
        if (!co_await read_more())
        {
            if (m_is_out_of_space)
            {
                co_return result_code::overloaded;
            }
            co_return m_is_timed_out ? result_code::caller_too_slow
                                     : result_code::ok;
        }
    }
    co_return std::nullopt;
}

/// Appends received bytes to the input. Returns false on a timeout, when the
/// connection ends or when there is no buffer space.
asio::awaitable<bool> edge_session::read_more()
{
    if (m_close_requested && m_is_idle && m_input.empty())
    {
        co_return false;
    }
    auto [error] = co_await m_socket.async_wait(
        asio::ip::tcp::socket::wait_read, use_tuple);
    if (error)
    {
        co_return false;
    }
    auto const result = read_available(m_socket, m_input);
    m_is_out_of_space = result == input_read::no_space;
    co_return result == input_read::received;
}

/// Detects a caller that disconnects while its request is in progress.
void edge_session::watch_for_disconnect()
{
    m_socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [weak = weak_from_this()](error_code error)
        {
            auto const self = weak.lock();
            if (error || !self)
            {
                return;
            }
            char byte = 0;
            error_code peek_error;
            self->m_socket.non_blocking(true, peek_error);
            auto const bytes = self->m_socket.receive(
                asio::buffer(&byte, 1),
                asio::socket_base::message_peek,
                peek_error);
            bool const is_disconnected =
                (!peek_error && bytes == 0) ||
                (peek_error && peek_error != asio::error::would_block);
            if (is_disconnected)
            {
                self->m_caller.notify_disconnect();
            }
        });
}

void edge_session::stop_watching()
{
    error_code ignored;
    m_socket.cancel(ignored);
}

asio::awaitable<bool>
edge_session::send_reply(edge_request& request, edge_reply&& result)
{
    if (auto* response = std::get_if<edge_response>(&result))
    {
        record(request, response->result_int());
        co_return co_await write_response(request, std::move(*response));
    }
    if (auto const* reason = std::get_if<refusal>(&result))
    {
        auto const& info = describe(reason->m_code);
        if (request.m_outcome == "refused" || request.m_outcome.empty())
        {
            request.m_outcome = info.m_name;
        }
        m_state->count_refusal(
            reason->m_code, request.m_route ? request.m_route->m_name : "");
        request.m_policy_age =
            m_state->m_freshness.m_policy.age(runtime_clock::now());
        record(request, info.m_http_status);
        co_return co_await write_response(request, make_edge_refusal(*reason));
    }
    if (std::holds_alternative<streamed_response>(result))
    {
        record(request, static_cast<unsigned>(http::status::ok));
        co_return co_await end_stream();
    }
    record(request, 0);
    abort();
    co_return false;
}

asio::awaitable<bool> edge_session::write_response(
    edge_request const& request, edge_response response)
{
    if (m_caller.is_disconnected())
    {
        co_return false;
    }
    m_keep_alive = m_keep_alive && !m_state->m_closes_after_response;
    response.keep_alive(m_keep_alive);
    if (!request.m_id.empty())
    {
        response.set(m_state->m_header_names.m_request_id, request.m_id);
    }
    http::response_serializer<http::string_body> serializer{response};
    bool const is_head = request.m_head.method() == http::verb::head;
    serializer.split(is_head);
    start_timeout(write_timeout());
    error_code write_error;
    if (is_head)
    {
        auto [error, bytes] =
            co_await http::async_write_header(m_socket, serializer, use_tuple);
        write_error = error;
    }
    else
    {
        auto [error, bytes] =
            co_await http::async_write(m_socket, serializer, use_tuple);
        write_error = error;
    }
    cancel_timeout();
    if (write_error && write_error != http::error::end_of_stream)
    {
        count_unfinished_response();
        abort();
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> edge_session::write_stream_head(
    http::response_header<> const& head, std::optional<std::uint64_t> length)
{
    http::response<http::empty_body> response{head};
    response.erase(http::field::connection);
    response.erase(http::field::keep_alive);
    response.erase(http::field::transfer_encoding);
    m_is_chunked = !length;
    if (length)
    {
        response.set(http::field::content_length, std::to_string(*length));
    }
    else
    {
        response.chunked(true);
    }
    m_keep_alive = m_keep_alive && !m_state->m_closes_after_response;
    response.keep_alive(m_keep_alive);
    http::response_serializer<http::empty_body> serializer{response};
    start_timeout(write_timeout());
    auto [error, bytes] =
        co_await http::async_write_header(m_socket, serializer, use_tuple);
    cancel_timeout();
    co_return is_written(error);
}

asio::awaitable<bool> edge_session::write_stream_data(std::string_view data)
{
    std::string const size =
        m_is_chunked ? fmt::format("{:x}\r\n", data.size()) : std::string{};
    std::string_view const end = m_is_chunked ? "\r\n" : "";
    std::array<asio::const_buffer, 3> const buffers{
        asio::buffer(size),
        asio::buffer(data.data(), data.size()),
        asio::buffer(end.data(), end.size())};
    start_timeout(write_timeout());
    auto [error, bytes] =
        co_await asio::async_write(m_socket, buffers, use_tuple);
    cancel_timeout();
    co_return is_written(error);
}

asio::awaitable<bool> edge_session::end_stream()
{
    if (!std::exchange(m_is_chunked, false))
    {
        co_return true;
    }
    start_timeout(write_timeout());
    auto [error, bytes] = co_await asio::async_write(
        m_socket, asio::buffer(last_chunk), use_tuple);
    cancel_timeout();
    co_return is_written(error);
}

duration edge_session::write_timeout() const
{
    return std::max<duration>(
        min_write_timeout, m_response_deadline - runtime_clock::now());
}

/// Evaluates the write of a part of a streamed response.
bool edge_session::is_written(error_code const& error)
{
    if (error)
    {
        count_unfinished_response();
    }
    return !error;
}

void edge_session::count_unfinished_response()
{
    m_state->count_unfinished_response(
        m_is_timed_out ? "timeout" : "disconnected");
}

/// Shuts down the sending side and discards further input (lingering close).
asio::awaitable<void> edge_session::close_gracefully()
{
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_is_idle = false;
    start_timeout(linger_timeout);
    for (bool is_open = true; is_open;)
    {
        m_input.consume(m_input.view().size());
        is_open = co_await read_more();
    }
    cancel_timeout();
}

/// Cancels pending socket operations when the timeout expires.
void edge_session::start_timeout(duration timeout)
{
    m_is_timed_out = false;
    auto const generation = ++m_timer_generation;
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [weak = weak_from_this(), generation](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self && self->m_timer_generation == generation)
            {
                self->m_is_timed_out = true;
                error_code ignored;
                self->m_socket.cancel(ignored);
            }
        });
}

void edge_session::cancel_timeout()
{
    ++m_timer_generation;
    m_timer.cancel();
}

void edge_session::record(edge_request const& request, unsigned status)
{
    auto const elapsed = runtime_clock::now() - request.m_received;
    bool const was_received = request.m_received != time_point{};
    std::string const route =
        request.m_route ? request.m_route->m_name : std::string{};
    if (was_received)
    {
        m_state->m_metrics
            .get_histogram(
                "briarhub_request_seconds",
                {{"route", route}, {"outcome", std::string{request.m_outcome}}})
            .record(elapsed);
    }
    boost::json::object log_entry{
        {"request", request.m_id},
        {"route", route},
        {"account", request.m_account},
        {"service", request.m_service},
        {"outcome", request.m_outcome},
        {"status", status},
        {"policy", request.m_policy ? request.m_policy->policy().m_version : 0},
        {"attempts", request.m_attempts}};
    if (was_received)
    {
        log_entry["took_ms"] =
            std::chrono::floor<std::chrono::milliseconds>(elapsed).count();
    }
    if (request.m_policy_age)
    {
        log_entry["policy_age_ms"] =
            std::chrono::floor<std::chrono::milliseconds>(*request.m_policy_age)
                .count();
    }
    if (request.m_admission_basis)
    {
        log_entry["admission"] = to_json(*request.m_admission_basis);
    }
    m_state->m_events.write("request", log_entry);
}

} // namespace briarhub
