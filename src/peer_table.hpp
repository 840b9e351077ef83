#ifndef BRIARHUB_PEER_TABLE_HPP
#define BRIARHUB_PEER_TABLE_HPP

/// The entry VMs that this VM knows, when it last heard each, and whom it
/// tells its news. Pure: no I/O, reads no clock.

#include "fleet_rate_limiter.hpp"
#include "gossip_message.hpp"
#include "retry_budget.hpp"
#include "tags.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace briarhub
{

/// A peer that is silent for this time is not counted on. Four heartbeats.
inline constexpr std::chrono::milliseconds peer_silence_limit{2000};

/// A peer that is silent for this time is no part of the fleet any more.
inline constexpr std::chrono::seconds peer_retention{12};

/// A VM that was named or heard within this time may hold a part of a
/// fleet-wide allowance. Partitions between regions are shorter.
inline constexpr std::chrono::minutes share_retention{15};

class peer_table
{
public:
    peer_table(peer_address self, std::uint64_t seed);

    /// A VM that the store or a peer names.
    void add(time_point now, peer_address const& address);

    /// A message of a peer arrived; false if it is older than one of the same
    /// run that was heard before.
    bool record_message(time_point now, gossip_message const& message);

    void remove_expired(time_point now);

    struct destination
    {
        vm_tag m_vm = 0;
        bool m_relay = false;
    };

    /// All known VMs of this failure domain, and one VM of each other domain
    /// that passes the message on.
    std::vector<destination> destinations(time_point now);

    /// All known VMs of this failure domain.
    [[nodiscard]] std::vector<vm_tag> domain_peers() const;

    /// Up to `count` live VMs of the fleet, chosen at random.
    std::vector<vm_tag> sample_live(time_point now, std::size_t count);

    [[nodiscard]] std::vector<peer_address> members() const;

    /// Known VMs with this one.
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size() + 1;
    }

    [[nodiscard]] fleet_view view(time_point now) const;

    /// The platform's list of VMs was read and its VMs were added.
    void set_vm_list_loaded()
    {
        m_is_fleet_size_known = true;
    }

    /// VMs that may hold a part of a fleet-wide allowance, as far as they were
    /// named or heard here; 0 while the fleet is not known.
    [[nodiscard]] std::size_t known_fleet_size() const;

    /// The place of this VM among those that it or a peer counts.
    [[nodiscard]] fleet_position position(time_point now) const;

    /// This VM reads the store for its failure domain: no live VM of the
    /// domain that reaches the store comes before it.
    [[nodiscard]] bool should_read_store(time_point now) const;

    /// This VM comes first in the whole fleet among the live VMs that reach
    /// the store.
    [[nodiscard]] bool is_fleet_leader(time_point now) const;

    [[nodiscard]] peer_address const& self() const
    {
        return m_self;
    }

private:
    struct peer
    {
        domain_tag m_domain = 0;
        time_point m_added{};
        time_point m_heard{};
        bool m_was_heard = false;
        std::uint32_t m_run = 0;
        std::uint64_t m_sequence = 0;
        bool m_reaches_store = false;
    };

    static bool is_live(time_point now, peer const& entry);
    [[nodiscard]] bool
    ranks_first(time_point now, std::optional<domain_tag> domain) const;

    void record_reported_size(time_point now, std::size_t size);

    peer_address m_self;
    std::mt19937_64 m_random;
    std::map<vm_tag, peer> m_peers;
    std::map<vm_tag, time_point> m_share_owners; ///< when last named or heard
    std::size_t m_reported_size = 0; ///< the most that a peer counted
    time_point m_size_reported_at{};
    bool m_is_fleet_size_known = false;
};

} // namespace briarhub

#endif
