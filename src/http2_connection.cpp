#include "http2_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <new>

namespace briarhub::detail
{
namespace
{

/// Concurrent streams that the remote end may open.
constexpr std::uint32_t max_concurrent_streams = 256;

/// Requests and responses of peers have only a few short header fields.
constexpr std::uint32_t max_header_list_bytes = 8 * 1024;

/// Longer than each path that a server knows.
constexpr std::size_t max_path_bytes = 256;

constexpr std::size_t read_buffer_bytes = 64 * 1024;

std::string_view to_text(std::uint8_t const* data, std::size_t length)
{
    return {reinterpret_cast<char const*>(data), length};
}

nghttp2_nv to_nv(http2_field const& field)
{
    auto const bytes = [](std::string_view text)
    {
        // nghttp2 copies the field; its C interface takes non-const pointers.
        return const_cast<std::uint8_t*>(
            reinterpret_cast<std::uint8_t const*>(text.data()));
    };
    return {
        bytes(field.first),
        bytes(field.second),
        field.first.size(),
        field.second.size(),
        NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> to_nvs(std::vector<http2_field> const& fields)
{
    std::vector<nghttp2_nv> converted;
    converted.reserve(fields.size());
    std::ranges::transform(fields, std::back_inserter(converted), to_nv);
    return converted;
}

unsigned parse_status(std::string_view text)
{
    unsigned status = 0;
    std::from_chars(text.data(), text.data() + text.size(), status);
    return status;
}

} // namespace

struct http2_connection::callbacks
{
    static http2_connection& self(void* user_data)
    {
        return *static_cast<http2_connection*>(user_data);
    }

    static int begin_headers(
        nghttp2_session* /*session*/,
        nghttp2_frame const* frame,
        void* user_data)
    {
        auto& connection = self(user_data);
        auto const [stream, is_new] =
            connection.m_streams.try_emplace(frame->hd.stream_id);
        if (is_new)
        {
            stream->second.m_buffer =
                buffer_reservation{connection.m_totals->m_held};
        }
        return 0;
    }

    static int header(
        nghttp2_session* /*session*/,
        nghttp2_frame const* frame,
        std::uint8_t const* name,
        std::size_t name_length,
        std::uint8_t const* value,
        std::size_t value_length,
        std::uint8_t /*flags*/,
        void* user_data)
    {
        auto& streams = self(user_data).m_streams;
        auto const found = streams.find(frame->hd.stream_id);
        if (found == streams.end())
        {
            return 0;
        }
        std::string_view const field = to_text(name, name_length);
        std::string_view const text = to_text(value, value_length);
        if (field == ":method")
        {
            found->second.m_method = text.substr(0, max_path_bytes);
        }
        else if (field == ":path")
        {
            found->second.m_path = text.substr(0, max_path_bytes);
        }
        else if (field == ":status")
        {
            found->second.m_status = parse_status(text);
        }
        return 0;
    }

    static int data_chunk(
        nghttp2_session* session,
        std::uint8_t /*flags*/,
        std::int32_t id,
        std::uint8_t const* data,
        std::size_t length,
        void* user_data)
    {
        if (!self(user_data).append_body(id, to_text(data, length)))
        {
            nghttp2_submit_rst_stream(
                session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        }
        return 0;
    }

    static int frame_received(
        nghttp2_session* /*session*/,
        nghttp2_frame const* frame,
        void* user_data)
    {
        bool const carries_message =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        bool const ends_stream =
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (carries_message && ends_stream)
        {
            self(user_data).finish_message(frame->hd.stream_id);
        }
        return 0;
    }

    static int stream_closed(
        nghttp2_session* /*session*/,
        std::int32_t id,
        std::uint32_t /*error_code*/,
        void* user_data)
    {
        http2_connection& connection = self(user_data);
        auto node = connection.m_streams.extract(id);
        if (!node.empty())
        {
            connection.on_stream_closed(id, node.mapped());
        }
        return 0;
    }

    static ssize_t body(
        nghttp2_session* /*session*/,
        std::int32_t id,
        std::uint8_t* buffer,
        std::size_t length,
        std::uint32_t* flags,
        nghttp2_data_source* /*source*/,
        void* user_data)
    {
        auto& streams = self(user_data).m_streams;
        auto const found = streams.find(id);
        if (found == streams.end())
        {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        http2_stream& stream = found->second;
        std::string_view const remaining =
            std::string_view{stream.m_body_to_send}.substr(stream.m_sent);
        std::size_t const count = std::min(length, remaining.size());
        std::copy_n(remaining.data(), count, buffer);
        stream.m_sent += count;
        if (count == remaining.size())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream.m_body_to_send = {};
            stream.m_buffer.release();
            stream.m_sent = 0;
        }
        return static_cast<ssize_t>(count);
    }
};

http2_connection::http2_connection(
    boost::asio::ip::tcp::socket socket,
    http2_role role,
    std::size_t max_message_bytes,
    std::shared_ptr<byte_totals> totals)
    : m_socket(std::move(socket)), m_role(role),
      m_max_message_bytes(max_message_bytes), m_totals(std::move(totals))
{
    nghttp2_session_callbacks* session_callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&session_callbacks) != 0)
    {
        throw std::bad_alloc{};
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        session_callbacks, callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(
        session_callbacks, callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        session_callbacks, callbacks::data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        session_callbacks, callbacks::frame_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        session_callbacks, callbacks::stream_closed);
    int const created =
        role == http2_role::client
            ? nghttp2_session_client_new(&m_session, session_callbacks, this)
            : nghttp2_session_server_new(&m_session, session_callbacks, this);
    nghttp2_session_callbacks_del(session_callbacks);
    if (created != 0)
    {
        throw std::bad_alloc{};
    }
    send_settings();
}

http2_connection::~http2_connection()
{
    nghttp2_session_del(m_session);
}

/// The flow control windows admit one message of the largest size without a
/// window update, so that a full state transfer takes one round trip.
void http2_connection::send_settings()
{
    auto const window = static_cast<std::uint32_t>(
        std::min<std::size_t>(m_max_message_bytes, NGHTTP2_MAX_WINDOW_SIZE));
    std::array const entries{
        nghttp2_settings_entry{
            NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window},
        nghttp2_settings_entry{
            NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_list_bytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    std::size_t const count =
        m_role == http2_role::client ? entries.size() : entries.size() - 1;
    nghttp2_submit_settings(
        m_session, NGHTTP2_FLAG_NONE, entries.data(), count);
    nghttp2_session_set_local_window_size(
        m_session, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(window));
}

void http2_connection::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    m_socket.non_blocking(true, ignored);
    m_started = true;
    read();
    flush();
}

/// Waits before it takes a buffer, so that an idle connection has none.
void http2_connection::read()
{
    m_socket.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (error || self->m_closed || !self->read_available())
            {
                self->close();
                return;
            }
            self->flush();
            self->read();
        });
}

/// Returns false if the connection ended or the remote end broke the protocol.
bool http2_connection::read_available()
{
    // Every connection of a thread uses the buffer, one at a time.
    thread_local std::array<std::uint8_t, read_buffer_bytes> buffer;
    boost::system::error_code error;
    auto const length = m_socket.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block)
    {
        return true;
    }
    return !error && process_input({buffer.data(), length});
}

/// Returns false on a protocol error of the remote end.
bool http2_connection::process_input(std::span<std::uint8_t const> input)
{
    m_totals->m_received += input.size();
    m_last_received = runtime_clock::now();
    on_bytes_received();
    ssize_t const consumed =
        nghttp2_session_mem_recv(m_session, input.data(), input.size());
    return consumed == static_cast<ssize_t>(input.size());
}

void http2_connection::flush()
{
    if (!m_started || m_writing || m_closed)
    {
        return;
    }
    if (!collect_output())
    {
        close();
        return;
    }
    if (!m_output.empty())
    {
        write();
        return;
    }
    bool const is_finished = nghttp2_session_want_read(m_session) == 0 &&
                             nghttp2_session_want_write(m_session) == 0;
    if (is_finished)
    {
        close();
    }
}

/// Collects frames up to one chunk, so that a large message isn't copied into
/// memory as a whole in encoded form.
bool http2_connection::collect_output()
{
    m_output.clear();
    while (m_output.size() < write_chunk_bytes)
    {
        std::uint8_t const* data = nullptr;
        ssize_t const length = nghttp2_session_mem_send(m_session, &data);
        if (length < 0)
        {
            return false;
        }
        if (length == 0)
        {
            return true;
        }
        m_output += to_text(data, static_cast<std::size_t>(length));
    }
    return true;
}

void http2_connection::write()
{
    m_writing = true;
    boost::asio::async_write(
        m_socket,
        boost::asio::buffer(m_output),
        [self = shared_from_this()](
            boost::system::error_code error, std::size_t length)
        {
            self->m_writing = false;
            self->m_totals->m_sent += length;
            if (error)
            {
                self->close();
                return;
            }
            self->flush();
        });
}

void http2_connection::close()
{
    if (m_closed)
    {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    auto streams = std::exchange(m_streams, {});
    for (auto& [id, stream] : streams)
    {
        on_stream_closed(id, stream);
    }
}

bool http2_connection::append_body(std::int32_t id, std::string_view data)
{
    auto const found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return true;
    }
    std::string& received = found->second.m_received;
    auto const size = received.size() + data.size();
    auto& buffer = found->second.m_buffer;
    bool const has_room = size <= m_max_message_bytes && buffer.resize(size);
    if (!has_room)
    {
        found->second.m_too_large = true;
        received = {};
        buffer.release();
    }
    if (found->second.m_too_large)
    {
        return false;
    }
    received += data;
    return true;
}

void http2_connection::finish_message(std::int32_t id)
{
    auto const found = m_streams.find(id);
    if (found == m_streams.end() || found->second.m_complete ||
        found->second.m_too_large)
    {
        return;
    }
    found->second.m_complete = true;
    on_message(id, found->second);
}

std::int32_t http2_connection::submit_request(
    std::vector<http2_field> const& fields, std::string body)
{
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::body;
    auto const headers = to_nvs(fields);
    std::int32_t const id = nghttp2_submit_request(
        m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id >= 0)
    {
        auto& stream = m_streams[id];
        stream.m_body_to_send = std::move(body);
        stream.m_buffer = buffer_reservation{m_totals->m_held};
    }
    return id;
}

void http2_connection::submit_response(
    std::int32_t id, std::vector<http2_field> const& fields, std::string body)
{
    auto const found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return;
    }
    found->second.m_received = {};
    if (!found->second.m_buffer.resize(body.size()))
    {
        reset_stream(id, NGHTTP2_ENHANCE_YOUR_CALM);
        return;
    }
    found->second.m_body_to_send = std::move(body);
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::body;
    auto const headers = to_nvs(fields);
    nghttp2_submit_response(
        m_session, id, headers.data(), headers.size(), &provider);
}

void http2_connection::reset_stream(std::int32_t id, std::uint32_t error_code)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, error_code);
}

} // namespace briarhub::detail
