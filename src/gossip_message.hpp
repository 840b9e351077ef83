#ifndef BRIARHUB_GOSSIP_MESSAGE_HPP
#define BRIARHUB_GOSSIP_MESSAGE_HPP

/// Gossip messages between entry processes, the health snapshot in the store,
/// and their encoding.

#include "clock.hpp"
#include "fleet_rate_limiter.hpp"
#include "load_balancer.hpp"
#include "tags.hpp"
#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

/// An entry VM and its failure domain.
struct peer_address
{
    vm_tag m_vm = 0;
    domain_tag m_domain = 0;

    friend bool operator==(peer_address const&, peer_address const&) = default;
};

/// The versions of the platform's state that a VM has replicated.
struct replica_status
{
    config_version m_policy_version = 0;
    /// In the policy's topic, after the last record that was read.
    log_position m_policy_position;
    log_position m_directory_position; ///< last known change
    bool m_is_store_reader = false;    ///< reads the directory from the store
    bool m_reaches_store = false;

    friend bool
    operator==(replica_status const&, replica_status const&) = default;
};

/// Time since the origin read from the store that the versions of its
/// `replica_status` are the newest ones; nullopt if it has not read them. What
/// it knows from peers is not included: passed on, it would gain the transit
/// time of each message and never grow old.
struct replica_ages
{
    std::optional<std::chrono::milliseconds> m_policy;
    std::optional<std::chrono::milliseconds> m_directory;

    friend bool operator==(replica_ages const&, replica_ages const&) = default;
};

/// Asks the receiver to transfer a permit for one retry.
struct permit_request
{
    std::uint64_t m_id = 0;
    service_name m_service;

    friend bool
    operator==(permit_request const&, permit_request const&) = default;
};

struct permit_reply
{
    std::uint64_t m_id = 0; ///< of the permit request
    bool m_is_granted = false;

    friend bool operator==(permit_reply const&, permit_reply const&) = default;
};

/// A heartbeat, an update or a reply of one VM. Peers may relay it.
struct gossip_message
{
    peer_address m_origin;
    std::uint32_t m_run = 0; ///< distinguishes incarnations of the process
    std::chrono::milliseconds m_age{0}; ///< since the process started
    std::uint64_t m_sequence = 0;
    bool m_relay = false; ///< forward within the receiver's failure domain
    std::vector<upstream_update> m_upstreams;
    std::vector<usage_count> m_usage;
    std::vector<suspect_request> m_suspects;
    replica_status m_state;
    replica_ages m_replica_ages;
    bool m_is_leaving = false;
    bool m_wants_members = false;
    std::vector<peer_address> m_members;
    std::vector<upstream_estimate> m_upstream_health; ///< in join replies
    std::vector<suspect_request> m_known_suspects;    ///< in join replies
    std::vector<account_level> m_levels;              ///< in join replies
    std::size_t m_fleet_size = 0; ///< counted by the origin, 0 if unknown
    std::optional<permit_request> m_permit_request;
    std::optional<permit_reply> m_permit_reply;

    friend bool
    operator==(gossip_message const&, gossip_message const&) = default;
};

/// Encodes messages as one datagram.
std::string encode(std::span<gossip_message const> messages);

/// Nullopt for a malformed datagram.
std::optional<std::vector<gossip_message>>
decode_gossip(std::string_view bytes);

/// Health of upstreams and suspect requests, saved in the platform's store so
/// that they survive the loss of all VMs.
struct health_snapshot
{
    wall_time m_written{};
    std::vector<upstream_estimate> m_upstream_health;
    std::vector<suspect_request> m_suspects;

    friend bool
    operator==(health_snapshot const&, health_snapshot const&) = default;
};

std::string encode(health_snapshot const& record);

/// Nullopt for a malformed record.
std::optional<health_snapshot> decode_health_snapshot(std::string_view bytes);

} // namespace briarhub

#endif
