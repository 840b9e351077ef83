#include "traffic_worker.hpp"

#include "caller_session.hpp"
#include "parse_number.hpp"
#include "traffic_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <string>
#include <string_view>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{100};

/// Connections above the limit that still receive a refusal. Further ones are
/// closed without a response.
constexpr std::size_t max_refusing_connections = 64;

/// Accepts callers and runs the periodic work. Its coroutines share ownership.
class caller_listener : public std::enable_shared_from_this<caller_listener>
{
public:
    caller_listener(
        asio::io_context& io,
        settings const& options,
        member const& self,
        metrics_registry& metrics,
        mailbox<control_message>& to_control)
        : m_state(std::make_shared<traffic_state>(
              io, options, self, metrics, to_control)),
          m_acceptor(io, parse_listen_endpoint(options.m_listen)),
          m_tick_timer(io),
          m_connection_gauge(metrics.get_gauge("briarhub_caller_connections"))
    {
        m_state->m_on_stopping = [this]
        {
            close_idle_sessions();
        };
        m_state->m_on_stopped = [this]
        {
            stop_accepting();
        };
    }

    void start()
    {
        asio::co_spawn(
            m_state->m_io, accept_callers(shared_from_this()), asio::detached);
        asio::co_spawn(
            m_state->m_io, run_ticks(shared_from_this()), asio::detached);
    }

    void shut_down()
    {
        m_is_shut_down = true;
        m_state->shut_down();
        stop_accepting();
        m_tick_timer.cancel();
        for (auto const& weak : m_sessions)
        {
            if (auto const session = weak.lock())
            {
                session->abort();
            }
        }
    }

    traffic_state& state()
    {
        return *m_state;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

private:
    static asio::awaitable<void>
    accept_callers(std::shared_ptr<caller_listener> self)
    {
        while (self->m_acceptor.is_open())
        {
            auto [error, socket] =
                co_await self->m_acceptor.async_accept(use_tuple);
            if (!error)
            {
                self->add_session(std::move(socket));
                continue;
            }
            if (!self->m_acceptor.is_open())
            {
                co_return;
            }
            timer retry_timer{self->m_state->m_io, accept_retry_delay};
            co_await retry_timer.async_wait(use_tuple);
        }
    }

    static asio::awaitable<void>
    run_ticks(std::shared_ptr<caller_listener> self)
    {
        while (!self->m_is_shut_down)
        {
            self->m_state->tick();
            self->remove_ended_sessions();
            self->m_tick_timer.expires_after(health_interval);
            co_await self->m_tick_timer.async_wait(use_tuple);
        }
    }

    void add_session(asio::ip::tcp::socket socket)
    {
        remove_ended_sessions();
        std::size_t const limit = m_state->m_options.m_max_connections;
        if (m_sessions.size() >= limit + max_refusing_connections)
        {
            m_state->count_refusal(result_code::too_many_connections, "");
            return;
        }
        bool const is_over_limit = m_sessions.size() >= limit;
        auto const session =
            std::make_shared<caller_session>(std::move(socket), m_state);
        m_sessions.push_back(session);
        update_connection_gauge();
        if (is_over_limit)
        {
            session->start_refusing(result_code::too_many_connections);
            return;
        }
        session->start();
    }

    void remove_ended_sessions()
    {
        std::erase_if(
            m_sessions,
            [](std::weak_ptr<caller_session> const& session)
            {
                return session.expired();
            });
        update_connection_gauge();
    }

    void update_connection_gauge()
    {
        m_connection_gauge.set(static_cast<double>(m_sessions.size()));
    }

    void close_idle_sessions()
    {
        for (auto const& weak : m_sessions)
        {
            if (auto const session = weak.lock())
            {
                session->close_if_idle();
            }
        }
    }

    void stop_accepting()
    {
        error_code ignored;
        m_acceptor.close(ignored);
    }

    std::shared_ptr<traffic_state> m_state;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = m_acceptor.local_endpoint().port();
    timer m_tick_timer;
    gauge& m_connection_gauge;
    std::list<std::weak_ptr<caller_session>> m_sessions;
    bool m_is_shut_down = false;
};

} // namespace

struct traffic_worker::implementation
{
    std::shared_ptr<caller_listener> m_listener;
};

traffic_worker::traffic_worker(
    asio::io_context& io,
    settings const& options,
    member const& self,
    metrics_registry& metrics,
    mailbox<control_message>& to_control)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->m_listener = std::make_shared<caller_listener>(
        io, options, self, metrics, to_control);
}

traffic_worker::~traffic_worker()
{
    m_implementation->m_listener->shut_down();
}

void traffic_worker::start()
{
    m_implementation->m_listener->start();
}

void traffic_worker::receive(traffic_message&& message)
{
    auto& state = m_implementation->m_listener->state();
    std::visit(
        [&state]<class Message>(Message&& specific)
        {
            state.receive(std::forward<Message>(specific));
        },
        std::move(message));
}

void traffic_worker::receive(admin_query&& query)
{
    auto& state = m_implementation->m_listener->state();
    query.m_reply(state.handle_admin_query(query.m_topic));
}

std::uint16_t traffic_worker::port() const
{
    return m_implementation->m_listener->port();
}

} // namespace briarhub
