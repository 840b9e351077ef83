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

/// News waits this long for more, for each VM of the fleet: what a VM receives
/// in a second then hardly grows with the fleet. At most a fraction of the time
/// that an upstream works on a request.
constexpr std::chrono::microseconds flush_delay_per_vm{400};
constexpr std::chrono::milliseconds min_flush_delay{10};
constexpr std::chrono::milliseconds max_flush_delay{80};

/// Relayed messages in one datagram. A heartbeat with 80 accounts has 1 kB.
constexpr std::size_t max_relayed = 64;

/// The control thread hears of newer state at a peer at most this often.
constexpr std::chrono::milliseconds newer_interval{20};

constexpr std::chrono::milliseconds heartbeat_interval{500};

/// Without word from a VM that reads the store, this VM reads it itself. Two
/// heartbeats may be lost; what is left of the drain bound suffices for a
/// read.
constexpr std::chrono::milliseconds feed_limit{1200};

/// A process that has just started leaves the reading to others, if there are
/// any.
constexpr std::chrono::milliseconds min_following_age{1500};

/// Beliefs are written to the store this often, for VMs that start when no
/// other is left. An upstream's condition lasts some ten times as long.
constexpr std::chrono::milliseconds belief_interval{1000};

/// Members in one datagram; it stays below the usual packet size.
constexpr std::size_t max_members_told = 100;

constexpr std::size_t max_datagram_bytes = 64 * 1024;

/// Peers that are asked for a permit, one after the other, and the time that
/// each has to reply: some round trips between failure domains.
constexpr std::size_t max_lenders_asked = 3;
constexpr std::chrono::milliseconds permit_reply_timeout{20};

/// A process that asks for the members again later has heard the rest.
constexpr std::chrono::milliseconds told_age{800};

/// Heartbeats of a new process that ask for the members.
constexpr unsigned asking_heartbeats = 4;

std::uint32_t random_run()
{
    std::random_device source;
    return source() | 1U;
}

vm_tag tag_of_ip(std::string const& ip)
{
    error_code error;
    auto const address = asio::ip::make_address_v4(ip, error);
    return error ? 0 : address.to_uint();
}

peer_address own_address(edge_settings const& options)
{
    return {tag_of_ip(options.m_ip), short_hash(options.m_failure_domain)};
}

} // namespace

gossip_service::gossip_service(
    asio::io_context& io,
    std::shared_ptr<edge_state> state,
    duty_handler on_duty,
    newer_handler on_newer,
    beliefs_handler on_beliefs)
    : m_io(io), m_state(std::move(state)), m_on_duty(std::move(on_duty)),
      m_on_newer(std::move(on_newer)), m_on_beliefs(std::move(on_beliefs)),
      m_peers(own_address(m_state->m_settings), m_state->m_random()),
      m_socket(
          io,
          udp::endpoint{
              asio::ip::make_address(m_state->m_settings.m_ip),
              m_state->m_settings.m_gossip_port}),
      m_flush_timer(io), m_heartbeat_timer(io), m_run(random_run()),
      m_sent_bytes(
          m_state->m_metrics.get_counter("briarhub_gossip_sent_bytes_total")),
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
    find_seeds();
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
}

/// Seeds of unknown failure domains are asked directly until they answer.
void gossip_service::find_seeds()
{
    auto message = make_message();
    message.m_wants_members = true;
    auto const bytes = encode({&message, 1});
    for (auto const& seed : m_state->m_settings.m_seeds)
    {
        if (auto const endpoint = split_endpoint(seed))
        {
            send(tag_of_ip(endpoint->m_ip), bytes);
        }
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
    bool const is_newest = m_peers.hear(now, message);
    take(now, message, is_newest);
    if (message.m_wants_members)
    {
        answer_newcomer(message);
    }
    if (message.m_permit_ask)
    {
        answer_ask(message.m_origin.m_vm, *message.m_permit_ask);
    }
    if (message.m_permit_reply)
    {
        take_reply(*message.m_permit_reply);
    }
    if (message.m_pass_on)
    {
        pass_on(std::move(message));
    }
}

void gossip_service::take(
    time_point now, gossip_message const& message, bool is_newest)
{
    m_state->m_load_balancer.receive(
        now, message.m_origin.m_vm, message.m_sequence, message.m_upstreams);
    m_state->m_load_balancer.adopt(now, message.m_beliefs);
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
    if (state.m_is_following && is_newest)
    {
        m_last_feed = now;
    }
    bool const is_ahead =
        state.m_policy_version > m_held.m_policy_version ||
        (state.m_is_following &&
         state.m_directory_change > m_held.m_directory_change);
    if (is_ahead && now - m_newer_told >= newer_interval)
    {
        m_newer_told = now;
        bool const is_near =
            message.m_origin.m_domain == m_peers.self().m_domain;
        m_on_newer({message.m_origin.m_vm, is_near, state});
    }
}

void gossip_service::pass_on(gossip_message&& message)
{
    message.m_pass_on = false;
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
        send_near(std::exchange(m_relayed, {}));
    }
}

void gossip_service::send_near(std::vector<gossip_message> const& messages)
{
    auto const bytes = encode(messages);
    for (auto const vm : m_peers.neighbours())
    {
        send(vm, bytes);
    }
}

/// Gives a new process the members and what this VM believes.
void gossip_service::answer_newcomer(gossip_message const& message)
{
    auto reply = make_message();
    auto members = m_peers.members();
    if (members.size() > max_members_told)
    {
        members.resize(max_members_told);
    }
    reply.m_members = std::move(members);
    auto const now = runtime_clock::now();
    reply.m_beliefs = m_state->m_load_balancer.estimates(now);
    if (message.m_age < told_age)
    {
        reply.m_known_suspects = m_state->m_suspects.snapshot(now);
        reply.m_levels = m_state->m_rate_limiter.levels(now);
    }
    send(message.m_origin.m_vm, encode({&reply, 1}));
}

/// The permit counts as used here, whether or not the reply arrives.
void gossip_service::answer_ask(vm_tag from, permit_ask const& ask)
{
    bool const is_given =
        m_state->m_retries.try_retry(runtime_clock::now(), ask.m_service);
    auto reply = make_message();
    reply.m_permit_reply = {ask.m_id, is_given};
    send(from, encode({&reply, 1}));
}

void gossip_service::take_reply(permit_reply const& reply)
{
    auto const found = m_open_asks.find(reply.m_id);
    if (found != m_open_asks.end())
    {
        found->second->set(reply.m_is_given);
    }
}

asio::awaitable<bool> gossip_service::borrow_permit(service_name service)
{
    auto const self = shared_from_this();
    for (auto const vm :
         m_peers.some_live(runtime_clock::now(), max_lenders_asked))
    {
        bool const is_given = co_await ask_for_permit(vm, service);
        if (is_given)
        {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<bool>
gossip_service::ask_for_permit(vm_tag peer, service_name const& service)
{
    auto const deadline = runtime_clock::now() + permit_reply_timeout;
    std::uint64_t const id = ++m_asks;
    pending_value<bool> reply{m_io.get_executor()};
    registered_wait<std::uint64_t, bool> const wait{m_open_asks, id, reply};
    auto message = make_message();
    message.m_permit_ask = {id, service};
    send(peer, encode({&message, 1}));
    co_await reply.wait_until(deadline);
    // A permit that comes late, after a pause of this process, is not used:
    // it may have returned to its lender.
    co_return reply.value().value_or(false) &&
        runtime_clock::now() < deadline + permit_reply_timeout;
}

asio::awaitable<void> gossip_service::heartbeat_loop()
{
    while (!m_is_stopped)
    {
        auto const now = runtime_clock::now();
        m_peers.forget_silent(now);
        m_state->m_rate_limiter.set_view(now, m_peers.view(now));
        m_state->m_retries.set_position(m_peers.position(now));
        m_state->m_pool.close_expired(now);
        update_duty(now);
        keep_beliefs(now);
        auto message = make_message();
        message.m_upstreams = m_state->m_load_balancer.collect_updates(true);
        message.m_usage = m_state->m_rate_limiter.collect_totals(true);
        message.m_suspects = m_state->m_suspects.collect_updates(now);
        if (m_heartbeats < asking_heartbeats)
        {
            ++m_heartbeats;
            message.m_wants_members = true;
            find_seeds();
        }
        send_all(message);
        m_heartbeat_timer.expires_after(heartbeat_interval);
        co_await m_heartbeat_timer.async_wait(use_tuple);
    }
}

void gossip_service::update_duty(time_point now)
{
    auto const view = m_peers.view(now);
    m_state->m_metrics.get_gauge("briarhub_peers_heard")
        .set(static_cast<double>(view.m_heard));
    m_state->m_metrics.get_gauge("briarhub_peers_known")
        .set(static_cast<double>(view.m_known));
    bool const is_fed = now - m_last_feed < feed_limit;
    store_duty const duty{m_peers.should_follow(now) || !is_fed, is_fed};
    if (duty == m_duty)
    {
        return;
    }
    m_duty = duty;
    m_state->m_events.write(
        "store_duty",
        {{"reads", duty.m_reads},
         {"fed", is_fed},
         {"peers_heard", view.m_heard},
         {"peers_known", view.m_known}});
    m_on_duty(duty);
}

void gossip_service::keep_beliefs(time_point now)
{
    bool const is_due = m_held.m_has_store &&
                        now - m_beliefs_kept >= belief_interval &&
                        m_peers.leads_fleet(now);
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
    m_beliefs_kept = now;
    m_on_beliefs({wall_now(), std::move(estimates), std::move(suspects)});
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
    bool const has_own = m_state->m_load_balancer.has_updates() ||
                         m_state->m_rate_limiter.has_updates();
    if (!has_own)
    {
        flush_relayed();
        return;
    }
    tell_news();
}

/// Sends what this VM saw since the last time.
void gossip_service::tell_news()
{
    auto message = make_message();
    message.m_upstreams = m_state->m_load_balancer.collect_updates(false);
    message.m_usage = m_state->m_rate_limiter.collect_totals(false);
    message.m_suspects =
        m_state->m_suspects.collect_updates(runtime_clock::now());
    send_all(message);
}

void gossip_service::set_held_state(held_state const& state)
{
    bool const is_news = state.m_policy_version != m_held.m_policy_version ||
                         state.m_directory_change != m_held.m_directory_change;
    m_held = state;
    if (is_news)
    {
        tell_news();
    }
}

void gossip_service::take_list(std::vector<peer_address> const& members)
{
    auto const now = runtime_clock::now();
    for (auto const& member : members)
    {
        m_peers.add(now, member);
    }
    m_peers.set_list_read();
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
    message.m_fleet_size = m_peers.named();
    message.m_state = m_held;
    // A new process has no journal of changes yet.
    message.m_state.m_is_following =
        m_held.m_is_following && m_duty.m_reads &&
        runtime_clock::now() - m_started >= min_following_age;
    return message;
}

/// Messages to be passed on go along to the own failure domain.
void gossip_service::send_all(gossip_message const& message)
{
    auto relayed = message;
    relayed.m_pass_on = true;
    std::string const far = encode({&relayed, 1});
    auto near_messages = std::exchange(m_relayed, {});
    near_messages.push_back(message);
    std::string const near = encode(near_messages);
    for (auto const& to : m_peers.destinations(runtime_clock::now()))
    {
        send(to.m_vm, to.m_pass_on ? far : near);
    }
}

/// A datagram that cannot be sent is lost like any other.
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
