#ifndef BRIARHUB_ARCHIVE_STREAM_HPP
#define BRIARHUB_ARCHIVE_STREAM_HPP

/// Streaming downloads of statement archives. The response is forwarded to the
/// caller as it arrives; after a failed attempt the download resumes with a
/// range request at another upstream.

#include "request.hpp"
#include "traffic_state.hpp"
#include "upstream_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace briarhub
{

/// The caller's end of a download.
struct caller_stream
{
    /// Writes the head and the data to the caller; false once the caller has
    /// disconnected.
    response_sink m_sink;
    /// Closes the caller's connection immediately.
    std::function<void()> m_abort;
};

/// Streams a response to the caller. `aborted_response` means that the download
/// is incomplete and the caller's connection has to be closed before the
/// declared length is reached.
boost::asio::awaitable<request_result> stream_archive(
    traffic_state& state,
    request_context& context,
    caller_stream const& caller);

} // namespace briarhub

#endif
