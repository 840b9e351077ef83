#ifndef BRIARHUB_FLEET_POLICY_HPP
#define BRIARHUB_FLEET_POLICY_HPP

/// One version of the operator's configuration for the fleet: routes, services,
/// client accounts and caller limits.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace briarhub
{

/// A service of a route and its weight in the route's traffic split.
struct weighted_service
{
    service_name m_service;
    double m_weight = 1.0; ///< relative to the route's other services

    friend bool
    operator==(weighted_service const&, weighted_service const&) = default;
};

/// The requests that match a route and how they are handled.
struct route_policy
{
    std::string m_name;
    std::string m_host;        ///< without port, lower case
    std::string m_path_prefix; ///< begins and ends with a slash
    std::vector<weighted_service> m_weighted_services;
    bool m_is_idempotent = true; ///< if false, a request runs at most once
    std::chrono::milliseconds m_time_limit{0};
    std::chrono::milliseconds m_latency_target{0};
    unsigned m_priority = 0;     ///< 0 is served first
    unsigned m_max_attempts = 1; ///< upstreams that may run one request
    bool m_is_public = false;    ///< requires no caller key

    friend bool operator==(route_policy const&, route_policy const&) = default;
};

/// How upstreams of a service begin after they started.
struct service_policy
{
    service_name m_name;
    /// How long an upstream is cold after its start.
    std::chrono::milliseconds m_slow_start{0};
    /// Requests/s that a cold upstream bears; 0 means no limit.
    double m_warm_up_rate = 0.0;

    friend bool
    operator==(service_policy const&, service_policy const&) = default;
};

struct account_policy
{
    account_name m_name;
    std::vector<std::string> m_key_digests; ///< lower-case hex SHA-256
    std::optional<unsigned> m_priority;     ///< overrides the route's priority
    double m_rate = 0.0;                    ///< requests/s; 0 means no limit
    double m_burst = 0.0;                   ///< requests

    friend bool
    operator==(account_policy const&, account_policy const&) = default;
};

/// Size and time limits on the requests of a caller.
struct caller_limits
{
    std::size_t m_max_header_bytes = 16 * 1024;
    std::size_t m_max_body_bytes = 64 * 1024 * 1024;
    std::chrono::milliseconds m_header_timeout{3000};
    std::chrono::milliseconds m_idle_timeout{15000};

    friend bool
    operator==(caller_limits const&, caller_limits const&) = default;
};

struct fleet_policy
{
    config_version m_version = 0;
    std::vector<route_policy> m_routes;
    std::vector<service_policy> m_services;
    std::vector<account_policy> m_accounts;
    caller_limits m_limits;

    friend bool operator==(fleet_policy const&, fleet_policy const&) = default;
};

/// A change of the time at which an upstream becomes warm counts from this on,
/// since reads deliver announcements with different delays. It is added to the
/// warm-up time where that is used.
inline constexpr std::chrono::milliseconds warm_up_tolerance{300};

/// An upstream's own announcement in the directory.
struct upstream_entry
{
    upstream m_upstream;
    std::uint64_t m_start_time = 0; ///< of its process, Unix milliseconds
    std::uint64_t m_sequence = 0;   ///< of announcements since the start
    /// How much longer the upstream is cold.
    std::chrono::milliseconds m_warm_up_remaining{0};

    friend bool
    operator==(upstream_entry const&, upstream_entry const&) = default;
};

} // namespace briarhub

#endif
