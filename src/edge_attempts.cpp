#include "edge_attempts.hpp"

#include "http_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace briarhub
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

/// Answers up to this size are held until they are whole, so that a broken
/// one can be fetched again.
constexpr std::size_t held_answer_bytes = 2 * 1024 * 1024;

/// Upstreams that are tried without running the request: unreachable ones and
/// those that reject it.
constexpr unsigned max_unrun_tries = 4;

/// A try needs at least this much time before the deadline.
constexpr std::chrono::milliseconds min_try_time{20};

/// One in so many repeatable requests tests a kept connection that is in doubt.
constexpr unsigned reuse_test_interval = 8;

/// A reset this soon after the request comes from an upstream that has not
/// worked on it: some round trips between domains.
constexpr std::chrono::milliseconds forgotten_within{20};

/// Waits told to callers that were not served; spread, so that they do not
/// come back together.
constexpr std::chrono::milliseconds min_return_wait{150};
constexpr std::chrono::milliseconds max_return_wait{450};

/// What an ended try means for the request.
enum class verdict
{
    served,   ///< pass the answer on
    not_run,  ///< certainly not run; another upstream may get it
    failed,   ///< ran or may have run
    abandoned ///< the caller left
};

class attempt_loop
{
public:
    attempt_loop(
        edge_state& state, edge_request& request, answer_stream const& stream)
        : m_state(state), m_request(request), m_stream(stream),
          m_slow_timer(state.m_io)
    {
    }

    asio::awaitable<edge_reply> run()
    {
        m_state.m_retries.request_started(
            runtime_clock::now(), m_request.m_service);
        for (;;)
        {
            auto const target = next_target();
            if (!target)
            {
                co_return give_up();
            }
            auto result = co_await try_upstream(*target);
            auto const what = judge(*target, result);
            if (what == verdict::abandoned)
            {
                m_request.m_outcome = "abandoned";
                co_return broken_answer{};
            }
            if (what == verdict::served)
            {
                m_request.m_outcome = "served";
                co_return pass_on(std::move(result));
            }
            if (result.m_streamed)
            {
                m_request.m_outcome = "broken_answer";
                co_return broken_answer{};
            }
            keep_failure(what, std::move(result));
            bool const is_again = co_await may_try_again(what);
            if (!is_again)
            {
                co_return give_up();
            }
        }
    }

private:
    std::optional<upstream_entry> next_target()
    {
        auto const now = runtime_clock::now();
        if (now + min_try_time >= m_request.m_deadline)
        {
            return std::nullopt;
        }
        selection_context choice;
        choice.m_service = m_request.m_service;
        choice.m_is_idempotent = m_request.m_route->m_is_idempotent;
        choice.m_is_retry = m_runs > 0;
        choice.m_priority = m_request.m_priority;
        choice.m_latency_target = m_request.m_route->m_latency_target;
        choice.m_response_bytes =
            m_state.answer_bytes(m_request.m_route->m_name);
        choice.m_excluded = m_tried;
        return m_state.m_board.select_upstream(now, choice);
    }

    asio::awaitable<exchange_result> try_upstream(upstream_entry const& target)
    {
        auto const tag = tag_of(target);
        auto const start = runtime_clock::now();
        m_tried.push_back(target.m_upstream.m_id);
        begin_log(target, start);
        m_state.m_board.attempt_started(tag);
        notify_news();
        auto const control = std::make_shared<exchange_control>();
        watch_slowness(tag, control);
        gone_handler const on_gone{
            *m_request.m_caller,
            [this, control]
            {
                // A request that may not be repeated finishes.
                if (m_request.m_route->m_is_idempotent)
                {
                    control->stop();
                }
            }};
        auto exchange = make_exchange(target);
        auto result = co_await m_state.m_exchanges.run(
            std::move(exchange), *control, m_stream);
        m_slow_timer.cancel();
        m_state.m_board.attempt_ended(tag);
        m_took = runtime_clock::now() - start;
        co_return result;
    }

    exchange_request make_exchange(upstream_entry const& target)
    {
        exchange_request exchange;
        exchange.m_request_id = m_request.m_id;
        exchange.m_address = target.m_upstream.m_address;
        exchange.m_deadline = m_request.m_deadline;
        exchange.m_held_bytes = held_answer_bytes;
        exchange.m_may_reuse = may_reuse();
        auto& message = exchange.m_message;
        message.base() = m_request.m_head;
        bool const had_length =
            m_request.m_head.count(http::field::content_length) > 0 ||
            m_request.m_head.count(http::field::transfer_encoding) > 0;
        remove_connection_fields(message);
        message.version(http_1_1);
        auto const& names = m_state.m_names;
        message.erase(names.m_caller_key);
        message.erase(names.m_account);
        if (!m_request.m_account.empty())
        {
            message.set(names.m_account, m_request.m_account);
        }
        message.set(names.m_target_upstream, target.m_upstream.m_id);
        auto const remaining = std::chrono::floor<std::chrono::milliseconds>(
            m_request.m_deadline - runtime_clock::now());
        message.set(names.m_time_left, std::to_string(remaining.count()));
        message.body() = m_request.m_body;
        if (had_length)
        {
            message.content_length(message.body().size());
        }
        return exchange;
    }

    /// While kept connections are in doubt, a few repeatable requests use them
    /// and show when that is over.
    [[nodiscard]] bool may_reuse()
    {
        if (m_was_forgotten)
        {
            return false;
        }
        bool const is_in_doubt = m_state.m_board.resets_reused_connections(
            runtime_clock::now(), m_request.m_service);
        return !is_in_doubt || (m_request.m_route->m_is_idempotent &&
                                m_state.m_random() % reuse_test_interval == 0);
    }

    /// Tells the fleet of an attempt that hangs, and gives an idempotent
    /// request to another upstream if the budget allows it.
    void watch_slowness(
        upstream_tag tag, std::shared_ptr<exchange_control> const& control)
    {
        auto const limit = m_state.m_board.slow_limit(
            m_request.m_service, m_request.m_route->m_latency_target);
        m_is_cut = false;
        m_slow_timer.expires_after(limit);
        m_slow_timer.async_wait(
            [this, tag, weak = std::weak_ptr{control}](
                boost::system::error_code error)
            {
                // The control lives as long as the attempt.
                auto const running = weak.lock();
                if (error || !running)
                {
                    return;
                }
                auto const now = runtime_clock::now();
                m_state.m_board.observe(now, tag, observation::overdue);
                notify_news();
                if (!wants_cut(now))
                {
                    return;
                }
                if (take_own_permit(now))
                {
                    cut(*running);
                }
                else
                {
                    borrow_and_cut(running);
                }
            });
    }

    [[nodiscard]] bool wants_cut(time_point now) const
    {
        return m_request.m_route->m_is_idempotent &&
               m_runs + 1 < m_request.m_route->m_max_attempts &&
               m_request.m_deadline - now >
                   m_request.m_route->m_latency_target / 2;
    }

    void cut(exchange_control& running)
    {
        m_is_cut = true;
        running.stop();
    }

    /// Cuts a slow attempt once a peer has given up a permit. The loop lives
    /// as long as the attempt's control.
    void borrow_and_cut(std::shared_ptr<exchange_control> const& control)
    {
        asio::co_spawn(
            m_state.m_io,
            [](attempt_loop* self,
               std::weak_ptr<exchange_control> weak,
               asio::awaitable<bool> borrowed) -> asio::awaitable<void>
            {
                bool const is_given = co_await std::move(borrowed);
                auto const running = weak.lock();
                if (is_given && running &&
                    self->wants_cut(runtime_clock::now()))
                {
                    self->cut(*running);
                }
            }(this, control, m_state.m_borrow_permit(m_request.m_service)),
            asio::detached);
    }

    verdict judge(upstream_entry const& target, exchange_result& result)
    {
        auto const what = judge_end(target, result);
        end_log(result, what);
        notify_news();
        return what;
    }

    verdict judge_end(upstream_entry const& target, exchange_result& result)
    {
        auto const tag = tag_of(target);
        auto const now = runtime_clock::now();
        auto const observe = [&](observation what)
        {
            m_state.m_board.observe(now, tag, what);
        };
        switch (result.m_end)
        {
        case exchange_end::answered:
            return judge_answer(tag, result);
        case exchange_end::refused:
            observe(observation::failed);
            return verdict::not_run;
        case exchange_end::unreachable:
            observe(observation::no_response);
            return verdict::not_run;
        case exchange_end::closed_unread:
            if (is_forgotten(result))
            {
                observe(observation::reset_on_reuse);
                note_forgotten(now);
            }
            else
            {
                observe(observation::failed);
                note_crash(now);
            }
            return verdict::failed;
        case exchange_end::broken:
            observe(observation::failed);
            note_crash(now);
            return verdict::failed;
        case exchange_end::damaged:
            observe(observation::failed);
            return verdict::failed;
        case exchange_end::timed_out:
            observe(observation::no_response);
            return verdict::failed;
        case exchange_end::stopped:
            return m_request.m_caller->is_gone() ? verdict::abandoned
                                                 : verdict::failed;
        }
        return verdict::failed;
    }

    /// A kept connection was reset before the upstream can have worked.
    [[nodiscard]] bool is_forgotten(exchange_result const& result) const
    {
        return !result.m_is_new_connection && m_took < forgotten_within;
    }

    verdict judge_answer(upstream_tag tag, exchange_result& result)
    {
        auto const now = runtime_clock::now();
        auto& board = m_state.m_board;
        auto const& names = m_state.m_names;
        unsigned const status = result.m_head.result_int();
        bool const is_other =
            result.m_head.result() == http::status::misdirected_request;
        if (is_other || result.m_head.count(names.m_not_run) > 0)
        {
            board.observe(now, tag, observation::rejected);
            if (is_other)
            {
                board.mark_draining(tag);
            }
            return verdict::not_run;
        }
        bool const is_success = status < 300;
        bool const is_whole =
            !is_success ||
            (result.m_head.count(names.m_answer_seal) > 0 &&
             result.m_head.count(http::field::content_encoding) == 0);
        if (!is_whole || status >= 500)
        {
            board.observe(now, tag, observation::failed);
            m_has_answer = status >= 500;
            return verdict::failed;
        }
        board.observe(now, tag, observation::served);
        board.record_duration(m_request.m_service, m_took);
        if (!result.m_streamed)
        {
            m_state.note_answer(
                m_request.m_route->m_name, result.m_body.size());
        }
        m_state.m_suspects.report_success(m_request.m_digest);
        return verdict::served;
    }

    /// A reset of a kept connection may be a crash or not. A repeatable request
    /// shows that on a new connection; one that runs once has no further try.
    void note_forgotten(time_point now)
    {
        m_was_forgotten = true;
        bool const is_crash = !m_request.m_route->m_is_idempotent &&
                              !m_state.m_board.resets_reused_connections(
                                  now, m_request.m_service);
        if (is_crash)
        {
            note_crash(now);
        }
    }

    void note_crash(time_point now)
    {
        m_state.m_suspects.report_crash(now, m_request.m_digest);
    }

    /// Keeps the upstream's own failure for the case that no other serves.
    void keep_failure(verdict what, exchange_result&& result)
    {
        if (what == verdict::not_run)
        {
            ++m_unrun_tries;
            m_was_rejected = m_was_rejected || result.m_sent;
            return;
        }
        ++m_runs;
        m_failure.reset();
        if (std::exchange(m_has_answer, false))
        {
            m_failure = std::move(result);
        }
        else
        {
            m_is_timeout = result.m_end == exchange_end::timed_out;
        }
    }

    asio::awaitable<bool> may_try_again(verdict what)
    {
        auto const now = runtime_clock::now();
        if (m_request.m_caller->is_gone() ||
            now + min_try_time >= m_request.m_deadline)
        {
            co_return false;
        }
        bool const is_cut = std::exchange(m_is_cut, false);
        if (what == verdict::not_run)
        {
            if (m_unrun_tries >= max_unrun_tries)
            {
                co_return false;
            }
            // An upstream that rejected the request was reached, which
            // counts as a retry; one that was not reached does not.
            bool is_paid = !std::exchange(m_was_rejected, false) || is_cut;
            if (!is_paid)
            {
                is_paid = co_await take_permit(now);
            }
            co_return is_paid&& count_retry("not_run");
        }
        if (!m_request.m_route->m_is_idempotent ||
            m_runs >= m_request.m_route->m_max_attempts ||
            m_state.m_suspects.is_refused(now, m_request.m_digest))
        {
            co_return false;
        }
        if (is_cut)
        {
            co_return count_retry("slow");
        }
        bool const is_paid = co_await take_permit(now);
        co_return is_paid&& count_retry("failed");
    }

    bool count_retry(std::string_view reason)
    {
        m_state.count_retry(reason);
        return true;
    }

    /// Takes a permit for a further attempt, of this VM or of a peer.
    asio::awaitable<bool> take_permit(time_point now)
    {
        if (take_own_permit(now))
        {
            co_return true;
        }
        bool const is_given =
            co_await m_state.m_borrow_permit(m_request.m_service);
        auto& entry = m_request.m_attempts.back().as_object();
        entry["permit_of_peer"] = is_given;
        if (!is_given)
        {
            m_state.count_denied_retry("budget");
        }
        // The caller may have left meanwhile.
        co_return is_given && !m_request.m_caller->is_gone();
    }

    bool take_own_permit(time_point now)
    {
        auto& entry = m_request.m_attempts.back().as_object();
        entry["permits_left"] =
            m_state.m_retries.remaining(now, m_request.m_service);
        return m_state.m_retries.try_retry(now, m_request.m_service);
    }

    /// The final reply of a request that no upstream served.
    edge_reply give_up()
    {
        if (m_request.m_caller->is_gone())
        {
            m_request.m_outcome = "abandoned";
            return broken_answer{};
        }
        if (m_failure)
        {
            m_request.m_outcome = "upstream_failure";
            return pass_on(std::move(*m_failure));
        }
        if (m_runs == 0)
        {
            m_request.m_outcome = "refused";
            return refusal{result_code::no_upstream, return_wait()};
        }
        m_request.m_outcome = "failed";
        if (m_is_timeout)
        {
            return refusal{result_code::deadline_passed_running, std::nullopt};
        }
        return refusal{
            m_request.m_route->m_is_idempotent ? result_code::upstream_failed
                                               : result_code::outcome_unknown,
            std::nullopt};
    }

    duration return_wait()
    {
        std::uniform_int_distribution<std::int64_t> pick{
            min_return_wait.count(), max_return_wait.count()};
        return std::chrono::milliseconds{pick(m_state.m_random)};
    }

    edge_reply pass_on(exchange_result&& result)
    {
        if (result.m_streamed)
        {
            return streamed_answer{};
        }
        edge_response response;
        response.base() = std::move(result.m_head);
        auto const stated = std::string{response[http::field::content_length]};
        remove_connection_fields(response);
        response.version(http_1_1);
        bool const is_head = m_request.m_head.method() == http::verb::head;
        response.body() = std::move(result.m_body);
        if (is_head && !stated.empty())
        {
            response.set(http::field::content_length, stated);
        }
        else if (
            response.result() != http::status::no_content &&
            response.result() != http::status::not_modified)
        {
            response.content_length(response.body().size());
        }
        return response;
    }

    void notify_news()
    {
        if (m_state.m_on_news)
        {
            m_state.m_on_news();
        }
    }

    void begin_log(upstream_entry const& target, time_point now)
    {
        auto const tag = tag_of(target);
        m_request.m_attempts.push_back(boost::json::object{
            {"upstream", target.m_upstream.m_id},
            {"sickness", m_state.m_board.failure_probability(now, tag)},
            {"in_flight", m_state.m_board.in_flight(now, tag)},
            {"time_left_ms",
             std::chrono::floor<std::chrono::milliseconds>(
                 m_request.m_deadline - now)
                 .count()}});
    }

    void end_log(exchange_result const& result, verdict what)
    {
        using std::chrono::milliseconds;
        auto& entry = m_request.m_attempts.back().as_object();
        entry["end"] = to_string(result.m_end);
        entry["took_ms"] = std::chrono::floor<milliseconds>(m_took).count();
        if (result.m_end == exchange_end::answered)
        {
            entry["status"] = result.m_head.result_int();
        }
        if (!result.m_error.empty())
        {
            entry["error"] = result.m_error;
        }
        if (!result.m_is_new_connection)
        {
            entry["kept_connection"] = true;
        }
        if (what == verdict::not_run)
        {
            entry["not_run"] = true;
        }
    }

    edge_state& m_state;
    edge_request& m_request;
    answer_stream const& m_stream;
    timer m_slow_timer;
    std::vector<upstream_id> m_tried;
    std::optional<exchange_result> m_failure;
    duration m_took{};
    unsigned m_runs = 0;
    unsigned m_unrun_tries = 0;
    bool m_has_answer = false;   ///< the upstream answered with a failure
    bool m_was_rejected = false; ///< the last try was rejected, not unreached
    bool m_is_cut = false;       ///< stopped for slowness; its retry is paid
    bool m_is_timeout = false;
    bool m_was_forgotten = false; ///< reset on a kept connection
};

} // namespace

asio::awaitable<edge_reply> run_attempts(
    edge_state& state, edge_request& request, answer_stream const& stream)
{
    attempt_loop loop{state, request, stream};
    co_return co_await loop.run();
}

} // namespace briarhub
