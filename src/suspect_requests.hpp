#ifndef BRIARHUB_SUSPECT_REQUESTS_HPP
#define BRIARHUB_SUSPECT_REQUESTS_HPP

/// Tracks the requests that were in flight when an upstream crashed, so that a
/// request that crashes upstreams (a "query of death") is refused instead of
/// being sent to more of them. Performs no I/O and takes the time as an
/// argument.

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

/// A suspect expires this long after its last crash.
inline constexpr std::chrono::minutes suspect_retention{10};

class suspect_requests
{
public:
    /// The request was in flight at an upstream crash that this VM observed.
    void report_crash(time_point now, std::string const& digest);

    /// Removes a request that was served and so does not crash upstreams.
    void report_success(std::string const& digest);

    /// Suspects that a peer reported.
    void receive(time_point now, std::span<suspect_request const> items);

    [[nodiscard]] bool
    is_refused(time_point now, std::string const& digest) const;

    /// True once the request was in flight at any crash. Further crashes then
    /// do not count against the upstream.
    [[nodiscard]] bool
    is_suspect(time_point now, std::string const& digest) const;

    /// Crashes that this VM observed since the last call.
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
        time_point m_last_crash{};
        std::uint32_t m_unreported = 0; ///< own crashes not yet collected
    };

    void expire(time_point now);

    std::map<std::string, entry> m_entries;
};

} // namespace briarhub

#endif
