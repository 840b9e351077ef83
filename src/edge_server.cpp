#include "edge_server.hpp"

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

/// Delay after a failed accept, for example for lack of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};

/// The load balancer checks every second and removes a VM after two failed
/// checks.
constexpr std::chrono::milliseconds balancer_removal_delay{2600};

/// Time left of the grace period when idle connections are closed, when
/// requests in progress are interrupted and when the drain ends.
constexpr std::chrono::milliseconds idle_close_margin{2000};
constexpr std::chrono::milliseconds interrupt_margin{300};
constexpr std::chrono::milliseconds exit_margin{150};

constexpr std::chrono::milliseconds drain_check_interval{50};

} // namespace

edge_server::edge_server(
    asio::io_context& io,
    edge_settings const& settings,
    header_names const& names,
    metrics_registry& metrics,
    event_log& events,
    gossip_service::role_handler on_duty,
    gossip_service::newer_peer_handler on_newer_peer,
    gossip_service::health_snapshot_handler on_beliefs)
    : m_io(io), m_state(std::make_shared<edge_state>(
                    io, settings, names, metrics, events)),
      m_gossip(std::make_shared<gossip_service>(
          io,
          m_state,
          std::move(on_duty),
          std::move(on_newer_peer),
          std::move(on_beliefs))),
      m_acceptor(io, parse_listen_endpoint(settings.m_listen)),
      m_connections(metrics.get_gauge("briarhub_caller_connections"))
{
    m_state->m_borrow_permit = [this](service_name service)
    {
        return m_gossip->request_permit(std::move(service));
    };
    m_state->m_get_fleet_view = [this](time_point now)
    {
        return m_gossip->peers().share_view(now);
    };
    m_state->m_on_gossip_update = [this]
    {
        m_gossip->schedule_flush();
    };
}

void edge_server::start()
{
    m_gossip->start();
    asio::co_spawn(m_io, accept_callers(), asio::detached);
}

void edge_server::receive(state_event&& update)
{
    std::visit(
        [this]<class Update>(Update&& typed_update)
        {
            receive(std::forward<Update>(typed_update));
        },
        std::move(update));
}

void edge_server::receive(policy_event&& update)
{
    m_state->set_policy(std::move(*update.m_policy));
    update_readiness();
}

void edge_server::receive(evacuation_event&& update)
{
    m_state->set_evacuated(std::move(update.m_domains));
}

void edge_server::receive(upstreams_event&& update)
{
    m_state->set_upstreams(std::move(update.m_upstreams));
    update_readiness();
}

void edge_server::receive(replica_status_event&& update)
{
    m_gossip->set_replica_status(update.m_update);
}

void edge_server::receive(members_event&& update)
{
    m_gossip->add_listed_vms(update.m_members);
}

void edge_server::receive(health_snapshot_event&& update)
{
    m_state->m_events.write(
        "beliefs_adopted",
        {{"upstreams", update.m_upstream_health.size()},
         {"suspects", update.m_suspects.size()},
         {"age_ms",
          std::chrono::floor<std::chrono::milliseconds>(update.m_age)
              .count()}});
    auto const as_of = runtime_clock::now() - update.m_age;
    m_state->m_load_balancer.adopt(as_of, update.m_upstream_health);
    m_state->m_suspects.adopt(as_of, update.m_suspects);
}

void edge_server::apply_settings(edge_settings const& settings)
{
    m_state->apply_settings(settings);
}

void edge_server::update_readiness()
{
    bool const is_ready = m_state->is_ready();
    if (m_is_ready.exchange(is_ready) != is_ready)
    {
        m_state->m_events.write("readiness", {{"ready", is_ready}});
        m_state->m_metrics.get_gauge("briarhub_ready")
            .set(is_ready ? 1.0 : 0.0);
    }
}

asio::awaitable<void> edge_server::accept_callers()
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
        timer retry_delay{m_io, accept_retry_delay};
        co_await retry_delay.async_wait(use_tuple);
    }
}

/// Connections over the limit are closed without reading from them, so that
/// their callers try another VM.
void edge_server::add_session(asio::ip::tcp::socket socket)
{
    remove_ended_sessions();
    if (m_sessions.size() >= m_state->m_settings.m_max_connections)
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

void edge_server::remove_ended_sessions()
{
    std::erase_if(
        m_sessions,
        [](std::weak_ptr<edge_session> const& session)
        {
            return session.expired();
        });
    m_connections.set(static_cast<double>(m_sessions.size()));
}

void edge_server::begin_shutdown(std::function<void()> on_stopped)
{
    m_state->m_is_stopping = true;
    update_readiness();
    asio::co_spawn(
        m_io, drain_connections(std::move(on_stopped)), asio::detached);
}

/// New callers may arrive until two checks of the load balancer have failed,
/// and connected callers may send requests until their connections are closed.
/// After that time only requests whose deadlines lie within the grace period
/// are admitted, so that no request is admitted and then interrupted.
asio::awaitable<void>
edge_server::drain_connections(std::function<void()> on_stopped)
{
    auto const start = runtime_clock::now();
    auto const grace_period = m_state->m_settings.m_shutdown_grace_period;
    timer drain_timer{m_io};
    drain_timer.expires_at(
        start + std::min(balancer_removal_delay, grace_period / 2));
    co_await drain_timer.async_wait(use_tuple);
    auto const idle_close =
        start + std::max(grace_period - idle_close_margin, grace_period / 2);
    auto const interrupt_time = start + grace_period - interrupt_margin;
    m_state->m_closes_after_response = true;
    m_state->m_last_response_time = interrupt_time;
    co_await wait_for_sessions(idle_close);
    for_each_session(&edge_session::close_if_idle);
    co_await wait_for_sessions(interrupt_time);
    for_each_session(&edge_session::interrupt_request);
    co_await wait_for_sessions(start + grace_period - exit_margin);
    m_state->m_events.write(
        "drained",
        {{"connections", m_sessions.size()},
         {"running", m_state->m_active_requests}});
    m_gossip->leave();
    on_stopped();
}

/// Returns when all sessions have ended, or at `end`.
asio::awaitable<void> edge_server::wait_for_sessions(time_point end)
{
    timer check_timer{m_io};
    remove_ended_sessions();
    while (!m_sessions.empty() && runtime_clock::now() < end)
    {
        check_timer.expires_at(
            std::min(end, runtime_clock::now() + drain_check_interval));
        co_await check_timer.async_wait(use_tuple);
        remove_ended_sessions();
    }
}

void edge_server::for_each_session(void (edge_session::*action)())
{
    for (auto const& weak : m_sessions)
    {
        if (auto const session = weak.lock())
        {
            (session.get()->*action)();
        }
    }
}

void edge_server::stop_now()
{
    m_gossip->stop();
    error_code ignored;
    m_acceptor.close(ignored);
    for_each_session(&edge_session::abort);
}

} // namespace briarhub
