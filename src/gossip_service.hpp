#ifndef BRIARHUB_GOSSIP_SERVICE_HPP
#define BRIARHUB_GOSSIP_SERVICE_HPP

/// Exchanges datagrams with the other entry VMs: evidence about upstreams,
/// usage of allowances, suspects, and which state each VM holds. Runs on the
/// traffic thread.

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

/// What the control thread has to do about the store.
struct store_duty
{
    /// Read the store, for this VM or for its failure domain.
    bool m_reads = true;
    /// A peer that reads the store is heard.
    bool m_is_fed = false;

    friend bool operator==(store_duty const&, store_duty const&) = default;
};

/// A peer that holds newer state than this VM.
struct newer_peer
{
    vm_tag m_vm = 0;
    bool m_is_near = false; ///< in the same failure domain
    held_state m_state;
};

class gossip_service : public std::enable_shared_from_this<gossip_service>
{
public:
    using duty_handler = std::function<void(store_duty)>;
    using newer_handler = std::function<void(newer_peer const&)>;
    using beliefs_handler = std::function<void(belief_record&&)>;

    /// Binds the port at once; throws boost::system::system_error.
    gossip_service(
        boost::asio::io_context& io,
        std::shared_ptr<edge_state> state,
        duty_handler on_duty,
        newer_handler on_newer,
        beliefs_handler on_beliefs);

    void start();

    /// News is sent after a delay that grows with the fleet.
    void schedule_flush();

    /// The control thread holds other state now; peers are told at once if
    /// this VM reads the store for them.
    void set_held_state(held_state const& state);

    /// The VMs that the store lists.
    void take_list(std::vector<peer_address> const& members);

    /// Asks some peers in turn to give up a permit for one retry of the
    /// service; true if one did.
    boost::asio::awaitable<bool> borrow_permit(service_name service);

    /// Tells the peers that this VM leaves.
    void leave();

    void stop();

    [[nodiscard]] peer_table const& peers() const
    {
        return m_peers;
    }

private:
    boost::asio::awaitable<void> receive_loop();
    boost::asio::awaitable<void> heartbeat_loop();
    void receive(std::string_view bytes);
    void receive(gossip_message&& message);
    void take(time_point now, gossip_message const& message, bool is_newest);
    void pass_on(gossip_message&& message);
    void flush_relayed();
    void answer_newcomer(gossip_message const& message);
    void answer_ask(vm_tag from, permit_ask const& ask);
    void take_reply(permit_reply const& reply);
    boost::asio::awaitable<bool>
    ask_for_permit(vm_tag peer, service_name const& service);
    void flush();
    void tell_news();
    void send_all(gossip_message const& message);
    void send_near(std::vector<gossip_message> const& messages);
    void send(vm_tag to, std::string const& bytes);
    [[nodiscard]] duration flush_delay() const;
    [[nodiscard]] gossip_message make_message();
    void update_duty(time_point now);
    void keep_beliefs(time_point now);
    void find_seeds();

    boost::asio::io_context& m_io;
    std::shared_ptr<edge_state> m_state;
    duty_handler m_on_duty;
    newer_handler m_on_newer;
    beliefs_handler m_on_beliefs;
    peer_table m_peers;
    boost::asio::ip::udp::socket m_socket;
    timer m_flush_timer;
    timer m_heartbeat_timer;
    std::uint32_t m_run;
    std::uint64_t m_sequence = 0;
    std::vector<gossip_message> m_relayed; ///< to pass on with the next flush
    std::uint64_t m_asks = 0;
    std::unordered_map<std::uint64_t, pending_value<bool>*> m_open_asks;
    held_state m_held;
    store_duty m_duty;
    time_point m_last_feed{};
    time_point m_started{};
    time_point m_beliefs_kept{};
    time_point m_newer_told{};
    unsigned m_heartbeats = 0;
    bool m_is_flush_due = false;
    bool m_is_stopped = false;
    counter& m_sent_bytes;
    counter& m_received_bytes;
    counter& m_malformed;
};

} // namespace briarhub

#endif
