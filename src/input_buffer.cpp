#include "input_buffer.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <algorithm>
#include <array>

namespace briarhub
{

bool reserve_message(buffer_reservation& buffer, std::uint64_t size)
{
    if (size <= free_buffer_bytes)
    {
        buffer.release();
        return true;
    }
    return buffer.resize(static_cast<std::size_t>(size));
}

std::size_t input_buffer::reserve_read()
{
    // A string that is too small doubles its capacity.
    auto const capacity =
        std::max(m_data.size() + read_chunk_bytes, 2 * m_data.capacity());
    if (reserve_message(m_space, capacity))
    {
        return read_chunk_bytes;
    }
    return free_buffer_bytes - std::min(free_buffer_bytes, m_data.size());
}

void input_buffer::append(std::string_view data)
{
    m_data.append(data);
    // `reserve_read` reserved this much, or there was no room and the capacity
    // is at most twice `free_buffer_bytes`.
    static_cast<void>(reserve_message(m_space, m_data.capacity()));
}

void input_buffer::consume(std::size_t bytes)
{
    m_data.erase(0, bytes);
    if (m_data.empty())
    {
        std::string{}.swap(m_data);
        m_space.release();
    }
}

input_read
read_available(boost::asio::ip::tcp::socket& socket, input_buffer& input)
{
    // All connections of a thread use it, one at a time, so that a connection
    // that waits has no buffer for reads.
    thread_local std::array<char, read_chunk_bytes> chunk;
    auto const room = input.reserve_read();
    if (room == 0)
    {
        return input_read::no_space;
    }
    boost::system::error_code error;
    auto const bytes =
        socket.read_some(boost::asio::buffer(chunk.data(), room), error);
    input.append({chunk.data(), bytes});
    bool const is_open = !error || error == boost::asio::error::would_block;
    return is_open ? input_read::received : input_read::closed;
}

} // namespace briarhub
