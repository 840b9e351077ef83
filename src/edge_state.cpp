#include "edge_state.hpp"

#include "random_seed.hpp"

#include <set>
#include <string>
#include <utility>

namespace briarhub
{
namespace
{

/// Weight of a new answer in the usual size of a route's answers.
constexpr double answer_size_smoothing = 0.2;

} // namespace

edge_state::edge_state(
    boost::asio::io_context& io,
    edge_settings const& options,
    header_names const& names,
    metrics_registry& metrics,
    event_log& events)
    : m_io(io), m_options(options), m_names(names), m_metrics(metrics),
      m_events(events), m_random(random_seed()),
      m_board(options.m_failure_domain, random_seed()),
      m_caps(runtime_clock::now()),
      m_retries(runtime_clock::now(), options.m_retries), m_pool(io),
      m_exchanges(io, names, m_pool)
{
    m_board.set_idle_connection_check(
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
    auto fresh = std::make_shared<policy_index>(std::move(policy));
    auto const now = runtime_clock::now();
    m_caps.set_accounts(now, fresh->policy().m_accounts);
    m_events.write(
        "policy",
        {{"version", fresh->policy().m_version},
         {"previous", m_policy ? m_policy->policy().m_version : 0},
         {"routes", fresh->policy().m_routes.size()},
         {"accounts", fresh->policy().m_accounts.size()}});
    m_metrics.get_gauge("briarhub_policy_version")
        .set(static_cast<double>(fresh->policy().m_version));
    forget_routes(fresh->policy());
    m_policy = std::move(fresh);
}

void edge_state::set_upstreams(std::vector<upstream_entry>&& entries)
{
    m_board.set_upstreams(runtime_clock::now(), entries);
    std::vector<upstream> known;
    known.reserve(entries.size());
    for (auto const& entry : entries)
    {
        known.push_back(entry.m_upstream);
    }
    m_pool.keep_only(known);
    m_metrics.get_gauge("briarhub_upstreams")
        .set(static_cast<double>(entries.size()));
    m_has_upstreams = true;
}

void edge_state::apply_settings(edge_settings const& options)
{
    m_options.m_retries = options.m_retries;
    m_options.m_drain_bound = options.m_drain_bound;
    m_options.m_stop_grace = options.m_stop_grace;
    m_retries.set_bounds(options.m_retries);
}

/// Forgets what was seen of routes that are gone.
void edge_state::forget_routes(fleet_policy const& policy)
{
    std::set<std::string_view> names;
    for (auto const& route : policy.m_routes)
    {
        names.insert(route.m_name);
    }
    std::erase_if(
        m_answer_bytes,
        [&](auto const& item)
        {
            return !names.contains(item.first);
        });
}

double edge_state::answer_bytes(std::string_view route) const
{
    auto const found = m_answer_bytes.find(route);
    return found == m_answer_bytes.end() ? 0.0 : found->second;
}

void edge_state::note_answer(std::string_view route, std::size_t bytes)
{
    auto const size = static_cast<double>(bytes);
    auto const found = m_answer_bytes.find(route);
    if (found == m_answer_bytes.end())
    {
        m_answer_bytes.emplace(route, size);
        return;
    }
    found->second += answer_size_smoothing * (size - found->second);
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

void edge_state::count_denied_retry(std::string_view reason)
{
    m_metrics
        .get_counter(
            "briarhub_retries_denied_total", {{"reason", std::string{reason}}})
        .add();
}

} // namespace briarhub
