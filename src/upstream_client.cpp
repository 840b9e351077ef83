#include "upstream_client.hpp"

#include "clock.hpp"
#include "connection_pool.hpp"
#include "http_fields.hpp"
#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <unordered_map>
#include <utility>

namespace briarhub
{
namespace
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;
using head_parser = http::response_parser<http::empty_body>;

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);

/// Maximum size of the parts in which a streamed response is forwarded.
constexpr std::size_t stream_chunk_bytes = 32 * 1024;

constexpr char const* health_target = "/health";

enum class end_reason
{
    none,
    deadline,
    cancelled
};

/// Lets a timer or the client end an attempt by closing its connection, which
/// fails the pending I/O in the attempt's coroutine.
struct attempt_control
{
    explicit attempt_control(net::io_context& io) : m_timer(io)
    {
    }

    void end(end_reason reason)
    {
        if (m_reason != end_reason::none)
        {
            return;
        }
        m_reason = reason;
        if (m_connection)
        {
            error_code ignored;
            m_connection->m_socket.close(ignored);
        }
    }

    end_reason m_reason = end_reason::none;
    upstream_connection_ptr m_connection;
    timer m_timer;
};

/// Shared by the client and its running attempts, which may outlive the client.
struct client_state
{
    explicit client_state(net::io_context& io) : m_io(io), m_pool(io)
    {
    }

    net::io_context& m_io;
    connection_pool m_pool;
    std::unordered_multimap<request_ticket, attempt_control*> m_attempts;
};

bool is_connection_closed(error_code const& error)
{
    return error == net::error::eof || error == http::error::end_of_stream ||
           error == http::error::partial_message ||
           error == net::error::connection_reset ||
           error == net::error::connection_aborted ||
           error == net::error::broken_pipe;
}

template <class Number>
bool parse_number(std::string_view text, Number& value)
{
    auto const* end = text.data() + text.size();
    auto const [last, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && last == end;
}

/// Parses `in_use/slots`.
std::optional<upstream_load> parse_load(std::string_view text)
{
    auto const slash = text.find('/');
    upstream_load load;
    if (slash == std::string_view::npos ||
        !parse_number(text.substr(0, slash), load.m_in_use) ||
        !parse_number(text.substr(slash + 1), load.m_slots))
    {
        return std::nullopt;
    }
    return load;
}

bool is_strong_entity_tag(std::string_view tag)
{
    return tag.size() >= 2 && tag.front() == '"' && tag.back() == '"';
}

/// True if a `Content-Range` covers all bytes after `position`.
bool covers_rest(std::string_view field, stream_position const& position)
{
    return field == fmt::format(
                        "bytes {}-{}/{}",
                        position.m_received,
                        position.m_length - 1,
                        position.m_length);
}

/// One attempt. Lives in the frame of the coroutine that runs it.
class attempt_session
{
public:
    attempt_session(
        std::shared_ptr<client_state> state,
        request_ticket ticket,
        upstream target,
        upstream_request request,
        time_point deadline,
        std::function<bool()> may_send)
        : m_state(std::move(state)), m_target(std::move(target)),
          m_request(std::move(request)), m_deadline(deadline),
          m_may_send(std::move(may_send)),
          m_control(std::make_shared<attempt_control>(m_state->m_io)),
          m_registration(m_state->m_attempts.emplace(ticket, m_control.get()))
    {
        m_request.prepare_payload();
        m_control->m_timer.expires_at(deadline);
        m_control->m_timer.async_wait(
            [weak = std::weak_ptr{m_control}](error_code const& error)
            {
                auto const control = weak.lock();
                if (!error && control)
                {
                    control->end(end_reason::deadline);
                }
            });
    }

    ~attempt_session()
    {
        m_state->m_attempts.erase(m_registration);
    }

    attempt_session(attempt_session const&) = delete;
    attempt_session& operator=(attempt_session const&) = delete;

    net::awaitable<void> run_buffered()
    {
        head_parser head;
        if (!co_await send_and_read_head(head))
        {
            co_return;
        }
        if (!co_await read_body(head))
        {
            co_return;
        }
        classify();
        return_connection();
    }

    net::awaitable<void>
    run_streamed(stream_position& position, response_sink const& sink)
    {
        if (!prepare_resume(position))
        {
            co_return;
        }
        head_parser head;
        if (!co_await send_and_read_head(head))
        {
            co_return;
        }
        if (head.get().result_int() >= 500)
        {
            if (co_await read_body(head))
            {
                classify();
                return_connection();
            }
            co_return;
        }
        if (!co_await begin_stream(head, position, sink))
        {
            co_return;
        }
        if (co_await forward_body(head, position, sink))
        {
            classify();
            return_connection();
        }
    }

    upstream_result take_result()
    {
        return std::move(m_result);
    }

private:
    upstream_connection& connection()
    {
        return *m_control->m_connection;
    }

    /// Fails the attempt: discards the response and closes the connection.
    void fail(attempt_outcome outcome, std::string error)
    {
        m_result.m_outcome = outcome;
        m_result.m_error = std::move(error);
        m_result.m_head = {};
        m_result.m_body.clear();
        m_result.m_not_run = false;
        m_control->m_connection.reset();
    }

    /// Fails the attempt because of an I/O error. The outcome is `fallback`
    /// unless the deadline or a cancellation closed the connection.
    void fail_io(
        error_code const& error, attempt_outcome fallback, char const* stage)
    {
        switch (m_control->m_reason)
        {
        case end_reason::deadline:
            fail(attempt_outcome::error, fmt::format("timeout {}", stage));
            return;
        case end_reason::cancelled:
            fail(
                attempt_outcome::cancelled, fmt::format("cancelled {}", stage));
            return;
        case end_reason::none:
            break;
        }
        if (error == net::error::operation_aborted)
        {
            fallback = attempt_outcome::cancelled;
        }
        fail(fallback, fmt::format("{} {}", error.message(), stage));
    }

    /// Takes an idle connection from the pool if allowed, or connects.
    net::awaitable<bool> acquire_connection(bool may_reuse)
    {
        if (m_control->m_reason != end_reason::none)
        {
            fail_io({}, attempt_outcome::error, "before connecting");
            co_return false;
        }
        if (may_reuse)
        {
            m_control->m_connection =
                m_state->m_pool.acquire_idle(m_target.m_address);
        }
        if (m_control->m_connection)
        {
            co_return true;
        }
        co_return co_await connect();
    }

    net::awaitable<bool> connect()
    {
        error_code error = net::error::invalid_argument;
        auto const endpoint = parse_endpoint(m_target.m_address);
        m_control->m_connection = m_state->m_pool.make(m_target.m_address);
        if (endpoint)
        {
            auto [result] = co_await connection().m_socket.async_connect(
                *endpoint, use_tuple);
            error = result;
        }
        if (error || m_control->m_reason != end_reason::none)
        {
            fail_io(error, attempt_outcome::error, "while connecting");
            co_return false;
        }
        connection().m_socket.set_option(net::ip::tcp::no_delay{true}, error);
        co_return true;
    }

    /// Writes the request. If a reused connection fails before any byte was
    /// written, tries once more on a new connection.
    net::awaitable<bool> send()
    {
        for (int tries = 0; tries < 2; ++tries)
        {
            if (!co_await acquire_connection(tries == 0))
            {
                co_return false;
            }
            if (!is_allowed_to_send())
            {
                co_return false;
            }
            auto [error, bytes] = co_await http::async_write(
                connection().m_socket, m_request, use_tuple);
            m_result.m_sent = bytes > 0;
            if (!error)
            {
                co_return true;
            }
            bool const replace = connection().m_reused && bytes == 0 &&
                                 m_control->m_reason == end_reason::none;
            auto const outcome = is_connection_closed(error) && bytes > 0
                                     ? attempt_outcome::crashed
                                     : attempt_outcome::error;
            fail_io(error, outcome, "while sending");
            if (!replace)
            {
                co_return false;
            }
        }
        co_return false;
    }

    bool is_allowed_to_send()
    {
        if (runtime_clock::now() >= m_deadline)
        {
            m_control->end(end_reason::deadline);
            fail_io({}, attempt_outcome::error, "before sending");
            return false;
        }
        if (m_may_send && !m_may_send())
        {
            // Nothing was written, so the connection can be reused.
            m_state->m_pool.return_idle(std::move(m_control->m_connection));
            fail(attempt_outcome::cancelled, "not allowed to send");
            return false;
        }
        return true;
    }

    /// Sends the request, reads the response head and checks that the response
    /// belongs to the request.
    net::awaitable<bool> send_and_read_head(head_parser& head)
    {
        if (!co_await send())
        {
            co_return false;
        }
        // The body limit depends on the status, which is not known yet.
        head.body_limit(boost::none);
        head.skip(m_request.method() == http::verb::head);
        auto [error, bytes] = co_await http::async_read_header(
            connection().m_socket, connection().m_buffer, head, use_tuple);
        if (error)
        {
            auto const outcome = is_connection_closed(error)
                                     ? attempt_outcome::crashed
                                     : attempt_outcome::wrong;
            fail_io(error, outcome, "while waiting for the response");
            co_return false;
        }
        co_return validate_head(head);
    }

    /// Probes have no request id; every other request has one.
    [[nodiscard]] bool is_request_id_echoed(http::fields const& response) const
    {
        if (m_request.count(request_id_field) == 0)
        {
            return true;
        }
        return response.count(request_id_field) == 1 &&
               response[request_id_field] == m_request[request_id_field];
    }

    bool validate_head(head_parser const& head)
    {
        auto const& fields = head.get();
        if (!is_final_status(fields.result_int()))
        {
            fail(
                attempt_outcome::wrong,
                fmt::format("invalid status {}", fields.result_int()));
            return false;
        }
        if (!is_request_id_echoed(fields))
        {
            fail(
                attempt_outcome::wrong,
                "response does not echo the request id");
            return false;
        }
        if (head.need_eof())
        {
            fail(attempt_outcome::wrong, "response has no length");
            return false;
        }
        m_result.m_head = fields.base();
        m_result.m_draining = fields[upstream_draining_field] == "1";
        m_result.m_load = parse_load(fields[upstream_load_field]);
        return true;
    }

    /// Malformed framing or an end of stream inside the body is the upstream's
    /// fault and counts as `wrong`. A connection reset may be a network fault
    /// and counts as `error`.
    void fail_body_read(error_code const& error)
    {
        static auto const& http_category =
            http::make_error_code(http::error::partial_message).category();
        bool const is_malformed = error.category() == http_category &&
                                  error != http::error::body_limit;
        fail_io(
            error,
            is_malformed ? attempt_outcome::wrong : attempt_outcome::error,
            "while reading the response body");
    }

    net::awaitable<bool> read_body(head_parser& head)
    {
        bool const fits =
            head.content_length().value_or(0) <= max_buffered_response_bytes;
        http::response_parser<http::string_body> parser{std::move(head)};
        parser.body_limit(max_buffered_response_bytes);
        if (!fits)
        {
            fail(
                attempt_outcome::error, "response body is too large to buffer");
            co_return false;
        }
        auto [error, bytes] = co_await http::async_read(
            connection().m_socket, connection().m_buffer, parser, use_tuple);
        if (error)
        {
            fail_body_read(error);
            co_return false;
        }
        m_result.m_body = std::move(parser.get().body());
        if (!is_digest_valid())
        {
            fail(attempt_outcome::wrong, "response digest does not match");
            co_return false;
        }
        co_return true;
    }

    /// `Digest` covers the complete representation, so it can't be checked
    /// against the body of a partial response or of a response to HEAD.
    [[nodiscard]] bool is_digest_valid() const
    {
        auto const& head = m_result.m_head;
        if (head.result() == http::status::partial_content ||
            m_request.method() == http::verb::head)
        {
            return true;
        }
        auto const digest = parse_sha256_digest(head[http::field::digest]);
        return !digest || *digest == sha256_base64(m_result.m_body);
    }

    bool prepare_resume(stream_position const& position)
    {
        if (!position.m_head_sent)
        {
            return true;
        }
        if (!is_resumable(position))
        {
            fail(attempt_outcome::error, "response cannot be resumed");
            return false;
        }
        m_request.set(
            http::field::range, fmt::format("bytes={}-", position.m_received));
        m_request.set(http::field::if_range, position.m_entity_tag);
        return true;
    }

    net::awaitable<bool> begin_stream(
        head_parser const& head,
        stream_position& position,
        response_sink const& sink)
    {
        if (position.m_head_sent)
        {
            co_return validate_resumed_head(position);
        }
        if (head.chunked())
        {
            fail(
                attempt_outcome::wrong,
                "streamed response has no Content-Length");
            co_return false;
        }
        record_representation(position, head.content_length().value_or(0));
        position.m_head_sent = true;
        bool const accepted =
            co_await sink.m_on_head(m_result.m_head, position.m_length);
        if (!accepted)
        {
            fail(attempt_outcome::cancelled, "response sink rejected the head");
        }
        co_return accepted;
    }

    /// Stores what later attempts need to resume this response.
    void record_representation(stream_position& position, std::uint64_t length)
    {
        auto const& head = m_result.m_head;
        position.m_length = length;
        if (head.result() != http::status::ok)
        {
            return;
        }
        if (is_strong_entity_tag(head[http::field::etag]))
        {
            position.m_entity_tag = head[http::field::etag];
        }
        if (m_request.method() != http::verb::head)
        {
            position.m_digest =
                parse_sha256_digest(head[http::field::digest]).value_or("");
        }
    }

    bool validate_resumed_head(stream_position const& position)
    {
        auto const& head = m_result.m_head;
        if (head.result_int() >= 400)
        {
            fail(
                attempt_outcome::error,
                fmt::format(
                    "status {} for a range request", head.result_int()));
            return false;
        }
        if (head[http::field::etag] != position.m_entity_tag)
        {
            fail(
                attempt_outcome::wrong,
                "resumed response has a different entity tag");
            return false;
        }
        if (head.result() != http::status::partial_content ||
            !covers_rest(head[http::field::content_range], position))
        {
            fail(
                attempt_outcome::wrong,
                "response range differs from the requested range");
            return false;
        }
        return true;
    }

    net::awaitable<bool> forward_body(
        head_parser& head, stream_position& position, response_sink const& sink)
    {
        bool const resumed = position.m_received > 0;
        bool const has_body = !head.is_done();
        http::response_parser<http::buffer_body> parser{std::move(head)};
        std::array<char, stream_chunk_bytes> chunk;
        while (!parser.is_done())
        {
            auto& body = parser.get().body();
            body.data = chunk.data();
            body.size = chunk.size();
            auto [error, bytes] = co_await http::async_read_some(
                connection().m_socket,
                connection().m_buffer,
                parser,
                use_tuple);
            std::string_view const data{chunk.data(), chunk.size() - body.size};
            if (!co_await forward_chunk(data, position, sink, resumed))
            {
                co_return false;
            }
            if (error && error != http::error::need_buffer)
            {
                fail_body_read(error);
                co_return false;
            }
        }
        if (has_body && position.m_received != position.m_length)
        {
            fail(
                attempt_outcome::wrong,
                "response body length differs from its Content-Length");
            co_return false;
        }
        co_return true;
    }

    net::awaitable<bool> forward_chunk(
        std::string_view data,
        stream_position& position,
        response_sink const& sink,
        bool resumed)
    {
        if (data.empty())
        {
            co_return true;
        }
        position.m_hasher.update(data);
        bool const last =
            position.m_received + data.size() >= position.m_length;
        if (last && !position.m_digest.empty() &&
            position.m_digest != position.m_hasher.base64())
        {
            // The caller may already have corrupt data, so the response must
            // not be resumed. After a resume the corrupt part may come from any
            // of the upstreams, so the outcome is `error` and not `wrong`.
            position.m_entity_tag.clear();
            fail(
                resumed ? attempt_outcome::error : attempt_outcome::wrong,
                "response digest does not match");
            co_return false;
        }
        bool const delivered = co_await sink.m_on_data(data);
        if (!delivered)
        {
            fail(attempt_outcome::cancelled, "response sink rejected the data");
            co_return false;
        }
        position.m_received += data.size();
        co_return true;
    }

    /// Sets the outcome by the status of a complete, verified response.
    void classify()
    {
        auto const& head = m_result.m_head;
        unsigned const status = head.result_int();
        m_result.m_outcome = attempt_outcome::good;
        if (status < 500)
        {
            return;
        }
        m_result.m_not_run =
            status == 503 && head[upstream_not_run_field] == "1";
        m_result.m_outcome =
            m_result.m_not_run ? attempt_outcome::shed : attempt_outcome::error;
        m_result.m_error = fmt::format("status {}", status);
    }

    /// Returns the connection to the pool if it can carry another request;
    /// closes it otherwise.
    void return_connection()
    {
        bool const clean = m_result.m_head.version() == 11 &&
                           connection().m_buffer.size() == 0 &&
                           m_control->m_reason == end_reason::none;
        bool const close =
            http::token_list{m_result.m_head[http::field::connection]}.exists(
                "close");
        if (clean && !close)
        {
            m_state->m_pool.return_idle(std::move(m_control->m_connection));
        }
        m_control->m_connection.reset();
    }

    std::shared_ptr<client_state> m_state;
    upstream m_target;
    upstream_request m_request;
    time_point m_deadline;
    std::function<bool()> m_may_send;
    /// Shared with its timer's handler, which may run after the attempt ended.
    std::shared_ptr<attempt_control> m_control;
    std::unordered_multimap<request_ticket, attempt_control*>::iterator
        m_registration;
    upstream_result m_result;
};

net::awaitable<upstream_result> run_attempt(
    std::shared_ptr<client_state> state,
    request_ticket ticket,
    upstream target,
    upstream_request request,
    time_point deadline,
    std::function<bool()> may_send)
{
    attempt_session session{
        std::move(state),
        ticket,
        std::move(target),
        std::move(request),
        deadline,
        std::move(may_send)};
    co_await session.run_buffered();
    co_return session.take_result();
}

net::awaitable<upstream_result> run_streamed_attempt(
    std::shared_ptr<client_state> state,
    request_ticket ticket,
    upstream target,
    upstream_request request,
    time_point deadline,
    std::function<bool()> may_send,
    stream_position& position,
    response_sink const& sink)
{
    attempt_session session{
        std::move(state),
        ticket,
        std::move(target),
        std::move(request),
        deadline,
        std::move(may_send)};
    co_await session.run_streamed(position, sink);
    co_return session.take_result();
}

/// Health endpoints don't echo a request id, so a probe has none.
net::awaitable<bool> run_probe(
    std::shared_ptr<client_state> state,
    upstream target,
    std::chrono::milliseconds timeout)
{
    upstream_request request{http::verb::get, health_target, 11};
    request.set(http::field::host, target.m_address);
    request.set(http::field::connection, "close");
    std::function<bool()> const no_condition;
    attempt_session session{
        std::move(state),
        0,
        std::move(target),
        std::move(request),
        runtime_clock::now() + timeout,
        no_condition};
    co_await session.run_buffered();
    upstream_result const attempt = session.take_result();
    co_return attempt.m_outcome ==
        attempt_outcome::good&& attempt.m_head.result() == http::status::ok;
}

} // namespace

struct upstream_client::implementation
{
    std::shared_ptr<client_state> m_state;
};

upstream_client::upstream_client(net::io_context& io)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->m_state = std::make_shared<client_state>(io);
}

upstream_client::~upstream_client()
{
    for (auto const& [ticket, control] : m_implementation->m_state->m_attempts)
    {
        control->end(end_reason::cancelled);
    }
}

net::awaitable<upstream_result> upstream_client::run(
    request_ticket ticket,
    upstream target,
    upstream_request request,
    time_point deadline,
    std::function<bool()> may_send)
{
    return run_attempt(
        m_implementation->m_state,
        ticket,
        std::move(target),
        std::move(request),
        deadline,
        std::move(may_send));
}

net::awaitable<upstream_result> upstream_client::run_streamed(
    request_ticket ticket,
    upstream target,
    upstream_request request,
    time_point deadline,
    std::function<bool()> may_send,
    stream_position& position,
    response_sink const& sink)
{
    return run_streamed_attempt(
        m_implementation->m_state,
        ticket,
        std::move(target),
        std::move(request),
        deadline,
        std::move(may_send),
        position,
        sink);
}

void upstream_client::cancel(request_ticket ticket)
{
    auto const [first, last] =
        m_implementation->m_state->m_attempts.equal_range(ticket);
    for (auto entry = first; entry != last; ++entry)
    {
        entry->second->end(end_reason::cancelled);
    }
}

net::awaitable<bool>
upstream_client::probe(upstream target, std::chrono::milliseconds timeout)
{
    return run_probe(m_implementation->m_state, std::move(target), timeout);
}

void upstream_client::set_endpoints(std::span<upstream const> upstreams)
{
    m_implementation->m_state->m_pool.set_endpoints(upstreams);
}

std::size_t upstream_client::open_connections() const
{
    return m_implementation->m_state->m_pool.open_connections();
}

} // namespace briarhub
