#ifndef BRIARHUB_EDGE_STATE_HPP
#define BRIARHUB_EDGE_STATE_HPP

/// State of the traffic thread of an edge process: the policy in force, the
/// health and load of upstreams, rate limits, retry budgets, upstream
/// connections and metrics. All sessions of the process share it.

#include "admission.hpp"
#include "buffer_budget.hpp"
#include "connection_pool.hpp"
#include "edge_settings.hpp"
#include "event_log.hpp"
#include "fleet_rate_limiter.hpp"
#include "header_names.hpp"
#include "load_balancer.hpp"
#include "metrics.hpp"
#include "policy_index.hpp"
#include "replica_freshness.hpp"
#include "request.hpp"
#include "retry_budget.hpp"
#include "return_schedule.hpp"
#include "suspect_requests.hpp"
#include "upstream_exchange.hpp"
#include "upstream_notice.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

class edge_state
{
public:
    edge_state(
        boost::asio::io_context& io,
        edge_settings const& settings,
        header_names const& names,
        metrics_registry& metrics,
        event_log& events);

    /// Replaces the policy unless `policy` has the same or an older version.
    void set_policy(fleet_policy&& policy);

    /// Replaces the set of upstreams that may receive requests.
    void set_upstreams(std::vector<upstream_entry>&& entries);

    /// Replaces the failure domains whose upstreams get no requests.
    void set_evacuated(std::set<failure_domain>&& domains);

    void apply_settings(edge_settings const& settings);

    /// Null until a policy is loaded. A request uses one policy to its end.
    [[nodiscard]] std::shared_ptr<policy_index const> policy() const
    {
        return m_policy;
    }

    /// True once both the policy and the upstreams are loaded.
    [[nodiscard]] bool has_state() const
    {
        return m_policy != nullptr && m_has_upstreams;
    }

    [[nodiscard]] bool is_ready() const
    {
        return has_state() && !m_is_stopping;
    }

    /// Moving average of the response size on a route; 0 without a response.
    [[nodiscard]] double response_bytes(std::string_view route) const;
    void record_response(std::string_view route, std::size_t bytes);

    void count_refusal(result_code code, std::string_view route);
    void count_retry(std::string_view reason);
    /// Counts an attempt without a complete response, by how it ended.
    void count_failed_attempt(std::string_view end);
    void count_denied_retry(std::string_view reason);
    /// Counts a response that its caller did not take whole.
    void count_unfinished_response(std::string_view reason);
    /// Counts a request after whose reset nothing told whether its upstream
    /// crashed.
    void count_unexplained_reset();

    /// Logs that an upstream states another rate limit than before.
    void record_rate_limit(
        upstream_id const& upstream, rate_limit_notice const& notice);

    /// Logs that an upstream states that it is leaving.
    void record_leaving(upstream_id const& upstream);

    /// Logs that an upstream wants no requests of this VM for a while.
    void record_closed(upstream_id const& upstream, duration retry_after);

    /// Updates the metrics of cold upstreams and of selections that passed
    /// upstreams over.
    void record_warm_up(time_point now);

    /// Logs and counts an invalid value that an upstream stated about itself.
    void record_invalid_notice(
        upstream_id const& upstream, invalid_notice_field const& field);

    boost::asio::io_context& m_io;
    edge_settings m_settings;
    header_names const& m_header_names;
    metrics_registry& m_metrics;
    event_log& m_events;
    std::mt19937_64 m_random;
    load_balancer m_load_balancer;
    admission m_admission;
    fleet_rate_limiter m_rate_limiter;
    retry_budget m_retries;
    suspect_requests m_suspects;
    std::map<service_name, return_schedule> m_returns; ///< of refused callers
    replicas_freshness m_freshness;
    connection_pool m_pool;
    buffer_budget m_buffers; ///< of request and response bodies
    upstream_exchange m_exchanges;

    /// Sets the VMs that share fleet-wide limits with this one.
    void set_fleet_view(time_point now, fleet_view const& view);

    /// Reads that view again unless it was read a short time ago: a VM that is
    /// cut off must not use the allowance of the others until its next
    /// heartbeat.
    void refresh_fleet_view(time_point now);

    /// Called when there are state updates to gossip to the peers.
    std::function<void()> m_on_gossip_update;

    /// Borrows a permit for one retry of the service from a peer; false if no
    /// peer grants one.
    std::function<boost::asio::awaitable<bool>(service_name)> m_borrow_permit;

    /// The VMs that share fleet-wide limits, as of a time.
    std::function<fleet_view(time_point)> m_get_fleet_view;

    std::size_t m_active_requests = 0; ///< requests in progress
    bool m_is_stopping = false;
    /// Connections are closed after their current response.
    bool m_closes_after_response = false;
    /// Set once the load balancer has had time to remove the stopping VM:
    /// requests that may run longer than this are refused.
    std::optional<time_point> m_last_response_time;

private:
    void remove_stale_routes(fleet_policy const& policy);
    void record_cold(std::vector<upstream_id> const& upstreams);
    void record_evacuation(failure_domain const& domain, bool is_evacuated);

    std::shared_ptr<policy_index const> m_policy;
    bool m_has_upstreams = false;
    time_point m_fleet_viewed_at{};
    double m_fleet_share = 1.0; ///< of fleet-wide limits, that this VM may use
    std::set<failure_domain> m_evacuated;
    std::map<std::string, double, std::less<>> m_response_bytes; ///< by route
};

} // namespace briarhub

#endif
