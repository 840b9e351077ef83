#include "claims_stream.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace briarhub
{
namespace
{

/// Poll interval of the stream while no decision needs a record.
constexpr std::chrono::seconds read_interval{1};

/// Long-poll limit of a read while a decision needs a record.
constexpr std::chrono::milliseconds max_read_wait{300};

/// Pauses after a read without records, and after a failed operation.
constexpr std::chrono::milliseconds empty_read_pause{20};
constexpr std::chrono::milliseconds retry_interval{200};

constexpr std::size_t max_read_records = 1000;

/// Claims expire from the table earlier than from the log, by the log retention
/// divided by this.
constexpr int expiry_margin_divisor = 10;

/// The traffic thread's copy of the covered time may lag by this much. The
/// writer checks the exact time.
constexpr std::chrono::seconds coverage_publish_step{10};

/// Bounds of the wait between checks of the undecided claims' deadlines.
constexpr std::chrono::seconds max_sleep{1};
constexpr std::chrono::milliseconds min_sleep{1};

} // namespace

claims_stream::claims_stream(
    boost::asio::io_context& io,
    settings const& options,
    member const& self,
    metered_platform_client& platform,
    traffic_outbox& outbox,
    metrics_registry& metrics)
    : m_options(options), m_self(self), m_platform(platform), m_outbox(outbox),
      m_claims_won(
          metrics.get_counter("briarhub_claims_total", {{"verdict", "won"}})),
      m_claims_finished(metrics.get_counter(
          "briarhub_claims_total", {{"verdict", "finished"}})),
      m_claims_refused(metrics.get_counter(
          "briarhub_claims_total", {{"verdict", "refused"}})),
      m_wakeup(io), m_writer(self)
{
}

void claims_stream::stop()
{
    m_stopped = true;
    m_wakeup.notify();
}

void claims_stream::set_member_count(std::size_t count)
{
    m_writer.set_member_count(std::max<std::size_t>(count, 1));
}

void claims_stream::receive(claim_request&& message)
{
    m_writer.request(
        runtime_clock::now(),
        message.m_ticket,
        std::move(message.m_name),
        std::move(message.m_request_digest),
        message.m_deadline);
    send_decisions();
    m_wakeup.notify();
}

void claims_stream::receive(claim_cancel&& message)
{
    m_writer.cancel(message.m_ticket);
}

void claims_stream::receive(claim_outcome&& message)
{
    m_writer.record_outcome(std::move(message));
    m_wakeup.notify();
}

void claims_stream::receive(claim_release&& message)
{
    m_writer.release(std::move(message));
    m_wakeup.notify();
}

boost::asio::awaitable<void> claims_stream::run_reads()
{
    while (!m_stopped)
    {
        time_point const start = runtime_clock::now();
        co_await read_once();
        co_await wait_for_read(start);
    }
}

boost::asio::awaitable<void> claims_stream::read_once()
{
    bool const is_needed = m_writer.needs_read(m_table);
    auto const wait =
        is_needed ? max_read_wait : std::chrono::milliseconds::zero();
    log_offset const from = m_table.next_offset();
    auto const result = co_await m_platform.read(
        claims_stream_name, from, max_read_records, wait);
    if (m_stopped)
    {
        co_return;
    }
    bool has_records = false;
    if (auto const* const read = std::get_if<log_read_result>(&result))
    {
        has_records = !read->m_records.empty();
        apply_read(*read);
    }
    else
    {
        publish_coverage(false);
    }
    send_decisions();
    m_wakeup.notify();
    if (!has_records)
    {
        time_point const now = runtime_clock::now();
        co_await m_wakeup.wait_until(now + empty_read_pause);
    }
}

/// Waits until a decision needs a read or the poll interval has passed. While
/// the log is unavailable, waits for the retry interval.
boost::asio::awaitable<void> claims_stream::wait_for_read(time_point last_read)
{
    bool const is_unavailable =
        !m_published_coverage || !m_published_coverage->m_available;
    duration const interval =
        is_unavailable ? duration{retry_interval} : duration{read_interval};
    time_point const next = last_read + interval;
    while (!m_stopped && runtime_clock::now() < next &&
           (is_unavailable || !m_writer.needs_read(m_table)))
    {
        co_await m_wakeup.wait_until(next);
    }
}

void claims_stream::apply_read(log_read_result const& result)
{
    if (!m_has_read || m_table.next_offset() < result.m_first)
    {
        reset_table(result);
    }
    for (log_record const& record : result.m_records)
    {
        m_table.fold(record);
    }
    auto const margin = m_options.m_log_retention / expiry_margin_divisor;
    m_table.expire(wall_now() - (m_options.m_log_retention - margin));
    bool const reached_end =
        m_table.next_offset() >= result.m_next || result.m_records.empty();
    publish_coverage(reached_end);
}

/// Resets the table. Claims before the oldest retained record are unknown.
void claims_stream::reset_table(log_read_result const& result)
{
    m_has_read = true;
    m_table = claim_table{};
    if (result.m_first == 0)
    {
        m_table.set_covered_since(wall_time{});
        return;
    }
    wall_time const oldest = result.m_records.empty()
                                 ? wall_now()
                                 : result.m_records.front().m_appended_at;
    m_table.set_covered_since(oldest);
}

void claims_stream::publish_coverage(bool is_available)
{
    bool const can_claim = is_available && m_has_read;
    claim_coverage const covered{m_table.covered_since(), can_claim};
    bool const is_unchanged =
        m_published_coverage &&
        m_published_coverage->m_available == can_claim &&
        covered.m_covered_since - m_published_coverage->m_covered_since <
            coverage_publish_step;
    if (!is_unchanged && m_outbox.send(claim_coverage{covered}))
    {
        m_published_coverage = covered;
    }
}

boost::asio::awaitable<void> claims_stream::run_appends()
{
    while (!m_stopped)
    {
        send_decisions();
        bool const appended = co_await append_once();
        if (m_stopped)
        {
            co_return;
        }
        if (appended)
        {
            continue;
        }
        time_point const now = runtime_clock::now();
        time_point const next =
            std::clamp(m_writer.next_poll(), now + min_sleep, now + max_sleep);
        co_await m_wakeup.wait_until(next);
    }
}

boost::asio::awaitable<bool> claims_stream::append_once()
{
    time_point const now = runtime_clock::now();
    auto record = m_writer.start_append(now);
    if (!record)
    {
        co_return false;
    }
    auto const result =
        co_await m_platform.append(claims_stream_name, std::move(*record));
    if (m_stopped)
    {
        co_return true;
    }
    finish_append(result);
    send_decisions();
    m_wakeup.notify();
    co_return true;
}

void claims_stream::finish_append(platform_result<log_offset> const& result)
{
    time_point const now = runtime_clock::now();
    if (auto const* const offset = std::get_if<log_offset>(&result))
    {
        m_writer.append_succeeded(now, *offset);
        return;
    }
    auto const& error = std::get<platform_error>(result);
    if (error.m_code == result_code::log_append_unknown)
    {
        m_writer.append_unknown(now);
    }
    else
    {
        m_writer.append_refused(now);
    }
}

void claims_stream::send_decisions()
{
    for (auto& decision : m_writer.poll(runtime_clock::now(), m_table))
    {
        claim_verdict const& verdict = decision.m_verdict;
        counter& total = std::holds_alternative<claim_won>(verdict)
                             ? m_claims_won
                         : std::holds_alternative<claim_finished>(verdict)
                             ? m_claims_finished
                             : m_claims_refused;
        total.add();
        m_outbox.send(std::move(decision));
    }
}

boost::asio::awaitable<void> claims_stream::flush(time_point deadline)
{
    while (runtime_clock::now() < deadline && m_writer.has_unacknowledged())
    {
        time_point const next = runtime_clock::now() + retry_interval;
        co_await m_wakeup.wait_until(std::min(next, deadline));
    }
}

} // namespace briarhub
