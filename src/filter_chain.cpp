#include "filter_chain.hpp"

#include "caller_key.hpp"
#include "caller_response.hpp"
#include "http_fields.hpp"
#include "idempotency_key.hpp"
#include "request_validation.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Extra time after the request deadline for the control thread to report the
/// result of a claim that it decides at the deadline.
constexpr std::chrono::milliseconds decision_margin{100};

constexpr std::array<filter, 4> filters_on_head{
    readiness_filter{},
    authentication_filter{},
    route_filter{},
    authorization_filter{}};

constexpr std::array<filter, 6> filters_on_request{
    readiness_filter{},
    key_leak_filter{},
    idempotency_filter{},
    suspect_filter{},
    admission_filter{},
    claim_filter{}};

filter_result to_filter_result(result_code code)
{
    if (code == result_code::ok)
    {
        return std::nullopt;
    }
    return request_result{refusal{code, std::nullopt}};
}

/// SHA-256 of the parts. Each is prefixed with its length, so that different
/// lists of parts never give the same input.
std::string digest_parts(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (auto const part : parts)
    {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return sha256_hex(text);
}

asio::awaitable<filter_result>
run_filter(readiness_filter, traffic_state& state, request_context&)
{
    co_return to_filter_result(state.readiness(runtime_clock::now()));
}

asio::awaitable<filter_result> run_filter(
    authentication_filter, traffic_state& state, request_context& context)
{
    auto extracted = extract_caller_key(context.m_head);
    if (auto const* code = std::get_if<result_code>(&extracted))
    {
        co_return to_filter_result(*code);
    }
    context.m_caller_key = std::move(std::get<std::string>(extracted));
    auto const* key = state.m_keys.find(context.m_caller_key);
    if (key == nullptr)
    {
        co_return to_filter_result(result_code::unknown_key);
    }
    context.m_key = *key;
    co_return std::nullopt;
}

asio::awaitable<filter_result>
run_filter(route_filter, traffic_state& state, request_context& context)
{
    auto const target = to_view(context.m_head.target());
    auto const* work_class =
        state.m_routes.find(to_view(context.m_head.method_string()), target);
    if (work_class == nullptr)
    {
        co_return to_filter_result(result_code::unknown_route);
    }
    context.m_work_class = *work_class;
    context.m_target = std::string{target};
    remove_credentials(context.m_head, context.m_target, context.m_caller_key);
    co_return std::nullopt;
}

asio::awaitable<filter_result>
run_filter(authorization_filter, traffic_state&, request_context& context)
{
    auto const& allowed = context.m_work_class.m_accounts;
    bool const is_allowed =
        allowed.empty() ||
        std::ranges::find(allowed, context.m_key.m_account) != allowed.end();
    co_return to_filter_result(
        is_allowed ? result_code::ok : result_code::route_not_allowed);
}

asio::awaitable<filter_result>
run_filter(key_leak_filter, traffic_state&, request_context& context)
{
    auto const decoded = percent_decode(context.m_target);
    bool const is_exposed =
        contains_key(context.m_body, context.m_caller_key) ||
        contains_key(context.m_target, context.m_caller_key) ||
        (decoded && contains_key(*decoded, context.m_caller_key));
    co_return to_filter_result(
        is_exposed ? result_code::malformed_request : result_code::ok);
}

asio::awaitable<filter_result>
run_filter(idempotency_filter, traffic_state& state, request_context& context)
{
    if (context.m_work_class.m_idempotent)
    {
        co_return std::nullopt;
    }
    auto const key = to_view(context.m_head["Idempotency-Key"]);
    if (key.empty())
    {
        co_return to_filter_result(result_code::idempotency_key_missing);
    }
    if (!state.m_claim_coverage.m_available)
    {
        co_return to_filter_result(result_code::claims_unavailable);
    }
    context.m_idempotency_key = std::string{key};
    // UUIDs are case-insensitive: upper and lower case form the same claim.
    std::ranges::transform(
        context.m_idempotency_key,
        context.m_idempotency_key.begin(),
        [](char c)
        {
            return c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
        });
    co_return to_filter_result(check_idempotency_key(
        context.m_idempotency_key,
        wall_now(),
        state.m_claim_coverage.m_covered_since));
}

asio::awaitable<filter_result>
run_filter(suspect_filter, traffic_state& state, request_context& context)
{
    auto const method = to_view(context.m_head.method_string());
    context.m_request_digest =
        digest_parts({method, context.m_target, context.m_body});
    context.m_suspect_digest = digest_parts(
        {context.m_key.m_account, method, context.m_target, context.m_body});
    bool const is_refused = state.m_suspects.is_refused(
        runtime_clock::now(), context.m_suspect_digest);
    co_return to_filter_result(
        is_refused ? result_code::suspect_request_refused : result_code::ok);
}

/// Waits for a loan message, at most until the time `until`. Returns early if
/// the caller disconnects.
asio::awaitable<void> wait_for_tokens(
    traffic_state& state, request_context const& context, time_point until)
{
    pending_value<bool> wait{state.m_io.get_executor()};
    scoped_waiter<request_ticket, bool> const registration{
        state.m_pending_admissions, context.m_ticket, wait};
    scoped_disconnect_handler const on_disconnect{
        *context.m_caller,
        [&wait]
        {
            wait.interrupt();
        }};
    co_await wait.wait_until(until);
}

/// Checks readiness and the key again, since the VM may have lost readiness and
/// the key may have been withdrawn while the request waited for tokens.
result_code
recheck_after_wait(traffic_state& state, request_context const& context)
{
    auto const code = state.readiness(runtime_clock::now());
    return code == result_code::ok ? state.check_sendable(context) : code;
}

asio::awaitable<filter_result>
run_filter(admission_filter, traffic_state& state, request_context& context)
{
    auto const start = runtime_clock::now();
    std::optional<time_point> waited_since;
    for (;;)
    {
        auto const now = runtime_clock::now();
        auto const result =
            state.m_rates.try_admit(now, context.m_key.m_account, waited_since);
        state.poll_rates();
        if (result.m_kind == admission_kind::admitted)
        {
            co_return std::nullopt;
        }
        if (result.m_kind == admission_kind::refused)
        {
            co_return request_result{
                refusal{result_code::over_rate, result.m_retry_after}};
        }
        waited_since = start;
        auto const until = std::min(result.m_retry_at, context.m_deadline);
        co_await wait_for_tokens(state, context, until);
        if (context.m_caller->is_disconnected())
        {
            co_return request_result{aborted_response{}};
        }
        auto const code = recheck_after_wait(state, context);
        if (code != result_code::ok)
        {
            co_return to_filter_result(code);
        }
    }
}

claim_name make_claim_name(request_context const& context)
{
    return {context.m_key.m_account, context.m_idempotency_key};
}

/// Sends the claim request to the control thread and waits for its verdict.
/// Returns nothing if the caller disconnects or the wait times out first.
asio::awaitable<std::optional<claim_verdict>>
wait_for_verdict(traffic_state& state, request_context const& context)
{
    pending_value<claim_verdict> wait{state.m_io.get_executor()};
    scoped_waiter<request_ticket, claim_verdict> const registration{
        state.m_pending_claims, context.m_ticket, wait};
    scoped_disconnect_handler const on_disconnect{
        *context.m_caller,
        [&wait]
        {
            wait.interrupt();
        }};
    claim_request request{
        context.m_ticket,
        make_claim_name(context),
        context.m_request_digest,
        context.m_deadline};
    if (!state.send(std::move(request)))
    {
        co_return claim_refused{result_code::claims_unavailable};
    }
    co_await wait.wait_until(context.m_deadline + decision_margin);
    if (!wait.value())
    {
        state.cancel_claim(context.m_ticket, make_claim_name(context));
    }
    co_return std::move(wait.value());
}

asio::awaitable<filter_result>
run_filter(claim_filter, traffic_state& state, request_context& context)
{
    if (context.m_work_class.m_idempotent)
    {
        co_return std::nullopt;
    }
    auto const verdict = co_await wait_for_verdict(state, context);
    if (!verdict)
    {
        if (context.m_caller->is_disconnected())
        {
            co_return request_result{aborted_response{}};
        }
        // Another VM may own the claim and run the request.
        co_return to_filter_result(result_code::claim_in_doubt);
    }
    if (auto const* refused = std::get_if<claim_refused>(&*verdict))
    {
        co_return to_filter_result(refused->m_code);
    }
    if (auto const* finished = std::get_if<claim_finished>(&*verdict))
    {
        co_return make_stored_response(finished->m_outcome);
    }
    context.m_claim = std::get<claim_won>(*verdict).m_claim_id;
    co_return std::nullopt;
}

} // namespace

std::span<filter const> head_filters()
{
    return filters_on_head;
}

std::span<filter const> request_filters()
{
    return filters_on_request;
}

asio::awaitable<filter_result> run_filters(
    std::span<filter const> filters,
    traffic_state& state,
    request_context& context)
{
    for (auto const& entry : filters)
    {
        auto result = co_await std::visit(
            [&](auto specific)
            {
                return run_filter(specific, state, context);
            },
            entry);
        if (result)
        {
            co_return std::move(result);
        }
    }
    co_return std::nullopt;
}

} // namespace briarhub
