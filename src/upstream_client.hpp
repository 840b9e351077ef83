#ifndef BRIARHUB_UPSTREAM_CLIENT_HPP
#define BRIARHUB_UPSTREAM_CLIENT_HPP

/// HTTP/1.1 client for upstreams with pooled connections; each connection
/// serves one request at a time. Used by the traffic thread for the attempts of
/// a request and for health probes.

#include "content_digest.hpp"
#include "types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace briarhub
{

using upstream_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Header fields exchanged with upstreams.
inline constexpr char const* account_field = "Briarhub-Account";
inline constexpr char const* request_id_field = "Briarhub-Request-Id";
inline constexpr char const* deadline_field = "Briarhub-Deadline";
inline constexpr char const* upstream_load_field = "Upstream-Load";
inline constexpr char const* upstream_draining_field = "Upstream-Draining";
inline constexpr char const* upstream_not_run_field = "Upstream-Not-Run";

/// Maximum size of a buffered response; larger ones have to be streamed.
inline constexpr std::uint64_t max_buffered_response_bytes = 4 * 1024 * 1024;

/// Occupancy that an upstream reports in `Upstream-Load`.
struct upstream_load
{
    std::uint32_t m_in_use = 0;
    std::uint32_t m_slots = 0;
};

/// Result of one attempt at an upstream.
struct upstream_result
{
    attempt_outcome m_outcome = attempt_outcome::error;
    /// At least one byte of the request was written, so the upstream may have
    /// received it.
    bool m_sent = false;
    /// The upstream stated that it did not run the request.
    bool m_not_run = false;
    bool m_draining = false;
    std::optional<upstream_load> m_load;
    boost::beast::http::response_header<> m_head;
    std::string m_body;
    std::string m_error; ///< for logs; empty on success
};

/// Receives a streamed response. Each call completes when the data was written
/// to the caller, which provides backpressure; false ends the stream.
struct response_sink
{
    /// Receives the response head; `length` is the length of the complete body.
    std::function<boost::asio::awaitable<bool>(
        boost::beast::http::response_header<> const& head,
        std::uint64_t length)>
        m_on_head;
    std::function<boost::asio::awaitable<bool>(std::string_view data)>
        m_on_data;
};

/// State of a streamed response across attempts: how much the caller received
/// and what the next attempt needs to resume from there.
struct stream_position
{
    std::uint64_t m_received = 0;
    std::uint64_t m_length = 0;
    /// A strong entity tag; empty if the response cannot be resumed.
    std::string m_entity_tag;
    bool m_head_sent = false;
    /// Base64 SHA-256 of the complete body; empty if the upstream sent none.
    std::string m_digest;
    sha256_hasher m_hasher; ///< over the first `m_received` bytes
};

/// True if another attempt may start or resume the response.
[[nodiscard]] inline bool is_resumable(stream_position const& position)
{
    return !position.m_head_sent || !position.m_entity_tag.empty();
}

class upstream_client
{
public:
    explicit upstream_client(boost::asio::io_context& io);
    ~upstream_client();
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;

    /// Sends a request and buffers the response. Checks the echoed request id,
    /// the length and the `Digest` field; a mismatch is `wrong`. `may_send` is
    /// called right before the first byte is written; if it returns false,
    /// nothing is sent. The attempt ends as `error` at `deadline` and as
    /// `cancelled` on `cancel(ticket)`; both close its connection.
    boost::asio::awaitable<upstream_result>
    run(request_ticket ticket,
        upstream target,
        upstream_request request,
        time_point deadline,
        std::function<bool()> may_send);

    /// Like `run`, but forwards the response to `sink` as it arrives. If the
    /// head was already sent according to `position`, requests the remaining
    /// bytes with `Range` and `If-Range`; a different entity tag ends the
    /// attempt as `wrong`. The last part is forwarded only after the digest
    /// matched. A 5xx response is returned in the result and not forwarded.
    /// `position` and `sink` must outlive the attempt.
    boost::asio::awaitable<upstream_result> run_streamed(
        request_ticket ticket,
        upstream target,
        upstream_request request,
        time_point deadline,
        std::function<bool()> may_send,
        stream_position& position,
        response_sink const& sink);

    /// Cancels the attempts of a ticket and closes their connections.
    void cancel(request_ticket ticket);

    /// Sends a request to the upstream's health endpoint; true for status 200.
    /// The result is only a hint for returning an upstream to service.
    boost::asio::awaitable<bool>
    probe(upstream target, std::chrono::milliseconds timeout);

    /// Restricts pooled connections to the listed upstreams and closes idle
    /// connections to all others.
    void set_endpoints(std::span<upstream const> upstreams);

    [[nodiscard]] std::size_t open_connections() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
