#ifndef BRIARHUB_HTTP2_CONNECTION_HPP
#define BRIARHUB_HTTP2_CONNECTION_HPP

/// A cleartext HTTP/2 connection with prior knowledge. It transfers bytes
/// between a socket and an nghttp2 session and buffers each message until it is
/// complete.

#include "buffer_budget.hpp"
#include "clock.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhub::detail
{

/// Bytes of all connections of one server or client. Ownership is shared, since
/// connections may outlive their owner until their last handler has run.
struct byte_totals
{
    /// The messages of all streams that are in memory at once may have
    /// `max_held` bytes.
    explicit byte_totals(
        std::size_t max_held = std::numeric_limits<std::size_t>::max())
        : m_held(max_held)
    {
    }

    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    buffer_budget m_held;
};

enum class http2_role
{
    client,
    server
};

/// State of one stream: the message received and the one being sent.
struct http2_stream
{
    std::string m_method;
    std::string m_path;
    unsigned m_status = 0;
    std::string m_received;
    bool m_complete = false;  ///< the remote end sent the whole message
    bool m_too_large = false; ///< the rest of the message is discarded
    std::string m_body_to_send;
    buffer_reservation m_buffer; ///< space of the message in memory
    std::size_t m_sent = 0;
};

/// Name and value of an HTTP/2 header field.
using http2_field = std::pair<std::string_view, std::string_view>;

/// Base class of client and server connections, which handle the messages.
class http2_connection : public std::enable_shared_from_this<http2_connection>
{
public:
    http2_connection(
        boost::asio::ip::tcp::socket socket,
        http2_role role,
        std::size_t max_message_bytes,
        std::shared_ptr<byte_totals> totals);
    virtual ~http2_connection();
    http2_connection(http2_connection const&) = delete;
    http2_connection& operator=(http2_connection const&) = delete;

    /// Starts to read and write. The socket must be connected.
    void start();

    /// Writes the frames that the session has queued.
    void flush();

    /// Closes the socket and ends all streams.
    void close();

    [[nodiscard]] bool is_closed() const
    {
        return m_closed;
    }

    /// Time of the last received data, or of construction if there was none.
    [[nodiscard]] time_point last_received() const
    {
        return m_last_received;
    }

protected:
    /// Called when the remote end's message on this stream is complete.
    virtual void on_message(std::int32_t id, http2_stream& stream) = 0;

    /// Called when the stream ends, with or without a complete message.
    virtual void on_stream_closed(std::int32_t id, http2_stream& stream) = 0;

    virtual void on_bytes_received()
    {
    }

    /// Opens a stream as client. Returns its id, or a negative value if the
    /// session refuses it.
    std::int32_t
    submit_request(std::vector<http2_field> const& fields, std::string body);

    /// Sends the response on a stream as server. Resets the stream if there is
    /// no space for the body.
    void submit_response(
        std::int32_t id,
        std::vector<http2_field> const& fields,
        std::string body);

    void reset_stream(std::int32_t id, std::uint32_t error_code);

    boost::asio::ip::tcp::socket m_socket;

private:
    /// Callbacks for nghttp2, which passes the connection as user data.
    struct callbacks;

    void read();
    bool read_available();
    void write();
    bool collect_output();
    bool process_input(std::span<std::uint8_t const> input);
    bool append_body(std::int32_t id, std::string_view data);
    void finish_message(std::int32_t id);
    void send_settings();

    static constexpr std::size_t write_chunk_bytes = 256 * 1024;

    http2_role m_role;
    std::size_t m_max_message_bytes;
    std::shared_ptr<byte_totals> m_totals;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, http2_stream> m_streams;
    std::string m_output;
    bool m_started = false;
    bool m_writing = false;
    bool m_closed = false;
    time_point m_last_received = runtime_clock::now();
};

} // namespace briarhub::detail

#endif
