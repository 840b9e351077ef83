#ifndef BRIARHUB_UPSTREAM_CLIENT_HPP
#define BRIARHUB_UPSTREAM_CLIENT_HPP

/// Pooled connections to upstreams, one request at a time on each.

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

/// Header fields between entry processes and upstreams.
inline constexpr char const* account_field = "Briarhub-Account";
inline constexpr char const* request_id_field = "Briarhub-Request-Id";
inline constexpr char const* deadline_field = "Briarhub-Deadline";
inline constexpr char const* upstream_load_field = "Upstream-Load";
inline constexpr char const* upstream_draining_field = "Upstream-Draining";
inline constexpr char const* upstream_not_run_field = "Upstream-Not-Run";

/// Largest answer that is held in memory; larger ones are streamed.
inline constexpr std::uint64_t max_buffered_response_bytes = 4 * 1024 * 1024;

struct upstream_load
{
    std::uint32_t m_in_use = 0;
    std::uint32_t m_slots = 0;
};

/// What an attempt at an upstream brought.
struct upstream_result
{
    attempt_outcome m_outcome = attempt_outcome::error;
    /// A byte of the request may have reached the upstream.
    bool m_sent = false;
    /// The upstream itself said that it did not run the request.
    bool m_not_run = false;
    bool m_draining = false;
    std::optional<upstream_load> m_load;
    boost::beast::http::response_header<> m_head;
    std::string m_body;
    std::string m_error; ///< for logs; empty unless it failed
};

/// Receives the parts of a streamed answer. Each call completes when the
/// caller took the data; false ends the stream.
struct response_sink
{
    /// The head of the answer; `length` is the whole body's length.
    std::function<boost::asio::awaitable<bool>(
        boost::beast::http::response_header<> const& head,
        std::uint64_t length)>
        m_on_head;
    std::function<boost::asio::awaitable<bool>(std::string_view data)>
        m_on_data;
};

/// Position in a streamed answer at which the next attempt resumes.
struct stream_position
{
    std::uint64_t m_received = 0;
    std::uint64_t m_length = 0;
    /// A strong entity tag; empty if the answer cannot be resumed.
    std::string m_entity_tag;
    bool m_head_sent = false;
    /// Base64 SHA-256 of the whole answer; empty if the upstream gave none.
    std::string m_digest;
    sha256_hasher m_hasher; ///< over the first `m_received` bytes
};

/// True if another attempt may continue a streamed answer.
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

    /// Sends a request and reads the whole answer. Checks the request id echo,
    /// the length and the `Digest` field; a mismatch is `wrong`. `may_send` is
    /// asked right before the first byte; false ends the attempt unsent. The
    /// attempt ends as `error` at `deadline` and as `cancelled` on
    /// `cancel(ticket)`; its connection is closed in both cases.
    boost::asio::awaitable<upstream_result>
    run(request_ticket ticket,
        upstream target,
        upstream_request request,
        time_point deadline,
        std::function<bool()> may_send);

    /// Like `run`, for an answer that is passed on while it arrives. If
    /// `position` says that the head was sent, it asks for the rest by `Range`
    /// with `If-Range`; another entity tag ends the attempt as `wrong`. The
    /// last part is passed on only after the digest was checked. A 5xx answer
    /// is returned in the attempt and not passed on. `position` and `sink`
    /// must outlive the attempt.
    boost::asio::awaitable<upstream_result> run_streamed(
        request_ticket ticket,
        upstream target,
        upstream_request request,
        time_point deadline,
        std::function<bool()> may_send,
        stream_position& position,
        response_sink const& sink);

    /// Ends the attempt of a ticket and closes its connection.
    void cancel(request_ticket ticket);

    /// Asks the upstream's health endpoint; a hint only, used for the return
    /// to service.
    boost::asio::awaitable<bool>
    probe(upstream target, std::chrono::milliseconds timeout);

    /// Closes idle connections to upstreams that are not in the list.
    void set_endpoints(std::span<upstream const> upstreams);

    [[nodiscard]] std::size_t open_connections() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
