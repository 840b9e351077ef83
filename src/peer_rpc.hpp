#ifndef BRIARHUB_PEER_RPC_HPP
#define BRIARHUB_PEER_RPC_HPP

/// Requests between entry processes: protobuf messages on nghttp2 cleartext
/// streams.

#include "result_code.hpp"
#include "types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace briarhub
{

/// Larger messages are refused on both sides.
inline constexpr std::size_t max_peer_message_bytes = 64 * 1024 * 1024;

/// Sends the serialized answer of a request, or refuses the request if there
/// is none. Called at most once, on the thread of the server; an answer to a
/// connection that is gone has no effect.
using peer_response_callback =
    std::function<void(std::optional<std::string> response)>;

/// Answers a request, at once or later; gets the path and the serialized
/// message. An unknown path or a bad message is refused with nullopt.
using peer_handler = std::function<void(
    std::string_view path,
    std::string_view message,
    peer_response_callback respond)>;

struct peer_byte_totals
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

/// Accepts peers' connections and answers their requests.
class peer_server
{
public:
    /// Binds the port at once; throws boost::system::system_error, or
    /// std::invalid_argument for a malformed address.
    peer_server(
        boost::asio::io_context& io,
        endpoint_address const& listen,
        peer_handler handler,
        std::size_t max_message_bytes = max_peer_message_bytes);
    ~peer_server();
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] peer_byte_totals totals() const;
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Sends requests to peers, with one connection for each peer in use.
class peer_client
{
public:
    explicit peer_client(
        boost::asio::io_context& io,
        std::size_t max_message_bytes = max_peer_message_bytes);
    ~peer_client();
    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    /// The serialized answer; `peer_unreachable` after `timeout` or if the
    /// connection broke; `peer_message_invalid` if the peer refused the
    /// message or it is too large.
    boost::asio::awaitable<std::variant<std::string, result_code>> request(
        endpoint_address peer,
        std::string path,
        std::string message,
        std::chrono::milliseconds timeout);

    /// Closes connections that were not used for `idle`.
    void close_idle_connections(time_point now, duration idle);

    struct client_totals
    {
        std::uint64_t m_bytes_sent = 0;
        std::uint64_t m_bytes_received = 0;
        std::uint64_t m_requests = 0;
    };
    [[nodiscard]] client_totals totals() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
