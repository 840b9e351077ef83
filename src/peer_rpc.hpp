#ifndef BRIARHUB_PEER_RPC_HPP
#define BRIARHUB_PEER_RPC_HPP

/// Remote procedure calls between entry processes. Each call is an HTTP/2
/// request over cleartext TCP with a protobuf message as its body.

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

/// Client and server refuse larger messages.
inline constexpr std::size_t max_peer_message_bytes = 64 * 1024 * 1024;

/// Sends the serialized response to a request; nullopt refuses the request.
/// Called at most once, on the server's thread. Has no effect if the connection
/// is closed.
using peer_response_callback =
    std::function<void(std::optional<std::string> response)>;

/// Handles a request with this path and serialized message. It calls `respond`
/// at once or later, with nullopt for an unknown path or an invalid message.
using peer_handler = std::function<void(
    std::string_view path,
    std::string_view message,
    peer_response_callback respond)>;

/// Bytes sent and received since the start.
struct peer_byte_totals
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

/// Limits of what other processes can make a server hold.
struct peer_server_limits
{
    std::size_t m_max_message_bytes = max_peer_message_bytes;
    /// Messages of all connections that are in memory at once. A stream for
    /// whose message there is no space is reset.
    std::size_t m_max_held_bytes = 4 * max_peer_message_bytes;
    /// One more closes the connection that has been silent for longest.
    std::size_t m_max_connections = 2048;
};

/// Accepts connections from peers and passes their requests to the handler.
class peer_server
{
public:
    /// Binds the port; throws boost::system::system_error, or
    /// std::invalid_argument for a malformed address.
    peer_server(
        boost::asio::io_context& io,
        endpoint_address const& listen,
        peer_handler handler,
        peer_server_limits limits = {});
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

/// Sends requests to peers over one persistent connection per peer.
class peer_client
{
public:
    explicit peer_client(
        boost::asio::io_context& io,
        std::size_t max_message_bytes = max_peer_message_bytes);
    ~peer_client();
    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    /// Returns the serialized response, `peer_unreachable` after `timeout` or a
    /// connection failure, or `peer_message_invalid` if the peer refused the
    /// message or it is too large.
    boost::asio::awaitable<std::variant<std::string, result_code>> request(
        endpoint_address peer,
        std::string path,
        std::string message,
        std::chrono::milliseconds timeout);

    /// Closes connections without a request in flight whose last request was
    /// sent at least `idle` ago.
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
