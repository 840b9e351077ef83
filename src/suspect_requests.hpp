#ifndef BRIARHUB_SUSPECT_REQUESTS_HPP
#define BRIARHUB_SUSPECT_REQUESTS_HPP

/// Remembers requests that were in flight when an upstream crashed, so that a
/// request that crashes upstreams is not given to more of them. Pure: no I/O,
/// reads no clock.

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

/// Crashes after which a request is refused.
inline constexpr std::uint32_t suspect_crash_limit = 2;

/// Suspects that are told to a new process; half a kilobyte.
inline constexpr std::size_t max_suspects_sent = 16;

/// A suspect is forgotten this long after its last crash.
inline constexpr std::chrono::minutes suspect_retention{10};

class suspect_requests
{
public:
    /// The request was in flight at an upstream crash seen by this VM.
    void report_crash(time_point now, std::string const& digest);

    /// The request was served, so it crashes no upstream.
    void report_success(std::string const& digest);

    /// Suspects that a peer reported.
    void receive(time_point now, std::span<suspect_request const> items);

    [[nodiscard]] bool
    is_refused(time_point now, std::string const& digest) const;

    /// True once the request was in flight at any crash: further crashes are
    /// no evidence against the upstream.
    [[nodiscard]] bool
    is_suspect(time_point now, std::string const& digest) const;

    /// Own news since the last call.
    std::vector<suspect_request> collect_updates(time_point now);

    /// All crashes that are known, of at most `max_suspects_sent` requests:
    /// those that crashed most upstreams.
    [[nodiscard]] std::vector<suspect_request> snapshot(time_point now) const;

    /// What another VM knew, for a process that has just started.
    void adopt(time_point now, std::span<suspect_request const> items);

private:
    struct entry
    {
        std::uint32_t m_crashes = 0;
        time_point m_last_crash{};
        std::uint32_t m_unreported = 0; ///< own crashes, not yet news
    };

    void expire(time_point now);

    std::map<std::string, entry> m_entries;
};

} // namespace briarhub

#endif
