#include "edge_state.hpp"

#include "random_seed.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace briarhub
{
namespace
{

/// Weight of a new response in the moving average of a route's response size.
constexpr double response_size_smoothing = 0.2;

/// One in this many bytes of the process's memory may hold message bodies.
constexpr std::size_t buffer_share = 2;

/// Shortest interval of reads of the fleet view, which count all peers.
constexpr std::chrono::milliseconds fleet_view_interval{100};

} // namespace

edge_state::edge_state(
    boost::asio::io_context& io,
    edge_settings const& settings,
    header_names const& names,
    metrics_registry& metrics,
    event_log& events)
    : m_io(io), m_settings(settings), m_header_names(names), m_metrics(metrics),
      m_events(events), m_random(random_seed()),
      m_load_balancer(
          settings.m_failure_domain, random_seed(), settings.m_warm_up),
      m_rate_limiter(runtime_clock::now()),
      m_retries(runtime_clock::now(), settings.m_retries), m_pool(io),
      m_buffers(settings.m_memory_limit / buffer_share),
      m_exchanges(io, names, m_pool, m_buffers)
{
    m_load_balancer.set_idle_connection_check(
        [this](endpoint_address const& address)
        {
            return m_pool.has_idle(address);
        });
}

void edge_state::set_policy(fleet_policy&& policy)
{
    if (m_policy && policy.m_version <= m_policy->policy().m_version)
    {
        return;
    }
    auto updated = std::make_shared<policy_index>(std::move(policy));
    auto const now = runtime_clock::now();
    m_rate_limiter.set_accounts(now, updated->policy().m_accounts);
    m_load_balancer.set_services(updated->policy().m_services);
    m_events.write(
        "policy",
        {{"version", updated->policy().m_version},
         {"previous", m_policy ? m_policy->policy().m_version : 0},
         {"routes", updated->policy().m_routes.size()},
         {"accounts", updated->policy().m_accounts.size()}});
    m_metrics.get_gauge("briarhub_policy_version")
        .set(static_cast<double>(updated->policy().m_version));
    remove_stale_routes(updated->policy());
    m_policy = std::move(updated);
}

void edge_state::set_upstreams(std::vector<upstream_entry>&& entries)
{
    auto const turned_cold =
        m_load_balancer.set_upstreams(runtime_clock::now(), entries);
    if (!turned_cold.empty())
    {
        record_cold(turned_cold);
    }
    std::vector<upstream> listed_upstreams;
    listed_upstreams.reserve(entries.size());
    for (auto const& entry : entries)
    {
        listed_upstreams.push_back(entry.m_upstream);
    }
    m_pool.set_endpoints(listed_upstreams);
    m_metrics.get_gauge("briarhub_upstreams")
        .set(static_cast<double>(entries.size()));
    m_has_upstreams = true;
}

void edge_state::set_fleet_view(time_point now, fleet_view const& view)
{
    m_fleet_viewed_at = now;
    m_rate_limiter.set_view(now, view);
    m_load_balancer.set_reachable_share(now, view.share());
    double const previous = std::exchange(m_fleet_share, view.share());
    if (previous == m_fleet_share)
    {
        return;
    }
    m_metrics.get_gauge("briarhub_fleet_share").set(m_fleet_share);
    bool const is_limiting_change = (previous < 1.0) != (m_fleet_share < 1.0);
    if (is_limiting_change)
    {
        m_events.write(
            "fleet_share",
            {{"share", m_fleet_share},
             {"heard", view.m_heard},
             {"known", view.m_known}});
    }
}

void edge_state::refresh_fleet_view(time_point now)
{
    if (m_get_fleet_view && now - m_fleet_viewed_at >= fleet_view_interval)
    {
        set_fleet_view(now, m_get_fleet_view(now));
    }
}

void edge_state::set_evacuated(std::set<failure_domain>&& domains)
{
    std::vector<failure_domain> changed;
    std::ranges::set_symmetric_difference(
        m_evacuated, domains, std::back_inserter(changed));
    m_evacuated = std::move(domains);
    m_load_balancer.set_evacuated(runtime_clock::now(), m_evacuated);
    for (auto const& domain : changed)
    {
        record_evacuation(domain, m_evacuated.contains(domain));
    }
    m_metrics.get_gauge("briarhub_evacuated_domains")
        .set(static_cast<double>(m_evacuated.size()));
}

void edge_state::record_evacuation(
    failure_domain const& domain, bool is_evacuated)
{
    m_metrics
        .get_counter(
            "briarhub_evacuation_changes_total",
            {{"to", is_evacuated ? "evacuated" : "open"}})
        .add();
    m_events.write(
        "evacuation",
        {{"failure_domain", domain},
         {"evacuated", is_evacuated},
         {"upstreams", m_load_balancer.upstreams_in(domain)}});
}

void edge_state::apply_settings(edge_settings const& settings)
{
    m_settings.m_retries = settings.m_retries;
    m_settings.m_upstream_update_limit = settings.m_upstream_update_limit;
    m_settings.m_shutdown_grace_period = settings.m_shutdown_grace_period;
    m_retries.set_bounds(settings.m_retries);
    m_settings.m_warm_up = settings.m_warm_up;
    m_load_balancer.set_warm_up_bounds(settings.m_warm_up);
}

void edge_state::record_cold(std::vector<upstream_id> const& upstreams)
{
    constexpr std::size_t max_names = 10;
    boost::json::array names;
    for (auto const& upstream : upstreams)
    {
        if (names.size() < max_names)
        {
            names.emplace_back(upstream);
        }
    }
    m_events.write(
        "upstreams_cold", {{"count", upstreams.size()}, {"upstreams", names}});
}

void edge_state::record_warm_up(time_point now)
{
    auto const passed_over = m_load_balancer.take_passed_over();
    auto const count = [this](std::string const& reason, std::uint64_t number)
    {
        m_metrics
            .get_counter(
                "briarhub_upstreams_passed_over_total", {{"reason", reason}})
            .add(number);
    };
    count("evacuated", passed_over.m_evacuated);
    count("cold", passed_over.m_cold);
    m_metrics.get_gauge("briarhub_upstreams_cold")
        .set(static_cast<double>(m_load_balancer.cold_upstreams(now)));
}

/// Drops the state of routes and services that the policy no longer has.
void edge_state::remove_stale_routes(fleet_policy const& policy)
{
    std::set<std::string_view> names;
    std::set<std::string_view> services;
    for (auto const& route : policy.m_routes)
    {
        names.insert(route.m_name);
        for (auto const& part : route.m_weighted_services)
        {
            services.insert(part.m_service);
        }
    }
    m_admission.retain(names, services);
    std::erase_if(
        m_returns,
        [&](auto const& schedule)
        {
            return !services.contains(schedule.first);
        });
    std::erase_if(
        m_response_bytes,
        [&](auto const& size_entry)
        {
            return !names.contains(size_entry.first);
        });
}

double edge_state::response_bytes(std::string_view route) const
{
    auto const found = m_response_bytes.find(route);
    return found == m_response_bytes.end() ? 0.0 : found->second;
}

void edge_state::record_response(std::string_view route, std::size_t bytes)
{
    auto const size = static_cast<double>(bytes);
    auto const found = m_response_bytes.find(route);
    if (found == m_response_bytes.end())
    {
        m_response_bytes.emplace(route, size);
        return;
    }
    found->second += response_size_smoothing * (size - found->second);
}

void edge_state::count_refusal(result_code code, std::string_view route)
{
    m_metrics
        .get_counter(
            "briarhub_refusals_total",
            {{"reason", std::string{describe(code).m_name}},
             {"route", std::string{route}}})
        .add();
}

void edge_state::count_retry(std::string_view reason)
{
    m_metrics
        .get_counter(
            "briarhub_retries_total", {{"reason", std::string{reason}}})
        .add();
}

void edge_state::count_failed_attempt(std::string_view end)
{
    m_metrics
        .get_counter(
            "briarhub_failed_attempts_total", {{"end", std::string{end}}})
        .add();
}

void edge_state::count_denied_retry(std::string_view reason)
{
    m_metrics
        .get_counter(
            "briarhub_retries_denied_total", {{"reason", std::string{reason}}})
        .add();
}

void edge_state::count_unfinished_response(std::string_view reason)
{
    m_metrics
        .get_counter(
            "briarhub_unfinished_responses_total",
            {{"reason", std::string{reason}}})
        .add();
}

void edge_state::count_unexplained_reset()
{
    m_metrics.get_counter("briarhub_unexplained_resets_total").add();
}

void edge_state::record_rate_limit(
    upstream_id const& upstream, rate_limit_notice const& notice)
{
    boost::json::object fields{{"upstream", upstream}};
    if (notice.m_requests_per_second)
    {
        fields["per_s"] = *notice.m_requests_per_second;
    }
    m_events.write("upstream_limit", fields);
}

void edge_state::record_leaving(upstream_id const& upstream)
{
    m_metrics.get_counter("briarhub_upstream_leaving_notices_total").add();
    m_events.write("upstream_leaving", {{"upstream", upstream}});
}

void edge_state::record_closed(
    upstream_id const& upstream, duration retry_after)
{
    m_metrics.get_counter("briarhub_upstream_retry_after_notices_total").add();
    m_events.write(
        "upstream_closed",
        {{"upstream", upstream},
         {"for_ms",
          std::chrono::floor<std::chrono::milliseconds>(retry_after).count()}});
}

void edge_state::record_invalid_notice(
    upstream_id const& upstream, invalid_notice_field const& field)
{
    constexpr std::size_t max_logged_bytes = 40;
    m_metrics
        .get_counter(
            "briarhub_upstream_notices_rejected_total",
            {{"field", field.m_name}})
        .add();
    m_events.write(
        "upstream_notice_rejected",
        {{"upstream", upstream},
         {"field", field.m_name},
         {"value", field.m_value.substr(0, max_logged_bytes)}});
}

} // namespace briarhub
