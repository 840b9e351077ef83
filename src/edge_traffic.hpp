#ifndef BRIARHUB_EDGE_TRAFFIC_HPP
#define BRIARHUB_EDGE_TRAFFIC_HPP

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

class edge_traffic
{
public:
    /// Binds its ports at once; throws boost::system::system_error.
    edge_traffic(
        boost::asio::io_context& io,
        edge_settings const& options,
        header_names const& names,
        metrics_registry& metrics,
        event_log& events,
        gossip_service::duty_handler on_duty,
        gossip_service::newer_handler on_newer,
        gossip_service::beliefs_handler on_beliefs);

    void start();

    /// News from the control thread.
    void receive(feed_news&& news);

    void apply_settings(edge_settings const& options);

    /// Reports not ready, serves until callers have moved on, and calls
    /// `on_stopped` when no request is left.
    void begin_stop(std::function<void()> on_stopped);

    /// Whether the balancer may send callers here. Any thread may ask.
    [[nodiscard]] bool is_ready() const
    {
        return m_is_ready.load(std::memory_order_relaxed);
    }

    /// Ends all work at once.
    void shut_down();

private:
    void receive(policy_news&& news);
    void receive(upstreams_news&& news);
    void receive(held_news&& news);
    void receive(members_news&& news);
    void receive(beliefs_news&& news);
    boost::asio::awaitable<void> accept_callers();
    boost::asio::awaitable<void> stop_slowly(std::function<void()> on_stopped);
    void add_session(boost::asio::ip::tcp::socket socket);
    void forget_ended_sessions();
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
