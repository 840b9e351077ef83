#include "socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace briarhub
{
namespace
{

void set_option(int descriptor, int level, int name, int value)
{
    if (::setsockopt(descriptor, level, name, &value, sizeof value) != 0)
    {
        spdlog::debug("setsockopt failed for level {}, option {}", level, name);
    }
}

} // namespace

void set_socket_options(
    boost::asio::ip::tcp::socket& socket, socket_options const& options)
{
    int const descriptor = socket.native_handle();
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_user_timeout(socket, options.m_user_timeout);
    auto const interval =
        static_cast<int>(options.m_keepalive_interval.count());
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_KEEPCNT,
        static_cast<int>(options.m_keepalive_probes));
}

void set_user_timeout(
    boost::asio::ip::tcp::socket& socket,
    std::optional<std::chrono::milliseconds> timeout)
{
    // 0 is the kernel's own limit, which is several minutes.
    set_option(
        socket.native_handle(),
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(
            timeout.value_or(std::chrono::milliseconds{0}).count()));
}

} // namespace briarhub
