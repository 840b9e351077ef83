#ifndef BRIARHUB_OBSERVATION_LOG_HPP
#define BRIARHUB_OBSERVATION_LOG_HPP

/// Recent observations that this VM sends to its peers: evidence, which is the
/// outcomes of attempts at upstreams, and suspect requests, which may have
/// crashed upstreams. The log has one cursor per peer, so that each entry is
/// sent once to each peer. Pure: no I/O, reads no clock.

#include "peer_messages.hpp"
#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace briarhub
{

/// Crash totals per origin and request are retained for this long, so that a
/// delayed copy of an old report is recognized as a duplicate.
inline constexpr std::chrono::minutes max_crash_total_age{10};

/// Evidence older than this is not sent.
inline constexpr std::chrono::seconds max_evidence_age{10};

/// Suspect requests are sent to peers for this long.
inline constexpr std::chrono::seconds max_suspect_age{60};

/// Upstreams in one message; those with the most bad attempts have priority.
inline constexpr std::size_t max_evidence_items = 16;
inline constexpr std::size_t max_suspect_items = 16;

class observation_log
{
public:
    explicit observation_log(member const& self);

    void add_evidence(time_point now, std::span<evidence const> items);

    /// Adds the crashes that this VM observed since the last call.
    void add_suspects(time_point now, std::span<suspect_request const> items);

    /// Merges suspect requests reported by a peer and returns the crashes that
    /// are new to this VM. Only these are forwarded to other peers, so that
    /// each report stops circulating.
    std::vector<suspect_request>
    receive(time_point now, std::span<reported_suspect const> items);

    /// Collects the entries that were not sent to the peer yet and advances
    /// its cursor, because evidence that arrives twice would count twice.
    /// Evidence covers only upstreams with bad attempts, so that a healthy
    /// fleet sends none.
    [[nodiscard]] peer_observations
    collect_for(time_point now, vm_id const& peer);

    /// Resets the peer's cursor for suspect requests after a message to it was
    /// lost. They are sent again; the peer ignores those that it has.
    void resend_suspects(vm_id const& peer);

private:
    template <class Item>
    struct entry
    {
        std::uint64_t m_sequence = 0;
        time_point m_at{};
        Item m_item;
    };

    /// Sequence numbers of the last entries sent to a peer.
    struct cursor
    {
        std::uint64_t m_evidence = 0;
        std::uint64_t m_suspects = 0;
    };

    struct crash_total
    {
        std::uint32_t m_crashes = 0;
        time_point m_at{};
    };

    using origin_and_digest = std::pair<std::string, std::string>;

    [[nodiscard]] std::uint32_t last_crash_total(
        std::string const& origin, std::string const& digest) const;
    void record_crash_total(
        time_point now,
        std::string const& origin,
        std::string const& digest,
        std::uint32_t total);
    void expire(time_point now);
    std::vector<evidence> merged_evidence(std::uint64_t after) const;

    std::string m_own_origin;
    std::uint64_t m_sequence = 0;
    std::deque<entry<evidence>> m_evidence;
    std::deque<entry<reported_suspect>> m_suspects;
    std::map<origin_and_digest, crash_total> m_crash_totals;
    std::map<vm_id, cursor> m_cursors;
};

} // namespace briarhub

#endif
