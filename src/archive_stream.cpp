#include "archive_stream.hpp"

#include "attempts.hpp"
#include "caller_response.hpp"

#include <algorithm>
#include <string>
#include <utility>

// GCC 12 reports Asio's paired operator new and delete for coroutine frames as
// mismatched when only one of them is inlined.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Minimum time without data from the upstream after which a download attempt
/// counts as stalled and is cancelled.
constexpr std::chrono::seconds min_stall_timeout{2};

/// Interval of the stall check.
constexpr std::chrono::milliseconds stall_check_interval{250};

/// Progress of one attempt, shared with the stall timer.
struct stream_progress
{
    explicit stream_progress(asio::io_context& io) : m_timer(io)
    {
    }

    timer m_timer;
    time_point m_last_progress{};
    /// Data is being written to the caller, so the upstream is not read.
    bool m_is_writing_to_caller = false;
    bool m_has_head = false;
    bool m_is_stalled = false;
};

/// Cancels an attempt whose upstream sends no data for longer than `limit`.
/// Time spent writing to the caller does not count.
void watch_stall(
    std::shared_ptr<stream_progress> progress,
    std::weak_ptr<traffic_state> weak,
    request_ticket ticket,
    duration limit)
{
    auto& stall_timer = progress->m_timer;
    stall_timer.expires_at(runtime_clock::now() + stall_check_interval);
    stall_timer.async_wait(
        [progress = std::move(progress), weak = std::move(weak), ticket, limit](
            boost::system::error_code error) mutable
        {
            auto const state = weak.lock();
            if (error || !state || !state->m_attempts.contains(ticket))
            {
                return;
            }
            auto const idle_time =
                runtime_clock::now() - progress->m_last_progress;
            if (progress->m_has_head && !progress->m_is_writing_to_caller &&
                idle_time > limit)
            {
                progress->m_is_stalled = true;
                state->m_client.cancel(ticket);
                return;
            }
            watch_stall(std::move(progress), std::move(weak), ticket, limit);
        });
}

/// One attempt of a download. The slow limit applies only until the response
/// head arrives, since the rest depends on the caller's speed.
class download_attempt
{
public:
    download_attempt(
        traffic_state& state,
        request_context& context,
        caller_stream const& caller,
        upstream target,
        attempt_history const& history)
        : m_state(state), m_context(context), m_caller(caller),
          m_target(std::move(target)),
          m_scope(state, context, m_target, history),
          m_progress(std::make_shared<stream_progress>(state.m_io))
    {
        m_scope.running().m_abort_caller = caller.m_abort;
        m_scope.start_slow_timer();
        watch_stall(
            m_progress,
            state.weak_from_this(),
            m_scope.ticket(),
            stall_timeout());
    }

    ~download_attempt()
    {
        m_progress->m_timer.cancel();
    }

    download_attempt(download_attempt const&) = delete;
    download_attempt& operator=(download_attempt const&) = delete;

    asio::awaitable<attempt_result> run(stream_position& position)
    {
        response_sink sink;
        sink.m_on_head =
            [this](http::response_header<> const& head, std::uint64_t length)
        {
            return forward_head(head, length);
        };
        sink.m_on_data = [this](std::string_view data)
        {
            return forward_data(data);
        };
        result_code send_check = result_code::ok;
        std::function<bool()> may_send = [&]
        {
            send_check = m_state.check_sendable(m_context);
            return send_check == result_code::ok;
        };
        scoped_disconnect_handler const on_gone{
            *m_context.m_caller,
            [&state = m_state, ticket = m_scope.ticket()]
            {
                state.m_client.cancel(ticket);
            }};
        upstream_request request =
            make_upstream_request(m_context, runtime_clock::now());
        // The fleet uses ranges itself to resume a download, so the caller
        // always gets the complete archive.
        request.erase(http::field::range);
        request.erase(http::field::if_range);
        auto attempt = co_await m_state.m_client.run_streamed(
            m_scope.ticket(),
            m_target,
            std::move(request),
            m_context.m_deadline,
            std::move(may_send),
            position,
            sink);
        auto result = m_scope.finish(std::move(attempt), send_check);
        report_failure_after_head(result);
        co_return result;
    }

private:
    duration stall_timeout() const
    {
        auto const& work_class = m_context.m_work_class;
        return std::max<duration>(
            min_stall_timeout,
            m_state.m_health.slow_limit(
                work_class.m_service,
                work_class.m_name,
                work_class.m_latency_target));
    }

    void record_head()
    {
        m_scope.stop_slow_timer();
        m_scope.report_outcome(attempt_outcome::good);
        m_progress->m_has_head = true;
        m_progress->m_last_progress = runtime_clock::now();
    }

    asio::awaitable<bool>
    forward_head(http::response_header<> const& head, std::uint64_t length)
    {
        record_head();
        m_progress->m_is_writing_to_caller = true;
        http::response_header<> const response = make_stream_head(head, length);
        bool const delivered =
            co_await m_caller.m_sink.m_on_head(response, length);
        m_progress->m_is_writing_to_caller = false;
        m_progress->m_last_progress = runtime_clock::now();
        co_return delivered;
    }

    asio::awaitable<bool> forward_data(std::string_view data)
    {
        if (!m_progress->m_has_head)
        {
            record_head();
        }
        // A withdrawn key ends a running download before its next part.
        if (!m_state.m_keys.is_current(m_context.m_key))
        {
            m_scope.running().m_is_cancelled_key = true;
            co_return false;
        }
        m_progress->m_is_writing_to_caller = true;
        bool const delivered = co_await m_caller.m_sink.m_on_data(data);
        m_progress->m_is_writing_to_caller = false;
        m_progress->m_last_progress = runtime_clock::now();
        co_return delivered;
    }

    /// The attempt was reported as good when its head arrived. A failure after
    /// that is reported to the health monitor as a separate attempt.
    void report_failure_after_head(attempt_result const& result)
    {
        auto outcome = result.m_upstream_result.m_outcome;
        if (m_progress->m_is_stalled)
        {
            outcome = attempt_outcome::slow;
        }
        bool const is_failure = outcome == attempt_outcome::error ||
                                outcome == attempt_outcome::wrong ||
                                outcome == attempt_outcome::crashed ||
                                outcome == attempt_outcome::slow;
        bool const is_past_deadline =
            runtime_clock::now() >= m_context.m_deadline;
        if (!m_progress->m_has_head || !is_failure || is_past_deadline)
        {
            return;
        }
        auto const now = runtime_clock::now();
        auto const ticket = m_state.next_ticket();
        auto const& work_class = m_context.m_work_class;
        m_state.m_health.attempt_started(
            now,
            ticket,
            m_target.m_id,
            work_class.m_name,
            work_class.m_latency_target);
        m_state.m_health.attempt_finished(now, ticket, m_target.m_id, outcome);
    }

    traffic_state& m_state;
    request_context& m_context;
    caller_stream const& m_caller;
    upstream const m_target;
    attempt_scope m_scope;
    std::shared_ptr<stream_progress> m_progress;
};

/// Ends a failed download. Once the head was sent, the only way to signal the
/// failure is to close the caller's connection early.
request_result fail_download(
    traffic_state& state,
    request_context const& context,
    attempt_history const& history,
    stream_position const& position,
    result_code code)
{
    if (!position.m_head_sent)
    {
        return refusal{reconcile_code(code, true, history.m_may_have_run), {}};
    }
    bool const is_withdrawn = !state.m_keys.is_current(context.m_key);
    state.count_refusal(
        is_withdrawn ? result_code::key_withdrawn
                     : result_code::archive_incomplete,
        context.m_work_class.m_name);
    return aborted_response{};
}

asio::awaitable<attempt_result> run_download_attempt(
    traffic_state& state,
    request_context& context,
    caller_stream const& caller,
    upstream target,
    attempt_history const& history,
    stream_position& position)
{
    download_attempt attempt{
        state, context, caller, std::move(target), history};
    co_return co_await attempt.run(position);
}

asio::awaitable<request_result> try_upstreams(
    traffic_state& state,
    request_context& context,
    caller_stream const& caller,
    attempt_history& history,
    stream_position& position)
{
    for (;;)
    {
        dispatch_result grant =
            co_await acquire_upstream(state, context, history);
        if (context.m_caller->is_disconnected())
        {
            co_return aborted_response{};
        }
        if (auto const* code = std::get_if<result_code>(&grant))
        {
            co_return fail_download(state, context, history, position, *code);
        }
        upstream target = std::get<upstream>(std::move(grant));
        history.m_tried.push_back(target.m_id);
        attempt_result const result = co_await run_download_attempt(
            state, context, caller, std::move(target), history, position);
        if (result.m_is_cancelled_key)
        {
            co_return fail_download(
                state, context, history, position, result_code::key_withdrawn);
        }
        if (context.m_caller->is_disconnected())
        {
            co_return aborted_response{};
        }
        auto const code = evaluate_attempt(state, context, history, result);
        if (code == result_code::ok)
        {
            co_return streamed_response{};
        }
        if (code || !is_resumable(position))
        {
            co_return fail_download(
                state,
                context,
                history,
                position,
                code.value_or(result_code::archive_incomplete));
        }
    }
}

} // namespace

asio::awaitable<request_result> stream_archive(
    traffic_state& state, request_context& context, caller_stream const& caller)
{
    attempt_history history;
    stream_position position;
    state.m_retries.request_started(
        runtime_clock::now(), context.m_work_class.m_service);
    co_return co_await try_upstreams(state, context, caller, history, position);
}

} // namespace briarhub
