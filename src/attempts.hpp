#ifndef BRIARHUB_ATTEMPTS_HPP
#define BRIARHUB_ATTEMPTS_HPP

/// Attempts of one request at upstreams: queueing in the dispatcher, sending,
/// reporting the outcome to the health monitor, and the retry decision. Shared
/// by buffered responses and streamed archives.

#include "request.hpp"
#include "traffic_state.hpp"
#include "upstream_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace briarhub
{

/// Summary of the attempts of one request so far.
struct attempt_history
{
    std::vector<upstream_id> m_tried;
    unsigned m_attempts = 0;
    unsigned m_shed_count = 0;
    /// An upstream may have run the request.
    bool m_may_have_run = false;
};

/// A finished attempt.
struct attempt_result
{
    upstream_result m_upstream_result;
    /// Result of the check right before sending; the request is sent only if it
    /// is `ok`.
    result_code m_send_check = result_code::ok;
    bool m_is_cancelled_slow = false;
    bool m_is_cancelled_key = false;
    duration m_duration{};
};

/// Waits in the dispatcher's queue for an upstream. The code `ok` means that
/// the caller disconnected.
boost::asio::awaitable<dispatch_result> acquire_upstream(
    traffic_state& state,
    request_context const& context,
    attempt_history& history);

/// Registers a running attempt with the health monitor, and returns its slot to
/// the dispatcher when it ends.
class attempt_scope
{
public:
    attempt_scope(
        traffic_state& state,
        request_context const& context,
        upstream const& target,
        attempt_history const& history);
    ~attempt_scope();
    attempt_scope(attempt_scope const&) = delete;
    attempt_scope& operator=(attempt_scope const&) = delete;

    [[nodiscard]] request_ticket ticket() const
    {
        return m_ticket;
    }

    running_attempt& running();

    /// Starts a timer that cancels the attempt at the slow limit if the request
    /// can be retried at another upstream.
    void start_slow_timer();
    void stop_slow_timer();

    /// Reports the outcome to the health monitor. May be called before the
    /// attempt ends; only the first call counts.
    void report_outcome(attempt_outcome outcome);

    /// Reports the result to the health monitor and the dispatcher, and
    /// releases the slot.
    attempt_result finish(upstream_result&& attempt, result_code send_check);

private:
    attempt_outcome health_outcome(attempt_result const& result) const;

    traffic_state& m_state;
    request_context const& m_context;
    upstream m_target;
    request_ticket m_ticket;
    time_point m_start;
    duration m_slow_limit;
    timer m_slow_timer;
    bool m_is_reported = false;
    bool m_is_released = false;
};

/// Builds the request that is sent to an upstream: credentials are removed, and
/// account, request id and deadline are set.
upstream_request
make_upstream_request(request_context const& context, time_point now);

/// Records an attempt in `history` and decides about a retry: `ok` after a good
/// response, no value for a retry, otherwise the code of the refusal.
std::optional<result_code> evaluate_attempt(
    traffic_state& state,
    request_context const& context,
    attempt_history& history,
    attempt_result const& result);

/// Adjusts a result code to whether the request may have run. A code that says
/// "not run" is replaced after an attempt that may have run, and a code that
/// leaves this open is replaced if no attempt may have run.
result_code reconcile_code(
    result_code code, bool is_idempotent, bool may_have_run) noexcept;

/// Runs a request with a buffered response, then stores the outcome of its
/// claim or releases the claim.
boost::asio::awaitable<request_result>
run_buffered(traffic_state& state, request_context& context);

} // namespace briarhub

#endif
