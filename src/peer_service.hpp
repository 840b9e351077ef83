#ifndef BRIARHUB_PEER_SERVICE_HPP
#define BRIARHUB_PEER_SERVICE_HPP

/// RPC between the VMs of the fleet. Probes peers and replies to their probes;
/// probes also carry stable versions, unreachable VMs, evidence about upstreams
/// and suspect requests. Fetches control records or a snapshot from peers with
/// a newer version and transfers rate leases.

#include "fleet_state.hpp"
#include "metrics.hpp"
#include "notifier.hpp"
#include "observation_log.hpp"
#include "peer_messages.hpp"
#include "peer_rpc.hpp"
#include "settings.hpp"
#include "traffic_outbox.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace briarhub
{

class peer_service
{
public:
    /// Binds the peer port; throws boost::system::system_error.
    peer_service(
        boost::asio::io_context& io,
        settings const& options,
        fleet_state& fleet,
        traffic_outbox& outbox,
        metrics_registry& metrics);

    /// Probes peers periodically until `stop`.
    boost::asio::awaitable<void> run_probes();

    /// Probes members until `version` is stable or `deadline` has passed.
    boost::asio::awaitable<void>
    wait_until_stable(control_version version, time_point deadline);

    void send(addressed_lease_message&& message);
    void add_evidence(std::vector<evidence> const& items);
    void add_suspects(std::vector<suspect_request> const& items);

    [[nodiscard]] std::uint16_t port() const;

    void stop();

private:
    struct pending_lease_request
    {
        time_point m_received_at{};
        peer_response_callback m_respond;
    };

    // Outgoing requests.
    [[nodiscard]] peer_sender make_sender() const;
    void start_probe(entry_vm const& peer);
    boost::asio::awaitable<void> probe(entry_vm peer);
    void handle_probe_reply(
        entry_vm const& peer, time_point start, probe_message const& reply);
    void start_fetch(entry_vm const& peer);
    boost::asio::awaitable<void> fetch(entry_vm peer);
    boost::asio::awaitable<bool> fetch_batch(entry_vm peer);
    void apply_records_reply(records_reply const& reply);
    boost::asio::awaitable<void>
    send_lease_request(vm_id peer, lease_request lease);
    boost::asio::awaitable<void>
    send_lease_return(vm_id peer, lease_return lease);
    void send_lease_message(vm_id const& peer, lease_request const& lease);
    void send_lease_message(vm_id const& peer, lease_reply const& lease);
    void send_lease_message(vm_id const& peer, lease_return const& lease);

    // Incoming requests.
    void handle_request(
        std::string_view path,
        std::string_view text,
        peer_response_callback respond);
    std::optional<std::string> handle_probe(std::string_view text);
    std::optional<std::string> handle_records_request(std::string_view text);
    void
    handle_lease_request(std::string_view text, peer_response_callback respond);
    std::optional<std::string> handle_lease_return(std::string_view text);
    [[nodiscard]] bool is_stale_sender(peer_sender const& sender) const;

    void process_gossip(probe_message const& message);
    void expire_lease_requests(time_point now);
    void update_byte_counters();

    boost::asio::io_context& m_io;
    fleet_state& m_fleet;
    traffic_outbox& m_outbox;
    counter& m_sent_bytes;
    counter& m_received_bytes;
    counter& m_rejected_messages;
    latency_summary& m_round_trip;
    peer_client m_client;
    peer_server m_server;
    notifier m_wakeup;
    observation_log m_news;
    std::vector<vm_id> m_silent; ///< sent to peers, updated every interval
    std::set<vm_id> m_probing;
    std::set<vm_id> m_fetching;
    std::map<vm_id, control_version> m_acknowledged_versions;
    /// Lease requests to which the traffic thread has not replied yet, by peer
    /// and request id.
    std::map<std::pair<vm_id, std::uint64_t>, pending_lease_request>
        m_pending_lease_requests;
    bool m_stopped = false;
};

} // namespace briarhub

#endif
