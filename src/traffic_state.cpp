#include "traffic_state.hpp"

#include "random_seed.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <span>
#include <string>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

/// Reports to peers are piggybacked on probes, which are sent at this interval.
constexpr std::chrono::milliseconds report_interval{500};

/// A health endpoint that takes longer to respond counts as failed.
constexpr std::chrono::milliseconds probe_timeout{1000};

/// A slow attempt is cancelled only if at least this much time is left for the
/// retry.
constexpr std::chrono::milliseconds min_retry_time{10};

/// Bounds the cancelled claims. Each is removed when its decision arrives, but
/// the decision may have been lost.
constexpr std::size_t max_cancelled_claims = 10'000;

constexpr std::size_t bytes_per_megabyte = 1'000'000;

/// One in this many bytes of the process's memory may hold requests.
constexpr std::size_t buffer_share = 2;

/// Runs as a detached coroutine, so it shares ownership of the state.
asio::awaitable<void>
run_probe(std::shared_ptr<traffic_state> state, upstream target)
{
    bool const is_success =
        co_await state->m_client.probe(target, probe_timeout);
    state->m_health.probe_finished(
        runtime_clock::now(), target.m_id, is_success);
}

json::value to_json(upstream_health const& entry)
{
    return json::object{
        {"upstream", entry.m_upstream},
        {"service", entry.m_service},
        {"status", std::string{to_string(entry.m_status)}},
        {"weight", entry.m_weight},
        {"local_score", entry.m_local_score},
        {"fleet_score", entry.m_fleet_score},
        {"reason", entry.m_reason}};
}

json::value to_json(lease_rate_limiter::account_status const& entry)
{
    return json::object{
        {"account", entry.m_account},
        {"base", entry.m_base_fraction},
        {"lent", entry.m_leased_out_fraction},
        {"borrowed", entry.m_leased_in_fraction},
        {"tokens", entry.m_tokens}};
}

json::value to_json(dispatcher::service_status const& entry)
{
    return json::object{
        {"service", entry.m_service},
        {"queued", entry.m_queued},
        {"in_flight", entry.m_in_flight}};
}

template <class Entries>
json::array to_array(Entries const& entries)
{
    json::array list;
    for (auto const& entry : entries)
    {
        list.push_back(to_json(entry));
    }
    return list;
}

fleet_position
compute_position(member const& self, std::span<member const> members)
{
    auto const rank = std::ranges::count_if(
        members,
        [&](member const& each)
        {
            return each.m_vm < self.m_vm;
        });
    return {members.size(), static_cast<std::size_t>(rank)};
}

} // namespace

traffic_state::traffic_state(
    asio::io_context& io,
    settings const& options,
    member const& self,
    metrics_registry& metrics,
    mailbox<control_message>& to_control)
    : m_io(io), m_options(options), m_self(self), m_metrics(metrics),
      m_to_control(to_control),
      m_buffers(options.m_memory_limit_mb * bytes_per_megabyte / buffer_share),
      m_rates(self, random_seed()), m_health(self, random_seed()),
      m_dispatcher(
          [this](time_point now, upstream_id const& id)
          {
              return m_health.weight(now, id);
          },
          random_seed()),
      m_retries(runtime_clock::now(), retry_bounds{}), m_client(io),
      m_added_latency(metrics.get_latency_summary("briarhub_added_seconds")),
      m_dispatch_timer(io), m_rate_timer(io)
{
}

void traffic_state::receive(config_update&& message)
{
    auto const now = runtime_clock::now();
    // A message without a version must not apply an increase of a base rate
    // share before the newest version known here.
    m_control_version = std::max(m_control_version, message.m_control_version);
    if (message.m_full_config)
    {
        replace_config(now, std::move(*message.m_full_config));
    }
    for (auto const& operation : message.m_operations)
    {
        apply_operation(now, operation);
    }
    m_health.set_config(now, m_config);
    m_has_config = true;
    abort_withdrawn_downloads();
    poll_rates();
}

void traffic_state::replace_config(time_point now, config&& replacement)
{
    for (auto const& [name, account] : m_config.m_accounts)
    {
        if (!replacement.m_accounts.contains(name))
        {
            m_rates.remove_account(now, name);
        }
    }
    for (auto const& [name, account] : replacement.m_accounts)
    {
        m_rates.put_account(now, account, m_control_version);
    }
    m_config = std::move(replacement);
    m_keys.assign(m_config);
    m_routes.assign(m_config);
}

void traffic_state::apply_operation(
    time_point now, config_operation const& operation)
{
    briarhub::apply(m_config, operation);
    std::visit(
        [&](auto const& specific)
        {
            apply(now, specific);
        },
        operation);
}

void traffic_state::apply(time_point, put_service const&)
{
}

void traffic_state::apply(time_point, remove_service const&)
{
}

void traffic_state::apply(time_point, put_work_class const& operation)
{
    m_routes.put(operation.m_work_class);
}

void traffic_state::apply(time_point, remove_work_class const& operation)
{
    m_routes.remove(operation.m_name);
}

void traffic_state::apply(time_point now, put_account const& operation)
{
    // The control thread sends operations and members in control stream order,
    // so the members known here are those of this version.
    m_rates.put_account(
        now, operation.m_account, m_control_version, account_origin::created);
}

void traffic_state::apply(time_point now, remove_account const& operation)
{
    m_rates.remove_account(now, operation.m_name);
}

void traffic_state::apply(time_point, put_key const& operation)
{
    m_keys.put(operation.m_key);
}

void traffic_state::apply(time_point, withdraw_key const& operation)
{
    m_keys.withdraw(operation.m_id);
}

void traffic_state::apply(time_point, put_detection const&)
{
}

/// Ends downloads of withdrawn keys whose upstream or caller stalls. The others
/// end at their next chunk.
void traffic_state::abort_withdrawn_downloads()
{
    for (auto& [ticket, attempt] : m_attempts)
    {
        if (attempt.m_is_archive && !m_keys.is_current(attempt.m_key))
        {
            attempt.m_is_cancelled_key = true;
            m_client.cancel(ticket);
            if (attempt.m_abort_caller)
            {
                attempt.m_abort_caller();
            }
        }
    }
}

void traffic_state::receive(upstreams_update&& message)
{
    auto const now = runtime_clock::now();
    m_health.set_upstreams(now, message.m_upstreams);
    m_dispatcher.set_upstreams(now, message.m_upstreams);
    m_client.set_endpoints(message.m_upstreams);
    m_upstreams.clear();
    for (auto& entry : message.m_upstreams)
    {
        upstream_id id = entry.m_id;
        m_upstreams.emplace(std::move(id), std::move(entry));
    }
    poll_dispatcher();
}

void traffic_state::receive(members_update&& message)
{
    lease_rate_limiter::member_view view;
    view.m_version = message.m_version;
    view.m_members = std::move(message.m_members);
    view.m_is_first = message.m_is_first;
    view.m_has_gap = message.m_has_gap;
    m_control_version = std::max(m_control_version, message.m_version);
    m_retries.set_position(compute_position(m_self, view.m_members));
    m_rates.set_members(runtime_clock::now(), view);
    poll_rates();
}

void traffic_state::receive(stable_version_update&& message)
{
    m_rates.set_stable(runtime_clock::now(), message.m_version);
    poll_rates();
}

void traffic_state::receive(freshness_update&& message)
{
    m_valid_until = message.m_valid_until;
    m_rates.set_valid_until(m_valid_until);
}

void traffic_state::receive(claim_coverage&& message)
{
    m_claim_coverage = message;
}

void traffic_state::receive(claim_decision&& message)
{
    auto const wait = m_pending_claims.find(message.m_ticket);
    if (wait != m_pending_claims.end())
    {
        wait->second->set(std::move(message.m_verdict));
        return;
    }
    auto const cancelled_claim = m_cancelled_claims.find(message.m_ticket);
    if (cancelled_claim == m_cancelled_claims.end())
    {
        return;
    }
    if (auto const* won = std::get_if<claim_won>(&message.m_verdict))
    {
        send_claim_result(
            claim_release{cancelled_claim->second, won->m_claim_id});
    }
    m_cancelled_claims.erase(cancelled_claim);
}

void traffic_state::receive(addressed_lease_message&& message)
{
    m_rates.receive(runtime_clock::now(), message);
    poll_rates();
    for (auto const& [ticket, wait] : m_pending_admissions)
    {
        wait->set(true);
    }
}

void traffic_state::receive(peer_evidence&& message)
{
    m_health.receive(runtime_clock::now(), message.m_reporter, message.m_items);
}

void traffic_state::receive(peer_suspects&& message)
{
    m_suspects.receive(runtime_clock::now(), message.m_items);
}

void traffic_state::receive(stop_traffic&&)
{
    m_is_stopping = true;
    if (m_on_stopping)
    {
        m_on_stopping();
    }
    finish_stop_if_idle();
}

void traffic_state::tick()
{
    auto const now = runtime_clock::now();
    flush_claim_results();
    tick_health(now);
    if (now >= m_next_report)
    {
        m_next_report = now + report_interval;
        send_reports(now);
    }
    poll_dispatcher();
    finish_stop_if_idle();
}

void traffic_state::tick_health(time_point now)
{
    for (auto const& change : m_health.tick(now))
    {
        spdlog::info(
            "upstream {}: {} -> {}, reason {}",
            change.m_upstream,
            to_string(change.m_from),
            to_string(change.m_to),
            change.m_reason);
        m_metrics
            .get_counter(
                "briarhub_health_changes_total",
                {{"to", std::string{to_string(change.m_to)}},
                 {"reason", change.m_reason}})
            .add();
    }
    for (auto const& id : m_health.collect_due_probes(now))
    {
        auto const target = m_upstreams.find(id);
        if (target != m_upstreams.end())
        {
            start_probe(target->second);
        }
    }
}

void traffic_state::start_probe(upstream const& target)
{
    asio::co_spawn(m_io, run_probe(shared_from_this(), target), asio::detached);
}

void traffic_state::send_reports(time_point now)
{
    evidence_report evidence{m_health.collect_evidence(now)};
    if (!evidence.m_items.empty())
    {
        send(std::move(evidence));
    }
    suspect_report suspects{m_suspects.collect_updates(now)};
    if (!suspects.m_items.empty())
    {
        send(std::move(suspects));
    }
}

result_code traffic_state::readiness(time_point now) const
{
    if (m_is_stopping)
    {
        return result_code::stopping;
    }
    if (!m_has_config || m_valid_until == time_point{})
    {
        return result_code::starting;
    }
    return now < m_valid_until ? result_code::ok
                               : result_code::configuration_stale;
}

/// A request that was admitted before the stop may still be sent.
result_code traffic_state::check_sendable(request_context const& context)
{
    auto const now = runtime_clock::now();
    if (now >= m_valid_until)
    {
        return result_code::configuration_stale;
    }
    if (!m_keys.is_current(context.m_key))
    {
        return result_code::key_withdrawn;
    }
    return now < context.m_deadline ? result_code::ok
                                    : result_code::deadline_passed;
}

request_ticket traffic_state::next_ticket()
{
    return ++m_last_ticket;
}

void traffic_state::poll_dispatcher()
{
    auto const now = runtime_clock::now();
    auto decisions = m_dispatcher.poll(now);
    for (auto& entry : decisions.m_assignments)
    {
        auto const wait = m_pending_dispatches.find(entry.m_ticket);
        if (wait == m_pending_dispatches.end())
        {
            m_dispatcher.release(now, entry.m_upstream.m_id, duration::zero());
            continue;
        }
        wait->second->set(std::move(entry.m_upstream));
    }
    for (auto const& entry : decisions.m_refusals)
    {
        auto const wait = m_pending_dispatches.find(entry.m_ticket);
        if (wait != m_pending_dispatches.end())
        {
            wait->second->set(entry.m_code);
        }
    }
    schedule_poll(
        m_dispatch_timer,
        m_dispatcher.next_poll(),
        &traffic_state::poll_dispatcher);
}

void traffic_state::poll_rates()
{
    for (auto& message : m_rates.poll(runtime_clock::now()))
    {
        send(std::move(message));
    }
    schedule_poll(
        m_rate_timer, m_rates.next_poll(), &traffic_state::poll_rates);
}

void traffic_state::schedule_poll(
    timer& poll_timer, time_point when, void (traffic_state::*action)())
{
    poll_timer.cancel();
    if (when == time_point::max() || m_is_shut_down)
    {
        return;
    }
    // The minimum delay returns control to the event loop, so that a module
    // that is always due cannot block the thread.
    constexpr std::chrono::milliseconds min_delay{1};
    poll_timer.expires_at(std::max(when, runtime_clock::now() + min_delay));
    poll_timer.async_wait(
        [weak = weak_from_this(), action](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                (self.get()->*action)();
            }
        });
}

bool traffic_state::send(control_message&& message)
{
    return m_to_control.push(std::move(message));
}

void traffic_state::send_claim_result(control_message&& message)
{
    m_unsent_claim_results.push_back(std::move(message));
    flush_claim_results();
}

/// A claim that is granted later is released. A claim above the limit is not
/// recorded and stays in doubt, which is safe.
void traffic_state::cancel_claim(request_ticket ticket, claim_name name)
{
    if (m_cancelled_claims.size() < max_cancelled_claims)
    {
        m_cancelled_claims.emplace(ticket, std::move(name));
    }
    send(claim_cancel{ticket});
}

/// The mailbox consumes a message even if its ring buffer is full, so the front
/// is copied for each attempt until the push succeeds.
void traffic_state::flush_claim_results()
{
    while (!m_unsent_claim_results.empty())
    {
        auto const& front = m_unsent_claim_results.front();
        bool sent = false;
        if (auto const* outcome = std::get_if<claim_outcome>(&front))
        {
            sent = send(claim_outcome{*outcome});
        }
        else if (auto const* release = std::get_if<claim_release>(&front))
        {
            sent = send(claim_release{*release});
        }
        if (!sent)
        {
            return;
        }
        m_unsent_claim_results.pop_front();
    }
}

bool traffic_state::has_alternative(
    service_name const& service, std::vector<upstream_id> const& tried) const
{
    auto const now = runtime_clock::now();
    return std::ranges::any_of(
        m_upstreams,
        [&](auto const& entry)
        {
            auto const& [id, candidate] = entry;
            return candidate.m_service == service &&
                   std::ranges::find(tried, id) == tried.end() &&
                   m_health.weight(now, id) > 0.0;
        });
}

void traffic_state::handle_slow_attempt(request_ticket attempt)
{
    auto const found = m_attempts.find(attempt);
    if (found == m_attempts.end())
    {
        return;
    }
    auto const now = runtime_clock::now();
    auto& running = found->second;
    if (now + min_retry_time >= running.m_deadline ||
        !has_alternative(running.m_service, running.m_tried) ||
        !m_retries.try_retry(now, running.m_service))
    {
        return;
    }
    running.m_is_cancelled_slow = true;
    m_client.cancel(attempt);
}

void traffic_state::count_refusal(
    result_code code, work_class_name const& work_class)
{
    m_metrics
        .get_counter(
            "briarhub_refusals_total",
            {{"code", std::to_string(static_cast<unsigned>(code))},
             {"name", std::string{describe(code).m_name}},
             {"class", work_class}})
        .add();
}

void traffic_state::count_retry(std::string_view reason)
{
    m_metrics
        .get_counter(
            "briarhub_retries_total", {{"reason", std::string{reason}}})
        .add();
}

class_metrics& traffic_state::metrics_of(work_class_name const& work_class)
{
    auto& entry = m_class_metrics[work_class];
    if (entry.m_requests == nullptr)
    {
        metric_labels const labels{{"class", work_class}};
        entry.m_requests =
            &m_metrics.get_counter("briarhub_requests_total", labels);
        entry.m_latency =
            &m_metrics.get_latency_summary("briarhub_request_seconds", labels);
    }
    return entry;
}

void traffic_state::request_started()
{
    ++m_running_requests;
}

void traffic_state::request_ended()
{
    --m_running_requests;
    finish_stop_if_idle();
}

void traffic_state::finish_stop_if_idle()
{
    if (!m_is_stopping || m_is_stopped || m_is_shut_down ||
        m_running_requests > 0 || !m_unsent_claim_results.empty())
    {
        return;
    }
    // If the ring buffer is full, the next tick retries.
    if (!send(traffic_stopped{}))
    {
        return;
    }
    m_is_stopped = true;
    if (m_on_stopped)
    {
        m_on_stopped();
    }
}

void traffic_state::shut_down()
{
    m_is_shut_down = true;
    m_dispatch_timer.cancel();
    m_rate_timer.cancel();
    m_on_stopping = nullptr;
    m_on_stopped = nullptr;
}

admin_reply traffic_state::handle_admin_query(admin_topic topic) const
{
    auto const now = runtime_clock::now();
    admin_reply reply;
    switch (topic)
    {
    case admin_topic::readiness:
    {
        auto const code = readiness(now);
        reply.m_body = json::object{
            {"ready", code == result_code::ok},
            {"reason", std::string{describe(code).m_name}}};
        break;
    }
    case admin_topic::upstreams:
        reply.m_body = json::object{
            {"self_doubt", m_health.suspects_own_network()},
            {"upstreams", to_array(m_health.status(now))}};
        break;
    case admin_topic::accounts:
        reply.m_body =
            json::object{{"accounts", to_array(m_rates.status(now))}};
        break;
    case admin_topic::queues:
        reply.m_body =
            json::object{{"services", to_array(m_dispatcher.status())}};
        break;
    default:
        reply.m_code = result_code::admin_not_found;
        break;
    }
    return reply;
}

} // namespace briarhub
