#ifndef BRIARHUB_EDGE_SERVER_HPP
#define BRIARHUB_EDGE_SERVER_HPP

/// The traffic thread of an edge process: accepts callers, runs their
/// requests and exchanges news with peers.

#include "edge_session.hpp"
#include "edge_state.hpp"
#include "gossip_service.hpp"
#include "state_feed.hpp"

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
    /// Binds its ports at once; throws boost::system::system_error.
    edge_server(
        boost::asio::io_context& io,
        edge_settings const& settings,
        header_names const& names,
        metrics_registry& metrics,
        event_log& events,
        gossip_service::duty_handler on_duty,
        gossip_service::newer_handler on_newer_peer,
        gossip_service::beliefs_handler on_beliefs);

    void start();

    /// News from the control thread.
    void receive(feed_news&& update);

    void apply_settings(edge_settings const& settings);

    /// Reports not ready, serves until callers have moved on, and calls
    /// `on_stopped` when no request is left.
    void begin_shutdown(std::function<void()> on_stopped);

    /// Whether the balancer may send callers here. Any thread may ask.
    [[nodiscard]] bool is_ready() const
    {
        return m_is_ready.load(std::memory_order_relaxed);
    }

    /// Ends all work at once.
    void stop_now();

private:
    void receive(policy_news&& update);
    void receive(upstreams_news&& update);
    void receive(held_news&& update);
    void receive(members_news&& update);
    void receive(beliefs_news&& update);
    boost::asio::awaitable<void> accept_callers();
    boost::asio::awaitable<void>
    drain_connections(std::function<void()> on_stopped);
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
