#ifndef BRIARHUB_STATE_SYNC_HPP
#define BRIARHUB_STATE_SYNC_HPP

/// Replicates the policy and the upstream directory to this VM, from the store
/// or from peers, and serves both to peers. Runs on the control thread.

#include "edge_settings.hpp"
#include "evacuation_orders.hpp"
#include "event_log.hpp"
#include "fleet_store.hpp"
#include "gossip_service.hpp"
#include "metrics.hpp"
#include "peer_rpc.hpp"
#include "upstream_directory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

namespace wire
{
class StateReply;
}

/// To the traffic thread: a newer policy was read.
struct policy_event
{
    std::unique_ptr<fleet_policy> m_policy;
};

/// To the traffic thread: the evacuated failure domains changed.
struct evacuation_event
{
    std::set<failure_domain> m_domains;
};

/// To the traffic thread: the set of upstreams that may receive requests
/// changed.
struct upstreams_event
{
    std::vector<upstream_entry> m_upstreams;
};

/// To the traffic thread: the replicated versions of this VM changed, or a read
/// confirmed them.
struct replica_status_event
{
    replica_status_update m_update;
};

/// To the traffic thread: the entry VMs registered in the store were read.
struct members_event
{
    std::vector<peer_address> m_members;
};

/// To the traffic thread: the health snapshot in the store was read.
struct health_snapshot_event
{
    duration m_age{};
    std::vector<upstream_estimate> m_upstream_health;
    std::vector<suspect_request> m_suspects;
};

using state_event = std::variant<
    policy_event,
    evacuation_event,
    upstreams_event,
    replica_status_event,
    members_event,
    health_snapshot_event>;

class state_sync
{
public:
    using event_handler = std::function<void(state_event&&)>;

    /// Binds the peer port at once; throws boost::system::system_error.
    state_sync(
        boost::asio::io_context& io,
        edge_settings const& options,
        fleet_store& store,
        metrics_registry& metrics,
        event_log& events,
        event_handler on_event);

    void start();
    void stop();

    void set_role(store_reader_role const& role);

    /// Writes the snapshot to the store, unless a write is still in progress.
    void save_health_snapshot(health_snapshot const& record);

    /// Fetches newer state from a peer.
    void handle_newer_peer(newer_peer const& peer);

private:
    /// Result of a read and whether it has the newest record of each key.
    struct topic_read
    {
        store_result m_result;
        bool m_is_latest = false;
    };

    boost::asio::awaitable<topic_read> read_topic(
        store_topic topic,
        std::optional<log_position> from,
        std::chrono::milliseconds wait);
    boost::asio::awaitable<void> join_fleet();
    boost::asio::awaitable<void> register_vm();
    boost::asio::awaitable<void> register_again();
    boost::asio::awaitable<bool> read_members();
    void apply_health_snapshot(std::string_view value);
    boost::asio::awaitable<void> write_health_snapshot(std::string text);
    boost::asio::awaitable<void> poll_policy();
    boost::asio::awaitable<void> poll_upstreams();
    boost::asio::awaitable<bool> read_policy_once();
    boost::asio::awaitable<bool> read_upstreams_once();
    boost::asio::awaitable<void> fetch_from_seeds();
    boost::asio::awaitable<void> fetch_lost();
    boost::asio::awaitable<void> learn_departures();
    void fetch_departures();
    boost::asio::awaitable<void> fetch_newer_state(newer_peer peer);
    /// What a state request asks for besides a newer policy.
    enum class directory_request
    {
        none,
        changes,    ///< since this VM's last change
        whole,      ///< with all known removals
        departures, ///< only what a process that starts cannot read
    };
    boost::asio::awaitable<void> fetch_from_one(
        std::vector<endpoint_address> peers, directory_request wanted);
    boost::asio::awaitable<bool>
    fetch_state(endpoint_address peer, directory_request wanted);
    void record_fetch_result(bool is_successful);
    boost::asio::awaitable<void> pause(duration length);
    [[nodiscard]] endpoint_address
    peer_endpoint(boost::asio::ip::address_v4 const& address) const;
    boost::asio::awaitable<void> wait_for_role(timer& alarm);

    void apply_policy(
        std::string_view key, std::string_view value, std::string_view source);
    void apply_compressed_policy(
        endpoint_address const& peer, wire::StateReply const& state);
    void apply_orders(bool is_snapshot, store_page const& page);
    void
    adopt_orders(endpoint_address const& peer, wire::StateReply const& state);
    void publish_orders(bool is_changed, std::string_view source);
    void schedule_order_expiry();
    [[nodiscard]] std::chrono::milliseconds policy_wait() const;
    void publish_read(bool is_changed);
    void publish_directory(bool is_changed);
    void schedule_removals();
    void
    apply_state_reply(endpoint_address const& peer, std::string_view reply);
    void adopt_directory(
        endpoint_address const& peer,
        upstream_directory::change_set const& update);
    void adopt_lost(
        endpoint_address const& peer,
        std::string_view event,
        upstream_directory::change_set const& update);
    [[nodiscard]] std::optional<std::string>
    handle_request(std::string_view path, std::string_view message) const;
    [[nodiscard]] bool is_behind(replica_status const& other) const;
    [[nodiscard]] bool wants_directory_of(replica_status const& other) const;
    void record_store_era();
    void set_era(store_era era, std::string_view source);
    void record_directory_era();
    void record_store_success(time_point now);
    void record_outage_end(time_point now);
    void record_store_failure(
        time_point sent, std::string_view call, store_failure failure);
    void publish_status();
    [[nodiscard]] duration retry_delay();
    [[nodiscard]] std::chrono::milliseconds upstreams_interval() const;

    boost::asio::io_context& m_io;
    edge_settings const m_options;
    fleet_store& m_store;
    metrics_registry& m_metrics;
    event_log& m_events;
    event_handler m_on_event;
    peer_client m_client;
    peer_server m_server;
    upstream_directory m_directory;
    evacuation_orders m_orders;
    std::string m_policy_key;
    /// Record value from the store, compressed for peers: links of small VMs
    /// carry few copies of a large configuration.
    std::string m_compressed_policy;
    std::size_t m_policy_size = 0; ///< bytes before compression
    /// Where the next reads begin.
    std::optional<log_position> m_policy_position;
    std::optional<log_position> m_upstreams_position;
    std::optional<store_era> m_era; ///< the highest known
    store_era m_directory_era = 0;  ///< of the last logged directory
    std::optional<time_point> m_registered_at;
    std::vector<endpoint_address> m_listed_peers; ///< registered in the store
    std::mt19937_64 m_random;
    store_reader_role m_role;
    replica_status m_status;
    replica_status m_published_status;
    std::optional<time_point> m_policy_read_at;
    std::optional<time_point> m_directory_read_at;
    bool m_has_unpublished_read = false;
    timer m_policy_timer;
    timer m_upstreams_timer;
    timer m_removal_timer;          ///< until the next deferred removal is due
    timer m_order_timer;            ///< until a lost order expires
    unsigned m_running_fetches = 0; ///< from peers
    unsigned m_failed_fetches = 0;  ///< since the last successful one
    time_point m_next_fetch{};
    std::optional<time_point> m_failing_since;
    unsigned m_consecutive_failures = 0;
    bool m_is_writing_snapshot = false;
    bool m_is_fetching_lost = false;
    bool m_is_stopped = false;
};

} // namespace briarhub

#endif
