#include "edge_traffic.hpp"

#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Pause after a failed accept, for example without free descriptors.
constexpr std::chrono::milliseconds accept_pause{100};

/// The balancer checks every second and takes a VM out after two misses.
constexpr std::chrono::milliseconds rotation_time{2600};

/// What is left of the grace when idle connections are closed and when the
/// process ends.
constexpr std::chrono::milliseconds idle_close_margin{2000};
constexpr std::chrono::milliseconds end_margin{300};

constexpr std::chrono::milliseconds stop_check_interval{50};

} // namespace

edge_traffic::edge_traffic(
    asio::io_context& io,
    edge_settings const& options,
    header_names const& names,
    metrics_registry& metrics,
    event_log& events,
    gossip_service::duty_handler on_duty,
    gossip_service::newer_handler on_newer,
    gossip_service::beliefs_handler on_beliefs)
    : m_io(io), m_state(std::make_shared<edge_state>(
                    io, options, names, metrics, events)),
      m_gossip(std::make_shared<gossip_service>(
          io,
          m_state,
          std::move(on_duty),
          std::move(on_newer),
          std::move(on_beliefs))),
      m_acceptor(io, listen_endpoint(options.m_listen)),
      m_connections(metrics.get_gauge("briarhub_caller_connections"))
{
    m_state->m_borrow_permit = [this](service_name service)
    {
        return m_gossip->borrow_permit(std::move(service));
    };
    m_state->m_on_news = [this]
    {
        m_gossip->schedule_flush();
    };
}

void edge_traffic::start()
{
    m_gossip->start();
    asio::co_spawn(m_io, accept_callers(), asio::detached);
}

void edge_traffic::receive(feed_news&& news)
{
    std::visit(
        [this]<class News>(News&& specific)
        {
            receive(std::forward<News>(specific));
        },
        std::move(news));
}

void edge_traffic::receive(policy_news&& news)
{
    m_state->set_policy(std::move(*news.m_policy));
    update_readiness();
}

void edge_traffic::receive(upstreams_news&& news)
{
    m_state->set_upstreams(std::move(news.m_upstreams));
    update_readiness();
}

void edge_traffic::receive(held_news&& news)
{
    m_gossip->set_held_state(news.m_state);
}

void edge_traffic::receive(members_news&& news)
{
    m_gossip->take_list(news.m_members);
}

void edge_traffic::receive(beliefs_news&& news)
{
    m_state->m_events.write(
        "beliefs_adopted",
        {{"upstreams", news.m_beliefs.size()},
         {"suspects", news.m_suspects.size()},
         {"age_ms",
          std::chrono::floor<std::chrono::milliseconds>(news.m_age).count()}});
    auto const told = runtime_clock::now() - news.m_age;
    m_state->m_board.adopt(told, news.m_beliefs);
    m_state->m_suspects.adopt(told, news.m_suspects);
}

void edge_traffic::apply_settings(edge_settings const& options)
{
    m_state->apply_settings(options);
}

void edge_traffic::update_readiness()
{
    bool const is_ready = m_state->is_ready();
    if (m_is_ready.exchange(is_ready) != is_ready)
    {
        m_state->m_events.write("readiness", {{"ready", is_ready}});
        m_state->m_metrics.get_gauge("briarhub_ready")
            .set(is_ready ? 1.0 : 0.0);
    }
}

asio::awaitable<void> edge_traffic::accept_callers()
{
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        if (!error)
        {
            add_session(std::move(socket));
            continue;
        }
        if (!m_acceptor.is_open())
        {
            co_return;
        }
        timer pause{m_io, accept_pause};
        co_await pause.async_wait(use_tuple);
    }
}

/// Over the limit, new connections are closed unread: their callers go to
/// another VM.
void edge_traffic::add_session(asio::ip::tcp::socket socket)
{
    forget_ended_sessions();
    if (m_sessions.size() >= m_state->m_options.m_max_connections)
    {
        m_state->count_refusal(result_code::too_many_connections, "");
        return;
    }
    auto const session =
        std::make_shared<edge_session>(std::move(socket), m_state);
    m_sessions.push_back(session);
    m_connections.set(static_cast<double>(m_sessions.size()));
    session->start();
}

void edge_traffic::forget_ended_sessions()
{
    std::erase_if(
        m_sessions,
        [](std::weak_ptr<edge_session> const& session)
        {
            return session.expired();
        });
    m_connections.set(static_cast<double>(m_sessions.size()));
}

void edge_traffic::begin_stop(std::function<void()> on_stopped)
{
    m_state->m_is_stopping = true;
    update_readiness();
    asio::co_spawn(m_io, stop_slowly(std::move(on_stopped)), asio::detached);
}

/// Callers may still be sent here until the balancer has seen two misses, and
/// may use their connections until these are closed.
asio::awaitable<void>
edge_traffic::stop_slowly(std::function<void()> on_stopped)
{
    auto const start = runtime_clock::now();
    auto const grace = m_state->m_options.m_stop_grace;
    timer alarm{m_io};
    alarm.expires_at(start + std::min(rotation_time, grace / 2));
    co_await alarm.async_wait(use_tuple);
    m_state->m_is_closing = true;
    auto const idle_close =
        start + std::max(grace - idle_close_margin, grace / 2);
    auto const end = start + grace - end_margin;
    bool is_idle_closed = false;
    for (;;)
    {
        auto const now = runtime_clock::now();
        forget_ended_sessions();
        if (!is_idle_closed && now >= idle_close)
        {
            is_idle_closed = true;
            for (auto const& weak : m_sessions)
            {
                if (auto const session = weak.lock())
                {
                    session->close_if_idle();
                }
            }
        }
        if (m_sessions.empty() || now >= end)
        {
            break;
        }
        alarm.expires_after(stop_check_interval);
        co_await alarm.async_wait(use_tuple);
    }
    m_state->m_events.write(
        "drained",
        {{"connections", m_sessions.size()}, {"running", m_state->m_running}});
    m_gossip->leave();
    on_stopped();
}

void edge_traffic::shut_down()
{
    m_gossip->stop();
    error_code ignored;
    m_acceptor.close(ignored);
    for (auto const& weak : m_sessions)
    {
        if (auto const session = weak.lock())
        {
            session->abort();
        }
    }
}

} // namespace briarhub
