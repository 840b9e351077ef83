#include "gossip_service.hpp"

#include "parse_number.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <random>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Batching delay of updates for each VM of the fleet: the traffic that a VM
/// receives in a second then hardly grows with the fleet. The maximum is a
/// fraction of the time that an upstream works on a request.
constexpr std::chrono::microseconds flush_delay_per_vm{400};
constexpr std::chrono::milliseconds min_flush_delay{10};
constexpr std::chrono::milliseconds max_flush_delay{80};

/// Relayed messages in one datagram. A heartbeat with 80 accounts has 1 kB.
constexpr std::size_t max_relayed = 64;

/// Newer state at a peer is reported to the control thread at most this often.
constexpr std::chrono::milliseconds newer_peer_interval{20};

constexpr std::chrono::milliseconds heartbeat_interval{500};

/// A VM that receives no message from a store reader for this time assumes that
/// its peers do not reach the store. Two heartbeats may be lost.
constexpr std::chrono::milliseconds reader_timeout{1200};

/// Age of the replicated state, as a share of the bound within which a change
/// must be in force, at which a VM reads the store itself. Above the usual age,
/// a quarter of the bound and a heartbeat; the rest suffices for a read that
/// first hangs on a silent connection. It differs between VMs, so that the read
/// of the first one spares most others theirs.
constexpr double min_replica_age_share = 0.55;
constexpr double max_replica_age_share = 0.65;

/// Interval of checks while the state is not fresh.
constexpr std::chrono::milliseconds stale_check_interval{100};

/// A process that started more recently does not announce itself as a store
/// reader, so that the peers rely on other readers, if there are any.
constexpr std::chrono::milliseconds min_reader_age{1500};

/// An announcement expires after three intervals without a renewal. The last
/// renewal before an outage of the store may be one interval old, so an outage
/// of fewer than this many intervals makes none expire.
constexpr int min_outage_announcements = 2;

/// The health snapshot is written to the store this often, for VMs that start
/// when no other is left. An upstream's condition lasts some ten times as long.
constexpr std::chrono::milliseconds health_snapshot_interval{1000};

/// Members in one datagram; it stays below the usual packet size.
constexpr std::size_t max_members_sent = 100;

constexpr std::size_t max_datagram_bytes = 64 * 1024;

/// Peers that are asked for a permit, one after the other, and the reply
/// timeout of each: some round trips between failure domains.
constexpr std::size_t max_permit_peers = 3;
constexpr std::chrono::milliseconds permit_reply_timeout{20};

/// Above this age of the joining process a join reply omits suspects and
/// account levels: earlier replies contained them.
constexpr std::chrono::milliseconds max_join_age{800};

/// Heartbeats of a new process that request the member list.
constexpr unsigned join_request_heartbeats = 4;

std::uint32_t random_run_id()
{
    std::random_device source;
    return source() | 1U;
}

vm_tag vm_tag_from_ip(std::string const& ip)
{
    error_code error;
    auto const address = asio::ip::make_address_v4(ip, error);
    return error ? 0 : address.to_uint();
}

duration
choose_max_replica_age(edge_settings const& options, std::mt19937_64& random)
{
    duration const bound = std::min(
        {options.m_policy_update_limit,
         options.m_evacuation_limit,
         options.m_upstream_update_limit});
    std::uniform_real_distribution<> share{
        min_replica_age_share, max_replica_age_share};
    return std::chrono::duration_cast<duration>(share(random) * bound);
}

peer_address own_address(edge_settings const& options)
{
    return {vm_tag_from_ip(options.m_ip), short_hash(options.m_failure_domain)};
}

} // namespace

gossip_service::gossip_service(
    asio::io_context& io,
    std::shared_ptr<edge_state> state,
    role_handler on_role,
    newer_peer_handler on_newer_peer,
    health_snapshot_handler on_health_snapshot)
    : m_io(io), m_state(std::move(state)), m_on_role(std::move(on_role)),
      m_on_newer_peer(std::move(on_newer_peer)),
      m_on_health_snapshot(std::move(on_health_snapshot)),
      m_peers(own_address(m_state->m_settings), m_state->m_random()),
      m_socket(
          io,
          udp::endpoint{
              asio::ip::make_address(m_state->m_settings.m_ip),
              m_state->m_settings.m_gossip_port}),
      m_flush_timer(io), m_heartbeat_timer(io), m_freshness_timer(io),
      m_max_replica_age(
          choose_max_replica_age(m_state->m_settings, m_state->m_random)),
      m_run(random_run_id()), m_sent_bytes(m_state->m_metrics.get_counter(
                                  "briarhub_gossip_sent_bytes_total")),
      m_received_bytes(m_state->m_metrics.get_counter(
          "briarhub_gossip_received_bytes_total")),
      m_malformed(
          m_state->m_metrics.get_counter("briarhub_gossip_malformed_total"))
{
    m_socket.non_blocking(true);
}

void gossip_service::start()
{
    m_started = runtime_clock::now();
    contact_seeds();
    asio::co_spawn(
        m_io,
        [](std::shared_ptr<gossip_service> self) -> asio::awaitable<void>
        {
            co_await self->receive_loop();
        }(shared_from_this()),
        asio::detached);
    asio::co_spawn(
        m_io,
        [](std::shared_ptr<gossip_service> self) -> asio::awaitable<void>
        {
            co_await self->heartbeat_loop();
        }(shared_from_this()),
        asio::detached);
    asio::co_spawn(
        m_io,
        [](std::shared_ptr<gossip_service> self) -> asio::awaitable<void>
        {
            co_await self->watch_freshness();
        }(shared_from_this()),
        asio::detached);
}

/// Sends a join request to each seed directly, since their failure domains are
/// unknown until they reply.
void gossip_service::contact_seeds()
{
    auto message = make_message();
    message.m_wants_members = true;
    auto const bytes = encode({&message, 1});
    for (auto const& seed : m_state->m_settings.m_seeds)
    {
        if (auto const endpoint = split_endpoint(seed))
        {
            send(vm_tag_from_ip(endpoint->m_ip), bytes);
        }
    }
}

/// Sends a join request to a peer that has been silent for long: if a partition
/// has ended, its reply names the VMs of its side.
void gossip_service::contact_lost_peer()
{
    if (auto const lost = m_peers.sample_lost())
    {
        auto message = make_message();
        message.m_wants_members = true;
        send(*lost, encode({&message, 1}));
    }
}

asio::awaitable<void> gossip_service::receive_loop()
{
    std::vector<char> buffer(max_datagram_bytes);
    while (!m_is_stopped)
    {
        udp::endpoint from;
        auto [error, bytes] = co_await m_socket.async_receive_from(
            asio::buffer(buffer), from, use_tuple);
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (!error)
        {
            m_received_bytes.add(bytes);
            receive({buffer.data(), bytes});
        }
    }
}

void gossip_service::receive(std::string_view bytes)
{
    auto messages = decode_gossip(bytes);
    if (!messages)
    {
        m_malformed.add();
        return;
    }
    for (auto& message : *messages)
    {
        if (message.m_origin.m_vm != m_peers.self().m_vm)
        {
            receive(std::move(message));
        }
    }
}

void gossip_service::receive(gossip_message&& message)
{
    auto const now = runtime_clock::now();
    bool const is_newest = m_peers.record_message(now, message);
    apply_message(now, message, is_newest);
    if (message.m_wants_members)
    {
        send_join_reply(message);
    }
    if (message.m_permit_request)
    {
        handle_permit_request(message.m_origin.m_vm, *message.m_permit_request);
    }
    if (message.m_permit_reply)
    {
        handle_permit_reply(*message.m_permit_reply);
    }
    if (message.m_relay)
    {
        relay(std::move(message));
    }
}

void gossip_service::apply_message(
    time_point now, gossip_message const& message, bool is_newest)
{
    m_state->m_load_balancer.receive(
        now, message.m_origin.m_vm, message.m_sequence, message.m_upstreams);
    m_state->m_load_balancer.adopt(now, message.m_upstream_health);
    m_state->m_rate_limiter.receive(
        now,
        {message.m_origin.m_vm, message.m_run, message.m_age},
        message.m_usage);
    m_state->m_suspects.receive(now, message.m_suspects);
    m_state->m_suspects.adopt(now, message.m_known_suspects);
    m_state->m_rate_limiter.import_levels(now, message.m_levels);
    for (auto const& member : message.m_members)
    {
        m_peers.add(now, member);
    }
    auto const& state = message.m_state;
    if (state.m_is_store_reader && is_newest)
    {
        m_reader_heard_at = now;
    }
    receive_ages(now, message);
    bool const is_ahead =
        state.m_policy_version > m_status.m_state.m_policy_version ||
        state.m_policy_position > m_status.m_state.m_policy_position ||
        (state.m_is_store_reader &&
         state.m_directory_position > m_status.m_state.m_directory_position);
    if (is_ahead && now - m_newer_reported_at >= newer_peer_interval)
    {
        m_newer_reported_at = now;
        bool const is_same_domain =
            message.m_origin.m_domain == m_peers.self().m_domain;
        m_on_newer_peer({message.m_origin.m_vm, is_same_domain, state});
    }
}

/// The transit time of a message is not counted; it is far below the limits
/// that depend on the ages.
void gossip_service::receive_ages(time_point now, gossip_message const& message)
{
    auto const& state = message.m_state;
    auto const& ages = message.m_replica_ages;
    auto& freshness = m_state->m_freshness;
    if (ages.m_policy)
    {
        freshness.m_policy.confirm(
            state.m_policy_position, now - *ages.m_policy);
    }
    if (ages.m_directory)
    {
        freshness.m_directory.confirm(
            state.m_directory_position, now - *ages.m_directory);
    }
}

void gossip_service::relay(gossip_message&& message)
{
    message.m_relay = false;
    m_relayed.push_back(std::move(message));
    if (m_relayed.size() >= max_relayed)
    {
        flush_relayed();
    }
    else
    {
        schedule_flush();
    }
}

void gossip_service::flush_relayed()
{
    if (!m_relayed.empty())
    {
        send_to_domain(std::exchange(m_relayed, {}));
    }
}

void gossip_service::send_to_domain(std::vector<gossip_message> const& messages)
{
    auto const bytes = encode(messages);
    for (auto const vm : m_peers.domain_peers())
    {
        send(vm, bytes);
    }
}

/// Sends the member list and the health of upstreams to a new process.
void gossip_service::send_join_reply(gossip_message const& message)
{
    auto reply = make_message();
    auto members = m_peers.members();
    if (members.size() > max_members_sent)
    {
        members.resize(max_members_sent);
    }
    reply.m_members = std::move(members);
    auto const now = runtime_clock::now();
    reply.m_upstream_health = m_state->m_load_balancer.estimates(now);
    if (message.m_age < max_join_age)
    {
        reply.m_known_suspects = m_state->m_suspects.snapshot(now);
        reply.m_levels = m_state->m_rate_limiter.levels(now);
    }
    send(message.m_origin.m_vm, encode({&reply, 1}));
}

/// A granted permit counts as used on this VM even if the reply is lost.
void gossip_service::handle_permit_request(
    vm_tag from, permit_request const& request)
{
    bool const is_granted =
        m_state->m_retries.try_retry(runtime_clock::now(), request.m_service);
    auto reply = make_message();
    reply.m_permit_reply = {request.m_id, is_granted};
    send(from, encode({&reply, 1}));
}

void gossip_service::handle_permit_reply(permit_reply const& reply)
{
    auto const found = m_pending_permits.find(reply.m_id);
    if (found != m_pending_permits.end())
    {
        found->second->set(reply.m_is_granted);
    }
}

asio::awaitable<bool> gossip_service::request_permit(service_name service)
{
    auto const self = shared_from_this();
    for (auto const vm :
         m_peers.sample_live(runtime_clock::now(), max_permit_peers))
    {
        bool const is_granted = co_await request_permit_from(vm, service);
        if (is_granted)
        {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<bool>
gossip_service::request_permit_from(vm_tag peer, service_name const& service)
{
    auto const deadline = runtime_clock::now() + permit_reply_timeout;
    std::uint64_t const id = ++m_last_request_id;
    pending_value<bool> reply{m_io.get_executor()};
    scoped_waiter<std::uint64_t, bool> const wait{m_pending_permits, id, reply};
    auto message = make_message();
    message.m_permit_request = {id, service};
    send(peer, encode({&message, 1}));
    co_await reply.wait_until(deadline);
    // A permit that arrives late, after a pause of this process, is not used:
    // it may have returned to the granting VM.
    co_return reply.value().value_or(false) &&
        runtime_clock::now() < deadline + permit_reply_timeout;
}

asio::awaitable<void> gossip_service::heartbeat_loop()
{
    while (!m_is_stopped)
    {
        auto const now = runtime_clock::now();
        m_peers.remove_expired(now);
        m_state->set_fleet_view(now, m_peers.share_view(now));
        m_state->m_retries.set_position(m_peers.position(now));
        share_cold_upstreams(now);
        m_state->m_pool.close_expired(now);
        update_role(now);
        record_replica_ages(now);
        m_state->m_metrics.get_gauge("briarhub_upstreams_limited")
            .set(static_cast<double>(
                m_state->m_load_balancer.rate_limited_upstreams()));
        m_state->m_metrics.get_gauge("briarhub_upstreams_closed")
            .set(static_cast<double>(
                m_state->m_load_balancer.closed_upstreams(now)));
        m_state->record_warm_up(now);
        m_state->m_metrics.get_gauge("briarhub_buffered_body_bytes")
            .set(static_cast<double>(m_state->m_buffers.reserved()));
        save_health_snapshot(now);
        auto message = make_message();
        message.m_upstreams = m_state->m_load_balancer.collect_updates(true);
        message.m_usage = m_state->m_rate_limiter.collect_totals(true);
        message.m_suspects = m_state->m_suspects.collect_updates(now);
        if (m_heartbeats < join_request_heartbeats)
        {
            ++m_heartbeats;
            message.m_wants_members = true;
            contact_seeds();
        }
        send_all(message);
        contact_lost_peer();
        m_heartbeat_timer.expires_after(heartbeat_interval);
        co_await m_heartbeat_timer.async_wait(use_tuple);
    }
}

/// A process that has just started holds no permits for cold upstreams: its
/// previous run may have used them, and the peers may not know it yet.
void gossip_service::share_cold_upstreams(time_point now)
{
    auto members = m_peers.fleet_members();
    if (members && now - m_started >= permit_window)
    {
        m_state->m_load_balancer.set_members(
            m_peers.self().m_vm, std::move(*members));
    }
}

/// When the policy or the directory reaches the age at which this VM reads the
/// store itself.
time_point gossip_service::freshness_expiry() const
{
    auto const& freshness = m_state->m_freshness;
    return std::min(
        freshness.m_policy.expiry(m_max_replica_age),
        freshness.m_directory.expiry(m_max_replica_age));
}

/// A peer that is alive, or that waits for the store, says nothing about the
/// state of this VM, so the role follows the age of the state.
asio::awaitable<void> gossip_service::watch_freshness()
{
    while (!m_is_stopped)
    {
        auto const now = runtime_clock::now();
        update_role(now);
        m_freshness_timer.expires_at(
            std::max(freshness_expiry(), now + stale_check_interval));
        co_await m_freshness_timer.async_wait(use_tuple);
    }
}

void gossip_service::update_role(time_point now)
{
    auto const view = m_peers.view(now);
    m_state->m_metrics.get_gauge("briarhub_peers_heard")
        .set(static_cast<double>(view.m_heard));
    m_state->m_metrics.get_gauge("briarhub_peers_known")
        .set(static_cast<double>(view.m_known));
    bool const has_live_reader = now - m_reader_heard_at < reader_timeout;
    bool const is_fresh = now < freshness_expiry();
    auto const min_outage =
        min_outage_announcements * m_state->m_settings.m_announcement_interval;
    store_reader_role const role{
        m_peers.should_read_store(now) || !is_fresh,
        has_live_reader,
        m_state->m_freshness.unread_since(now, min_outage)};
    if (role == m_role)
    {
        return;
    }
    m_role = role;
    m_state->m_events.write(
        "store_duty",
        {{"reads", role.m_is_reader},
         {"fresh", is_fresh},
         {"fed", has_live_reader},
         {"peers_heard", view.m_heard},
         {"peers_known", view.m_known}});
    m_on_role(role);
}

void gossip_service::save_health_snapshot(time_point now)
{
    bool const is_due = m_status.m_state.m_reaches_store &&
                        now - m_snapshot_saved_at >= health_snapshot_interval &&
                        m_peers.is_fleet_leader(now);
    if (!is_due)
    {
        return;
    }
    auto estimates = m_state->m_load_balancer.estimates(now);
    auto suspects = m_state->m_suspects.snapshot(now);
    if (estimates.empty() && suspects.empty())
    {
        return;
    }
    m_snapshot_saved_at = now;
    m_on_health_snapshot(
        {wall_now(), std::move(estimates), std::move(suspects)});
}

void gossip_service::schedule_flush()
{
    if (m_is_flush_due || m_is_stopped)
    {
        return;
    }
    m_is_flush_due = true;
    m_flush_timer.expires_after(flush_delay());
    m_flush_timer.async_wait(
        [weak = weak_from_this()](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                self->flush();
            }
        });
}

duration gossip_service::flush_delay() const
{
    auto const vms = static_cast<std::int64_t>(m_peers.size());
    return std::clamp<duration>(
        vms * flush_delay_per_vm, min_flush_delay, max_flush_delay);
}

void gossip_service::flush()
{
    m_is_flush_due = false;
    bool const has_updates = m_state->m_load_balancer.has_updates() ||
                             m_state->m_rate_limiter.has_updates();
    if (!has_updates)
    {
        flush_relayed();
        return;
    }
    send_updates();
}

/// Sends the observations since the last call.
void gossip_service::send_updates()
{
    auto message = make_message();
    message.m_upstreams = m_state->m_load_balancer.collect_updates(false);
    message.m_usage = m_state->m_rate_limiter.collect_totals(false);
    message.m_suspects =
        m_state->m_suspects.collect_updates(runtime_clock::now());
    send_all(message);
}

void gossip_service::set_replica_status(replica_status_update const& update)
{
    auto const& state = update.m_state;
    bool const is_new_version =
        state.m_policy_version != m_status.m_state.m_policy_version ||
        state.m_policy_position != m_status.m_state.m_policy_position ||
        state.m_directory_position != m_status.m_state.m_directory_position;
    m_status = update;
    bool const was_fresh = runtime_clock::now() < freshness_expiry();
    auto& freshness = m_state->m_freshness;
    freshness.m_policy.set_version(state.m_policy_position);
    freshness.m_directory.set_version(state.m_directory_position);
    if (update.m_policy_read_at)
    {
        freshness.m_policy.confirm(
            state.m_policy_position, *update.m_policy_read_at);
    }
    if (update.m_directory_read_at)
    {
        freshness.m_directory.confirm(
            state.m_directory_position, *update.m_directory_read_at);
    }
    // The state of the peers is probably as old as this VM's was.
    auto const now = runtime_clock::now();
    bool const is_refreshed = !was_fresh && now < freshness_expiry();
    if (is_refreshed)
    {
        update_role(now);
    }
    if (is_new_version || is_refreshed)
    {
        send_updates();
    }
}

void gossip_service::add_listed_vms(std::vector<peer_address> const& members)
{
    auto const now = runtime_clock::now();
    for (auto const& member : members)
    {
        m_peers.add(now, member);
    }
    m_peers.set_vm_list_loaded();
    m_state->m_retries.set_position(m_peers.position(now));
}

void gossip_service::leave()
{
    auto message = make_message();
    message.m_is_leaving = true;
    message.m_upstreams = m_state->m_load_balancer.collect_updates(true);
    message.m_usage = m_state->m_rate_limiter.collect_totals(true);
    send_all(message);
}

void gossip_service::stop()
{
    m_is_stopped = true;
    m_heartbeat_timer.cancel();
    m_freshness_timer.cancel();
    m_flush_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

gossip_message gossip_service::make_message()
{
    gossip_message message;
    message.m_origin = m_peers.self();
    message.m_run = m_run;
    message.m_age = std::chrono::floor<std::chrono::milliseconds>(
        runtime_clock::now() - m_started);
    message.m_sequence = ++m_sequence;
    message.m_fleet_size = m_peers.known_fleet_size();
    message.m_state = m_status.m_state;
    message.m_replica_ages = read_ages();
    // A new process has no change history to serve yet.
    message.m_state.m_is_store_reader =
        m_status.m_state.m_is_store_reader && m_role.m_is_reader &&
        runtime_clock::now() - m_started >= min_reader_age;
    return message;
}

/// Ages of what this VM itself read from the store.
replica_ages gossip_service::read_ages() const
{
    auto const now = runtime_clock::now();
    auto const age_of = [now](std::optional<time_point> read_at)
    {
        using std::chrono::milliseconds;
        return read_at ? std::optional{std::chrono::ceil<milliseconds>(
                             now - *read_at)}
                       : std::nullopt;
    };
    return {
        age_of(m_status.m_policy_read_at),
        age_of(m_status.m_directory_read_at)};
}

void gossip_service::record_replica_ages(time_point now)
{
    auto const record = [&](std::string_view replica, auto const& freshness)
    {
        auto const age = freshness.age(now);
        if (age)
        {
            m_state->m_metrics
                .get_gauge(
                    "briarhub_replica_age_seconds",
                    {{"replica", std::string{replica}}})
                .set(std::chrono::duration<double>(*age).count());
        }
    };
    record("policy", m_state->m_freshness.m_policy);
    record("upstreams", m_state->m_freshness.m_directory);
}

/// Relayed messages share the datagrams to the own failure domain.
void gossip_service::send_all(gossip_message const& message)
{
    auto relayed = message;
    relayed.m_relay = true;
    std::string const remote = encode({&relayed, 1});
    auto local_messages = std::exchange(m_relayed, {});
    local_messages.push_back(message);
    std::string const local = encode(local_messages);
    for (auto const& to : m_peers.destinations(runtime_clock::now()))
    {
        send(to.m_vm, to.m_relay ? remote : local);
    }
}

/// A send error counts as a lost datagram.
void gossip_service::send(vm_tag to, std::string const& bytes)
{
    if (to == 0 || to == m_peers.self().m_vm || !m_socket.is_open())
    {
        return;
    }
    error_code error;
    udp::endpoint const endpoint{
        asio::ip::address_v4{to}, m_state->m_settings.m_gossip_port};
    auto const sent = m_socket.send_to(asio::buffer(bytes), endpoint, 0, error);
    if (!error)
    {
        m_sent_bytes.add(sent);
    }
}

} // namespace briarhub
