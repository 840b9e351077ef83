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
        spdlog::debug("socket option {}/{} cannot be set", level, name);
    }
}

} // namespace

void set_silence_limits(
    boost::asio::ip::tcp::socket& socket, silence_limits const& limits)
{
    int const descriptor = socket.native_handle();
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(limits.m_unacknowledged.count()));
    auto const interval = static_cast<int>(limits.m_probe_interval.count());
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_KEEPCNT,
        static_cast<int>(limits.m_probes));
}

} // namespace briarhub
