#ifndef BRIARHUB_PEER_EXCHANGE_HPP
#define BRIARHUB_PEER_EXCHANGE_HPP

/// Probes peers and answers theirs, exchanges records, states, news and
/// loans.

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

class peer_exchange
{
public:
    /// Binds the peer port at once; throws boost::system::system_error.
    peer_exchange(
        boost::asio::io_context& io,
        settings const& options,
        fleet_state& fleet,
        traffic_outbox& outbox,
        metrics_registry& metrics);

    /// Probes peers until `stop`.
    boost::asio::awaitable<void> run_probes();

    /// Probes members until `version` is stable, at most until `deadline`.
    boost::asio::awaitable<void>
    confirm(control_version version, time_point deadline);

    void send(addressed_lease_message&& message);
    void add_evidence(std::vector<evidence> const& items);
    void add_suspects(std::vector<suspect_request> const& items);

    [[nodiscard]] std::uint16_t port() const;

    void stop();

private:
    struct waiting_loan
    {
        time_point m_since{};
        peer_response_callback m_respond;
    };

    // Outgoing requests.
    [[nodiscard]] peer_sender own_sender() const;
    void start_probe(entry_vm const& peer);
    boost::asio::awaitable<void> probe(entry_vm peer);
    void take_reply(
        entry_vm const& peer, time_point start, probe_message const& reply);
    void start_fetch(entry_vm const& peer);
    boost::asio::awaitable<void> fetch(entry_vm peer);
    boost::asio::awaitable<bool> fetch_once(entry_vm peer);
    void take_records(records_reply const& reply);
    boost::asio::awaitable<void> request_loan(vm_id peer, lease_request loan);
    boost::asio::awaitable<void> return_loan(vm_id peer, lease_return loan);
    void send_content(vm_id const& peer, lease_request const& loan);
    void send_content(vm_id const& peer, lease_reply const& loan);
    void send_content(vm_id const& peer, lease_return const& loan);

    // Incoming requests.
    void handle(
        std::string_view path,
        std::string_view text,
        peer_response_callback respond);
    std::optional<std::string> answer_probe(std::string_view text);
    std::optional<std::string> answer_records(std::string_view text);
    void answer_loan(std::string_view text, peer_response_callback respond);
    std::optional<std::string> answer_loan_return(std::string_view text);
    [[nodiscard]] bool is_outdated(peer_sender const& sender) const;

    void receive_news(probe_message const& message);
    void expire(time_point now);
    void count_bytes();

    boost::asio::io_context& m_io;
    fleet_state& m_fleet;
    traffic_outbox& m_outbox;
    counter& m_sent_bytes;
    counter& m_received_bytes;
    counter& m_refused_messages;
    latency_summary& m_round_trip;
    peer_client m_client;
    peer_server m_server;
    notifier m_wakeup;
    observation_log m_news;
    std::vector<vm_id> m_silent; ///< told to peers, refreshed at each round
    std::set<vm_id> m_probing;
    std::set<vm_id> m_fetching;
    std::map<vm_id, control_version> m_acknowledged;
    /// Loan requests that the traffic thread has not answered yet, by peer and
    /// request id.
    std::map<std::pair<vm_id, std::uint64_t>, waiting_loan> m_waiting_loans;
    bool m_stopped = false;
};

} // namespace briarhub

#endif
