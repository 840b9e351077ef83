#include "edge_attempts.hpp"

#include "admission.hpp"
#include "http_fields.hpp"
#include "upstream_notice.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

/// Responses up to this size are buffered until they are complete, so that the
/// request can be retried if the connection breaks.
constexpr std::size_t max_buffered_response_bytes = 2 * 1024 * 1024;

/// Maximum number of attempts that do not execute the request because the
/// upstream is unreachable or rejects it.
constexpr unsigned max_unexecuted_attempts = 4;

/// No attempt starts with less time than this before the deadline.
constexpr std::chrono::milliseconds min_attempt_time{20};

/// While reused connections are suspected to be stale, one in this many
/// idempotent requests still uses one to test them.
constexpr unsigned reuse_test_interval = 8;

/// An upstream that resets a reused connection this soon has not worked on the
/// request. The limit is a few round trips between failure domains.
constexpr std::chrono::milliseconds stale_reset_limit{20};

/// A VM whose directory is older than this share of the time within which it
/// must know of a draining upstream does not test idle upstreams.
constexpr double max_directory_age_share = 0.5;

/// Effect of a finished attempt on the request.
enum class exchange_outcome
{
    served,       ///< the response is forwarded
    not_executed, ///< certainly not executed; safe to retry elsewhere
    failed,       ///< executed or possibly executed
    abandoned     ///< the caller disconnected
};

class attempt_loop
{
public:
    attempt_loop(
        edge_state& state, edge_request& request, response_stream const& stream)
        : m_state(state), m_request(request), m_stream(stream),
          m_slow_timer(state.m_io)
    {
    }

    asio::awaitable<edge_reply> run()
    {
        m_state.m_retries.request_started(
            runtime_clock::now(), m_request.m_service);
        auto reply = co_await attempt_until_final();
        report_unexplained_reset();
        co_return reply;
    }

private:
    asio::awaitable<edge_reply> attempt_until_final()
    {
        for (;;)
        {
            auto const target = choose_upstream();
            if (!target)
            {
                co_return make_final_reply();
            }
            auto result = co_await attempt_upstream(*target);
            auto const outcome = finish_attempt(*target, result);
            if (outcome == exchange_outcome::abandoned)
            {
                m_request.m_outcome = "abandoned";
                co_return aborted_response{};
            }
            if (outcome == exchange_outcome::served)
            {
                m_request.m_outcome = "served";
                co_return forward_response(std::move(result));
            }
            if (result.m_streamed)
            {
                m_request.m_outcome = "broken_answer";
                co_return aborted_response{};
            }
            record_failure(outcome, std::move(result));
            bool const is_retry = co_await may_retry(outcome);
            if (!is_retry)
            {
                co_return make_final_reply();
            }
        }
    }

    std::optional<upstream_entry> choose_upstream()
    {
        auto const now = runtime_clock::now();
        if (has_ended() || now + min_attempt_time >= m_request.m_deadline)
        {
            return std::nullopt;
        }
        selection_context choice;
        choice.m_service = m_request.m_service;
        choice.m_is_idempotent = m_request.m_route->m_is_idempotent;
        choice.m_is_retry = m_executed_attempts > 0;
        choice.m_latency_target = m_request.m_route->m_latency_target;
        choice.m_response_bytes =
            m_state.response_bytes(m_request.m_route->m_name);
        choice.m_excluded = m_attempted_upstreams;
        auto const directory_age = m_state.m_freshness.m_directory.age(now);
        choice.m_may_test_idle =
            directory_age &&
            *directory_age <= max_directory_age_share *
                                  m_state.m_settings.m_upstream_update_limit;
        admission_request request;
        request.m_route = m_request.m_route->m_name;
        request.m_priority = m_request.m_priority;
        request.m_time_left = m_request.m_deadline - now;
        request.m_may_have_run = m_executed_attempts > 0;
        auto decision = m_state.m_admission.decide(
            now, m_state.m_load_balancer, choice, request);
        if (auto const* refused = std::get_if<admission_refusal>(&decision))
        {
            m_refusal = *refused;
            m_obstacle =
                m_state.m_load_balancer.find_obstacle(now, m_request.m_service);
            return std::nullopt;
        }
        return std::get<upstream_choice>(std::move(decision)).m_entry;
    }

    asio::awaitable<exchange_result>
    attempt_upstream(upstream_entry const& target)
    {
        auto const tag = tag_of(target);
        auto const start = runtime_clock::now();
        m_attempted_upstreams.push_back(target.m_upstream.m_id);
        m_found_spare_slots =
            m_state.m_load_balancer.has_spare_slots(start, tag);
        log_attempt_start(target, start);
        m_state.m_load_balancer.attempt_started(start, tag);
        notify_gossip_update();
        auto const control = std::make_shared<exchange_handle>();
        start_slow_timer(tag, control);
        scoped_disconnect_handler const on_gone{
            *m_request.m_caller,
            [this, control]
            {
                // A request that is not idempotent runs on without its caller.
                if (m_request.m_route->m_is_idempotent ||
                    m_request.m_caller->is_interrupted())
                {
                    control->stop();
                }
            }};
        auto exchange = make_exchange(target);
        auto result = co_await m_state.m_exchanges.run(
            std::move(exchange), *control, m_stream);
        m_slow_timer.cancel();
        m_state.m_load_balancer.attempt_ended(tag);
        m_duration = runtime_clock::now() - start;
        co_return result;
    }

    exchange_request make_exchange(upstream_entry const& target)
    {
        exchange_request exchange;
        exchange.m_request_id = m_request.m_id;
        exchange.m_address = target.m_upstream.m_address;
        exchange.m_deadline = m_request.m_deadline;
        exchange.m_max_buffered_bytes = max_buffered_response_bytes;
        exchange.m_may_stream = [this](http::response_header<> const& head)
        {
            return !is_rejection(head) && is_valid_response(head);
        };
        exchange.m_may_reuse = may_reuse();
        auto& head = exchange.m_head;
        head = m_request.m_head;
        exchange.m_body = m_request.m_body;
        bool const had_length =
            m_request.m_head.count(http::field::content_length) > 0 ||
            m_request.m_head.count(http::field::transfer_encoding) > 0;
        remove_hop_by_hop_fields(head);
        head.version(http_1_1);
        auto const& names = m_state.m_header_names;
        head.erase(names.m_caller_key);
        head.erase(names.m_account);
        if (!m_request.m_account.empty())
        {
            head.set(names.m_account, m_request.m_account);
        }
        head.set(names.m_target_upstream, target.m_upstream.m_id);
        auto const remaining = std::chrono::floor<std::chrono::milliseconds>(
            m_request.m_deadline - runtime_clock::now());
        head.set(names.m_deadline_remaining, std::to_string(remaining.count()));
        if (had_length)
        {
            head.set(
                http::field::content_length,
                std::to_string(m_request.m_body->size()));
        }
        return exchange;
    }

    /// While reused connections are suspected to be stale, a few idempotent
    /// requests use them to detect when they work again. A suspect request uses
    /// a new connection, so that a reset of it can only be a crash.
    [[nodiscard]] bool may_reuse()
    {
        bool const is_suspect = m_state.m_suspects.is_suspect(
            runtime_clock::now(), m_request.m_digest);
        if (m_had_stale_reset || is_suspect)
        {
            return false;
        }
        bool const has_stale_connections =
            m_state.m_load_balancer.resets_reused_connections(
                runtime_clock::now(), m_request.m_service);
        return !has_stale_connections ||
               (m_request.m_route->m_is_idempotent &&
                m_state.m_random() % reuse_test_interval == 0);
    }

    /// Reports a slow attempt to the fleet. If the retry budget allows it,
    /// cancels the attempt to retry an idempotent request at another upstream.
    void start_slow_timer(
        upstream_tag tag, std::shared_ptr<exchange_handle> const& control)
    {
        auto const slow_after = m_state.m_load_balancer.slow_limit(
            m_request.m_service, m_request.m_route->m_latency_target);
        m_is_cancelled = false;
        m_slow_timer.expires_after(slow_after);
        m_slow_timer.async_wait(
            [this, tag, weak = std::weak_ptr{control}](
                boost::system::error_code error)
            {
                // The control exists only during the attempt.
                auto const running = weak.lock();
                if (error || !running)
                {
                    return;
                }
                auto const now = runtime_clock::now();
                m_state.m_load_balancer.observe(now, tag, observation::overdue);
                notify_gossip_update();
                if (!should_cancel(now))
                {
                    return;
                }
                if (acquire_local_permit(now))
                {
                    cancel_attempt(*running);
                }
                else
                {
                    borrow_permit_and_cancel(running);
                }
            });
    }

    [[nodiscard]] bool should_cancel(time_point now) const
    {
        return m_request.m_route->m_is_idempotent &&
               m_executed_attempts + 1 < m_request.m_route->m_max_attempts &&
               m_request.m_deadline - now >
                   m_request.m_route->m_latency_target / 2;
    }

    void cancel_attempt(exchange_handle& running)
    {
        m_is_cancelled = true;
        running.stop();
    }

    /// Cancels a slow attempt once a peer has granted a permit. The loop
    /// outlives the control, so `self` is valid while `weak` can be locked.
    void
    borrow_permit_and_cancel(std::shared_ptr<exchange_handle> const& control)
    {
        asio::co_spawn(
            m_state.m_io,
            [](attempt_loop* self,
               std::weak_ptr<exchange_handle> weak,
               asio::awaitable<bool> borrowed) -> asio::awaitable<void>
            {
                bool const is_granted = co_await std::move(borrowed);
                auto const running = weak.lock();
                if (is_granted && running &&
                    self->should_cancel(runtime_clock::now()))
                {
                    self->cancel_attempt(*running);
                }
            }(this, control, m_state.m_borrow_permit(m_request.m_service)),
            asio::detached);
    }

    exchange_outcome
    finish_attempt(upstream_entry const& target, exchange_result& result)
    {
        auto const outcome = classify_exchange(target, result);
        log_attempt_end(result, outcome);
        notify_gossip_update();
        return outcome;
    }

    exchange_outcome
    classify_exchange(upstream_entry const& target, exchange_result& result)
    {
        auto const tag = tag_of(target);
        auto const now = runtime_clock::now();
        auto const observe = [&](observation outcome)
        {
            m_state.m_load_balancer.observe(now, tag, outcome);
        };
        switch (result.m_end)
        {
        case exchange_end::answered:
            return classify_response(tag, result);
        case exchange_end::refused:
            observe(observation::failed);
            return exchange_outcome::not_executed;
        case exchange_end::unreachable:
            observe(observation::no_response);
            return exchange_outcome::not_executed;
        case exchange_end::closed_unread:
            if (is_stale_reset(result))
            {
                observe(observation::reset_on_reuse);
                handle_stale_reset(now);
            }
            else
            {
                observe(observation::failed);
                record_crash(now);
            }
            return exchange_outcome::failed;
        case exchange_end::broken:
            observe(observation::failed);
            record_crash(now);
            return exchange_outcome::failed;
        case exchange_end::damaged:
            observe(observation::failed);
            return exchange_outcome::failed;
        case exchange_end::timed_out:
            observe(observation::no_response);
            return exchange_outcome::failed;
        case exchange_end::stopped:
            if (m_request.m_caller->is_disconnected())
            {
                return exchange_outcome::abandoned;
            }
            return result.m_sent ? exchange_outcome::failed
                                 : exchange_outcome::not_executed;
        }
        return exchange_outcome::failed;
    }

    /// True if a reused connection was reset before the upstream can have
    /// worked on the request.
    [[nodiscard]] bool is_stale_reset(exchange_result const& result) const
    {
        return !result.m_is_new_connection && m_duration < stale_reset_limit;
    }

    exchange_outcome
    classify_response(upstream_tag tag, exchange_result& result)
    {
        auto const now = runtime_clock::now();
        auto& load_balancer = m_state.m_load_balancer;
        unsigned const status = result.m_head.result_int();
        bool const is_misdirected =
            result.m_head.result() == http::status::misdirected_request;
        if (!is_misdirected)
        {
            record_notice(tag, result.m_head);
        }
        if (is_rejection(result.m_head))
        {
            load_balancer.observe(now, tag, observation::rejected);
            if (is_misdirected)
            {
                load_balancer.mark_draining(tag);
            }
            return exchange_outcome::not_executed;
        }
        m_has_unexplained_reset = false;
        if (!is_valid_response(result.m_head) || status >= 500)
        {
            load_balancer.observe(now, tag, observation::failed);
            m_has_error_response = status >= 500;
            return exchange_outcome::failed;
        }
        load_balancer.observe(now, tag, observation::served);
        load_balancer.record_duration(m_request.m_service, m_duration);
        if (m_found_spare_slots)
        {
            m_state.m_admission.record_work(
                now,
                m_request.m_route->m_name,
                m_request.m_service,
                m_duration);
        }
        if (!result.m_streamed)
        {
            m_state.record_response(
                m_request.m_route->m_name, result.m_body.size());
        }
        m_state.m_suspects.report_success(m_request.m_digest);
        return exchange_outcome::served;
    }

    /// True if the upstream states that it did not execute the request.
    [[nodiscard]] bool is_rejection(http::response_header<> const& head) const
    {
        return head.result() == http::status::misdirected_request ||
               head.count(m_state.m_header_names.m_not_executed) > 0;
    }

    /// A success must have the upstream's seal and its own encoding.
    [[nodiscard]] bool
    is_valid_response(http::response_header<> const& head) const
    {
        constexpr unsigned first_redirection_status = 300;
        return head.result_int() >= first_redirection_status ||
               (head.count(m_state.m_header_names.m_response_seal) > 0 &&
                head.count(http::field::content_encoding) == 0);
    }

    /// Applies what the upstream states about itself, so that the next
    /// selection heeds it.
    void record_notice(upstream_tag tag, http::response_header<> const& head)
    {
        auto const now = runtime_clock::now();
        auto const& upstream = m_attempted_upstreams.back();
        auto const parsed = parse_upstream_notice(m_state.m_header_names, head);
        for (auto const& field : parsed.m_invalid_fields)
        {
            m_state.record_invalid_notice(upstream, field);
        }
        auto const& notice = parsed.m_notice;
        auto& load_balancer = m_state.m_load_balancer;
        if (notice.m_is_leaving && load_balancer.mark_leaving(tag))
        {
            m_state.record_leaving(upstream);
        }
        if (notice.m_retry_after &&
            load_balancer.close_for(now, tag, *notice.m_retry_after))
        {
            m_state.record_closed(upstream, *notice.m_retry_after);
        }
        if (notice.m_rate_limit &&
            load_balancer.set_rate_limit(now, tag, *notice.m_rate_limit))
        {
            m_state.record_rate_limit(upstream, *notice.m_rate_limit);
        }
    }

    /// A reset of a reused connection can mean a crash or a stale connection.
    /// An idempotent request tells them apart by a retry on a new connection.
    /// Other requests have no retry, so the reset counts as a crash unless the
    /// service's connections are known to be stale.
    void handle_stale_reset(time_point now)
    {
        m_had_stale_reset = true;
        m_has_unexplained_reset = true;
        bool const is_crash =
            !m_request.m_route->m_is_idempotent &&
            !m_state.m_load_balancer.resets_reused_connections(
                now, m_request.m_service);
        if (is_crash)
        {
            record_crash(now);
        }
    }

    void record_crash(time_point now)
    {
        m_has_unexplained_reset = false;
        m_state.m_suspects.report_crash(now, m_request.m_digest);
    }

    /// Without a retry that told a stale connection from a crash, the next
    /// attempt of the same request has to tell, at whichever VM it arrives.
    void report_unexplained_reset()
    {
        if (!m_has_unexplained_reset)
        {
            return;
        }
        m_state.m_suspects.report_reset(
            runtime_clock::now(), m_request.m_digest);
        m_state.count_unexplained_reset();
        notify_gossip_update();
    }

    /// Stores an upstream's error response, which is forwarded if no other
    /// upstream serves the request.
    void record_failure(exchange_outcome outcome, exchange_result&& result)
    {
        if (outcome == exchange_outcome::not_executed)
        {
            ++m_unexecuted_attempts;
            m_was_rejected = m_was_rejected || result.m_sent;
            return;
        }
        ++m_executed_attempts;
        m_error_response.reset();
        if (std::exchange(m_has_error_response, false))
        {
            m_error_response = std::move(result);
        }
        else
        {
            m_has_timed_out = result.m_end == exchange_end::timed_out;
        }
    }

    asio::awaitable<bool> may_retry(exchange_outcome outcome)
    {
        auto const now = runtime_clock::now();
        if (has_ended() || now + min_attempt_time >= m_request.m_deadline)
        {
            co_return false;
        }
        bool const is_cancelled = std::exchange(m_is_cancelled, false);
        if (outcome == exchange_outcome::not_executed)
        {
            if (m_unexecuted_attempts >= max_unexecuted_attempts)
            {
                co_return false;
            }
            // A retry after a rejection needs a permit, since the upstream
            // was reached. One after a failed connection does not.
            bool has_permit =
                !std::exchange(m_was_rejected, false) || is_cancelled;
            if (!has_permit)
            {
                has_permit = co_await acquire_permit(now);
            }
            co_return has_permit&& count_retry("not_run");
        }
        if (!m_request.m_route->m_is_idempotent ||
            m_executed_attempts >= m_request.m_route->m_max_attempts ||
            m_state.m_suspects.is_refused(now, m_request.m_digest))
        {
            co_return false;
        }
        if (is_cancelled)
        {
            co_return count_retry("slow");
        }
        bool const has_permit = co_await acquire_permit(now);
        co_return has_permit&& count_retry("failed");
    }

    bool count_retry(std::string_view reason)
    {
        m_state.count_retry(reason);
        return true;
    }

    /// Acquires a retry permit from this VM's budget or from a peer.
    asio::awaitable<bool> acquire_permit(time_point now)
    {
        if (acquire_local_permit(now))
        {
            co_return true;
        }
        bool const is_granted =
            co_await m_state.m_borrow_permit(m_request.m_service);
        auto& entry = m_request.m_attempts.back().as_object();
        entry["permit_of_peer"] = is_granted;
        if (!is_granted)
        {
            m_state.count_denied_retry("budget");
        }
        co_return is_granted && !has_ended();
    }

    /// True if the caller disconnected or the request was interrupted.
    [[nodiscard]] bool has_ended() const
    {
        return m_request.m_caller->is_disconnected() ||
               m_request.m_caller->is_interrupted();
    }

    bool acquire_local_permit(time_point now)
    {
        auto& entry = m_request.m_attempts.back().as_object();
        entry["permits_left"] =
            m_state.m_retries.remaining(now, m_request.m_service);
        return m_state.m_retries.try_retry(now, m_request.m_service);
    }

    /// Reply to a request that no upstream served.
    edge_reply make_final_reply()
    {
        if (m_request.m_caller->is_disconnected())
        {
            m_request.m_outcome = "abandoned";
            return aborted_response{};
        }
        if (m_error_response)
        {
            m_request.m_outcome = "upstream_failure";
            return forward_response(std::move(*m_error_response));
        }
        if (m_executed_attempts == 0)
        {
            m_request.m_outcome = "refused";
            return refusal{refusal_code(), retry_after()};
        }
        m_request.m_outcome = "failed";
        if (m_has_timed_out)
        {
            return refusal{result_code::deadline_passed_running, std::nullopt};
        }
        return refusal{
            m_request.m_route->m_is_idempotent ? result_code::upstream_failed
                                               : result_code::outcome_unknown,
            std::nullopt};
    }

    /// Code of a request that no upstream executed.
    result_code refusal_code()
    {
        if (m_request.m_caller->is_interrupted())
        {
            return result_code::stopping;
        }
        switch (m_obstacle)
        {
        case load_balancer::obstacle::evacuated:
            return result_code::upstreams_evacuated;
        case load_balancer::obstacle::cold:
            return result_code::upstreams_cold;
        case load_balancer::obstacle::other:
            break;
        }
        if (!m_refusal)
        {
            return result_code::no_upstream;
        }
        m_request.m_admission_basis = m_refusal->m_basis;
        m_state.m_admission.record_refusal(
            m_request.m_route->m_name, m_refusal->m_code);
        return m_refusal->m_code;
    }

    duration retry_after()
    {
        auto const now = runtime_clock::now();
        auto const wait =
            m_state.m_load_balancer.availability_wait(now, m_request.m_service);
        return m_state.m_returns[m_request.m_service].next(
            now, wait, m_request.m_priority, m_state.m_random);
    }

    edge_reply forward_response(exchange_result&& result)
    {
        if (result.m_streamed)
        {
            return streamed_response{};
        }
        edge_response response;
        response.base() = std::move(result.m_head);
        auto const declared_length =
            std::string{response[http::field::content_length]};
        remove_hop_by_hop_fields(response);
        response.version(http_1_1);
        bool const is_head = m_request.m_head.method() == http::verb::head;
        response.body() = std::move(result.m_body);
        m_request.m_response_buffer = std::move(result.m_buffer);
        if (is_head && !declared_length.empty())
        {
            response.set(http::field::content_length, declared_length);
        }
        else if (
            response.result() != http::status::no_content &&
            response.result() != http::status::not_modified)
        {
            response.content_length(response.body().size());
        }
        return response;
    }

    void notify_gossip_update()
    {
        if (m_state.m_on_gossip_update)
        {
            m_state.m_on_gossip_update();
        }
    }

    void log_attempt_start(upstream_entry const& target, time_point now)
    {
        auto const tag = tag_of(target);
        m_request.m_attempts.push_back(boost::json::object{
            {"upstream", target.m_upstream.m_id},
            {"sickness", m_state.m_load_balancer.failure_probability(now, tag)},
            {"in_flight", m_state.m_load_balancer.in_flight(now, tag)},
            {"time_left_ms",
             std::chrono::floor<std::chrono::milliseconds>(
                 m_request.m_deadline - now)
                 .count()}});
    }

    void
    log_attempt_end(exchange_result const& result, exchange_outcome outcome)
    {
        using std::chrono::milliseconds;
        auto& entry = m_request.m_attempts.back().as_object();
        entry["end"] = to_string(result.m_end);
        entry["took_ms"] = std::chrono::floor<milliseconds>(m_duration).count();
        if (result.m_end == exchange_end::answered)
        {
            entry["status"] = result.m_head.result_int();
        }
        bool const has_failed = result.m_end != exchange_end::answered &&
                                result.m_end != exchange_end::stopped;
        if (has_failed)
        {
            m_state.count_failed_attempt(to_string(result.m_end));
        }
        if (!result.m_error.empty())
        {
            entry["error"] = result.m_error;
        }
        if (!result.m_is_new_connection)
        {
            entry["kept_connection"] = true;
        }
        if (outcome == exchange_outcome::not_executed)
        {
            entry["not_run"] = true;
        }
    }

    edge_state& m_state;
    edge_request& m_request;
    response_stream const& m_stream;
    timer m_slow_timer;
    std::vector<upstream_id> m_attempted_upstreams;
    std::optional<exchange_result> m_error_response;
    std::optional<admission_refusal> m_refusal; ///< of the last decision
    /// As of that decision: a moment later an upstream may be open again.
    load_balancer::obstacle m_obstacle = load_balancer::obstacle::other;
    duration m_duration{};
    unsigned m_executed_attempts = 0;
    unsigned m_unexecuted_attempts = 0;
    bool m_has_error_response = false; ///< the last response was a 5xx
    bool m_was_rejected = false;       ///< an upstream received and rejected it
    bool m_is_cancelled = false; ///< slow and cancelled; the retry has a permit
    bool m_has_timed_out = false;
    bool m_found_spare_slots = false; ///< the last attempt at its upstream
    bool m_had_stale_reset = false;   ///< a reused connection was reset
    /// That may have been a crash; no later attempt has told yet.
    bool m_has_unexplained_reset = false;
};

} // namespace

asio::awaitable<edge_reply> run_attempts(
    edge_state& state, edge_request& request, response_stream const& stream)
{
    attempt_loop loop{state, request, stream};
    co_return co_await loop.run();
}

} // namespace briarhub
