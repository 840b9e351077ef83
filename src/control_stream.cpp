#include "control_stream.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

/// Long-poll wait of a read. Shorter than `log_timeout`, so that an idle stream
/// is not mistaken for an unreachable log.
constexpr std::chrono::milliseconds max_read_wait{900};

/// Records per read. The platform also limits the size of its response.
constexpr std::size_t max_read_records = 1000;

constexpr std::chrono::milliseconds retry_interval{200};
constexpr std::chrono::milliseconds append_poll_interval{500};

/// A snapshot is due after 1/`snapshot_interval_divisor` of the retention.
constexpr int snapshot_interval_divisor = 3;

/// Random delay of a snapshot, up to this fraction of the retention, so that
/// usually only one VM appends it.
constexpr int snapshot_jitter_divisor = 12;

} // namespace

control_stream::control_stream(
    settings const& options,
    fleet_state& fleet,
    metered_platform_client& platform,
    std::uint64_t seed)
    : m_options(options), m_fleet(fleet), m_platform(platform), m_random(seed)
{
}

void control_stream::stop_appends()
{
    m_appends_stopped = true;
}

void control_stream::stop()
{
    m_stopped = true;
    m_appends_stopped = true;
    m_fleet.changes().notify();
}

boost::asio::awaitable<void> control_stream::run_tail()
{
    while (!m_stopped)
    {
        time_point const start = runtime_clock::now();
        auto const wait =
            m_has_caught_up ? max_read_wait : std::chrono::milliseconds::zero();
        log_offset const from = m_fleet.log().next_offset();
        auto const result = co_await m_platform.read(
            control_stream_name, from, max_read_records, wait);
        if (m_stopped)
        {
            co_return;
        }
        if (auto const* const error = std::get_if<platform_error>(&result))
        {
            update_log_reachability(false, error->m_message);
            time_point const retry_at = runtime_clock::now() + retry_interval;
            co_await sleep_until(retry_at);
            continue;
        }
        update_log_reachability(true, {});
        apply_read_result(start, std::get<log_read_result>(result));
    }
}

/// Unlike the other waits, this one does not end early on a state change.
/// Otherwise a log that rejects reads immediately would be polled in a tight
/// loop.
boost::asio::awaitable<void> control_stream::sleep_until(time_point wake_at)
{
    while (!m_stopped && runtime_clock::now() < wake_at)
    {
        co_await m_fleet.changes().wait_until(wake_at);
    }
}

void control_stream::update_log_reachability(
    bool is_reachable, std::string const& reason)
{
    if (is_reachable == m_is_log_reachable)
    {
        return;
    }
    m_is_log_reachable = is_reachable;
    if (is_reachable)
    {
        spdlog::info("the platform log is reachable");
    }
    else
    {
        spdlog::warn("the platform log is unreachable: {}", reason);
    }
}

void control_stream::apply_read_result(
    time_point start, log_read_result const& result)
{
    time_point const now = runtime_clock::now();
    if (!m_first_record_at && !result.m_records.empty())
    {
        m_first_record_at = result.m_records.front().m_appended_at;
    }
    m_fleet.set_start_offset(now, result.m_first);
    m_fleet.fold(now, result.m_records);
    bool const reached_end = m_fleet.log().next_offset() >= result.m_next;
    m_has_caught_up = m_has_caught_up || reached_end;
    m_fleet.log_read_succeeded(now, start, reached_end);
}

boost::asio::awaitable<void> control_stream::run_appends()
{
    while (!m_appends_stopped)
    {
        time_point const now = runtime_clock::now();
        auto record = can_append() ? next_record(now) : std::nullopt;
        if (record)
        {
            std::string text = to_record(*record);
            co_await append(std::move(text));
        }
        else
        {
            time_point const next = now + append_poll_interval;
            co_await m_fleet.changes().wait_until(next);
        }
    }
}

/// The outcome of an append is unknown if its response was lost. So before the
/// next append, a read that began after the last append has to reach the end of
/// the stream.
bool control_stream::can_append() const
{
    auto const confirmed = m_fleet.last_complete_read_start();
    return m_is_log_reachable && confirmed &&
           (!m_last_append || *confirmed >= *m_last_append);
}

/// Returns true if the log acknowledged the record.
boost::asio::awaitable<bool> control_stream::append(std::string record)
{
    auto const result =
        co_await m_platform.append(control_stream_name, std::move(record));
    m_last_append = runtime_clock::now();
    co_return std::holds_alternative<log_offset>(result);
}

std::optional<control_record> control_stream::next_record(time_point now)
{
    if (!m_fleet.is_member())
    {
        auto join = m_fleet.members().next_join(now);
        m_has_appended_join = m_has_appended_join || join.has_value();
        return join;
    }
    auto const fence = m_fleet.members().next_fence(now);
    if (fence)
    {
        spdlog::info(
            "fencing member {} incarnation {:016x}",
            fence->m_vm,
            fence->m_incarnation);
        return control_record{*fence};
    }
    return poll_snapshot_timer(now) ? make_snapshot() : std::nullopt;
}

bool control_stream::is_snapshot_due() const
{
    auto const since = m_fleet.log().last_snapshot_at();
    auto const reference = since ? since : m_first_record_at;
    return reference && wall_now() - *reference > m_options.m_log_retention /
                                                      snapshot_interval_divisor;
}

/// Returns true when a snapshot is due and its random delay has expired.
/// Starts the delay when the snapshot becomes due.
bool control_stream::poll_snapshot_timer(time_point now)
{
    if (!is_snapshot_due() || m_is_snapshot_too_large)
    {
        m_snapshot_due_at.reset();
        return false;
    }
    if (!m_snapshot_due_at)
    {
        using std::chrono::duration_cast;
        using std::chrono::milliseconds;
        milliseconds const max_jitter = duration_cast<milliseconds>(
            m_options.m_log_retention / snapshot_jitter_divisor);
        std::uniform_int_distribution<std::int64_t> delay{
            0, max_jitter.count()};
        m_snapshot_due_at = now + milliseconds{delay(m_random)};
    }
    return now >= *m_snapshot_due_at;
}

std::optional<control_record> control_stream::make_snapshot()
{
    m_snapshot_due_at.reset();
    auto snapshot = m_fleet.log().make_snapshot();
    snapshot.m_stable_version = m_fleet.stable_version();
    if (to_record(snapshot).size() > max_record_bytes)
    {
        m_is_snapshot_too_large = true;
        spdlog::error("the state exceeds the size limit of a log record; no "
                      "snapshot is appended and only running VMs hold the "
                      "state");
        return std::nullopt;
    }
    return control_record{std::move(snapshot)};
}

boost::asio::awaitable<void> control_stream::leave(time_point deadline)
{
    member const self = m_fleet.self();
    leave_record const record{
        self.m_vm, self.m_incarnation, std::string{leave_by_shutdown}};
    std::string const text = to_record(control_record{record});
    bool appended = false;
    while (runtime_clock::now() < deadline &&
           (m_fleet.is_member() || m_has_appended_join))
    {
        if (can_append() && (!appended || m_fleet.is_member()))
        {
            bool const acknowledged = co_await append(text);
            if (acknowledged)
            {
                co_return;
            }
            appended = true;
        }
        else if (can_append())
        {
            co_return;
        }
        time_point const next = runtime_clock::now() + retry_interval;
        co_await m_fleet.changes().wait_until(std::min(next, deadline));
    }
}

} // namespace briarhub
