#ifndef BRIARHUB_ARCHIVE_STREAM_HPP
#define BRIARHUB_ARCHIVE_STREAM_HPP

/// Archives: passed on while they arrive, resumed at another upstream after a
/// break.

#include "request.hpp"
#include "traffic_state.hpp"
#include "upstream_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace briarhub
{

/// The caller's side of a download.
struct caller_stream
{
    /// Takes the head and the data; false once the caller is gone.
    response_sink m_sink;
    /// Closes the caller's connection at once.
    std::function<void()> m_abort;
};

/// Streams an answer. `broken_answer` means that the caller's connection has
/// to be closed before the declared length.
boost::asio::awaitable<request_result> stream_archive(
    traffic_state& state,
    request_context& context,
    caller_stream const& caller);

} // namespace briarhub

#endif
