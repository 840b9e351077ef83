#include "connection_pool.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <string>
#include <utility>

namespace briarhub
{
namespace
{

namespace net = boost::asio;

/// True if the upstream neither closed the connection nor sent unsolicited
/// data.
bool is_reusable(upstream_connection& connection)
{
    boost::system::error_code error;
    connection.m_socket.non_blocking(true, error);
    if (error)
    {
        return false;
    }
    char byte = 0;
    connection.m_socket.receive(
        net::buffer(&byte, 1), net::socket_base::message_peek, error);
    return error == net::error::would_block;
}

} // namespace

upstream_connection::upstream_connection(
    net::io_context& io, endpoint_address address, std::size_t& open_count)
    : m_socket(io), m_address(std::move(address)), m_open_count(open_count)
{
    ++m_open_count;
}

upstream_connection::~upstream_connection()
{
    --m_open_count;
}

connection_pool::connection_pool(net::io_context& io) : m_io(io)
{
}

upstream_connection_ptr
connection_pool::acquire_idle(endpoint_address const& address)
{
    auto const found = m_idle.find(address);
    if (found == m_idle.end())
    {
        return nullptr;
    }
    auto& idle = found->second;
    while (!idle.empty())
    {
        // The most recently used connection is the least likely to be closed.
        upstream_connection_ptr connection = std::move(idle.back());
        idle.pop_back();
        bool const is_usable =
            runtime_clock::now() < connection->m_idle_deadline;
        if (is_usable && is_reusable(*connection))
        {
            connection->m_reused = true;
            return connection;
        }
    }
    return nullptr;
}

bool connection_pool::has_idle(endpoint_address const& address) const
{
    auto const found = m_idle.find(address);
    return found != m_idle.end() && !found->second.empty();
}

void connection_pool::close_expired(time_point now)
{
    for (auto& [address, idle] : m_idle)
    {
        std::erase_if(
            idle,
            [now](upstream_connection_ptr const& connection)
            {
                return now >= connection->m_idle_deadline;
            });
    }
}

upstream_connection_ptr connection_pool::make(endpoint_address const& address)
{
    return std::make_unique<upstream_connection>(m_io, address, m_open);
}

void connection_pool::return_idle(upstream_connection_ptr connection)
{
    bool const known =
        !m_endpoints || m_endpoints->contains(connection->m_address);
    if (!known || !connection->m_socket.is_open())
    {
        return;
    }
    auto& idle = m_idle[connection->m_address];
    if (idle.size() < max_idle_connections)
    {
        connection->m_buffer.shrink_to_fit();
        idle.push_back(std::move(connection));
    }
}

void connection_pool::set_endpoints(std::span<upstream const> upstreams)
{
    m_endpoints.emplace();
    for (upstream const& each : upstreams)
    {
        m_endpoints->insert(each.m_address);
    }
    std::erase_if(
        m_idle,
        [&](auto const& entry)
        {
            return !m_endpoints->contains(entry.first);
        });
}

std::size_t connection_pool::open_connections() const
{
    return m_open;
}

} // namespace briarhub
