#ifndef BRIARHUB_CONTROL_STREAM_HPP
#define BRIARHUB_CONTROL_STREAM_HPP

/// Follows the control stream, the log of the fleet's replicated state, and
/// folds its records into `fleet_state`. Appends this VM's records: join,
/// leave, fences of other members, and snapshots.

#include "control_log.hpp"
#include "fleet_state.hpp"
#include "metered_platform_client.hpp"
#include "settings.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace briarhub
{

inline constexpr char const* control_stream_name = "control";

class control_stream
{
public:
    control_stream(
        settings const& options,
        fleet_state& fleet,
        metered_platform_client& platform,
        std::uint64_t seed);

    /// Reads the stream continuously until `stop`.
    boost::asio::awaitable<void> run_tail();

    /// Appends this VM's records until `stop` or `stop_appends`.
    boost::asio::awaitable<void> run_appends();

    /// Appends `leave`, with retries until `deadline`.
    boost::asio::awaitable<void> leave(time_point deadline);

    /// Stops all appends of this VM except `leave`.
    void stop_appends();
    void stop();

    /// True if the last read succeeded.
    [[nodiscard]] bool is_log_reachable() const
    {
        return m_is_log_reachable;
    }

private:
    void update_log_reachability(bool is_reachable, std::string const& reason);
    void apply_read_result(time_point start, log_read_result const& result);
    [[nodiscard]] bool can_append() const;
    boost::asio::awaitable<bool> append(std::string record);
    boost::asio::awaitable<void> sleep_until(time_point wake_at);
    std::optional<control_record> next_record(time_point now);
    [[nodiscard]] bool is_snapshot_due() const;
    bool poll_snapshot_timer(time_point now);
    std::optional<control_record> make_snapshot();

    settings m_options;
    fleet_state& m_fleet;
    metered_platform_client& m_platform;
    std::mt19937_64 m_random;
    bool m_is_log_reachable = false;
    bool m_has_caught_up = false;
    bool m_stopped = false;
    bool m_appends_stopped = false;
    bool m_has_appended_join = false;
    bool m_is_snapshot_too_large = false;
    std::optional<wall_time> m_first_record_at;
    std::optional<time_point> m_last_append;
    std::optional<time_point> m_snapshot_due_at;
};

} // namespace briarhub

#endif
