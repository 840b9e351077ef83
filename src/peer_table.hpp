#ifndef BRIARHUB_PEER_TABLE_HPP
#define BRIARHUB_PEER_TABLE_HPP

/// Membership of the fleet as this VM sees it: the known entry VMs, when each
/// last sent a message, the gossip destinations, and the election of the VM
/// that reads the store. Pure: no I/O, reads no clock.

#include "fleet_rate_limiter.hpp"
#include "gossip_message.hpp"
#include "retry_budget.hpp"
#include "tags.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace briarhub
{

/// A peer that sends nothing for this time does not count as live. Four
/// heartbeats.
inline constexpr std::chrono::milliseconds peer_silence_limit{2000};

/// A peer that sends nothing for this time is removed from the table.
inline constexpr std::chrono::seconds peer_retention{12};

/// A VM that was added or sent a message within this time may still use a share
/// of a fleet-wide limit. Partitions between regions are shorter.
inline constexpr std::chrono::minutes share_retention{15};

class peer_table
{
public:
    peer_table(peer_address self, std::uint64_t seed);

    /// Adds a VM that is listed by the store or a peer.
    void add(time_point now, peer_address const& address);

    /// Updates the entry of the sender; false if the message is not newer than
    /// an earlier one of the same incarnation.
    bool record_message(time_point now, gossip_message const& message);

    void remove_expired(time_point now);

    struct destination
    {
        vm_tag m_vm = 0;
        bool m_relay = false;
    };

    /// All known VMs of this failure domain, and one VM of each other domain,
    /// which relays the message within its domain.
    std::vector<destination> destinations(time_point now);

    /// Known VMs of this failure domain, without this one.
    [[nodiscard]] std::vector<vm_tag> domain_peers() const;

    /// Up to `count` live peers, chosen at random.
    std::vector<vm_tag> sample_live(time_point now, std::size_t count);

    /// One of the share owners that were removed from the table because of
    /// their silence, at random; nullopt if there is none. After a partition
    /// that lasted longer than `peer_retention`, no side has the other one in
    /// its table.
    std::optional<vm_tag> sample_lost();

    [[nodiscard]] std::vector<peer_address> members() const;

    /// Number of known VMs, including this one.
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size() + 1;
    }

    [[nodiscard]] fleet_view view(time_point now) const;

    /// The VMs that share fleet-wide limits: those heard from within
    /// `share_retention` that have not announced their leave, and those that
    /// were added a short time ago. The latter count as heard until
    /// `peer_silence_limit`, so that a VM that starts has its share.
    [[nodiscard]] fleet_view share_view(time_point now) const;

    /// Call after the platform's list of VMs was read and its VMs were added.
    void set_vm_list_loaded()
    {
        m_is_fleet_size_known = true;
    }

    /// Number of VMs, including this one, that may use a share of a fleet-wide
    /// limit, from this VM's own records; 0 while the fleet is unknown.
    [[nodiscard]] std::size_t known_fleet_size() const;

    /// The VMs of `known_fleet_size`, including this one, without those that
    /// announced that they leave; nullopt while the fleet is unknown.
    [[nodiscard]] std::optional<std::vector<vm_tag>> fleet_members() const;

    /// Size of the fleet, the largest that this VM or a peer counts, and the
    /// index of this VM in the order of addresses.
    [[nodiscard]] fleet_position position(time_point now) const;

    /// True if this VM reads the store for its failure domain: no live VM of
    /// the domain that reaches the store ranks before it.
    [[nodiscard]] bool should_read_store(time_point now) const;

    /// True if this VM ranks first in the whole fleet among the live VMs that
    /// reach the store.
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

    /// A VM that may use a share of a fleet-wide limit.
    struct share_owner
    {
        time_point m_last_known{}; ///< when it was last added or heard from
        bool m_was_heard = false;
    };

    static bool is_live(time_point now, peer const& entry);
    static duration silence_of(time_point now, peer const& entry);
    [[nodiscard]] bool
    ranks_first(time_point now, std::optional<domain_tag> domain) const;

    void record_reported_size(time_point now, std::size_t size);

    peer_address m_self;
    std::mt19937_64 m_random;
    std::map<vm_tag, peer> m_peers;
    [[nodiscard]] bool is_lost(vm_tag vm, share_owner const& owner) const;

    std::map<vm_tag, share_owner> m_share_owners;
    std::set<vm_tag> m_departed; ///< share owners that announced their leave
    std::size_t m_reported_size = 0; ///< the largest count of a peer
    time_point m_size_reported_at{};
    bool m_is_fleet_size_known = false;
};

} // namespace briarhub

#endif
