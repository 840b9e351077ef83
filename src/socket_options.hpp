#ifndef BRIARHUB_SOCKET_OPTIONS_HPP
#define BRIARHUB_SOCKET_OPTIONS_HPP

/// Socket options that detect a dead peer, whose connection goes silent without
/// a reset.

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>

namespace briarhub
{

/// How long sent data may stay unacknowledged before the kernel closes the
/// connection.
inline constexpr std::chrono::milliseconds default_user_timeout{3000};

/// Timeouts after which the kernel closes an unresponsive connection.
struct socket_options
{
    /// TCP_USER_TIMEOUT; nullopt for none. The kernel applies it also to a peer
    /// that is alive and does not read.
    std::optional<std::chrono::milliseconds> m_user_timeout =
        default_user_timeout;
    /// Idle time before the first keep-alive probe, and the time between
    /// probes.
    std::chrono::seconds m_keepalive_interval{1};
    unsigned m_keepalive_probes = 3;
};

/// Sets TCP_NODELAY, TCP_USER_TIMEOUT and keep-alive probes. Options that
/// cannot be set are ignored; the connection then depends on the timeouts of
/// the code that uses it.
void set_socket_options(
    boost::asio::ip::tcp::socket& socket, socket_options const& options = {});

/// Sets TCP_USER_TIMEOUT alone; nullopt for none.
void set_user_timeout(
    boost::asio::ip::tcp::socket& socket,
    std::optional<std::chrono::milliseconds> timeout);

} // namespace briarhub

#endif
