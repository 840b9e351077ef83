#ifndef BRIARHUB_GOSSIP_MESSAGE_HPP
#define BRIARHUB_GOSSIP_MESSAGE_HPP

/// Datagrams between entry processes and their encoding.

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

struct peer_address
{
    vm_tag m_vm = 0;
    domain_tag m_domain = 0;

    friend bool operator==(peer_address const&, peer_address const&) = default;
};

/// What a VM holds of the state that lies in the platform's store.
struct replica_status
{
    config_version m_policy_version = 0;
    log_offset m_directory_offset = 0; ///< the last change that it knows
    bool m_is_store_reader = false;    ///< reads the directory from the store
    bool m_reaches_store = false;

    friend bool
    operator==(replica_status const&, replica_status const&) = default;
};

/// Asks the receiver to give up a permit for one retry.
struct permit_request
{
    std::uint64_t m_id = 0;
    service_name m_service;

    friend bool
    operator==(permit_request const&, permit_request const&) = default;
};

struct permit_reply
{
    std::uint64_t m_id = 0; ///< of the request for it
    bool m_is_granted = false;

    friend bool operator==(permit_reply const&, permit_reply const&) = default;
};

struct gossip_message
{
    peer_address m_origin;
    std::uint32_t m_run = 0;
    std::chrono::milliseconds m_age{0}; ///< since the process started
    std::uint64_t m_sequence = 0;
    bool m_relay = false; ///< send on inside the receiver's failure domain
    std::vector<upstream_update> m_upstreams;
    std::vector<usage_count> m_usage;
    std::vector<suspect_request> m_suspects;
    replica_status m_state;
    bool m_is_leaving = false;
    bool m_wants_members = false;
    std::vector<peer_address> m_members;
    std::vector<upstream_estimate> m_upstream_health; ///< for a newcomer
    std::vector<suspect_request> m_known_suspects;    ///< for a newcomer
    std::vector<account_level> m_levels;              ///< for a newcomer
    std::size_t m_fleet_size = 0; ///< VMs that the origin counts, 0 if unknown
    std::optional<permit_request> m_permit_request;
    std::optional<permit_reply> m_permit_reply;

    friend bool
    operator==(gossip_message const&, gossip_message const&) = default;
};

/// A datagram with the messages.
std::string encode(std::span<gossip_message const> messages);

/// Nullopt for bytes that are no such datagram.
std::optional<std::vector<gossip_message>>
decode_gossip(std::string_view bytes);

/// Beliefs of upstreams and suspects that outlive the VMs in the platform's
/// store.
struct health_snapshot
{
    wall_time m_written{};
    std::vector<upstream_estimate> m_upstream_health;
    std::vector<suspect_request> m_suspects;

    friend bool
    operator==(health_snapshot const&, health_snapshot const&) = default;
};

std::string encode(health_snapshot const& record);

/// Nullopt for bytes that are no such record.
std::optional<health_snapshot> decode_health_snapshot(std::string_view bytes);

} // namespace briarhub

#endif
