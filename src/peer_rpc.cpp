#include "peer_rpc.hpp"

#include "http2_connection.hpp"
#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>

namespace briarhub
{
namespace
{

using boost::asio::ip::tcp;
using detail::byte_totals;
using detail::http2_connection;
using detail::http2_role;
using detail::http2_stream;

/// Clients close their idle connections earlier. This timeout removes
/// connections whose peer disappeared without a TCP reset.
constexpr std::chrono::minutes server_idle_timeout{3};
constexpr std::chrono::seconds server_stale_check_interval{30};

/// The client closes a connection after this many consecutive request timeouts
/// without received data. TCP alone keeps a connection open for minutes during
/// a network partition.
constexpr unsigned max_timeouts_without_data = 2;

class server_connection final : public http2_connection
{
public:
    server_connection(
        tcp::socket socket,
        peer_handler const& handler,
        std::size_t max_message_bytes,
        std::shared_ptr<byte_totals> totals)
        : http2_connection(
              std::move(socket),
              http2_role::server,
              max_message_bytes,
              std::move(totals)),
          m_handler(handler)
    {
    }

    void send_response(std::int32_t id, std::optional<std::string> body)
    {
        if (is_closed())
        {
            return;
        }
        if (body)
        {
            submit_response(id, {{":status", "200"}}, std::move(*body));
        }
        else
        {
            submit_response(id, {{":status", "400"}}, {});
        }
        if (!m_in_callback)
        {
            flush();
        }
    }

private:
    void on_message(std::int32_t id, http2_stream& stream) override
    {
        // nghttp2 must not be asked for output inside its own callback.
        // `http2_connection::read` flushes afterwards.
        m_in_callback = true;
        if (stream.m_method == "POST")
        {
            std::weak_ptr const weak{
                std::static_pointer_cast<server_connection>(
                    shared_from_this())};
            m_handler(
                stream.m_path,
                stream.m_received,
                [weak, id](std::optional<std::string> body)
                {
                    if (auto const self = weak.lock())
                    {
                        self->send_response(id, std::move(body));
                    }
                });
        }
        else
        {
            send_response(id, std::nullopt);
        }
        m_in_callback = false;
    }

    void
    on_stream_closed(std::int32_t /*id*/, http2_stream& /*stream*/) override
    {
    }

    peer_handler m_handler;
    bool m_in_callback = false;
};

/// A request that waits for its response. The waiting coroutine and the
/// connection share it, since either may end first.
struct pending_request
{
    explicit pending_request(boost::asio::io_context& io) : m_deadline_timer(io)
    {
    }

    void complete(std::variant<std::string, result_code> result)
    {
        if (!m_result)
        {
            m_result = std::move(result);
            m_deadline_timer.cancel();
        }
    }

    timer m_deadline_timer;
    std::optional<std::variant<std::string, result_code>> m_result;
};

class client_connection final : public http2_connection
{
public:
    client_connection(
        boost::asio::io_context& io,
        tcp::endpoint peer,
        std::size_t max_message_bytes,
        std::shared_ptr<byte_totals> totals)
        : http2_connection(
              tcp::socket{io},
              http2_role::client,
              max_message_bytes,
              std::move(totals)),
          m_peer(std::move(peer))
    {
    }

    /// Starts to connect; requests sent before that completes are buffered.
    void connect()
    {
        m_socket.async_connect(
            m_peer,
            [self = std::static_pointer_cast<client_connection>(
                 shared_from_this())](boost::system::error_code error)
            {
                if (error || self->is_closed())
                {
                    self->close();
                    return;
                }
                self->start();
            });
    }

    /// Returns the stream id, or a negative value if no stream can be opened.
    std::int32_t send(
        std::string_view path,
        std::string message,
        std::shared_ptr<pending_request> pending)
    {
        std::int32_t const id = submit_request(
            {{":method", "POST"},
             {":scheme", "http"},
             {":authority", "peer"},
             {":path", path}},
            std::move(message));
        if (id < 0)
        {
            // This connection has no stream ids left.
            close();
            return id;
        }
        m_pending.emplace(id, std::move(pending));
        m_last_used = runtime_clock::now();
        flush();
        return id;
    }

    /// Resets the stream of a request that timed out, and closes the
    /// connection after repeated timeouts without received data.
    void handle_timeout(std::int32_t id, time_point sent_at)
    {
        m_pending.erase(id);
        if (is_closed())
        {
            return;
        }
        if (!m_last_data_at || *m_last_data_at < sent_at)
        {
            ++m_timeouts_without_data;
        }
        if (m_timeouts_without_data >= max_timeouts_without_data)
        {
            close();
            return;
        }
        reset_stream(id, NGHTTP2_CANCEL);
        flush();
    }

    [[nodiscard]] bool is_idle(time_point now, duration idle) const
    {
        return m_pending.empty() && now - m_last_used >= idle;
    }

private:
    void on_message(std::int32_t id, http2_stream& stream) override
    {
        auto node = m_pending.extract(id);
        if (node.empty())
        {
            return;
        }
        if (stream.m_status == 200)
        {
            node.mapped()->complete(std::move(stream.m_received));
        }
        else
        {
            node.mapped()->complete(result_code::peer_message_invalid);
        }
    }

    void on_stream_closed(std::int32_t id, http2_stream& stream) override
    {
        auto node = m_pending.extract(id);
        if (!node.empty() && !stream.m_complete)
        {
            node.mapped()->complete(result_code::peer_unreachable);
        }
    }

    void on_bytes_received() override
    {
        m_last_data_at = runtime_clock::now();
        m_timeouts_without_data = 0;
    }

    tcp::endpoint m_peer;
    std::map<std::int32_t, std::shared_ptr<pending_request>> m_pending;
    std::optional<time_point> m_last_data_at;
    unsigned m_timeouts_without_data = 0;
    time_point m_last_used = runtime_clock::now();
};

tcp::endpoint endpoint_or_throw(endpoint_address const& address)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw std::invalid_argument("malformed address: " + address);
    }
    return *endpoint;
}

} // namespace

struct peer_server::implementation
{
    implementation(
        boost::asio::io_context& io,
        endpoint_address const& listen,
        peer_handler handler,
        peer_server_limits limits)
        : m_acceptor(io, endpoint_or_throw(listen)), m_stale_check_timer(io),
          m_handler(std::move(handler)), m_limits(limits)
    {
        accept();
        schedule_stale_check();
    }

    void accept()
    {
        m_acceptor.async_accept(
            [this, alive = std::weak_ptr<bool>{m_alive}](
                boost::system::error_code error, tcp::socket socket)
            {
                if (alive.expired() || !m_acceptor.is_open())
                {
                    return;
                }
                if (!error)
                {
                    add_connection(std::move(socket));
                }
                accept();
            });
    }

    void add_connection(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.m_max_connections)
        {
            remove_closed_connections();
        }
        if (m_connections.size() >= m_limits.m_max_connections)
        {
            close_most_silent_connection();
        }
        auto connection = std::make_shared<server_connection>(
            std::move(socket),
            m_handler,
            m_limits.m_max_message_bytes,
            m_totals);
        m_connections.push_back(connection);
        connection->start();
    }

    void remove_closed_connections()
    {
        std::erase_if(
            m_connections,
            [](auto const& weak)
            {
                auto const connection = weak.lock();
                return !connection || connection->is_closed();
            });
    }

    /// Connections without requests must not keep peers away.
    void close_most_silent_connection()
    {
        std::shared_ptr<server_connection> most_silent;
        for (auto const& weak : m_connections)
        {
            auto connection = weak.lock();
            bool const is_more_silent =
                connection &&
                (!most_silent ||
                 connection->last_received() < most_silent->last_received());
            if (is_more_silent)
            {
                most_silent = std::move(connection);
            }
        }
        if (most_silent)
        {
            most_silent->close();
        }
        remove_closed_connections();
    }

    void schedule_stale_check()
    {
        m_stale_check_timer.expires_after(server_stale_check_interval);
        m_stale_check_timer.async_wait(
            [this, alive = std::weak_ptr<bool>{m_alive}](
                boost::system::error_code error)
            {
                if (!error && !alive.expired() && m_acceptor.is_open())
                {
                    close_stale_connections();
                    schedule_stale_check();
                }
            });
    }

    void close_stale_connections()
    {
        time_point const now = runtime_clock::now();
        for (auto const& weak : m_connections)
        {
            auto const connection = weak.lock();
            if (connection &&
                now - connection->last_received() > server_idle_timeout)
            {
                connection->close();
            }
        }
        remove_closed_connections();
    }

    void stop()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_stale_check_timer.cancel();
        for (auto const& weak : m_connections)
        {
            if (auto const connection = weak.lock())
            {
                connection->close();
            }
        }
        m_connections.clear();
    }

    tcp::acceptor m_acceptor;
    timer m_stale_check_timer;
    peer_handler m_handler;
    peer_server_limits m_limits;
    std::shared_ptr<byte_totals> m_totals =
        std::make_shared<byte_totals>(m_limits.m_max_held_bytes);
    std::vector<std::weak_ptr<server_connection>> m_connections;
    /// Handlers hold a weak pointer to detect that the server was destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

peer_server::peer_server(
    boost::asio::io_context& io,
    endpoint_address const& listen,
    peer_handler handler,
    peer_server_limits limits)
    : m_implementation(std::make_unique<implementation>(
          io, listen, std::move(handler), limits))
{
}

peer_server::~peer_server()
{
    stop();
}

std::uint16_t peer_server::port() const
{
    return m_implementation->m_acceptor.local_endpoint().port();
}

peer_byte_totals peer_server::totals() const
{
    byte_totals const& bytes = *m_implementation->m_totals;
    return {bytes.m_sent, bytes.m_received};
}

void peer_server::stop()
{
    m_implementation->stop();
}

struct peer_client::implementation
{
    using connection_ptr = std::shared_ptr<client_connection>;

    implementation(boost::asio::io_context& io, std::size_t max_message_bytes)
        : m_io(io), m_max_message_bytes(max_message_bytes)
    {
    }

    ~implementation()
    {
        for (auto const& [address, connection] : m_connections)
        {
            connection->close();
        }
    }

    /// Returns the connection to a peer; replaces a closed one.
    connection_ptr
    get_or_connect(endpoint_address const& address, tcp::endpoint const& peer)
    {
        connection_ptr& current_connection = m_connections[address];
        if (!current_connection || current_connection->is_closed())
        {
            current_connection = std::make_shared<client_connection>(
                m_io, peer, m_max_message_bytes, m_totals);
            current_connection->connect();
        }
        return current_connection;
    }

    boost::asio::io_context& m_io;
    std::size_t m_max_message_bytes;
    std::shared_ptr<byte_totals> m_totals = std::make_shared<byte_totals>();
    std::uint64_t m_requests = 0;
    std::map<endpoint_address, connection_ptr> m_connections;
};

peer_client::peer_client(
    boost::asio::io_context& io, std::size_t max_message_bytes)
    : m_implementation(std::make_unique<implementation>(io, max_message_bytes))
{
}

peer_client::~peer_client() = default;

// The client may be destroyed during the wait, so the code after it uses only
// the connection and the pending request.
boost::asio::awaitable<std::variant<std::string, result_code>>
peer_client::request(
    endpoint_address peer,
    std::string path,
    std::string message,
    std::chrono::milliseconds timeout)
{
    auto const endpoint = parse_endpoint(peer);
    if (!endpoint)
    {
        co_return result_code::peer_unreachable;
    }
    if (message.size() > m_implementation->m_max_message_bytes)
    {
        co_return result_code::peer_message_invalid;
    }
    ++m_implementation->m_requests;
    auto const connection = m_implementation->get_or_connect(peer, *endpoint);
    auto const pending =
        std::make_shared<pending_request>(m_implementation->m_io);
    time_point const sent_at = runtime_clock::now();
    std::int32_t const id = connection->send(path, std::move(message), pending);
    if (id < 0)
    {
        co_return result_code::peer_unreachable;
    }
    if (!pending->m_result)
    {
        pending->m_deadline_timer.expires_at(sent_at + timeout);
        co_await pending->m_deadline_timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    if (!pending->m_result)
    {
        connection->handle_timeout(id, sent_at);
        co_return result_code::peer_unreachable;
    }
    co_return std::move(*pending->m_result);
}

void peer_client::close_idle_connections(time_point now, duration idle)
{
    std::erase_if(
        m_implementation->m_connections,
        [&](auto const& entry)
        {
            if (entry.second->is_idle(now, idle))
            {
                entry.second->close();
            }
            return entry.second->is_closed();
        });
}

peer_client::client_totals peer_client::totals() const
{
    byte_totals const& bytes = *m_implementation->m_totals;
    return {bytes.m_sent, bytes.m_received, m_implementation->m_requests};
}

} // namespace briarhub
