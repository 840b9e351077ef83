#ifndef BRIARHUB_SUSPECT_REQUESTS_HPP
#define BRIARHUB_SUSPECT_REQUESTS_HPP

/// Tracks the requests that were in flight when an upstream crashed, so that a
/// request that crashes upstreams (a "query of death") is refused instead of
/// being sent to more of them. A request whose reused connection was reset is
/// tracked too, without a crash: the upstream may have crashed or closed an
/// idle connection. Performs no I/O and takes the time as an argument.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace briarhub
{

/// Number of crashes after which a request is refused.
inline constexpr std::uint32_t suspect_crash_limit = 2;

/// Suspects that are sent to a new process; half a kilobyte.
inline constexpr std::size_t max_suspects_sent = 16;

/// A suspect expires this long after its last crash or unexplained reset.
inline constexpr std::chrono::minutes suspect_retention{10};

/// Unexplained resets are not tracked beyond this many suspects: most of them
/// are those of idle connections.
inline constexpr std::size_t max_reset_suspects = 1000;

class suspect_requests
{
public:
    /// The request was in flight at an upstream crash that this VM observed.
    void report_crash(time_point now, std::string const& digest);

    /// A reused connection was reset on the request, and nothing told whether
    /// the upstream crashed.
    void report_reset(time_point now, std::string const& digest);

    /// Removes a request that was served and so does not crash upstreams.
    void report_success(std::string const& digest);

    /// Suspects that a peer reported.
    void receive(time_point now, std::span<suspect_request const> items);

    [[nodiscard]] bool
    is_refused(time_point now, std::string const& digest) const;

    /// True once the request was in flight at any crash or unexplained reset.
    /// Further crashes then do not count against the upstream.
    [[nodiscard]] bool
    is_suspect(time_point now, std::string const& digest) const;

    /// Crashes and unexplained resets that this VM observed since the last
    /// call. The latter have 0 crashes.
    std::vector<suspect_request> collect_updates(time_point now);

    /// All known crashes of the requests that crashed the most upstreams, at
    /// most `max_suspects_sent` requests.
    [[nodiscard]] std::vector<suspect_request> snapshot(time_point now) const;

    /// Imports the snapshot of another VM into a process that has just started.
    void adopt(time_point now, std::span<suspect_request const> items);

private:
    struct entry
    {
        std::uint32_t m_crashes = 0;
        time_point m_last_report{};
        std::uint32_t m_unreported = 0; ///< own crashes not yet collected
        bool m_has_unreported = false;  ///< own crashes or resets
    };

    entry& touch(time_point now, std::string const& digest);
    [[nodiscard]] bool has_room_for_reset(std::string const& digest) const;
    void expire(time_point now);

    std::map<std::string, entry> m_entries;
};

} // namespace briarhub

#endif
