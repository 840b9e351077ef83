#ifndef BRIARHUB_GOSSIP_SERVICE_HPP
#define BRIARHUB_GOSSIP_SERVICE_HPP

/// Gossip between entry VMs over UDP: observations of upstreams, usage of
/// fleet-wide limits, suspect requests, and the versions of the replicated
/// state. Heartbeats carry the same messages and keep the peer table up to
/// date. Runs on the traffic thread.

#include "clock.hpp"
#include "edge_state.hpp"
#include "gossip_message.hpp"
#include "peer_table.hpp"
#include "pending_value.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhub
{

/// Whether the control thread of this VM reads the store. One VM of a failure
/// domain does, and any VM that cannot tell from the reads of its peers that
/// its state is fresh; the others fetch new state from their peers.
struct store_reader_role
{
    /// This VM reads the store, for itself or for its failure domain.
    bool m_is_reader = true;
    /// Heartbeats of a peer that reads the store arrive.
    bool m_has_live_reader = false;
    /// Since when no VM has read the store, as far as this one knows; nullopt
    /// unless that is long enough for announcements of upstreams to expire.
    std::optional<time_point> m_store_unread_since;

    friend bool
    operator==(store_reader_role const&, store_reader_role const&) = default;
};

/// What the control thread has replicated, and the times as of which its own
/// reads found the versions to be the newest in the store; nullopt if it has
/// not read them.
struct replica_status_update
{
    replica_status m_state;
    std::optional<time_point> m_policy_read_at;
    std::optional<time_point> m_directory_read_at;
};

/// A peer that holds newer state than this VM.
struct newer_peer
{
    vm_tag m_vm = 0;
    bool m_is_same_domain = false; ///< the failure domain of this VM
    replica_status m_state;
};

class gossip_service : public std::enable_shared_from_this<gossip_service>
{
public:
    using role_handler = std::function<void(store_reader_role)>;
    using newer_peer_handler = std::function<void(newer_peer const&)>;
    using health_snapshot_handler = std::function<void(health_snapshot&&)>;

    /// Binds the port at once; throws boost::system::system_error.
    gossip_service(
        boost::asio::io_context& io,
        std::shared_ptr<edge_state> state,
        role_handler on_role,
        newer_peer_handler on_newer_peer,
        health_snapshot_handler on_health_snapshot);

    void start();

    /// Sends pending updates after a delay that grows with the fleet.
    void schedule_flush();

    /// Sets what the control thread has replicated. A new version is sent to
    /// the peers at once.
    void set_replica_status(replica_status_update const& update);

    /// Adds the VMs that are registered in the store.
    void add_listed_vms(std::vector<peer_address> const& members);

    /// Asks some peers in turn to transfer a permit for one retry of the
    /// service; true if one granted it.
    boost::asio::awaitable<bool> request_permit(service_name service);

    /// Announces to the peers that this VM leaves the fleet.
    void leave();

    void stop();

    [[nodiscard]] peer_table const& peers() const
    {
        return m_peers;
    }

private:
    boost::asio::awaitable<void> receive_loop();
    boost::asio::awaitable<void> heartbeat_loop();
    boost::asio::awaitable<void> watch_freshness();
    void receive(std::string_view bytes);
    void receive(gossip_message&& message);
    void apply_message(
        time_point now, gossip_message const& message, bool is_newest);
    void receive_ages(time_point now, gossip_message const& message);
    void relay(gossip_message&& message);
    void flush_relayed();
    void send_join_reply(gossip_message const& message);
    void handle_permit_request(vm_tag from, permit_request const& request);
    void handle_permit_reply(permit_reply const& reply);
    boost::asio::awaitable<bool>
    request_permit_from(vm_tag peer, service_name const& service);
    void flush();
    void send_updates();
    void send_all(gossip_message const& message);
    void send_to_domain(std::vector<gossip_message> const& messages);
    void send(vm_tag to, std::string const& bytes);
    [[nodiscard]] duration flush_delay() const;
    [[nodiscard]] gossip_message make_message();
    [[nodiscard]] replica_ages read_ages() const;
    void record_replica_ages(time_point now);
    void update_role(time_point now);
    [[nodiscard]] time_point freshness_expiry() const;
    void share_cold_upstreams(time_point now);
    void save_health_snapshot(time_point now);
    void contact_seeds();
    void contact_lost_peer();

    boost::asio::io_context& m_io;
    std::shared_ptr<edge_state> m_state;
    role_handler m_on_role;
    newer_peer_handler m_on_newer_peer;
    health_snapshot_handler m_on_health_snapshot;
    peer_table m_peers;
    boost::asio::ip::udp::socket m_socket;
    timer m_flush_timer;
    timer m_heartbeat_timer;
    timer m_freshness_timer;
    duration m_max_replica_age;
    std::uint32_t m_run;
    std::uint64_t m_sequence = 0;
    std::vector<gossip_message> m_relayed; ///< forwarded with the next flush
    std::uint64_t m_last_request_id = 0;
    std::unordered_map<std::uint64_t, pending_value<bool>*> m_pending_permits;
    replica_status_update m_status;
    store_reader_role m_role;
    time_point m_reader_heard_at{};
    time_point m_started{};
    time_point m_snapshot_saved_at{};
    time_point m_newer_reported_at{};
    unsigned m_heartbeats = 0;
    bool m_is_flush_due = false;
    bool m_is_stopped = false;
    counter& m_sent_bytes;
    counter& m_received_bytes;
    counter& m_malformed;
};

} // namespace briarhub

#endif
