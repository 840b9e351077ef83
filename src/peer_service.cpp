#include "peer_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace briarhub
{
namespace
{

/// Short enough for a second probe within the freshness window.
constexpr std::chrono::milliseconds probe_timeout{1000};
constexpr std::chrono::milliseconds records_timeout{5000};
constexpr std::chrono::milliseconds lease_timeout{1000};

/// Delay before records are fetched from a peer, since the log usually delivers
/// a new record about as soon as a peer reports its version.
constexpr std::chrono::milliseconds fetch_delay{200};
constexpr std::size_t max_parallel_fetches = 3;

/// Probe interval while a change waits for a majority of the members.
constexpr std::chrono::milliseconds confirm_interval{100};
constexpr std::size_t max_confirm_probes = 64;

/// Peer connections that are idle for this long are closed.
constexpr std::chrono::seconds connection_idle_limit{60};

/// Records per reply; the peer requests the rest separately.
constexpr std::size_t max_records_in_reply = 1000;

} // namespace

peer_service::peer_service(
    boost::asio::io_context& io,
    settings const& options,
    fleet_state& fleet,
    traffic_outbox& outbox,
    metrics_registry& metrics)
    : m_io(io), m_fleet(fleet), m_outbox(outbox),
      m_sent_bytes(metrics.get_counter(
          "briarhub_peer_bytes_total", {{"direction", "sent"}})),
      m_received_bytes(metrics.get_counter(
          "briarhub_peer_bytes_total", {{"direction", "received"}})),
      m_rejected_messages(
          metrics.get_counter("briarhub_peer_messages_refused_total")),
      m_round_trip(
          metrics.get_latency_summary("briarhub_probe_round_trip_seconds")),
      m_client(io), m_server(
                        io,
                        options.m_peer_listen,
                        [this](
                            std::string_view path,
                            std::string_view text,
                            peer_response_callback respond)
                        {
                            handle_request(path, text, std::move(respond));
                        }),
      m_wakeup(io), m_news(fleet.self())
{
}

std::uint16_t peer_service::port() const
{
    return m_server.port();
}

void peer_service::stop()
{
    m_stopped = true;
    m_pending_lease_requests.clear();
    m_server.stop();
    m_wakeup.notify();
}

peer_sender peer_service::make_sender() const
{
    member const& self = m_fleet.self();
    if (!m_fleet.log().has_state())
    {
        return {self.m_vm, self.m_incarnation, 0, 0};
    }
    return {
        self.m_vm,
        self.m_incarnation,
        m_fleet.version(),
        std::min(m_fleet.version(), m_fleet.stable_version())};
}

boost::asio::awaitable<void> peer_service::run_probes()
{
    while (!m_stopped)
    {
        time_point const now = runtime_clock::now();
        for (entry_vm const& peer : m_fleet.members().next_probes(now))
        {
            start_probe(peer);
        }
        m_silent = m_fleet.members().unreachable_vms(now);
        m_fleet.tick(now);
        m_client.close_idle_connections(now, connection_idle_limit);
        expire_lease_requests(now);
        update_byte_counters();
        co_await m_wakeup.wait_until(now + probe_interval);
    }
}

void peer_service::update_byte_counters()
{
    auto const client = m_client.totals();
    auto const server = m_server.totals();
    std::uint64_t const sent = client.m_bytes_sent + server.m_sent;
    std::uint64_t const received = client.m_bytes_received + server.m_received;
    m_sent_bytes.add(sent - m_sent_bytes.value());
    m_received_bytes.add(received - m_received_bytes.value());
}

void peer_service::expire_lease_requests(time_point now)
{
    std::erase_if(
        m_pending_lease_requests,
        [&](auto const& entry)
        {
            return now - entry.second.m_received_at > lease_timeout;
        });
}

/// Probes the members that have not acknowledged the version until a majority
/// has. The regular probes alone would take seconds in a large fleet.
boost::asio::awaitable<void>
peer_service::wait_until_stable(control_version version, time_point deadline)
{
    time_point now = runtime_clock::now();
    while (!m_stopped && now < deadline && m_fleet.stable_version() < version)
    {
        std::size_t started = 0;
        for (member const& entry : m_fleet.state().m_members)
        {
            if (entry.m_vm == m_fleet.self().m_vm ||
                m_acknowledged_versions[entry.m_vm] >= version ||
                started >= max_confirm_probes)
            {
                continue;
            }
            if (auto const peer = m_fleet.members().find(entry.m_vm))
            {
                start_probe(*peer);
                ++started;
            }
        }
        co_await m_wakeup.wait_until(now + confirm_interval);
        now = runtime_clock::now();
    }
}

void peer_service::start_probe(entry_vm const& peer)
{
    if (m_probing.insert(peer.m_id).second)
    {
        boost::asio::co_spawn(m_io, probe(peer), boost::asio::detached);
    }
}

boost::asio::awaitable<void> peer_service::probe(entry_vm peer)
{
    time_point const start = runtime_clock::now();
    probe_message const message{
        make_sender(), m_news.collect_for(start, peer.m_id), m_silent};
    std::string text = serialize(message);
    auto const result = co_await m_client.request(
        peer.m_peer_address,
        std::string{probe_path},
        std::move(text),
        probe_timeout);
    if (m_stopped)
    {
        co_return;
    }
    m_probing.erase(peer.m_id);
    auto const* const response = std::get_if<std::string>(&result);
    auto reply =
        response == nullptr ? std::nullopt : parse_probe_reply(*response);
    // The address of a removed VM may have been reassigned to another VM.
    if (!reply || reply->m_sender.m_vm != peer.m_id)
    {
        m_news.resend_suspects(peer.m_id);
        m_fleet.peer_probe_failed(runtime_clock::now(), peer.m_id);
        co_return;
    }
    handle_probe_reply(peer, start, *reply);
}

void peer_service::handle_probe_reply(
    entry_vm const& peer, time_point start, probe_message const& reply)
{
    time_point const now = runtime_clock::now();
    m_round_trip.record(now - start);
    peer_sender const& sender = reply.m_sender;
    m_acknowledged_versions[sender.m_vm] = sender.m_version;
    auto const replying_member =
        m_fleet.resolve_member(sender.m_vm, sender.m_incarnation);
    if (replying_member)
    {
        m_fleet.peer_probe_succeeded(
            now, start, *replying_member, sender.m_version);
    }
    process_gossip(reply);
    if (sender.m_version > make_sender().m_version)
    {
        start_fetch(peer);
    }
}

void peer_service::start_fetch(entry_vm const& peer)
{
    if (m_fetching.size() < max_parallel_fetches &&
        m_fetching.insert(peer.m_id).second)
    {
        boost::asio::co_spawn(m_io, fetch(peer), boost::asio::detached);
    }
}

boost::asio::awaitable<void> peer_service::fetch(entry_vm peer)
{
    if (m_fleet.log().has_state())
    {
        time_point const start = runtime_clock::now() + fetch_delay;
        co_await m_wakeup.wait_until(start);
    }
    bool has_more = !m_stopped;
    while (has_more)
    {
        has_more = co_await fetch_batch(peer);
    }
    if (!m_stopped)
    {
        m_fetching.erase(peer.m_id);
    }
}

/// Returns true if the peer may have more records.
boost::asio::awaitable<bool> peer_service::fetch_batch(entry_vm peer)
{
    control_version const before = make_sender().m_version;
    if (m_acknowledged_versions[peer.m_id] <= before)
    {
        co_return false;
    }
    records_request request{make_sender(), std::nullopt};
    log_offset const next = m_fleet.log().next_offset();
    if (m_fleet.log().has_state() && next > 0)
    {
        request.m_after = next - 1;
    }
    std::string text = serialize(request);
    auto const result = co_await m_client.request(
        peer.m_peer_address,
        std::string{records_path},
        std::move(text),
        records_timeout);
    auto const* const response = std::get_if<std::string>(&result);
    auto const reply =
        response == nullptr ? std::nullopt : parse_records_reply(*response);
    if (m_stopped || !reply)
    {
        co_return false;
    }
    apply_records_reply(*reply);
    co_return make_sender().m_version > before;
}

void peer_service::apply_records_reply(records_reply const& reply)
{
    time_point const now = runtime_clock::now();
    if (reply.m_snapshot)
    {
        auto record = parse_control_record(*reply.m_snapshot);
        auto* const snapshot =
            record ? std::get_if<snapshot_record>(&*record) : nullptr;
        if (snapshot != nullptr)
        {
            m_fleet.install_snapshot(now, *snapshot);
        }
        return;
    }
    // A gap between records would make the state unusable.
    bool const is_contiguous =
        !reply.m_records.empty() &&
        reply.m_records.front().m_offset <= m_fleet.log().next_offset();
    if (is_contiguous && m_fleet.log().has_state())
    {
        m_fleet.fold(now, reply.m_records);
    }
}

void peer_service::send(addressed_lease_message&& message)
{
    std::visit(
        [&](auto const& content)
        {
            send_lease_message(message.m_peer, content);
        },
        message.m_message);
}

void peer_service::send_lease_message(
    vm_id const& peer, lease_request const& lease)
{
    boost::asio::co_spawn(
        m_io, send_lease_request(peer, lease), boost::asio::detached);
}

void peer_service::send_lease_message(
    vm_id const& peer, lease_return const& lease)
{
    boost::asio::co_spawn(
        m_io, send_lease_return(peer, lease), boost::asio::detached);
}

/// Replies to the pending request of the peer. If there is none, the reply is
/// dropped, and the grantor reclaims the lease when it expires.
void peer_service::send_lease_message(
    vm_id const& peer, lease_reply const& lease)
{
    auto node = m_pending_lease_requests.extract({peer, lease.m_request_id});
    if (!node.empty())
    {
        node.mapped().m_respond(serialize(lease));
    }
}

boost::asio::awaitable<void>
peer_service::send_lease_request(vm_id peer, lease_request lease)
{
    auto const vm = m_fleet.members().find(peer);
    if (!vm)
    {
        co_return;
    }
    sent_loan_message<lease_request> const message{make_sender(), lease};
    std::string text = serialize(message);
    auto const result = co_await m_client.request(
        vm->m_peer_address,
        std::string{loan_path},
        std::move(text),
        lease_timeout);
    auto const* const response = std::get_if<std::string>(&result);
    auto reply =
        response == nullptr ? std::nullopt : parse_loan_reply(*response);
    if (m_stopped || !reply || reply->m_account != lease.m_account ||
        reply->m_request_id != lease.m_request_id)
    {
        co_return;
    }
    m_outbox.send(addressed_lease_message{peer, std::move(*reply)});
}

boost::asio::awaitable<void>
peer_service::send_lease_return(vm_id peer, lease_return lease)
{
    auto const vm = m_fleet.members().find(peer);
    if (!vm)
    {
        co_return;
    }
    sent_loan_message<lease_return> const message{make_sender(), lease};
    std::string text = serialize(message);
    // No retry: a duplicate would credit the grantor twice, whereas a lost
    // message only loses tokens.
    co_await m_client.request(
        vm->m_peer_address,
        std::string{loan_return_path},
        std::move(text),
        lease_timeout);
}

void peer_service::add_evidence(std::vector<evidence> const& items)
{
    m_news.add_evidence(runtime_clock::now(), items);
}

void peer_service::add_suspects(std::vector<suspect_request> const& items)
{
    m_news.add_suspects(runtime_clock::now(), items);
}

void peer_service::handle_request(
    std::string_view path,
    std::string_view text,
    peer_response_callback respond)
{
    if (path == loan_path)
    {
        handle_lease_request(text, std::move(respond));
        return;
    }
    std::optional<std::string> response;
    if (path == probe_path)
    {
        response = handle_probe(text);
    }
    else if (path == records_path)
    {
        response = handle_records_request(text);
    }
    else if (path == loan_return_path)
    {
        response = handle_lease_return(text);
    }
    if (!response)
    {
        m_rejected_messages.add();
    }
    respond(std::move(response));
}

std::optional<std::string> peer_service::handle_probe(std::string_view text)
{
    auto const probe = parse_probe(text);
    if (!probe)
    {
        return std::nullopt;
    }
    time_point const now = runtime_clock::now();
    peer_sender const& sender = probe->m_sender;
    process_gossip(*probe);
    if (sender.m_version > make_sender().m_version)
    {
        m_acknowledged_versions[sender.m_vm] = sender.m_version;
        if (auto const peer = m_fleet.members().find(sender.m_vm))
        {
            start_fetch(*peer);
        }
    }
    return serialize_reply(
        {make_sender(), m_news.collect_for(now, sender.m_vm), m_silent});
}

std::optional<std::string>
peer_service::handle_records_request(std::string_view text)
{
    auto const request = parse_records_request(text);
    if (!request)
    {
        return std::nullopt;
    }
    records_reply reply{make_sender(), {}, std::nullopt};
    if (!m_fleet.log().has_state())
    {
        return serialize(reply);
    }
    auto records = request->m_after
                       ? m_fleet.log().records_after(*request->m_after)
                       : std::nullopt;
    if (records)
    {
        records->resize(std::min(records->size(), max_records_in_reply));
        reply.m_records = std::move(*records);
        return serialize(reply);
    }
    auto snapshot = m_fleet.log().make_snapshot();
    snapshot.m_stable_version = m_fleet.stable_version();
    reply.m_snapshot = to_record(snapshot);
    return serialize(reply);
}

/// An earlier incarnation must no longer transfer rate shares, since they
/// belong to its successor.
bool peer_service::is_stale_sender(peer_sender const& sender) const
{
    auto const& members = m_fleet.state().m_members;
    auto const found = std::ranges::find(members, sender.m_vm, &member::m_vm);
    return found != members.end() &&
           found->m_incarnation != sender.m_incarnation &&
           sender.m_version <= make_sender().m_version;
}

void peer_service::handle_lease_request(
    std::string_view text, peer_response_callback respond)
{
    auto const request = parse_loan_request(text);
    if (!request || is_stale_sender(request->m_sender))
    {
        m_rejected_messages.add();
        respond(std::nullopt);
        return;
    }
    vm_id const& peer = request->m_sender.m_vm;
    bool const sent =
        m_outbox.send(addressed_lease_message{peer, request->m_content});
    if (!sent)
    {
        respond(std::nullopt);
        return;
    }
    m_pending_lease_requests[{peer, request->m_content.m_request_id}] = {
        runtime_clock::now(), std::move(respond)};
}

std::optional<std::string>
peer_service::handle_lease_return(std::string_view text)
{
    auto const message = parse_loan_return(text);
    if (!message || is_stale_sender(message->m_sender))
    {
        return std::nullopt;
    }
    m_outbox.send(
        addressed_lease_message{message->m_sender.m_vm, message->m_content});
    return std::string{};
}

void peer_service::process_gossip(probe_message const& message)
{
    time_point const now = runtime_clock::now();
    peer_sender const& sender = message.m_sender;
    auto reporter = m_fleet.resolve_member(sender.m_vm, sender.m_incarnation);
    if (!reporter)
    {
        return;
    }
    m_fleet.raise_stable_version(now, sender.m_stable_version);
    m_fleet.members().update_unreachable_report(
        now, *reporter, message.m_silent);
    auto added = m_news.receive(now, message.m_news.m_suspects);
    if (!added.empty())
    {
        m_outbox.send(peer_suspects{std::move(added)});
    }
    if (!message.m_news.m_evidence.empty())
    {
        m_outbox.send(
            peer_evidence{std::move(*reporter), message.m_news.m_evidence});
    }
}

} // namespace briarhub
