#ifndef BRIARHUB_STATE_FEED_HPP
#define BRIARHUB_STATE_FEED_HPP

/// Keeps the policy and the upstream directory of this VM up to date, from the
/// store or from peers, and gives both to peers. Runs on the control thread.

#include "edge_settings.hpp"
#include "event_log.hpp"
#include "fleet_store.hpp"
#include "gossip_service.hpp"
#include "metrics.hpp"
#include "peer_link.hpp"
#include "upstream_directory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

namespace wire
{
class StateReply;
}

/// To the traffic thread: a newer policy.
struct policy_news
{
    std::unique_ptr<fleet_policy> m_policy;
};

/// To the traffic thread: the upstreams that may get requests.
struct upstreams_news
{
    std::vector<upstream_entry> m_upstreams;
};

/// To the traffic thread: what this VM holds.
struct held_news
{
    held_state m_state;
};

/// To the traffic thread: entry VMs that the store names.
struct members_news
{
    std::vector<peer_address> m_members;
};

/// To the traffic thread: what the fleet believed of upstreams and requests.
struct beliefs_news
{
    duration m_age{};
    std::vector<upstream_estimate> m_beliefs;
    std::vector<suspect_request> m_suspects;
};

using feed_news = std::
    variant<policy_news, upstreams_news, held_news, members_news, beliefs_news>;

class state_feed
{
public:
    using sink = std::function<void(feed_news&&)>;

    /// Binds the peer port at once; throws boost::system::system_error.
    state_feed(
        boost::asio::io_context& io,
        edge_settings const& options,
        fleet_store& store,
        metrics_registry& metrics,
        event_log& events,
        sink on_news);

    void start();
    void stop();

    void set_duty(store_duty const& duty);

    /// Writes beliefs to the store, unless the last ones are still being
    /// written.
    void keep_beliefs(belief_record const& record);

    /// A peer holds newer state: fetches it.
    void note_newer_peer(newer_peer const& peer);

private:
    boost::asio::awaitable<void> join_fleet();
    boost::asio::awaitable<bool> read_fleet();
    void take_beliefs(std::string_view value);
    boost::asio::awaitable<void> write_beliefs(std::string text);
    boost::asio::awaitable<void> follow_policy();
    boost::asio::awaitable<void> follow_upstreams();
    boost::asio::awaitable<bool> read_policy_once();
    boost::asio::awaitable<bool> read_upstreams_once();
    boost::asio::awaitable<void> ask_seeds();
    boost::asio::awaitable<void> catch_up(newer_peer peer);
    boost::asio::awaitable<bool> fetch(endpoint_address peer);
    void note_fetch(bool is_done);
    boost::asio::awaitable<void> pause(duration length);
    boost::asio::awaitable<void> wait_for_duty(timer& alarm);

    bool take_policy(std::string_view key, std::string_view value);
    void take_packed_policy(wire::StateReply const& state);
    void take_upstreams(bool is_changed);
    void take_state(std::string_view reply);
    [[nodiscard]] std::optional<std::string>
    answer(std::string_view path, std::string_view message) const;
    [[nodiscard]] bool is_behind(held_state const& other) const;
    void note_success(time_point now);
    void
    note_failure(time_point now, std::string_view what, store_failure failure);
    void publish_held();
    [[nodiscard]] duration failure_pause();

    boost::asio::io_context& m_io;
    edge_settings const m_options;
    fleet_store& m_store;
    metrics_registry& m_metrics;
    event_log& m_events;
    sink m_on_news;
    peer_client m_client;
    peer_server m_server;
    upstream_directory m_directory;
    std::string m_policy_key;
    /// As the store holds it, compressed for peers: links of small VMs carry
    /// few copies of a large configuration.
    std::string m_packed_policy;
    std::size_t m_policy_size = 0; ///< bytes before compression
    std::optional<log_offset> m_policy_next;
    std::optional<log_offset> m_upstreams_next;
    store_duty m_duty;
    held_state m_held;
    held_state m_published;
    timer m_policy_timer;
    timer m_upstreams_timer;
    unsigned m_fetches = 0;        ///< running fetches from peers
    unsigned m_failed_fetches = 0; ///< since the last one that succeeded
    time_point m_next_fetch{};
    std::optional<time_point> m_failing_since;
    /// While the store fails for this VM: peers reach it.
    std::optional<bool> m_peers_have_store;
    unsigned m_failures = 0;
    bool m_is_writing_beliefs = false;
    bool m_is_stopped = false;
};

} // namespace briarhub

#endif
