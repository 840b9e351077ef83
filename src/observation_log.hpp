#ifndef BRIARHUB_OBSERVATION_LOG_HPP
#define BRIARHUB_OBSERVATION_LOG_HPP

/// News of this VM for its peers: evidence about upstreams and suspect
/// requests, each given once to each peer. Pure: no I/O, reads no clock.

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

/// What is known of an origin's crashes is kept for this long, so that a late
/// copy of old news is not taken for new.
inline constexpr std::chrono::minutes max_crash_total_age{10};

/// Evidence older than this is not passed on.
inline constexpr std::chrono::seconds max_evidence_age{10};

/// Suspect requests are passed on for this long.
inline constexpr std::chrono::seconds max_suspect_age{60};

/// Upstreams in one message; the ones with the most bad attempts go first.
inline constexpr std::size_t max_evidence_items = 16;
inline constexpr std::size_t max_suspect_items = 16;

class observation_log
{
public:
    explicit observation_log(member const& self);

    void add_evidence(time_point now, std::span<evidence const> items);

    /// Crashes that this VM saw since the last call.
    void add_suspects(time_point now, std::span<suspect_request const> items);

    /// A peer's news. Returns the crashes that were not known before; only
    /// these are passed on, so that news stops to circulate.
    std::vector<suspect_request>
    receive(time_point now, std::span<reported_suspect const> items);

    /// What the peer was not given yet; it counts as given then, since
    /// evidence that arrives twice would count twice. Evidence is only about
    /// upstreams with bad attempts: a healthy fleet has nothing to say.
    [[nodiscard]] peer_news collect_for(time_point now, vm_id const& peer);

    /// A message to the peer was lost. Its suspect requests are given again;
    /// a peer that has them ignores them.
    void resend_suspects(vm_id const& peer);

private:
    template <class Item>
    struct entry
    {
        std::uint64_t m_sequence = 0;
        time_point m_at{};
        Item m_item;
    };

    /// The last entries given to a peer.
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
