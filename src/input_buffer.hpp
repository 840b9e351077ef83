#ifndef BRIARHUB_INPUT_BUFFER_HPP
#define BRIARHUB_INPUT_BUFFER_HPP

/// The input of one connection that was received and not parsed yet. It counts
/// towards the buffer budget of the process, and takes no memory while it is
/// empty. Used by one thread.

#include "buffer_budget.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarhub
{

/// The most bytes that one read receives.
inline constexpr std::size_t read_chunk_bytes = 16 * 1024;

/// Input, and a head with its body, may each use this much without space in the
/// budget. Ordinary requests are shorter, so they are served while others use
/// up the budget; with 2,000 connections it is 8 MB.
inline constexpr std::size_t free_buffer_bytes = 2 * 1024;

/// Reserves space for a message of `size` bytes, or none if that is little
/// enough. Returns false if the budget has no room.
[[nodiscard]] bool
reserve_message(buffer_reservation& buffer, std::uint64_t size);

class input_buffer
{
public:
    /// The budget must outlive the buffer.
    explicit input_buffer(buffer_budget& budget) : m_space(budget)
    {
    }

    [[nodiscard]] bool empty() const
    {
        return m_data.empty();
    }

    [[nodiscard]] std::string_view view() const
    {
        return m_data;
    }

    /// Reserves space for a read. Returns how many bytes may be appended, zero
    /// if the budget has no room.
    std::size_t reserve_read();

    /// Appends what a read received, and returns space that is not used.
    void append(std::string_view data);

    /// Removes bytes from the start.
    void consume(std::size_t bytes);

private:
    std::string m_data;
    buffer_reservation m_space;
};

/// Result of a read.
enum class input_read
{
    received, ///< or nothing was there to read
    no_space, ///< the budget has no room for more input
    closed    ///< the connection ended
};

/// Reads once from a non-blocking socket without waiting.
input_read
read_available(boost::asio::ip::tcp::socket& socket, input_buffer& input);

} // namespace briarhub

#endif
