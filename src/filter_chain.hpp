#ifndef BRIARHUB_FILTER_CHAIN_HPP
#define BRIARHUB_FILTER_CHAIN_HPP

/// The filters that a request passes before it is given to an upstream.

#include "request.hpp"
#include "traffic_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <span>
#include <variant>

namespace briarhub
{

/// The result that ends the request, or nothing if it passes.
using filter_result = std::optional<request_result>;

/// Refuses while this VM is not ready, stale or stopping.
struct readiness_filter
{
};

/// Finds the client account by the caller's key.
struct authentication_filter
{
};

/// Finds the work class; removes credentials from the target.
struct route_filter
{
};

/// Checks that the client account may use the work class.
struct authorization_filter
{
};

/// Refuses requests whose path or body holds the caller's key, which could
/// not be sent to an upstream without showing it the key.
struct key_leak_filter
{
};

/// Checks the Idempotency-Key of a non-idempotent request.
struct idempotency_filter
{
};

/// Refuses requests that were in flight at several upstream crashes.
struct suspect_filter
{
};

/// Takes a token of the client account; waits for one for a short time.
struct admission_filter
{
};

/// Claims the right to run a non-idempotent request.
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

/// Filters that need only the head. They run before the body is read, so that
/// only callers with a key can make this VM hold bodies.
std::span<filter const> head_filters();

/// Filters that need the whole request.
std::span<filter const> request_filters();

/// Visits the filters in order until one ends the request.
boost::asio::awaitable<filter_result> run_filters(
    std::span<filter const> filters,
    traffic_state& state,
    request_context& context);

} // namespace briarhub

#endif
