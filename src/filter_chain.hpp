#ifndef BRIARHUB_FILTER_CHAIN_HPP
#define BRIARHUB_FILTER_CHAIN_HPP

/// The filter chain of a request: authentication, routing, authorization, rate
/// limiting and claims. It runs before the request is sent to an upstream.

#include "request.hpp"
#include "traffic_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <span>
#include <variant>

namespace briarhub
{

/// The result that ends the request, or nothing if the filter lets it continue.
using filter_result = std::optional<request_result>;

/// Refuses requests while this VM is starting or stopping, or while its
/// configuration is stale.
struct readiness_filter
{
};

/// Authenticates the caller's key and looks up its client account.
struct authentication_filter
{
};

/// Looks up the work class of the request and removes credentials from its
/// header fields and target.
struct route_filter
{
};

/// Checks that the client account is authorized for the work class.
struct authorization_filter
{
};

/// Refuses requests whose target or body contains the caller's key: sending
/// them would expose the key to the upstream.
struct key_leak_filter
{
};

/// Validates the Idempotency-Key of a non-idempotent request.
struct idempotency_filter
{
};

/// Refuses requests that were in flight at several upstream crashes.
struct suspect_filter
{
};

/// Rate limiting: consumes a token from the client account's token bucket and
/// waits a short time for one if there is none.
struct admission_filter
{
};

/// Claims the right to run a non-idempotent request under its idempotency key.
struct claim_filter
{
};

using filter = std::variant<
    readiness_filter,
    authentication_filter,
    route_filter,
    authorization_filter,
    key_leak_filter,
    idempotency_filter,
    suspect_filter,
    admission_filter,
    claim_filter>;

/// Filters that need only the request head. They run before the body is read,
/// so that this VM buffers bodies only for authenticated callers.
std::span<filter const> head_filters();

/// Filters that need the complete request.
std::span<filter const> request_filters();

/// Runs the filters in order until one ends the request.
boost::asio::awaitable<filter_result> run_filters(
    std::span<filter const> filters,
    traffic_state& state,
    request_context& context);

} // namespace briarhub

#endif
