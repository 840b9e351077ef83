#include "caller_session.hpp"

#include "archive_stream.hpp"
#include "attempts.hpp"
#include "filter_chain.hpp"
#include "request_validation.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

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

/// Limit of buffered input while a request runs. Further input stays in the
/// socket, so that flow control slows the caller.
constexpr std::size_t max_input_bytes = 64 * 1024;

/// A request is in memory twice while it is sent to an upstream.
constexpr std::size_t request_copies = 2;

/// Retry-After of a request that finds no buffer space. The requests that use
/// the space are on their way to upstreams.
constexpr duration overloaded_retry_after = std::chrono::seconds{1};

/// The write timeout applies to chunks of this size, so that it limits how
/// slowly a caller may read and not the size of a response.
constexpr std::size_t write_chunk_bytes = 64 * 1024;

/// After the last response, unread input is discarded for this long. Closing
/// immediately would reset the connection, and the caller could lose the
/// response.
constexpr std::chrono::seconds linger_timeout{2};

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

result_code parse_error_code(error_code const& error)
{
    if (error == http::error::body_limit)
    {
        return result_code::body_too_large;
    }
    if (error == http::error::header_limit)
    {
        return result_code::header_too_large;
    }
    if (error == http::error::bad_content_length ||
        error == http::error::multiple_content_length ||
        error == http::error::bad_transfer_encoding)
    {
        return result_code::ambiguous_length;
    }
    return result_code::malformed_request;
}

/// Counts a request as running for the lifetime of this object.
class running_scope
{
public:
    explicit running_scope(traffic_state& state) : m_state(state)
    {
        m_state.request_started();
    }

    ~running_scope()
    {
        m_state.request_ended();
    }

    running_scope(running_scope const&) = delete;
    running_scope& operator=(running_scope const&) = delete;

private:
    traffic_state& m_state;
};

std::string make_request_id(member const& self, request_ticket ticket)
{
    return fmt::format("{}-{:016x}-{}", self.m_vm, self.m_incarnation, ticket);
}

} // namespace

caller_session::caller_session(
    asio::ip::tcp::socket socket, std::shared_ptr<traffic_state> state)
    : m_socket(std::move(socket)), m_state(std::move(state)),
      m_input(m_state->m_buffers), m_input_timer(m_state->m_io),
      m_space_timer(m_state->m_io), m_write_timer(m_state->m_io)
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    m_socket.non_blocking(true, ignored);
}

void caller_session::start()
{
    auto const start_coroutine =
        [this](asio::awaitable<void> (caller_session::*coroutine)())
    {
        asio::co_spawn(
            m_state->m_io,
            [](std::shared_ptr<caller_session> self,
               asio::awaitable<void> (
                   caller_session::*body)()) -> asio::awaitable<void>
            {
                co_await (self.get()->*body)();
            }(shared_from_this(), coroutine),
            asio::detached);
    };
    start_coroutine(&caller_session::read_input);
    start_coroutine(&caller_session::serve);
}

void caller_session::start_refusing(result_code code)
{
    asio::co_spawn(
        m_state->m_io,
        [](std::shared_ptr<caller_session> self,
           result_code reason) -> asio::awaitable<void>
        {
            co_await self->refuse_and_close(reason);
        }(shared_from_this(), code),
        asio::detached);
    m_is_discarding = true;
    asio::co_spawn(
        m_state->m_io,
        [](std::shared_ptr<caller_session> self) -> asio::awaitable<void>
        {
            co_await self->read_input();
        }(shared_from_this()),
        asio::detached);
}

void caller_session::close_if_idle()
{
    if (m_is_idle && m_input.empty())
    {
        abort();
    }
}

void caller_session::abort()
{
    error_code ignored;
    m_socket.close(ignored);
    m_input_timer.cancel();
    m_space_timer.cancel();
}

bool caller_session::is_input_full() const
{
    return m_is_out_of_space || m_input.view().size() >= max_input_bytes;
}

/// Reads input continuously. Pauses while `max_input_bytes` are buffered or
/// there is no space for more.
asio::awaitable<void> caller_session::read_input()
{
    for (;;)
    {
        while (is_input_full() && m_socket.is_open())
        {
            m_space_timer.expires_at(time_point::max());
            co_await m_space_timer.async_wait(use_tuple);
        }
        auto [error] = co_await m_socket.async_wait(
            asio::ip::tcp::socket::wait_read, use_tuple);
        auto const result =
            error ? input_read::closed : read_available(m_socket, m_input);
        if (result == input_read::closed)
        {
            m_caller.notify_disconnect();
            m_input_timer.cancel();
            co_return;
        }
        m_is_out_of_space = result == input_read::no_space;
        if (m_is_discarding)
        {
            m_input.consume(m_input.view().size());
        }
        m_input_timer.cancel();
    }
}

asio::awaitable<void> caller_session::serve()
{
    try
    {
        while (co_await serve_request())
        {
        }
        co_await close_gracefully();
    }
    catch (std::exception const& error)
    {
        m_state->count_refusal(result_code::internal_error, "");
        spdlog::error("caller session failed: {}", error.what());
        abort();
    }
}

asio::awaitable<void> caller_session::refuse_and_close(result_code code)
{
    request_context const context;
    refusal const reason{code, std::nullopt};
    co_await write_refusal(context, reason, false);
    co_await close_gracefully();
}

asio::awaitable<bool> caller_session::serve_request()
{
    if (!co_await wait_for_request())
    {
        co_return false;
    }
    m_request_deadline =
        runtime_clock::now() + m_state->m_options.m_caller_timeout;
    request_context context;
    context.m_caller = &m_caller;
    context.m_ticket = m_state->next_ticket();
    context.m_request_id = make_request_id(m_state->m_self, context.m_ticket);
    request_parser parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(max_body_bytes);
    auto const refused = co_await read_head(parser, context);
    if (refused && m_caller.is_disconnected())
    {
        co_return false;
    }
    if (refused)
    {
        co_return co_await write_refusal(context, *refused, false);
    }
    bool const keep_open = parser.get().keep_alive();
    // The parser adds trailers to its own fields, which are dropped.
    context.m_head = std::move(parser.get().base());
    co_return co_await process_request(parser, context, keep_open);
}

/// Checks the head, runs the head filters, reads the body and runs the request.
asio::awaitable<bool> caller_session::process_request(
    request_parser& parser, request_context& context, bool keep_open)
{
    auto const code = validate_head(context.m_head);
    if (code != result_code::ok)
    {
        refusal const reason{code, std::nullopt};
        co_return co_await write_refusal(context, reason, false);
    }
    auto const refused =
        co_await run_filters(head_filters(), *m_state, context);
    if (refused)
    {
        // An unread body would be parsed as the next request.
        co_return co_await write_refusal(
            context,
            std::get<refusal>(*refused),
            keep_open && parser.is_done());
    }
    co_await send_continue(context);
    auto const incomplete = co_await read_body(parser, context);
    if (incomplete && m_caller.is_disconnected())
    {
        co_return false;
    }
    if (incomplete)
    {
        co_return co_await write_refusal(context, *incomplete, false);
    }
    context.m_body = std::move(parser.get().body());
    context.m_received = runtime_clock::now();
    context.m_deadline = context.m_received + context.m_work_class.m_deadline;
    co_return co_await run_and_respond(context, keep_open);
}

asio::awaitable<bool>
caller_session::run_and_respond(request_context& context, bool keep_open)
{
    running_scope const running{*m_state};
    m_state->metrics_of(context.m_work_class.m_name).m_requests->add();
    request_result result = co_await run(context);
    record(context, result);
    if (auto* response = std::get_if<buffered_response>(&result))
    {
        co_return co_await write_response(
            context, std::move(response->m_response), keep_open);
    }
    if (auto const* reason = std::get_if<refusal>(&result))
    {
        co_return co_await write_refusal(context, *reason, keep_open);
    }
    if (std::holds_alternative<aborted_response>(result))
    {
        abort();
        co_return false;
    }
    co_return keep_open;
}

asio::awaitable<request_result> caller_session::run(request_context& context)
{
    auto early_result =
        co_await run_filters(request_filters(), *m_state, context);
    if (early_result)
    {
        co_return std::move(*early_result);
    }
    if (context.m_work_class.m_archive)
    {
        co_return co_await run_archive(context);
    }
    co_return co_await run_buffered(*m_state, context);
}

asio::awaitable<request_result>
caller_session::run_archive(request_context& context)
{
    caller_stream target;
    target.m_sink.m_on_head =
        [this](http::response_header<> const& head, std::uint64_t)
    {
        return write_stream_head(head);
    };
    target.m_sink.m_on_data = [this](std::string_view data)
    {
        return write_data(data);
    };
    target.m_abort = [this]
    {
        abort();
    };
    co_return co_await stream_archive(*m_state, context, target);
}

void caller_session::record(
    request_context const& context, request_result const& result)
{
    auto const total = runtime_clock::now() - context.m_received;
    m_state->metrics_of(context.m_work_class.m_name).m_latency->record(total);
    if (std::holds_alternative<buffered_response>(result))
    {
        m_state->m_added_latency.record(total - context.m_upstream_time);
    }
}

/// Waits for the first byte of a request. While the VM is stopping, only a new
/// connection may still send a request, which is refused.
asio::awaitable<bool> caller_session::wait_for_request()
{
    bool const is_stopping =
        m_state->readiness(runtime_clock::now()) == result_code::stopping;
    if (std::exchange(m_has_served, true) && is_stopping && m_input.empty())
    {
        co_return false;
    }
    m_is_idle = true;
    auto const deadline = runtime_clock::now() + idle_timeout;
    // The co_await is not part of the loop condition: GCC 12 evaluates a
    // co_await on the right of "&&" there even if the left side is false.
    while (m_input.empty())
    {
        if (!co_await wait_for_input(deadline))
        {
            break;
        }
    }
    m_is_idle = false;
    co_return !m_input.empty();
}

/// Returns true if more input may have arrived, false on a disconnect or at the
/// deadline.
asio::awaitable<bool> caller_session::wait_for_input(time_point deadline)
{
    if (m_caller.is_disconnected() || !m_socket.is_open() ||
        runtime_clock::now() >= deadline)
    {
        co_return false;
    }
    m_input_timer.expires_at(deadline);
    auto [error] = co_await m_input_timer.async_wait(use_tuple);
    co_return error == asio::error::operation_aborted;
}

asio::awaitable<caller_session::read_failure>
caller_session::read_head(request_parser& parser, request_context& context)
{
    head_scan scan = scan_head(m_input.view());
    while (scan.m_length == 0 && scan.m_code == result_code::ok)
    {
        if (m_is_out_of_space)
        {
            co_return refusal{result_code::overloaded, overloaded_retry_after};
        }
        if (!co_await wait_for_input(m_request_deadline))
        {
            co_return refusal{result_code::caller_too_slow, std::nullopt};
        }
        scan = scan_head(m_input.view());
    }
    if (scan.m_code != result_code::ok)
    {
        co_return refusal{scan.m_code, std::nullopt};
    }
    auto const head = m_input.view().substr(0, scan.m_length);
    auto const code = validate_raw_head(head);
    if (code != result_code::ok)
    {
        co_return refusal{code, std::nullopt};
    }
    error_code error;
    parser.put(asio::buffer(head), error);
    if (error && error != http::error::need_more)
    {
        co_return refusal{parse_error_code(error), std::nullopt};
    }
    if (!parser.is_header_done())
    {
        co_return refusal{result_code::malformed_request, std::nullopt};
    }
    context.m_head_bytes = scan.m_length;
    consume(scan.m_length);
    co_return std::nullopt;
}

asio::awaitable<caller_session::read_failure>
caller_session::read_body(request_parser& parser, request_context& context)
{
    auto const has_space = [&](std::uint64_t body_bytes)
    {
        return reserve_message(
            context.m_buffer,
            request_copies * (context.m_head_bytes + body_bytes));
    };
    refusal const no_space{result_code::overloaded, overloaded_retry_after};
    if (!has_space(parser.content_length().value_or(0)))
    {
        co_return no_space;
    }
    parser.eager(true);
    while (!parser.is_done())
    {
        error_code error;
        std::size_t const used =
            parser.put(asio::buffer(m_input.view()), error);
        consume(used);
        if (error && error != http::error::need_more)
        {
            co_return refusal{parse_error_code(error), std::nullopt};
        }
        if (!has_space(parser.get().body().capacity()))
        {
            co_return no_space;
        }
        if (parser.is_done())
        {
            break;
        }
        if (m_input.view().size() >= max_input_bytes)
        {
            co_return refusal{result_code::malformed_request, std::nullopt};
        }
        if (m_is_out_of_space)
        {
            co_return refusal{result_code::overloaded, overloaded_retry_after};
        }
        if (!co_await wait_for_input(m_request_deadline))
        {
            co_return refusal{result_code::caller_too_slow, std::nullopt};
        }
    }
    co_return std::nullopt;
}

/// Sends 100 Continue to a caller that waits for it before it sends the body.
asio::awaitable<void>
caller_session::send_continue(request_context const& context)
{
    bool const is_expected = !context.m_head[http::field::expect].empty();
    if (!is_expected || !m_input.empty())
    {
        co_return;
    }
    co_await write_data(continue_response);
}

void caller_session::consume(std::size_t bytes)
{
    m_input.consume(bytes);
    m_is_out_of_space = false;
    m_space_timer.cancel();
}

asio::awaitable<bool> caller_session::write_refusal(
    request_context const& context, refusal reason, bool keep_open)
{
    m_state->count_refusal(reason.m_code, context.m_work_class.m_name);
    co_return co_await write_response(context, make_refusal(reason), keep_open);
}

asio::awaitable<bool> caller_session::write_response(
    request_context const& context, caller_response response, bool keep_open)
{
    if (m_caller.is_disconnected())
    {
        co_return false;
    }
    bool const is_stopping =
        m_state->readiness(runtime_clock::now()) == result_code::stopping;
    keep_open = keep_open && !is_stopping;
    response.keep_alive(keep_open);
    if (!context.m_request_id.empty())
    {
        response.set(request_id_field, context.m_request_id);
    }
    http::response_serializer<http::string_body> serializer{response};
    serializer.limit(write_chunk_bytes);
    bool const head_only = context.m_head.method() == http::verb::head;
    serializer.split(head_only);
    while (!(head_only ? serializer.is_header_done() : serializer.is_done()))
    {
        arm_write_timeout();
        auto [error, bytes] =
            co_await http::async_write_some(m_socket, serializer, use_tuple);
        disarm_write_timeout();
        if (error)
        {
            abort();
            co_return false;
        }
    }
    co_return keep_open;
}

asio::awaitable<bool>
caller_session::write_stream_head(http::response_header<> const& head)
{
    http::response<http::empty_body> response{head};
    http::response_serializer<http::empty_body> serializer{response};
    arm_write_timeout();
    auto [error, bytes] =
        co_await http::async_write_header(m_socket, serializer, use_tuple);
    disarm_write_timeout();
    co_return !error;
}

asio::awaitable<bool> caller_session::write_data(std::string_view data)
{
    while (!data.empty())
    {
        arm_write_timeout();
        auto [error, bytes] = co_await m_socket.async_write_some(
            asio::buffer(data.data(), data.size()), use_tuple);
        disarm_write_timeout();
        if (error)
        {
            co_return false;
        }
        data.remove_prefix(bytes);
    }
    co_return true;
}

/// Closes the connection if a write makes no progress for the caller timeout.
/// The id identifies the write, so that a timer handler that is already queued
/// does not close the connection during a later write.
void caller_session::arm_write_timeout()
{
    ++m_write_id;
    m_write_timer.expires_after(m_state->m_options.m_caller_timeout);
    m_write_timer.async_wait(
        [weak = weak_from_this(), write_id = m_write_id](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self && self->m_write_id == write_id)
            {
                self->abort();
            }
        });
}

void caller_session::disarm_write_timeout()
{
    ++m_write_id;
    m_write_timer.cancel();
}

asio::awaitable<void> caller_session::close_gracefully()
{
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_is_discarding = true;
    consume(m_input.view().size());
    auto const deadline = runtime_clock::now() + linger_timeout;
    while (co_await wait_for_input(deadline))
    {
    }
    abort();
}

} // namespace briarhub
