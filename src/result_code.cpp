#include "result_code.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace briarhub
{
namespace
{

using enum result_code;
using enum execution_status;

constexpr auto results = std::to_array<result_info>({
    {ok, "ok", 200, ran, "The request was served."},
    {malformed_request,
     "malformed_request",
     400,
     not_run,
     "The request head cannot be parsed."},
    {header_too_large,
     "header_too_large",
     431,
     not_run,
     "The request head is larger than the limit."},
    {body_too_large,
     "body_too_large",
     413,
     not_run,
     "The request body is larger than the limit."},
    {ambiguous_length,
     "ambiguous_length",
     400,
     not_run,
     "The request states its length in more than one way."},
    {unsupported_target,
     "unsupported_target",
     400,
     not_run,
     "The request target is not an absolute path."},
    {duplicate_header,
     "duplicate_header",
     400,
     not_run,
     "A header that must be unique appears more than once."},
    {caller_too_slow,
     "caller_too_slow",
     408,
     not_run,
     "The request did not arrive within the time limit."},
    {unknown_route,
     "unknown_route",
     404,
     not_run,
     "No class of work matches the method and path."},
    {too_many_connections,
     "too_many_connections",
     503,
     not_run,
     "This VM has reached its limit of caller connections."},
    {missing_key, "missing_key", 401, not_run, "The request carries no key."},
    {unknown_key, "unknown_key", 401, not_run, "The key is not known."},
    {route_not_allowed,
     "route_not_allowed",
     403,
     not_run,
     "The client account may not use this class of work."},
    {key_withdrawn,
     "key_withdrawn",
     401,
     not_run,
     "The key was withdrawn while the request was waiting."},
    {over_rate,
     "over_rate",
     429,
     not_run,
     "The client account is over its rate and burst."},
    {idempotency_key_missing,
     "idempotency_key_missing",
     400,
     not_run,
     "A non-idempotent request needs an Idempotency-Key header."},
    {idempotency_key_invalid,
     "idempotency_key_invalid",
     400,
     not_run,
     "The idempotency key is not a UUIDv7."},
    {idempotency_key_expired,
     "idempotency_key_expired",
     409,
     not_run,
     "The idempotency key is older than the claims kept; not run by this "
     "request, an earlier run is no longer known."},
    {idempotency_key_in_future,
     "idempotency_key_in_future",
     400,
     not_run,
     "The time in the idempotency key lies in the future."},
    {idempotency_key_reused,
     "idempotency_key_reused",
     422,
     not_run,
     "The idempotency key was used for a different request."},
    {claims_unavailable,
     "claims_unavailable",
     503,
     not_run,
     "The claim could not be recorded; it will not be run."},
    {claim_in_progress,
     "claim_in_progress",
     409,
     may_have_run,
     "The same request is running."},
    {claim_in_doubt,
     "claim_in_doubt",
     409,
     may_have_run,
     "The same request was claimed and its outcome is not known."},
    {outcome_unknown,
     "outcome_unknown",
     502,
     may_have_run,
     "The upstream may have run the request; it will not be run again."},
    {outcome_not_stored,
     "outcome_not_stored",
     409,
     ran,
     "The request ran; its answer was too large to be stored."},
    {no_upstream,
     "no_upstream",
     503,
     not_run,
     "The service has no usable upstream."},
    {queue_full,
     "queue_full",
     503,
     not_run,
     "The queue of the client account is full."},
    {deadline_too_short,
     "deadline_too_short",
     503,
     not_run,
     "The expected wait is longer than the remaining deadline."},
    {deadline_passed,
     "deadline_passed",
     504,
     not_run,
     "The deadline passed before the request was sent to an upstream."},
    {upstream_failed,
     "upstream_failed",
     502,
     may_have_run,
     "The upstreams tried did not answer."},
    {upstream_wrong_answer,
     "upstream_wrong_answer",
     502,
     may_have_run,
     "The upstreams tried gave an answer that does not match the request."},
    {retry_budget_spent,
     "retry_budget_spent",
     503,
     may_have_run,
     "The attempt failed and the service's retry budget is spent."},
    {suspect_request_refused,
     "suspect_request_refused",
     503,
     not_run,
     "The same request was in flight at several upstream crashes."},
    {archive_incomplete,
     "archive_incomplete",
     502,
     may_have_run,
     "The archive could not be completed."},
    {deadline_passed_running,
     "deadline_passed_running",
     504,
     may_have_run,
     "The deadline passed while an upstream was running the request."},
    {all_upstreams_shed,
     "all_upstreams_shed",
     503,
     not_run,
     "All upstreams tried refused the request without running it."},
    {upstreams_evacuated,
     "upstreams_evacuated",
     503,
     not_run,
     "All upstreams of the service are in evacuated failure domains."},
    {upstreams_cold,
     "upstreams_cold",
     503,
     not_run,
     "All upstreams of the service that could take the request are cold and "
     "at their warm-up rate."},
    {starting, "starting", 503, not_run, "This VM is not ready yet."},
    {configuration_stale,
     "configuration_stale",
     503,
     not_run,
     "This VM cannot confirm that its configuration is current."},
    {stopping, "stopping", 503, not_run, "This VM is shutting down."},
    {overloaded, "overloaded", 503, not_run, "This VM is overloaded."},
    {internal_error,
     "internal_error",
     500,
     may_have_run,
     "An internal error occurred."},
    {settings_invalid,
     "settings_invalid",
     400,
     not_run,
     "A setting is missing or out of range."},
    {config_invalid,
     "config_invalid",
     422,
     not_run,
     "The configuration is invalid."},
    {config_conflict,
     "config_conflict",
     409,
     not_run,
     "The change was made against an older configuration version."},
    {config_unconfirmed,
     "config_unconfirmed",
     202,
     may_have_run,
     "The change was appended and is not confirmed by a majority yet."},
    {admin_unauthorized,
     "admin_unauthorized",
     401,
     not_run,
     "The admin token is missing or wrong."},
    {admin_not_found,
     "admin_not_found",
     404,
     not_run,
     "No such admin resource."},
    {log_unavailable,
     "log_unavailable",
     503,
     not_run,
     "The platform's log is unavailable."},
    {log_append_unknown,
     "log_append_unknown",
     503,
     may_have_run,
     "The append was sent and its answer was lost."},
    {log_rate_limited,
     "log_rate_limited",
     429,
     not_run,
     "The platform's log refused the append because of its rate limit."},
    {peer_unreachable,
     "peer_unreachable",
     503,
     not_run,
     "The peer cannot be reached."},
    {peer_message_invalid,
     "peer_message_invalid",
     400,
     not_run,
     "The peer message cannot be parsed."},
});

} // namespace

std::span<result_info const> all_results() noexcept
{
    return results;
}

result_info const& describe(result_code code) noexcept
{
    auto const found =
        std::ranges::lower_bound(results, code, {}, &result_info::m_code);
    return *found;
}

std::string_view to_string(execution_status state) noexcept
{
    switch (state)
    {
    case not_run:
        return "not_run";
    case may_have_run:
        return "may_have_run";
    case ran:
        return "ran";
    }
    return "may_have_run";
}

std::string result_table()
{
    std::string text = "| code | name | HTTP status | run | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    for (auto const& result : results)
    {
        fmt::format_to(
            std::back_inserter(text),
            "| {} | {} | {} | {} | {} |\n",
            static_cast<unsigned>(result.m_code),
            result.m_name,
            result.m_http_status,
            to_string(result.m_execution),
            result.m_description);
    }
    return text;
}

} // namespace briarhub
