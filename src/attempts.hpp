#ifndef BRIARHUB_ATTEMPTS_HPP
#define BRIARHUB_ATTEMPTS_HPP

/// Attempts of one request at upstreams: queueing, sending, retrying. Shared
/// by buffered answers and archives.

#include "request.hpp"
#include "traffic_state.hpp"
#include "upstream_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace briarhub
{

/// What the attempts of one request so far brought.
struct attempt_history
{
    std::vector<upstream_id> m_tried;
    unsigned m_attempts = 0;
    unsigned m_shed_count = 0;
    /// An upstream may have run the request.
    bool m_may_have_run = false;
};

/// One ended attempt.
struct attempt_result
{
    upstream_result m_upstream_result;
    /// Why the request was not allowed to be sent; `ok` if it was.
    result_code m_send_check = result_code::ok;
    bool m_is_cancelled_slow = false;
    bool m_is_cancelled_key = false;
    duration m_duration{};
};

/// Waits in the dispatcher's queue. `ok` as code means that the caller left.
boost::asio::awaitable<upstream_grant> acquire_upstream(
    traffic_state& state,
    request_context const& context,
    attempt_history& history);

/// Registers an attempt with health and dispatcher while it runs.
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

    /// Cancels the attempt at the slow limit if it can go elsewhere.
    void start_slow_timer();
    void stop_slow_timer();

    /// Ends the evidence about this attempt before the attempt itself ends.
    void report_outcome(attempt_outcome outcome);

    /// Passes the result on to health and dispatcher.
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

/// The request as it goes to an upstream: without credentials, with the
/// fields that the fleet sets.
upstream_request
make_upstream_request(request_context const& context, time_point now);

/// Notes an attempt and decides: nothing to try again, or the refusal.
std::optional<result_code> evaluate_attempt(
    traffic_state& state,
    request_context const& context,
    attempt_history& history,
    attempt_result const& result);

/// The code that is true about the execution of the request: no "not run"
/// after an attempt that may have run, and no doubt when nothing was sent.
result_code reconcile_code(
    result_code code, bool is_idempotent, bool may_have_run) noexcept;

/// Runs a request whose answer is held in memory; ends its claim.
boost::asio::awaitable<request_result>
run_buffered(traffic_state& state, request_context& context);

} // namespace briarhub

#endif
