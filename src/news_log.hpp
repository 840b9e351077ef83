#ifndef BRIARHUB_NEWS_LOG_HPP
#define BRIARHUB_NEWS_LOG_HPP

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

namespace briarhub
{

/// Evidence older than this is not passed on.
inline constexpr std::chrono::seconds evidence_age_limit{10};

/// Suspect requests are passed on for this long.
inline constexpr std::chrono::seconds suspect_age_limit{60};

/// Upstreams in one message; the ones with the most bad attempts go first.
inline constexpr std::size_t max_evidence_items = 16;
inline constexpr std::size_t max_suspect_items = 16;

class news_log
{
public:
    void add_evidence(time_point now, std::span<evidence const> items);

    /// Returns the items that say more than what was known before; only these
    /// are passed on, so that news stops to circulate.
    std::vector<suspect_request>
    add_suspects(time_point now, std::span<suspect_request const> items);

    struct batch
    {
        peer_news m_news;
        std::uint64_t m_through = 0; ///< for `delivered`
    };

    /// What the peer was not given yet. Evidence is only about upstreams with
    /// bad attempts: a healthy fleet has nothing to say.
    [[nodiscard]] batch news_for(time_point now, vm_id const& peer);

    /// The peer has the news up to `through`.
    void delivered(vm_id const& peer, std::uint64_t through);

private:
    template <class Item>
    struct entry
    {
        std::uint64_t m_sequence = 0;
        time_point m_at{};
        Item m_item;
    };

    void expire(time_point now);
    std::vector<evidence> merged_evidence(std::uint64_t after) const;

    std::uint64_t m_sequence = 0;
    std::deque<entry<evidence>> m_evidence;
    std::deque<entry<suspect_request>> m_suspects;
    std::map<std::string, std::uint32_t> m_known_suspects;
    std::map<vm_id, std::uint64_t> m_delivered;
};

} // namespace briarhub

#endif
