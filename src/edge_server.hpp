#ifndef BRIARHUB_EDGE_SERVER_HPP
#define BRIARHUB_EDGE_SERVER_HPP

/// Server of an edge process, which runs on the traffic thread: accepts caller
/// connections, processes their requests, gossips with peers and drains the
/// connections at shutdown.

#include "edge_session.hpp"
#include "edge_state.hpp"
#include "gossip_service.hpp"
#include "state_sync.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <memory>

namespace briarhub
{

class edge_server
{
public:
    /// Binds the ports; throws boost::system::system_error.
    edge_server(
        boost::asio::io_context& io,
        edge_settings const& settings,
        header_names const& names,
        metrics_registry& metrics,
        event_log& events,
        gossip_service::role_handler on_duty,
        gossip_service::newer_peer_handler on_newer_peer,
        gossip_service::health_snapshot_handler on_beliefs);

    void start();

    /// Applies a state update from the control thread.
    void receive(state_event&& update);

    void apply_settings(edge_settings const& settings);

    /// Reports not ready, drains the connections and calls `on_stopped` when
    /// all are closed, or shortly before the grace period ends. Requests that
    /// still run then are interrupted, and their callers get a response.
    void begin_shutdown(std::function<void()> on_stopped);

    /// True if the load balancer may send callers to this VM. Thread-safe.
    [[nodiscard]] bool is_ready() const
    {
        return m_is_ready.load(std::memory_order_relaxed);
    }

    /// Stops gossip and accepting, and closes all connections immediately.
    void stop_now();

private:
    void receive(policy_event&& update);
    void receive(evacuation_event&& update);
    void receive(upstreams_event&& update);
    void receive(replica_status_event&& update);
    void receive(members_event&& update);
    void receive(health_snapshot_event&& update);
    boost::asio::awaitable<void> accept_callers();
    boost::asio::awaitable<void>
    drain_connections(std::function<void()> on_stopped);
    boost::asio::awaitable<void> wait_for_sessions(time_point end);
    void for_each_session(void (edge_session::*action)());
    void add_session(boost::asio::ip::tcp::socket socket);
    void remove_ended_sessions();
    void update_readiness();

    boost::asio::io_context& m_io;
    std::shared_ptr<edge_state> m_state;
    std::shared_ptr<gossip_service> m_gossip;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<edge_session>> m_sessions;
    gauge& m_connections;
    std::atomic<bool> m_is_ready{false};
};

} // namespace briarhub

#endif
