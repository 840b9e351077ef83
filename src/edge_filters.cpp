#include "edge_filters.hpp"

#include "content_digest.hpp"
#include "http_fields.hpp"
#include "parse_number.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <variant>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;

/// Retry-After while this VM has no policy. One arrives within milliseconds
/// once the store or a peer responds.
constexpr std::chrono::milliseconds starting_retry_after{300};

/// Retry-After while this VM is stopping. Another VM can serve the request.
constexpr std::chrono::milliseconds stopping_retry_after{50};

/// Bounds of the Retry-After sent to an account over its rate.
constexpr duration min_rate_retry_after = std::chrono::milliseconds{100};
constexpr duration max_rate_retry_after = std::chrono::seconds{2};

/// Refuses requests until a policy is loaded.
struct policy_filter
{
};

/// Matches the host and path to a route.
struct route_match_filter
{
};

/// Identifies the client account by the caller's key.
struct account_filter
{
};

/// Sets the deadline and chooses the service.
struct service_filter
{
};

/// Refuses requests that may still run when a stopping process ends.
struct stop_filter
{
};

/// Refuses requests that were in flight during several upstream crashes.
struct suspect_filter
{
};

/// Enforces the rate limit of the account.
struct rate_filter
{
};

using edge_filter = std::variant<
    policy_filter,
    route_match_filter,
    account_filter,
    service_filter,
    stop_filter,
    suspect_filter,
    rate_filter>;

constexpr std::array<edge_filter, 7> filters{
    policy_filter{},
    route_match_filter{},
    account_filter{},
    service_filter{},
    stop_filter{},
    suspect_filter{},
    rate_filter{}};

std::optional<refusal> refuse(result_code code)
{
    return refusal{code, std::nullopt};
}

std::optional<refusal>
run(policy_filter, edge_state& state, edge_request& request)
{
    request.m_policy = state.policy();
    if (!request.m_policy)
    {
        return refusal{result_code::starting, duration{starting_retry_after}};
    }
    return std::nullopt;
}

std::optional<refusal>
run(route_match_filter, edge_state&, edge_request& request)
{
    request.m_route = request.m_policy->find_route(
        to_view(request.m_head[http::field::host]),
        path_without_query(to_view(request.m_head.target())));
    if (request.m_route == nullptr)
    {
        return refuse(result_code::unknown_route);
    }
    request.m_priority = request.m_route->m_priority;
    return std::nullopt;
}

std::optional<refusal>
run(account_filter, edge_state& state, edge_request& request)
{
    auto const& policy = *request.m_policy;
    auto const key = request.m_head.find(state.m_header_names.m_caller_key);
    bool const has_key = key != request.m_head.end();
    bool const needs_key =
        policy.requires_keys() && !request.m_route->m_is_public;
    if (needs_key && !has_key)
    {
        return refuse(result_code::missing_key);
    }
    auto const* account =
        has_key ? policy.find_account(to_view(key->value())) : nullptr;
    if (account != nullptr)
    {
        request.m_account = account->m_name;
        request.m_priority = account->m_priority.value_or(request.m_priority);
        return std::nullopt;
    }
    return needs_key ? refuse(result_code::unknown_key) : std::nullopt;
}

/// Weighted random choice among the services of a route.
service_name choose_service(edge_state& state, route_policy const& route)
{
    double total_weight = 0.0;
    for (auto const& part : route.m_weighted_services)
    {
        total_weight += part.m_weight;
    }
    double remaining_weight =
        std::uniform_real_distribution<>{0.0, total_weight}(state.m_random);
    for (auto const& part : route.m_weighted_services)
    {
        remaining_weight -= part.m_weight;
        if (remaining_weight < 0.0)
        {
            return part.m_service;
        }
    }
    return route.m_weighted_services.back().m_service;
}

std::optional<refusal>
run(service_filter, edge_state& state, edge_request& request)
{
    request.m_deadline = request.m_received + request.m_route->m_time_limit;
    auto const remaining_ms = parse_number<std::uint32_t>(
        to_view(request.m_head[state.m_header_names.m_deadline_remaining]));
    if (remaining_ms)
    {
        request.m_deadline = std::min(
            request.m_deadline,
            request.m_received + std::chrono::milliseconds{*remaining_ms});
    }
    request.m_service = choose_service(state, *request.m_route);
    return std::nullopt;
}

std::optional<refusal>
run(stop_filter, edge_state& state, edge_request& request)
{
    bool const has_time = !state.m_last_response_time ||
                          request.m_deadline <= *state.m_last_response_time;
    if (has_time)
    {
        return std::nullopt;
    }
    return refusal{result_code::stopping, duration{stopping_retry_after}};
}

std::optional<refusal>
run(suspect_filter, edge_state& state, edge_request& request)
{
    sha256_hasher hasher;
    hasher.update(
        request.m_account + '\n' + std::string{request.m_head.method_string()} +
        '\n' + std::string{request.m_head.target()} + '\n');
    hasher.update(*request.m_body);
    request.m_digest = hasher.hex();
    if (state.m_suspects.is_refused(request.m_received, request.m_digest))
    {
        return refuse(result_code::suspect_request_refused);
    }
    return std::nullopt;
}

std::optional<refusal>
run(rate_filter, edge_state& state, edge_request& request)
{
    state.refresh_fleet_view(runtime_clock::now());
    if (request.m_account.empty() ||
        state.m_rate_limiter.try_admit(request.m_received, request.m_account))
    {
        return std::nullopt;
    }
    auto const wait = state.m_rate_limiter.admission_wait(
        request.m_received, request.m_account);
    return refusal{
        result_code::over_rate,
        std::clamp(wait, min_rate_retry_after, max_rate_retry_after)};
}

} // namespace

std::optional<refusal>
run_edge_filters(edge_state& state, edge_request& request)
{
    for (auto const& filter : filters)
    {
        auto refused = std::visit(
            [&](auto const& typed_filter)
            {
                return run(typed_filter, state, request);
            },
            filter);
        if (refused)
        {
            return refused;
        }
    }
    return std::nullopt;
}

} // namespace briarhub
