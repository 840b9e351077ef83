#ifndef BRIARHUB_TYPES_HPP
#define BRIARHUB_TYPES_HPP

/// Plain value types shared by the modules.

#include "clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace briarhub
{

using vm_id = std::string;
using upstream_id = std::string;
using service_name = std::string;
using work_class_name = std::string;
using account_name = std::string;
using failure_domain = std::string;
using endpoint_address = std::string; ///< "ip:port"

/// Distinguishes successive runs of the entry process on one VM.
using incarnation = std::uint64_t;

/// Number of accepted records of the control stream.
using control_version = std::uint64_t;

/// Number of accepted operator changes.
using config_version = std::uint64_t;

/// Position of a record in a stream of the platform's log.
using log_offset = std::uint64_t;

/// Identifies a request inside one entry process.
using request_ticket = std::uint64_t;

/// One run of an entry process.
struct member
{
    vm_id m_vm;
    incarnation m_incarnation = 0;
    failure_domain m_failure_domain;

    friend bool operator==(member const&, member const&) = default;
};

enum class vm_state
{
    live,
    leaving
};

/// An entry VM as the platform lists it.
struct entry_vm
{
    vm_id m_id;
    failure_domain m_failure_domain;
    std::string m_region;
    endpoint_address m_address;
    endpoint_address m_peer_address;
    vm_state m_state = vm_state::live;

    friend bool operator==(entry_vm const&, entry_vm const&) = default;
};

/// One upstream process of a service as the platform lists it.
struct upstream
{
    upstream_id m_id;
    service_name m_service;
    failure_domain m_failure_domain;
    endpoint_address m_address;
    vm_state m_state = vm_state::live;
    std::uint32_t m_slots = 1; ///< requests that it runs at the same time

    friend bool operator==(upstream const&, upstream const&) = default;
};

struct vm_list
{
    std::vector<entry_vm> m_entries;
    std::vector<upstream> m_upstreams;

    friend bool operator==(vm_list const&, vm_list const&) = default;
};

/// A record of the platform's log.
struct log_record
{
    log_offset m_offset = 0;
    wall_time m_appended_at{};
    std::string m_data;
};

/// How an attempt at an upstream ended, as evidence about that upstream.
enum class attempt_outcome
{
    good,
    shed,    ///< refused before running; no evidence of sickness
    slow,    ///< in flight longer than the slow limit of its class
    error,   ///< 5xx, reset, refused connection or timeout
    wrong,   ///< answer does not belong to the request or is damaged
    crashed, ///< connection reset while the request was running
    cancelled
};

/// Counts of attempts at one upstream seen by one VM, passed between VMs.
struct evidence
{
    upstream_id m_upstream;
    std::uint32_t m_good = 0;
    std::uint32_t m_slow = 0;
    std::uint32_t m_error = 0;
    std::uint32_t m_wrong = 0;

    friend bool operator==(evidence const&, evidence const&) = default;
};

/// A request digest that was in flight at upstream crashes.
struct suspect_request
{
    std::string m_digest; ///< SHA-256 of account, method, path and body
    std::uint32_t m_crashes = 0;

    friend bool
    operator==(suspect_request const&, suspect_request const&) = default;
};

} // namespace briarhub

#endif
