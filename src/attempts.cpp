#include "attempts.hpp"

#include "caller_response.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

/// Retries of shed requests don't use the retry budget, so they have their own
/// limit.
constexpr unsigned max_shed_attempts = 5;

/// Keeps a request that fails everywhere from reaching every upstream of a
/// service.
constexpr unsigned max_attempts = 8;

/// Time after the deadline within which the dispatcher can still report the
/// passed deadline itself.
constexpr std::chrono::milliseconds dispatch_timeout_margin{20};

/// Reason for a retry, as counted in `briarhub_retries_total`.
std::string_view retry_reason(attempt_result const& result)
{
    if (result.m_is_cancelled_slow)
    {
        return "slow";
    }
    switch (result.m_upstream_result.m_outcome)
    {
    case attempt_outcome::wrong:
        return "wrong";
    case attempt_outcome::crashed:
        return "crashed";
    case attempt_outcome::shed:
        return "shed";
    default:
        return "error";
    }
}

result_code failure_code(attempt_result const& result)
{
    return result.m_upstream_result.m_outcome == attempt_outcome::wrong
               ? result_code::upstream_wrong_answer
               : result_code::upstream_failed;
}

bool may_have_run(upstream_result const& attempt)
{
    return attempt.m_sent && !attempt.m_not_run;
}

/// Records that the request was in flight when an upstream crashed, and returns
/// true if it has to be refused as a suspect request.
bool is_refused_after_crash(
    traffic_state& state, request_context const& context, time_point now)
{
    state.m_suspects.report_crash(now, context.m_suspect_digest);
    return state.m_suspects.is_refused(now, context.m_suspect_digest);
}

std::optional<result_code> evaluate_shed(
    traffic_state& state,
    request_context const& context,
    attempt_history& history)
{
    ++history.m_shed_count;
    if (history.m_shed_count >= max_shed_attempts)
    {
        return result_code::all_upstreams_shed;
    }
    if (runtime_clock::now() >= context.m_deadline)
    {
        return result_code::deadline_passed;
    }
    state.count_retry("shed");
    return std::nullopt;
}

/// Decides about a retry after an attempt that failed and was not shed.
std::optional<result_code> evaluate_failure(
    traffic_state& state,
    request_context const& context,
    attempt_history const& history,
    attempt_result const& result)
{
    auto const now = runtime_clock::now();
    if (now >= context.m_deadline)
    {
        return result_code::deadline_passed_running;
    }
    if (history.m_attempts >= max_attempts)
    {
        return failure_code(result);
    }
    bool const is_retry_charged = result.m_is_cancelled_slow;
    if (!is_retry_charged &&
        !state.m_retries.try_retry(now, context.m_work_class.m_service))
    {
        return result_code::retry_budget_spent;
    }
    state.count_retry(retry_reason(result));
    return std::nullopt;
}

/// Runs one attempt at `target` with a buffered response.
asio::awaitable<attempt_result> run_attempt(
    traffic_state& state,
    request_context& context,
    upstream target,
    attempt_history const& history)
{
    attempt_scope scope{state, context, target, history};
    bool const is_idempotent = context.m_work_class.m_idempotent;
    if (is_idempotent)
    {
        scope.start_slow_timer();
    }
    scoped_disconnect_handler const on_gone{
        *context.m_caller,
        [&state, ticket = scope.ticket(), is_idempotent]
        {
            // A non-idempotent request continues, so that its outcome is known.
            if (is_idempotent)
            {
                state.m_client.cancel(ticket);
            }
        }};
    result_code send_check = result_code::ok;
    std::function<bool()> may_send = [&]
    {
        send_check = state.check_sendable(context);
        return send_check == result_code::ok;
    };
    upstream_request request =
        make_upstream_request(context, runtime_clock::now());
    auto attempt = co_await state.m_client.run(
        scope.ticket(),
        std::move(target),
        std::move(request),
        context.m_deadline,
        std::move(may_send));
    auto result = scope.finish(std::move(attempt), send_check);
    context.m_upstream_time += result.m_duration;
    co_return result;
}

/// Ends the claim of a request: with the response, with an unknown outcome if
/// the request may have run, or else with a release.
void end_claim(
    traffic_state& state,
    request_context& context,
    attempt_history const& history,
    request_result const& result)
{
    if (!context.m_claim)
    {
        return;
    }
    claim_name const name{context.m_key.m_account, context.m_idempotency_key};
    auto const id = *std::exchange(context.m_claim, std::nullopt);
    if (auto const* response = std::get_if<buffered_response>(&result))
    {
        state.send_claim_result(
            make_claim_outcome(name, id, response->m_response));
        return;
    }
    if (history.m_may_have_run)
    {
        claim_outcome outcome;
        outcome.m_name = name;
        outcome.m_claim_id = id;
        state.send_claim_result(std::move(outcome));
        return;
    }
    state.send_claim_result(claim_release{name, id});
}

asio::awaitable<request_result> try_upstreams(
    traffic_state& state, request_context& context, attempt_history& history)
{
    bool const is_idempotent = context.m_work_class.m_idempotent;
    auto const refuse = [&](result_code code) -> request_result
    {
        return refusal{
            reconcile_code(code, is_idempotent, history.m_may_have_run), {}};
    };
    for (;;)
    {
        dispatch_result grant =
            co_await acquire_upstream(state, context, history);
        if (auto const* code = std::get_if<result_code>(&grant))
        {
            if (*code == result_code::ok)
            {
                co_return aborted_response{};
            }
            co_return refuse(*code);
        }
        upstream target = std::get<upstream>(std::move(grant));
        history.m_tried.push_back(target.m_id);
        auto result =
            co_await run_attempt(state, context, std::move(target), history);
        if (context.m_caller->is_disconnected() && is_idempotent)
        {
            co_return aborted_response{};
        }
        auto const code = evaluate_attempt(state, context, history, result);
        if (code == result_code::ok)
        {
            co_return buffered_response{
                make_upstream_response(std::move(result.m_upstream_result))};
        }
        if (code)
        {
            co_return refuse(*code);
        }
    }
}

} // namespace

asio::awaitable<dispatch_result> acquire_upstream(
    traffic_state& state,
    request_context const& context,
    attempt_history& history)
{
    auto const ticket = state.next_ticket();
    pending_value<dispatch_result> wait{state.m_io.get_executor()};
    scoped_waiter<request_ticket, dispatch_result> const registration{
        state.m_pending_dispatches, ticket, wait};
    scoped_disconnect_handler const on_gone{
        *context.m_caller,
        [&wait]
        {
            wait.interrupt();
        }};
    dispatch_request request;
    request.m_ticket = ticket;
    request.m_service = context.m_work_class.m_service;
    request.m_account = context.m_key.m_account;
    request.m_deadline = context.m_deadline;
    request.m_excluded_upstreams = history.m_tried;
    if (context.m_caller->is_disconnected())
    {
        co_return result_code::ok;
    }
    auto const code =
        state.m_dispatcher.enqueue(runtime_clock::now(), std::move(request));
    if (code == result_code::no_upstream && history.m_shed_count > 0 &&
        history.m_shed_count == history.m_attempts)
    {
        co_return result_code::all_upstreams_shed;
    }
    if (code != result_code::ok)
    {
        co_return code;
    }
    state.poll_dispatcher();
    co_await wait.wait_until(context.m_deadline + dispatch_timeout_margin);
    if (!wait.value())
    {
        state.m_dispatcher.cancel(ticket);
        co_return context.m_caller->is_disconnected()
            ? result_code::ok
            : result_code::deadline_passed;
    }
    auto const* target = std::get_if<upstream>(&*wait.value());
    if (target != nullptr && context.m_caller->is_disconnected())
    {
        state.m_dispatcher.release(
            runtime_clock::now(), target->m_id, duration::zero());
        state.poll_dispatcher();
        co_return result_code::ok;
    }
    co_return std::move(*wait.value());
}

attempt_scope::attempt_scope(
    traffic_state& state,
    request_context const& context,
    upstream const& target,
    attempt_history const& history)
    : m_state(state), m_context(context), m_target(target),
      m_ticket(state.next_ticket()), m_start(runtime_clock::now()),
      m_slow_limit(state.m_health.slow_limit(
          context.m_work_class.m_service,
          context.m_work_class.m_name,
          context.m_work_class.m_latency_target)),
      m_slow_timer(state.m_io)
{
    running_attempt entry;
    entry.m_service = context.m_work_class.m_service;
    entry.m_upstream = target.m_id;
    entry.m_deadline = context.m_deadline;
    entry.m_key = context.m_key;
    entry.m_is_archive = context.m_work_class.m_archive;
    entry.m_tried = history.m_tried;
    state.m_attempts.emplace(m_ticket, std::move(entry));
    state.m_health.attempt_started(
        m_start,
        m_ticket,
        target.m_id,
        context.m_work_class.m_name,
        context.m_work_class.m_latency_target);
}

/// Frees the slot also if an exception ended the attempt.
attempt_scope::~attempt_scope()
{
    stop_slow_timer();
    report_outcome(attempt_outcome::cancelled);
    if (!m_is_released)
    {
        auto const now = runtime_clock::now();
        m_state.m_dispatcher.release(now, m_target.m_id, now - m_start);
    }
    m_state.m_attempts.erase(m_ticket);
}

running_attempt& attempt_scope::running()
{
    return m_state.m_attempts.at(m_ticket);
}

void attempt_scope::start_slow_timer()
{
    m_slow_timer.expires_at(m_start + m_slow_limit);
    m_slow_timer.async_wait(
        [weak = m_state.weak_from_this(),
         ticket = m_ticket](boost::system::error_code error)
        {
            auto const state = weak.lock();
            if (!error && state)
            {
                state->handle_slow_attempt(ticket);
            }
        });
}

void attempt_scope::stop_slow_timer()
{
    m_slow_timer.cancel();
}

void attempt_scope::report_outcome(attempt_outcome outcome)
{
    if (!std::exchange(m_is_reported, true))
    {
        m_state.m_health.attempt_finished(
            runtime_clock::now(), m_ticket, m_target.m_id, outcome);
    }
}

attempt_result
attempt_scope::finish(upstream_result&& attempt, result_code send_check)
{
    auto const now = runtime_clock::now();
    attempt_result result;
    result.m_upstream_result = std::move(attempt);
    result.m_send_check = send_check;
    result.m_is_cancelled_slow = running().m_is_cancelled_slow;
    result.m_is_cancelled_key = running().m_is_cancelled_key;
    result.m_duration = now - m_start;
    report_outcome(health_outcome(result));
    if (result.m_upstream_result.m_outcome == attempt_outcome::shed)
    {
        m_state.m_dispatcher.report_shed(now, m_target.m_id);
    }
    if (auto const& load = result.m_upstream_result.m_load)
    {
        m_state.m_dispatcher.report_load(
            now, m_target.m_id, load->m_in_use, load->m_slots);
    }
    if (result.m_upstream_result.m_draining)
    {
        m_state.m_health.report_draining(now, m_target.m_id);
    }
    m_is_released = true;
    m_state.m_dispatcher.release(now, m_target.m_id, result.m_duration);
    m_state.poll_dispatcher();
    return result;
}

/// Outcome to report to the health monitor. Failures that the request or the
/// fleet caused must not count against the upstream.
attempt_outcome
attempt_scope::health_outcome(attempt_result const& result) const
{
    auto const outcome = result.m_upstream_result.m_outcome;
    if (result.m_send_check != result_code::ok || result.m_is_cancelled_key)
    {
        return attempt_outcome::cancelled;
    }
    if (result.m_is_cancelled_slow && outcome == attempt_outcome::cancelled)
    {
        return attempt_outcome::slow;
    }
    bool const is_past_deadline = runtime_clock::now() >= m_context.m_deadline;
    if (outcome == attempt_outcome::error && is_past_deadline &&
        result.m_duration < m_slow_limit)
    {
        // Most of the time before the deadline was not spent at this upstream.
        return attempt_outcome::cancelled;
    }
    bool const is_suspect_request = m_state.m_suspects.is_suspect(
        runtime_clock::now(), m_context.m_suspect_digest);
    if (outcome == attempt_outcome::crashed && is_suspect_request)
    {
        return attempt_outcome::cancelled;
    }
    return outcome;
}

upstream_request
make_upstream_request(request_context const& context, time_point now)
{
    upstream_request request;
    request.base() = context.m_head;
    request.version(http_1_1);
    request.target(context.m_target);
    request.set(http::field::host, context.m_work_class.m_service);
    request.set(account_field, context.m_key.m_account);
    request.set(request_id_field, context.m_request_id);
    auto const remaining =
        std::chrono::floor<std::chrono::milliseconds>(context.m_deadline - now);
    auto const deadline = wall_now() + remaining;
    request.set(
        deadline_field, std::to_string(deadline.time_since_epoch().count()));
    if (!context.m_idempotency_key.empty())
    {
        request.set("Idempotency-Key", context.m_idempotency_key);
    }
    request.body() = context.m_body;
    request.prepare_payload();
    return request;
}

std::optional<result_code> evaluate_attempt(
    traffic_state& state,
    request_context const& context,
    attempt_history& history,
    attempt_result const& result)
{
    auto const& attempt = result.m_upstream_result;
    ++history.m_attempts;
    if (attempt.m_outcome == attempt_outcome::good)
    {
        return result_code::ok;
    }
    if (result.m_send_check != result_code::ok && !attempt.m_sent)
    {
        return result.m_send_check;
    }
    if (attempt.m_not_run)
    {
        return evaluate_shed(state, context, history);
    }
    history.m_may_have_run = history.m_may_have_run || may_have_run(attempt);
    if (attempt.m_outcome == attempt_outcome::crashed &&
        is_refused_after_crash(state, context, runtime_clock::now()))
    {
        return result_code::suspect_request_refused;
    }
    if (!context.m_work_class.m_idempotent && attempt.m_sent)
    {
        return result_code::outcome_unknown;
    }
    return evaluate_failure(state, context, history, result);
}

result_code
reconcile_code(result_code code, bool is_idempotent, bool may_have_run) noexcept
{
    bool const claims_not_run =
        describe(code).m_execution == execution_status::not_run;
    if (may_have_run && !is_idempotent)
    {
        return result_code::outcome_unknown;
    }
    bool const is_deadline = code == result_code::deadline_passed ||
                             code == result_code::deadline_too_short ||
                             code == result_code::deadline_passed_running;
    if (may_have_run && claims_not_run)
    {
        return is_deadline ? result_code::deadline_passed_running
                           : result_code::upstream_failed;
    }
    if (!may_have_run && !claims_not_run)
    {
        return is_deadline ? result_code::deadline_passed
                           : result_code::no_upstream;
    }
    return code;
}

asio::awaitable<request_result>
run_buffered(traffic_state& state, request_context& context)
{
    attempt_history history;
    state.m_retries.request_started(
        runtime_clock::now(), context.m_work_class.m_service);
    request_result result = co_await try_upstreams(state, context, history);
    end_claim(state, context, history, result);
    co_return result;
}

} // namespace briarhub
