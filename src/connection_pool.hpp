#ifndef BRIARHUB_CONNECTION_POOL_HPP
#define BRIARHUB_CONNECTION_POOL_HPP

/// Pool of idle keep-alive connections to upstreams.

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

/// Maximum number of idle connections per upstream. An upstream accepts about
/// 300 connections, which 36 VMs share.
inline constexpr std::size_t max_idle_connections = 8;

/// Maximum number of bytes that are read and not yet parsed: a response head, a
/// chunk header, or trailers. As long as the longest head that is accepted.
inline constexpr std::size_t max_buffered_bytes = 64UL * 1024;

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
    /// The upstream closes the connection if it is still idle at this time.
    time_point m_idle_deadline = time_point::max();

private:
    std::size_t& m_open_count;
};

using upstream_connection_ptr = std::unique_ptr<upstream_connection>;

/// Idle connections by endpoint address. Must outlive its connections.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& io);

    /// Removes and returns a reusable idle connection; null if there is none.
    upstream_connection_ptr acquire_idle(endpoint_address const& address);

    /// True if the pool has an idle connection to the address.
    [[nodiscard]] bool has_idle(endpoint_address const& address) const;

    /// Closes connections whose idle deadline has passed.
    void close_expired(time_point now);

    /// Creates a connection object that is not connected yet.
    upstream_connection_ptr make(endpoint_address const& address);

    /// Returns a connection to the pool. Its last response, if any, must have
    /// been read completely. Closes it if its endpoint is no longer in the set
    /// or the pool is full.
    void return_idle(upstream_connection_ptr connection);

    /// Sets the endpoints that the pool keeps connections to, and closes idle
    /// connections to all others.
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
