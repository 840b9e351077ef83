#include "state_sync.hpp"

#include "compression.hpp"
#include "gossip.pb.h"
#include "parse_number.hpp"
#include "random_seed.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// The policy is read by long polling, but a store may not wake a read that
/// arrives while a change is being written. So a poll ends after this fraction
/// of the bound within which a change must be in force.
constexpr int waits_per_policy_bound = 4;

/// Delay between reads, which batches changes in quick succession.
constexpr milliseconds policy_batch_delay{60};

/// Upstreams announce themselves all the time, so the directory is read at
/// intervals: this fraction of the bound within which a change must be in
/// force.
constexpr int reads_per_drain_bound = 4;

constexpr milliseconds min_retry_delay{150};
constexpr milliseconds max_retry_delay{1000};

/// A VM that has not read a topic for this many of its usual intervals reads
/// the newest records instead of the history since then.
constexpr int max_missed_intervals = 3;

constexpr milliseconds fetch_timeout{800};

/// Largest configuration that is accepted from a peer.
constexpr std::size_t max_policy_bytes = 64UL * 1024 * 1024;

/// A request names the state that the peer has, in a few bytes. A response has
/// up to some 350 kB, and 36 VMs may ask at once. Peers open a connection again
/// when they need it.
constexpr peer_server_limits server_limits{
    .m_max_message_bytes = 64UL * 1024,
    .m_max_held_bytes = 16UL * 1024 * 1024,
    .m_max_connections = 128};

/// Older data on the health of upstreams is ignored: an upstream's condition
/// lasts about ten seconds.
constexpr std::chrono::seconds max_health_age{30};

/// Key of the health snapshot record; the other keys are VM addresses.
constexpr std::string_view health_snapshot_key = "beliefs";

/// A peer of another failure domain is asked only if no peer of the own domain
/// provides the state within this delay: traffic between domains is expensive.
constexpr milliseconds cross_domain_fetch_delay{60};

/// Limit of concurrent fetches. A second peer is asked while the first one may
/// be dead; more would leave a small VM no time to read any reply.
constexpr unsigned max_fetches = 2;

/// Bounds of the exponential backoff after failed fetches.
constexpr milliseconds min_fetch_backoff{50};
constexpr milliseconds max_fetch_backoff{800};

/// Peers that are asked in turn until one replies. Seeds are three at the most.
constexpr std::size_t max_peers_asked = 4;

constexpr std::string_view state_path = "/state";

bool is_recent(
    std::optional<time_point> read_at, time_point now, milliseconds interval)
{
    return read_at && now - *read_at < max_missed_intervals * interval;
}

boost::json::value to_json(log_position position)
{
    return boost::json::object{
        {"era", position.m_era}, {"offset", position.m_offset}};
}

boost::json::value to_json(std::optional<log_position> position)
{
    return position ? to_json(*position) : boost::json::value{};
}

/// Time as of which the page of a read is current. A read without a result was
/// answered after its wait.
time_point read_time(time_point sent, milliseconds wait, store_page const& page)
{
    return page.m_records.empty() ? std::min(sent + wait, runtime_clock::now())
                                  : sent;
}

/// A VM that registered this long before the store returned from an older copy
/// may be missing there. Far above the age of a copy.
constexpr std::chrono::seconds max_copy_age{60};

/// Upper bound of the random delay of that registration, which spreads those of
/// VMs that started together.
constexpr milliseconds max_registration_delay{2000};

/// Interval of fetches from the seeds while no state is known.
constexpr milliseconds seed_interval{400};

void write_directory(
    wire::StateReply& reply, upstream_directory::change_set const& update)
{
    reply.set_is_whole_directory(update.m_is_snapshot);
    reply.set_directory_change(update.m_last_change.m_offset);
    reply.set_directory_era(update.m_last_change.m_era);
    for (auto const& record : update.m_records)
    {
        auto& added = *reply.add_records();
        added.set_key(record.m_key);
        added.set_value(record.m_value);
        added.set_is_removed(record.m_is_removed);
        added.set_offset(record.m_position.m_offset);
        added.set_era(record.m_position.m_era);
    }
}

upstream_directory::change_set read_directory(wire::StateReply const& state)
{
    upstream_directory::change_set update;
    update.m_is_snapshot = state.is_whole_directory();
    update.m_last_change = {state.directory_era(), state.directory_change()};
    for (auto const& record : state.records())
    {
        update.m_records.push_back(
            {record.key(),
             record.value(),
             record.is_removed(),
             {record.era(), record.offset()}});
    }
    return update;
}

} // namespace

state_sync::state_sync(
    asio::io_context& io,
    edge_settings const& options,
    fleet_store& store,
    metrics_registry& metrics,
    event_log& events,
    event_handler on_event)
    : m_io(io), m_options(options), m_store(store), m_metrics(metrics),
      m_events(events), m_on_event(std::move(on_event)), m_client(io),
      m_server(
          io,
          options.m_peer_listen,
          [this](
              std::string_view path,
              std::string_view message,
              peer_response_callback const& respond)
          {
              respond(handle_request(path, message));
          },
          server_limits),
      m_directory(
          [this](std::string_view key, std::string_view value)
          {
              return m_store.decode_upstream(key, value);
          },
          [this](std::string const& key, std::string const& reason)
          {
              m_metrics.get_counter("briarhub_upstream_entries_rejected_total")
                  .add();
              m_events.write(
                  "upstream_entry_rejected",
                  {{"key", key}, {"reason", reason}});
          }),
      m_random(random_seed()), m_policy_timer(io), m_upstreams_timer(io),
      m_removal_timer(io), m_order_timer(io)
{
}

void state_sync::start()
{
    asio::co_spawn(m_io, poll_policy(), asio::detached);
    asio::co_spawn(m_io, poll_upstreams(), asio::detached);
    asio::co_spawn(m_io, join_fleet(), asio::detached);
    asio::co_spawn(m_io, fetch_from_seeds(), asio::detached);
    asio::co_spawn(m_io, learn_departures(), asio::detached);
}

void state_sync::stop()
{
    m_is_stopped = true;
    m_policy_timer.cancel();
    m_upstreams_timer.cancel();
    m_removal_timer.cancel();
    m_order_timer.cancel();
    m_server.stop();
}

void state_sync::set_role(store_reader_role const& role)
{
    bool const becomes_reader = role.m_is_reader && !m_role.m_is_reader;
    if (!role.m_store_unread_since)
    {
        record_outage_end(runtime_clock::now());
    }
    m_role = role;
    if (becomes_reader)
    {
        m_policy_timer.cancel();
        m_upstreams_timer.cancel();
    }
}

/// Where the process of a VM serves its peers: all use one port.
endpoint_address
state_sync::peer_endpoint(asio::ip::address_v4 const& address) const
{
    auto const own = split_endpoint(m_options.m_peer_listen);
    auto const port = own ? own->m_port : std::uint16_t{0};
    return address.to_string() + ':' + std::to_string(port);
}

asio::awaitable<void> state_sync::pause(duration length)
{
    timer alarm{m_io, length};
    co_await alarm.async_wait(use_tuple);
}

asio::awaitable<void> state_sync::wait_for_role(timer& alarm)
{
    while (!m_role.m_is_reader && !m_is_stopped)
    {
        // How long the store is away is not observed without calls.
        m_failing_since.reset();
        alarm.expires_at(time_point::max());
        co_await alarm.async_wait(use_tuple);
    }
}

/// Reads the other VMs and the health snapshot, and registers this VM in the
/// store. VMs that start together for the first time must write before they
/// read, or they miss each other; a VM that is already registered need not
/// write.
asio::awaitable<void> state_sync::join_fleet()
{
    bool is_registered = false;
    if (!m_options.m_is_bootstrap)
    {
        is_registered = co_await read_members();
    }
    if (!is_registered)
    {
        co_await register_vm();
        co_await read_members();
    }
    else
    {
        // An earlier run of the process may have registered a short time ago.
        m_registered_at = runtime_clock::now();
    }
}

/// Registers this VM in the store; returns when the store confirms it.
asio::awaitable<void> state_sync::register_vm()
{
    while (!m_is_stopped)
    {
        auto const sent = runtime_clock::now();
        auto const failure = co_await m_store.put(
            store_topic::fleet, m_options.m_ip, m_options.m_failure_domain);
        record_store_era();
        if (!failure)
        {
            m_registered_at = runtime_clock::now();
            break;
        }
        record_store_failure(sent, "announce", *failure);
        co_await pause(retry_delay());
    }
}

/// Registers this VM again in a store that returned from an older copy.
asio::awaitable<void> state_sync::register_again()
{
    std::uniform_int_distribution<milliseconds::rep> delay_ms{
        0, max_registration_delay.count()};
    milliseconds const delay{delay_ms(m_random)};
    co_await pause(delay);
    co_await register_vm();
    m_metrics.get_counter("briarhub_repeated_registrations_total").add();
    m_events.write("registered_again", {{"delay_ms", delay.count()}});
}

/// True if this VM is registered. A failed read is not retried: peers that know
/// this VM, or the seeds, provide the members and the health of upstreams.
asio::awaitable<bool> state_sync::read_members()
{
    auto const sent = runtime_clock::now();
    auto const result = co_await m_store.read_latest(store_topic::fleet);
    record_store_era();
    if (auto const* failure = std::get_if<store_failure>(&result))
    {
        record_store_failure(sent, "fleet", *failure);
        co_return false;
    }
    members_event members;
    m_listed_peers.clear();
    bool is_registered = false;
    for (auto const& record : std::get<store_page>(result).m_records)
    {
        if (!record.m_value)
        {
            continue;
        }
        if (record.m_key == health_snapshot_key)
        {
            apply_health_snapshot(*record.m_value);
            continue;
        }
        boost::system::error_code error;
        auto const address = asio::ip::make_address_v4(record.m_key, error);
        if (!error)
        {
            members.m_members.push_back(
                {address.to_uint(), short_hash(*record.m_value)});
            m_listed_peers.push_back(peer_endpoint(address));
            is_registered = is_registered ||
                            (record.m_key == m_options.m_ip &&
                             *record.m_value == m_options.m_failure_domain);
        }
    }
    m_on_event(std::move(members));
    co_return is_registered;
}

void state_sync::apply_health_snapshot(std::string_view value)
{
    auto record = decode_health_snapshot(value);
    if (!record)
    {
        m_events.write("beliefs_unavailable", {{"reason", "malformed"}});
        return;
    }
    // The wall clocks of two VMs may differ.
    auto const age = std::max(wall_now() - record->m_written, milliseconds{0});
    if (age > max_health_age)
    {
        record->m_upstream_health.clear();
    }
    if (age > suspect_retention)
    {
        record->m_suspects.clear();
    }
    m_on_event(health_snapshot_event{
        age,
        std::move(record->m_upstream_health),
        std::move(record->m_suspects)});
}

void state_sync::save_health_snapshot(health_snapshot const& record)
{
    if (!m_is_stopped && !std::exchange(m_is_writing_snapshot, true))
    {
        asio::co_spawn(
            m_io, write_health_snapshot(encode(record)), asio::detached);
    }
}

asio::awaitable<void> state_sync::write_health_snapshot(std::string text)
{
    auto const sent = runtime_clock::now();
    auto const failure = co_await m_store.put(
        store_topic::fleet, std::string{health_snapshot_key}, std::move(text));
    m_is_writing_snapshot = false;
    record_store_era();
    if (failure)
    {
        record_store_failure(sent, "beliefs", *failure);
    }
}

asio::awaitable<void> state_sync::poll_policy()
{
    while (!m_is_stopped)
    {
        co_await wait_for_role(m_policy_timer);
        bool const is_read = co_await read_policy_once();
        co_await pause(is_read ? duration{policy_batch_delay} : retry_delay());
    }
}

asio::awaitable<bool> state_sync::read_policy_once()
{
    auto const sent = runtime_clock::now();
    auto const usual_wait = policy_wait();
    // GCC 12 miscompiles a conditional expression inside a co_await.
    std::optional<log_position> from;
    if (is_recent(m_policy_read_at, sent, usual_wait))
    {
        from = m_policy_position;
    }
    auto const read =
        co_await read_topic(store_topic::policy, from, usual_wait);
    if (auto const* failure = std::get_if<store_failure>(&read.m_result))
    {
        record_store_failure(sent, "policy", *failure);
        co_return false;
    }
    record_store_success(runtime_clock::now());
    auto const& page = std::get<store_page>(read.m_result);
    m_policy_position = {page.m_era, page.m_end};
    apply_orders(read.m_is_latest, page);
    for (auto const& record : page.m_records)
    {
        if (record.m_value)
        {
            apply_policy(record.m_key, *record.m_value, "store");
        }
    }
    if (page.m_reaches_log_end)
    {
        auto const wait = read.m_is_latest ? milliseconds{0} : usual_wait;
        m_policy_read_at = read_time(sent, wait, page);
        m_has_unpublished_read = true;
    }
    publish_status();
    co_return true;
}

/// Reads a topic from a position on, or the newest records if there is none, if
/// it is of an earlier era, or if its history is gone.
asio::awaitable<state_sync::topic_read> state_sync::read_topic(
    store_topic topic, std::optional<log_position> from, milliseconds wait)
{
    bool const is_current = from && m_store.era() == from->m_era;
    if (is_current)
    {
        auto result = co_await m_store.read(topic, from->m_offset, wait);
        record_store_era();
        auto const* page = std::get_if<store_page>(&result);
        auto const* failure = std::get_if<store_failure>(&result);
        bool const is_same_era = page != nullptr && page->m_era == m_era &&
                                 page->m_era == from->m_era;
        bool const is_gone =
            failure != nullptr && *failure == store_failure::history_gone;
        if (is_same_era || (failure != nullptr && !is_gone))
        {
            co_return topic_read{std::move(result), false};
        }
    }
    auto latest = co_await m_store.read_latest(topic);
    record_store_era();
    // A peer can know of a return of the store before this VM's calls do.
    auto const* page = std::get_if<store_page>(&latest);
    if (page != nullptr && page->m_era < m_era)
    {
        latest = store_failure::outdated_era;
    }
    co_return topic_read{std::move(latest), true};
}

milliseconds state_sync::policy_wait() const
{
    return std::min(
               m_options.m_policy_update_limit, m_options.m_evacuation_limit) /
           waits_per_policy_bound;
}

/// Applies the evacuation orders of a page of the policy's topic. They count
/// before a policy of the same page, so that a VM that starts does not serve
/// requests without them.
void state_sync::apply_orders(bool is_snapshot, store_page const& page)
{
    std::vector<evacuation_record> records;
    std::set<failure_domain> ordered;
    for (auto const& record : page.m_records)
    {
        auto const decoded = m_store.decode_evacuation(record.m_key);
        if (!decoded)
        {
            continue;
        }
        if (auto const* failure = std::get_if<decode_failure>(&*decoded))
        {
            m_metrics.get_counter("briarhub_evacuation_orders_rejected_total")
                .add();
            m_events.write(
                "evacuation_order_rejected",
                {{"key", record.m_key}, {"reason", failure->m_reason}});
            continue;
        }
        auto const& domain = std::get<failure_domain>(*decoded);
        bool const is_evacuated = record.m_value.has_value();
        records.push_back({domain, is_evacuated, record.m_offset});
        if (is_evacuated)
        {
            ordered.insert(domain);
        }
    }
    log_position const position{page.m_era, page.m_end};
    bool const is_changed =
        is_snapshot ? m_orders.replace(runtime_clock::now(), position, ordered)
                    : m_orders.apply(position, records);
    publish_orders(is_changed, "store");
}

void state_sync::adopt_orders(
    endpoint_address const& peer, wire::StateReply const& state)
{
    set_era(state.policy_era(), peer);
    std::set<failure_domain> const ordered{
        state.evacuated_domains().begin(), state.evacuated_domains().end()};
    bool const is_changed = m_orders.replace(
        runtime_clock::now(),
        {state.policy_era(), state.policy_end()},
        ordered);
    publish_orders(is_changed, peer);
}

/// Publishes the evacuated domains if they changed. `source` is the store, a
/// peer's address or the reason, for the log.
void state_sync::publish_orders(bool is_changed, std::string_view source)
{
    m_status.m_policy_position = m_orders.position();
    schedule_order_expiry();
    if (!is_changed)
    {
        return;
    }
    auto domains = m_orders.domains();
    m_events.write(
        "evacuation_replicated",
        {{"domains", boost::json::array(domains.begin(), domains.end())},
         {"era", m_orders.position().m_era},
         {"offset", m_orders.position().m_offset},
         {"source", source}});
    m_on_event(evacuation_event{std::move(domains)});
}

/// Orders that a store lost when it returned from an older copy end at their
/// time whether or not this VM reads the store then.
void state_sync::schedule_order_expiry()
{
    auto const due = m_orders.next_expiry();
    if (!due || m_is_stopped)
    {
        m_order_timer.cancel();
        return;
    }
    m_order_timer.expires_at(*due);
    m_order_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                publish_orders(
                    m_orders.remove_expired(runtime_clock::now()), "expired");
            }
        });
}

/// Adopts a policy that is newer than the current one. `source` is the store or
/// a peer's address, for the log.
void state_sync::apply_policy(
    std::string_view key, std::string_view value, std::string_view source)
{
    auto decoded = m_store.decode_policy(key, value);
    if (!decoded)
    {
        return;
    }
    if (auto const* failure = std::get_if<decode_failure>(&*decoded))
    {
        m_metrics.get_counter("briarhub_policies_rejected_total").add();
        m_events.write("policy_rejected", {{"reason", failure->m_reason}});
        return;
    }
    auto& policy = std::get<fleet_policy>(*decoded);
    if (policy.m_version <= m_status.m_policy_version)
    {
        return;
    }
    m_events.write(
        "policy_replicated",
        {{"version", policy.m_version}, {"source", source}});
    m_status.m_policy_version = policy.m_version;
    m_policy_key = key;
    m_compressed_policy = compress(value);
    m_policy_size = value.size();
    m_on_event(policy_event{std::make_unique<fleet_policy>(std::move(policy))});
}

asio::awaitable<void> state_sync::poll_upstreams()
{
    while (!m_is_stopped)
    {
        co_await wait_for_role(m_upstreams_timer);
        bool const is_read = co_await read_upstreams_once();
        co_await pause(
            is_read ? duration{upstreams_interval()} : retry_delay());
    }
}

asio::awaitable<bool> state_sync::read_upstreams_once()
{
    auto const sent = runtime_clock::now();
    bool const is_first = m_directory.last_change() == log_position{};
    std::optional<log_position> from;
    if (is_recent(m_directory_read_at, sent, upstreams_interval()))
    {
        from = m_upstreams_position;
    }
    auto const read =
        co_await read_topic(store_topic::upstreams, from, milliseconds{0});
    auto const now = runtime_clock::now();
    if (auto const* failure = std::get_if<store_failure>(&read.m_result))
    {
        record_store_failure(sent, "upstreams", *failure);
        m_status.m_is_store_reader = false;
        publish_status();
        co_return false;
    }
    record_store_success(now);
    auto const& page = std::get<store_page>(read.m_result);
    log_position const end{page.m_era, page.m_end};
    m_upstreams_position = std::max(end, m_upstreams_position.value_or(end));
    bool const is_changed =
        read.m_is_latest ? m_directory.apply_snapshot(now, page.m_records, end)
                         : m_directory.apply(now, page.m_era, page.m_records);
    record_directory_era();
    if (page.m_reaches_log_end)
    {
        m_directory_read_at = sent;
    }
    publish_read(is_changed || is_first);
    co_return true;
}

milliseconds state_sync::upstreams_interval() const
{
    return m_options.m_upstream_update_limit / reads_per_drain_bound;
}

/// Publishes the result of a read of the store. The replica status announces in
/// any case that this VM reads the store.
void state_sync::publish_read(bool is_changed)
{
    m_status.m_is_store_reader = true;
    m_has_unpublished_read = true;
    publish_directory(is_changed);
}

/// Publishes the usable upstreams if they changed.
void state_sync::publish_directory(bool is_changed)
{
    if (is_changed)
    {
        auto usable = m_directory.usable();
        m_events.write(
            "upstreams",
            {{"usable", usable.size()},
             {"position", to_json(m_directory.last_change())}});
        m_on_event(upstreams_event{std::move(usable)});
    }
    m_status.m_directory_position = m_directory.last_change();
    schedule_removals();
    publish_status();
}

/// Deferred removals are due at their time whether or not this VM reads the
/// store then.
void state_sync::schedule_removals()
{
    auto const due = m_directory.next_expiry();
    if (!due || m_is_stopped)
    {
        m_removal_timer.cancel();
        return;
    }
    m_removal_timer.expires_at(*due);
    m_removal_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                publish_directory(
                    m_directory.remove_expired(runtime_clock::now()));
            }
        });
}

/// Called after each call to the store.
void state_sync::record_store_era()
{
    if (auto const era = m_store.era())
    {
        set_era(*era, "store");
    }
}

/// `source` is the store or a peer's address, for the log. Read positions of
/// earlier eras stay unused, see `read_topic`.
void state_sync::set_era(store_era era, std::string_view source)
{
    if (era <= m_era)
    {
        return;
    }
    auto const previous = std::exchange(m_era, era);
    m_metrics.get_gauge("briarhub_store_era").set(static_cast<double>(era));
    if (!previous)
    {
        return;
    }
    m_metrics.get_counter("briarhub_store_era_changes_total").add();
    m_events.write(
        "store_era",
        {{"era", era},
         {"previous", *previous},
         {"source", source},
         {"policy_version", m_status.m_policy_version},
         {"dropped_policy_read", to_json(m_policy_position)},
         {"dropped_upstreams_read", to_json(m_upstreams_position)},
         {"directory", to_json(m_directory.last_change())}});
    bool const may_be_missing =
        m_registered_at &&
        runtime_clock::now() - *m_registered_at < max_copy_age;
    if (may_be_missing)
    {
        m_registered_at.reset();
        asio::co_spawn(m_io, register_again(), asio::detached);
        asio::co_spawn(m_io, fetch_lost(), asio::detached);
    }
}

/// Logs the first directory of a later era.
void state_sync::record_directory_era()
{
    auto const& change = m_directory.last_era_change();
    if (!change || change->m_after.m_era <= m_directory_era)
    {
        return;
    }
    m_directory_era = change->m_after.m_era;
    m_metrics.get_counter("briarhub_outdated_upstream_entries_total")
        .add(change->m_outdated);
    m_events.write(
        "directory_era",
        {{"before", to_json(change->m_before)},
         {"after", to_json(change->m_after)},
         {"missing", change->m_missing},
         {"outdated", change->m_outdated}});
}

void state_sync::record_store_success(time_point now)
{
    if (m_failing_since)
    {
        auto const length = now - *m_failing_since;
        m_events.write(
            "store_regained",
            {{"away_ms", std::chrono::floor<milliseconds>(length).count()},
             {"outage", m_role.m_store_unread_since.has_value()}});
    }
    record_outage_end(now);
    m_failing_since.reset();
    m_consecutive_failures = 0;
    m_status.m_reaches_store = true;
}

/// Called when the store is known to respond to some VM. Announcements may have
/// expired only if it responded to none before.
void state_sync::record_outage_end(time_point now)
{
    if (m_role.m_store_unread_since)
    {
        m_directory.start_removal_grace(now);
    }
}

void state_sync::record_store_failure(
    time_point sent, std::string_view call, store_failure failure)
{
    auto const now = runtime_clock::now();
    m_metrics
        .get_counter(
            "briarhub_store_failures_total",
            {{"reason", std::string{to_string(failure)}}})
        .add();
    ++m_consecutive_failures;
    if (!m_failing_since)
    {
        m_failing_since = now;
        m_events.write(
            "store_lost",
            {{"call", call},
             {"reason", to_string(failure)},
             {"waited_ms",
              std::chrono::floor<milliseconds>(now - sent).count()}});
    }
    m_status.m_reaches_store = false;
}

duration state_sync::retry_delay()
{
    auto const doubled =
        min_retry_delay * (1U << std::min(m_consecutive_failures, 3U));
    return std::min<duration>(doubled, max_retry_delay);
}

void state_sync::publish_status()
{
    bool const has_read = std::exchange(m_has_unpublished_read, false);
    if (m_status == m_published_status && !has_read)
    {
        return;
    }
    m_published_status = m_status;
    m_on_event(replica_status_event{
        {m_status, m_policy_read_at, m_directory_read_at}});
}

/// Fetches state from the seeds until a policy and a directory are known.
asio::awaitable<void> state_sync::fetch_from_seeds()
{
    co_await pause(seed_interval);
    while (!m_is_stopped && (m_status.m_policy_version == 0 ||
                             m_directory.last_change() == log_position{}))
    {
        for (auto const& seed : m_options.m_seeds)
        {
            if (seed != m_options.m_peer_listen)
            {
                asio::co_spawn(
                    m_io,
                    fetch_state(seed, directory_request::changes),
                    asio::detached);
            }
        }
        co_await pause(seed_interval);
    }
    if (m_era > store_era{0})
    {
        co_await fetch_lost();
    }
}

/// An older copy of the store has entries of upstreams that left or changed
/// since. A VM that started after the copy was made learns of it from a peer.
asio::awaitable<void> state_sync::fetch_lost()
{
    if (std::exchange(m_is_fetching_lost, true))
    {
        co_return;
    }
    co_await fetch_from_one(m_options.m_seeds, directory_request::whole);
    m_is_fetching_lost = false;
}

/// The newest records of the store have no removals, and the store can execute
/// an announcement after the removal of its upstream. So a process that starts
/// asks what its peers know: at once, and again when they must all know what
/// was removed before its start.
asio::awaitable<void> state_sync::learn_departures()
{
    co_await pause(seed_interval);
    fetch_departures();
    co_await pause(m_options.m_upstream_update_limit);
    fetch_departures();
}

/// Asks a seed and a listed VM: one of them may have started a short time ago,
/// too, and VMs stay listed when they are gone.
void state_sync::fetch_departures()
{
    for (auto const& peers : {m_options.m_seeds, m_listed_peers})
    {
        asio::co_spawn(
            m_io,
            fetch_from_one(peers, directory_request::departures),
            asio::detached);
    }
}

/// Asks the peers in a random order until one replies, a few at the most.
asio::awaitable<void> state_sync::fetch_from_one(
    std::vector<endpoint_address> peers, directory_request wanted)
{
    std::erase(peers, m_options.m_peer_listen);
    std::ranges::shuffle(peers, m_random);
    peers.resize(std::min(peers.size(), max_peers_asked));
    for (auto const& peer : peers)
    {
        bool const is_fetched = co_await fetch_state(peer, wanted);
        if (is_fetched || m_is_stopped)
        {
            co_return;
        }
    }
}

bool state_sync::is_behind(replica_status const& other) const
{
    return other.m_policy_version > m_status.m_policy_version ||
           other.m_policy_position > m_orders.position() ||
           other.m_directory_position > m_directory.last_change();
}

/// A VM that started or became a reader a short time ago may have to send its
/// whole directory, so it is asked only for one that is known to be newer.
bool state_sync::wants_directory_of(replica_status const& other) const
{
    auto const known = m_directory.last_change();
    return known == log_position{} ||
           (other.m_is_store_reader && other.m_directory_position > known);
}

void state_sync::handle_newer_peer(newer_peer const& peer)
{
    bool const is_wanted = is_behind(peer.m_state) && !m_is_stopped &&
                           m_running_fetches < max_fetches &&
                           runtime_clock::now() >= m_next_fetch;
    if (is_wanted)
    {
        ++m_running_fetches;
        asio::co_spawn(m_io, fetch_newer_state(peer), asio::detached);
    }
}

asio::awaitable<void> state_sync::fetch_newer_state(newer_peer peer)
{
    if (!peer.m_is_same_domain)
    {
        co_await pause(cross_domain_fetch_delay);
    }
    if (is_behind(peer.m_state))
    {
        auto const wanted = wants_directory_of(peer.m_state)
                                ? directory_request::changes
                                : directory_request::none;
        bool const is_successful = co_await fetch_state(
            peer_endpoint(asio::ip::address_v4{peer.m_vm}), wanted);
        record_fetch_result(is_successful);
    }
    --m_running_fetches;
}

void state_sync::record_fetch_result(bool is_successful)
{
    if (is_successful)
    {
        m_failed_fetches = 0;
        return;
    }
    constexpr unsigned max_doublings = 4;
    auto const doubled =
        min_fetch_backoff * (1U << std::min(m_failed_fetches, max_doublings));
    ++m_failed_fetches;
    m_next_fetch = runtime_clock::now() +
                   std::min<milliseconds>(doubled, max_fetch_backoff);
}

/// False if the peer did not reply with state.
asio::awaitable<bool>
state_sync::fetch_state(endpoint_address peer, directory_request wanted)
{
    auto const sent = runtime_clock::now();
    log_position known;
    if (wanted != directory_request::whole)
    {
        known = m_directory.last_change();
    }
    wire::StateRequest request;
    request.set_policy_version(m_status.m_policy_version);
    request.set_policy_era(m_orders.position().m_era);
    request.set_policy_end(m_orders.position().m_offset);
    request.set_directory_change(known.m_offset);
    request.set_directory_era(known.m_era);
    bool const wants_departures = wanted == directory_request::departures;
    request.set_policy_only(
        wanted == directory_request::none || wants_departures);
    request.set_departures(wants_departures);
    auto const reply = co_await m_client.request(
        peer,
        std::string{state_path},
        request.SerializeAsString(),
        fetch_timeout);
    if (auto const* text = std::get_if<std::string>(&reply))
    {
        apply_state_reply(peer, *text);
        co_return true;
    }
    m_metrics.get_counter("briarhub_state_fetches_failed_total").add();
    m_events.write(
        "state_fetch_failed",
        {{"peer", peer},
         {"reason", describe(std::get<result_code>(reply)).m_name},
         {"waited_ms",
          std::chrono::floor<milliseconds>(runtime_clock::now() - sent)
              .count()}});
    co_return false;
}

void state_sync::apply_compressed_policy(
    endpoint_address const& peer, wire::StateReply const& state)
{
    bool const is_size_valid = state.policy_size() <= max_policy_bytes;
    auto const text = is_size_valid
                          ? decompress(state.policy(), state.policy_size())
                          : std::nullopt;
    if (!text)
    {
        m_metrics.get_counter("briarhub_policies_rejected_total").add();
        m_events.write("policy_rejected", {{"reason", "decompression failed"}});
        return;
    }
    apply_policy(state.policy_key(), *text, peer);
}

void state_sync::apply_state_reply(
    endpoint_address const& peer, std::string_view reply)
{
    wire::StateReply state;
    if (!state.ParseFromArray(reply.data(), static_cast<int>(reply.size())))
    {
        m_events.write(
            "state_fetch_failed", {{"peer", peer}, {"reason", "malformed"}});
        return;
    }
    adopt_orders(peer, state);
    if (state.has_policy())
    {
        apply_compressed_policy(peer, state);
    }
    auto const update = read_directory(state);
    if (state.is_departures())
    {
        if (!update.m_records.empty())
        {
            adopt_lost(peer, "departures_fetched", update);
        }
    }
    else if (update.m_last_change > m_directory.last_change())
    {
        adopt_directory(peer, update);
    }
    else if (update.m_is_snapshot)
    {
        adopt_lost(peer, "lost_fetched", update);
    }
    publish_status();
}

void state_sync::adopt_directory(
    endpoint_address const& peer, upstream_directory::change_set const& update)
{
    auto const now = runtime_clock::now();
    auto const known = m_directory.last_change();
    bool const is_first = known == log_position{};
    record_outage_end(now);
    set_era(update.m_last_change.m_era, peer);
    bool const is_changed = m_directory.adopt(now, update);
    record_directory_era();
    m_events.write(
        "upstreams_fetched",
        {{"peer", peer},
         {"whole", update.m_is_snapshot},
         {"records", update.m_records.size()},
         {"known", to_json(known)},
         {"position", to_json(m_directory.last_change())}});
    publish_directory(is_changed || is_first);
}

/// Adopts what the store does not have. `event` is the line of the log.
void state_sync::adopt_lost(
    endpoint_address const& peer,
    std::string_view event,
    upstream_directory::change_set const& update)
{
    bool const is_changed =
        m_directory.adopt_lost(runtime_clock::now(), update);
    m_events.write(
        event,
        {{"peer", peer},
         {"records", update.m_records.size()},
         {"changed", is_changed}});
    publish_directory(is_changed);
}

std::optional<std::string> state_sync::handle_request(
    std::string_view path, std::string_view message) const
{
    wire::StateRequest request;
    bool const is_valid = path == state_path &&
                          request.ParseFromArray(
                              message.data(), static_cast<int>(message.size()));
    if (!is_valid)
    {
        return std::nullopt;
    }
    wire::StateReply reply;
    if (m_status.m_policy_version > request.policy_version())
    {
        reply.set_has_policy(true);
        reply.set_policy_key(m_policy_key);
        reply.set_policy(m_compressed_policy);
        reply.set_policy_size(m_policy_size);
    }
    log_position const known_position{
        request.policy_era(), request.policy_end()};
    if (m_orders.position() > known_position)
    {
        reply.set_policy_era(m_orders.position().m_era);
        reply.set_policy_end(m_orders.position().m_offset);
        for (auto const& domain : m_orders.ordered())
        {
            reply.add_evacuated_domains(domain);
        }
    }
    log_position const known{
        request.directory_era(), request.directory_change()};
    if (request.departures())
    {
        reply.set_is_departures(true);
        write_directory(reply, m_directory.departures(runtime_clock::now()));
    }
    else if (!request.policy_only() && m_directory.last_change() > known)
    {
        write_directory(reply, m_directory.changes_since(known));
    }
    return reply.SerializeAsString();
}

} // namespace briarhub
