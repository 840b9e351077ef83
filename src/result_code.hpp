#ifndef BRIARHUB_RESULT_CODE_HPP
#define BRIARHUB_RESULT_CODE_HPP

/// The numeric result codes of requests and operations, with their HTTP status
/// and description. Table: docs/result-codes.md.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace briarhub
{

/// What a result code tells about the execution of the request at an upstream.
enum class execution_status
{
    not_run,
    may_have_run,
    ran
};

enum class result_code : std::uint16_t
{
    ok = 0,

    malformed_request = 1001,
    header_too_large = 1002,
    body_too_large = 1003,
    ambiguous_length = 1004,
    unsupported_target = 1005,
    duplicate_header = 1006,
    caller_too_slow = 1007,
    unknown_route = 1008,
    too_many_connections = 1009,

    missing_key = 2001,
    unknown_key = 2002,
    route_not_allowed = 2003,
    key_withdrawn = 2004,

    over_rate = 3001,

    idempotency_key_missing = 4001,
    idempotency_key_invalid = 4002,
    idempotency_key_expired = 4003,
    idempotency_key_in_future = 4004,
    idempotency_key_reused = 4005,
    claims_unavailable = 4006,
    claim_in_progress = 4007,
    claim_in_doubt = 4008,
    outcome_unknown = 4009,
    outcome_not_stored = 4010,

    no_upstream = 5001,
    queue_full = 5002,
    deadline_too_short = 5003,
    deadline_passed = 5004,
    upstream_failed = 5005,
    upstream_wrong_answer = 5006,
    retry_budget_spent = 5007,
    suspect_request_refused = 5008,
    archive_incomplete = 5009,
    deadline_passed_running = 5010,
    all_upstreams_shed = 5011,
    upstreams_evacuated = 5012,
    upstreams_full = 5013,
    upstreams_suspect = 5014,
    upstreams_cold = 5015,

    starting = 6001,
    configuration_stale = 6002,
    stopping = 6003,
    overloaded = 6004,
    internal_error = 6005,

    settings_invalid = 7001,
    config_invalid = 7002,
    config_conflict = 7003,
    config_unconfirmed = 7004,
    admin_unauthorized = 7005,
    admin_not_found = 7006,

    log_unavailable = 8001,
    log_append_unknown = 8002,
    log_rate_limited = 8003,
    peer_unreachable = 8004,
    peer_message_invalid = 8005
};

/// Properties of a result code.
struct result_info
{
    result_code m_code;
    std::string_view m_name; ///< the enumerator's name
    unsigned m_http_status;
    execution_status m_execution;
    std::string_view m_description;
};

/// All results in numeric order.
std::span<result_info const> all_results() noexcept;

/// The properties of a code. Every code has an entry.
result_info const& describe(result_code code) noexcept;

std::string_view to_string(execution_status state) noexcept;

/// The Markdown table for docs/result-codes.md.
std::string result_table();

} // namespace briarhub

#endif
