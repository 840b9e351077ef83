#ifndef BRIARHUB_SOCKET_OPTIONS_HPP
#define BRIARHUB_SOCKET_OPTIONS_HPP

/// Options for connections that may go silent without a reset.

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace briarhub
{

/// How fast a silent connection is given up.
struct socket_options
{
    /// Sent data that is not acknowledged for so long ends the connection.
    std::chrono::milliseconds m_user_timeout{3000};
    /// An idle connection is probed after this time, and as often again.
    std::chrono::seconds m_keepalive_interval{1};
    unsigned m_keepalive_probes = 3;
};

/// Sets TCP_NODELAY, TCP_USER_TIMEOUT and keep-alive probes. An option that
/// cannot be set is left: the connection then relies on the caller's timeouts.
void set_socket_options(
    boost::asio::ip::tcp::socket& socket, socket_options const& options = {});

} // namespace briarhub

#endif
