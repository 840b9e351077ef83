#ifndef BRIARHUB_CONNECTION_POOL_HPP
#define BRIARHUB_CONNECTION_POOL_HPP

/// Idle keep-alive connections to upstreams.

#include "types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace briarhub
{

/// Idle connections kept per upstream. An upstream takes about 300
/// connections, and 36 VMs share it.
inline constexpr std::size_t max_idle_connections = 8;

/// Bytes that are read and not yet parsed. An upstream may send the head of an
/// answer or of a chunk without end.
inline constexpr std::size_t max_buffered_bytes = 256UL * 1024;

/// One connection to an upstream, used for one request at a time.
struct upstream_connection
{
    upstream_connection(
        boost::asio::io_context& io,
        endpoint_address address,
        std::size_t& open_count);
    ~upstream_connection();
    upstream_connection(upstream_connection const&) = delete;
    upstream_connection& operator=(upstream_connection const&) = delete;

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer{max_buffered_bytes};
    endpoint_address m_address;
    bool m_reused = false;
    /// The upstream closes the connection if it is idle until then.
    time_point m_idle_deadline = time_point::max();

private:
    std::size_t& m_open_count;
};

using upstream_connection_ptr = std::unique_ptr<upstream_connection>;

/// Outlives its connections.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& io);

    /// An idle connection that the upstream has not closed, or null.
    upstream_connection_ptr acquire_idle(endpoint_address const& address);

    /// An idle connection to the address is kept.
    [[nodiscard]] bool has_idle(endpoint_address const& address) const;

    /// Closes connections that reached their idle limit.
    void close_expired(time_point now);

    /// A connection object that is not connected yet.
    upstream_connection_ptr make(endpoint_address const& address);

    /// Keeps a connection whose last answer was read completely.
    void return_idle(upstream_connection_ptr connection);

    /// Closes idle connections to other upstreams and keeps no new ones.
    void set_endpoints(std::span<upstream const> upstreams);

    [[nodiscard]] std::size_t open_connections() const;

private:
    boost::asio::io_context& m_io;
    std::size_t m_open = 0;
    std::optional<std::set<endpoint_address>> m_endpoints;
    std::map<endpoint_address, std::vector<upstream_connection_ptr>> m_idle;
};

} // namespace briarhub

#endif
