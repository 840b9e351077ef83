#include "control_plane.hpp"

#include "admin_query_handler.hpp"
#include "claims_stream.hpp"
#include "control_stream.hpp"
#include "fleet_state.hpp"
#include "metered_platform_client.hpp"
#include "peer_service.hpp"
#include "traffic_outbox.hpp"
#include "vm_list_poller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <spdlog/spdlog.h>

#include <exception>
#include <random>
#include <utility>

namespace briarhub
{
namespace
{

/// Time limits after the traffic thread has stopped: first for appending
/// claim outcomes and releases, then for appending `leave`.
constexpr std::chrono::seconds flush_timeout{5};
constexpr std::chrono::seconds leave_timeout{3};

/// The traffic thread ends on its own within the shutdown timeout. The control
/// thread waits this much longer before it continues without it.
constexpr std::chrono::seconds traffic_stop_margin{5};

constexpr std::chrono::milliseconds stop_retry_interval{50};

std::uint64_t make_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

/// Passes a coroutine's exception on to the thread's event loop. Otherwise the
/// thread would run on without that coroutine.
void rethrow(std::exception_ptr const& error)
{
    if (error)
    {
        std::rethrow_exception(error);
    }
}

} // namespace

struct control_plane::implementation
{
    implementation(
        boost::asio::io_context& io,
        settings const& options,
        member const& self,
        metrics_registry& metrics,
        mailbox<traffic_message>& to_traffic)
        : m_io(io), m_options(options), m_outbox(to_traffic, metrics),
          m_platform(io, options, metrics),
          m_fleet(io, self, m_outbox, metrics, make_seed()),
          m_peers(io, options, m_fleet, m_outbox, metrics),
          m_stream(options, m_fleet, m_platform, make_seed()),
          m_vm_list(io, m_fleet, m_platform),
          m_claims(io, options, self, m_platform, m_outbox, metrics),
          m_admin(io, m_fleet, m_platform, m_stream, m_peers, m_claims)
    {
    }

    void spawn(boost::asio::awaitable<void> loop)
    {
        boost::asio::co_spawn(m_io, std::move(loop), rethrow);
    }

    void start()
    {
        spawn(m_vm_list.run());
        spawn(m_stream.run_tail());
        spawn(m_stream.run_appends());
        spawn(m_peers.run_probes());
        spawn(m_claims.run_reads());
        spawn(m_claims.run_appends());
        spawn(track_member_count());
    }

    /// The members share the append budget of the claims stream.
    boost::asio::awaitable<void> track_member_count()
    {
        while (!m_stopped)
        {
            m_claims.set_member_count(m_fleet.state().m_members.size());
            time_point const next = runtime_clock::now() + vm_list_interval;
            co_await m_fleet.changes().wait_until(next);
        }
    }

    boost::asio::awaitable<void> stop(std::function<void()> done)
    {
        co_await stop_traffic_thread();
        time_point now = runtime_clock::now();
        co_await m_claims.flush(now + flush_timeout);
        m_stream.stop_appends();
        now = runtime_clock::now();
        co_await m_stream.leave(now + leave_timeout);
        stop_components();
        done();
    }

    boost::asio::awaitable<void> stop_traffic_thread()
    {
        time_point const deadline = runtime_clock::now() +
                                    m_options.m_shutdown_timeout +
                                    traffic_stop_margin;
        while (!m_outbox.send(stop_traffic{}))
        {
            time_point const next = runtime_clock::now() + stop_retry_interval;
            co_await m_fleet.changes().wait_until(next);
        }
        while (!m_traffic_stopped && runtime_clock::now() < deadline)
        {
            co_await m_fleet.changes().wait_until(deadline);
        }
        if (!m_traffic_stopped)
        {
            spdlog::error(
                "the traffic thread did not stop before the shutdown deadline");
        }
    }

    void stop_components()
    {
        m_stopped = true;
        m_claims.stop();
        m_vm_list.stop();
        m_peers.stop();
        m_stream.stop();
        m_platform.close();
    }

    void receive(addressed_lease_message&& message)
    {
        m_peers.send(std::move(message));
    }

    void receive(evidence_report&& message)
    {
        m_peers.add_evidence(message.m_items);
    }

    void receive(suspect_report&& message)
    {
        m_peers.add_suspects(message.m_items);
    }

    void receive(traffic_stopped&& /*message*/)
    {
        m_traffic_stopped = true;
        m_fleet.changes().notify();
    }

    template <class ClaimMessage>
    void receive(ClaimMessage&& message)
    {
        m_claims.receive(std::forward<ClaimMessage>(message));
    }

    boost::asio::io_context& m_io;
    settings m_options;
    traffic_outbox m_outbox;
    metered_platform_client m_platform;
    fleet_state m_fleet;
    peer_service m_peers;
    control_stream m_stream;
    vm_list_poller m_vm_list;
    claims_stream m_claims;
    admin_query_handler m_admin;
    bool m_traffic_stopped = false;
    bool m_is_stopping = false;
    bool m_stopped = false;
};

control_plane::control_plane(
    boost::asio::io_context& io,
    settings const& options,
    member const& self,
    metrics_registry& metrics,
    mailbox<traffic_message>& to_traffic)
    : m_implementation(std::make_unique<implementation>(
          io, options, self, metrics, to_traffic))
{
}

control_plane::~control_plane() = default;

void control_plane::start()
{
    m_implementation->start();
}

void control_plane::receive(control_message&& message)
{
    std::visit(
        [this](auto& content)
        {
            m_implementation->receive(std::move(content));
        },
        message);
}

void control_plane::receive(admin_query&& query)
{
    m_implementation->m_admin.receive(std::move(query));
}

std::uint16_t control_plane::peer_port() const
{
    return m_implementation->m_peers.port();
}

void control_plane::stop(std::function<void()> done)
{
    if (!std::exchange(m_implementation->m_is_stopping, true))
    {
        m_implementation->spawn(m_implementation->stop(std::move(done)));
    }
}

} // namespace briarhub
