#ifndef BRIARHUB_TYPES_HPP
#define BRIARHUB_TYPES_HPP

/// Identifiers and value types shared by all modules: VMs, upstreams, records
/// of the platform's log and outcomes of attempts.

#include "clock.hpp"

#include <compare>
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

/// Rises by one each time the platform's log returns from an older copy and
/// hands out offsets again.
using store_era = std::uint64_t;

/// Position in the platform's log that also orders records of different eras.
struct log_position
{
    store_era m_era = 0;
    log_offset m_offset = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(log_position const&, log_position const&) = default;
};

/// Identifies a request inside one entry process.
using request_ticket = std::uint64_t;

/// A member of the fleet: one run of an entry process on a VM.
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

/// An entry VM in the platform's VM list.
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

/// An upstream process of a service in the platform's VM list.
struct upstream
{
    upstream_id m_id;
    service_name m_service;
    failure_domain m_failure_domain;
    endpoint_address m_address;
    vm_state m_state = vm_state::live;
    std::uint32_t m_slots = 1; ///< requests that it processes concurrently

    friend bool operator==(upstream const&, upstream const&) = default;
};

/// The platform's list of entry VMs and upstreams.
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

/// Outcome of one attempt at an upstream, as used by outlier detection.
enum class attempt_outcome
{
    good,
    shed,    ///< rejected before running; not counted as a failure
    slow,    ///< in flight longer than the slow threshold of its class
    error,   ///< 5xx, reset, refused connection or timeout
    wrong,   ///< response is corrupt or belongs to another request
    crashed, ///< connection reset while the request was running
    cancelled
};

/// Outcomes of attempts at one upstream as observed by one VM, counted by kind.
/// VMs exchange these counts for outlier detection.
struct evidence
{
    upstream_id m_upstream;
    std::uint32_t m_good = 0;
    std::uint32_t m_slow = 0;
    std::uint32_t m_error = 0;
    std::uint32_t m_wrong = 0;

    friend bool operator==(evidence const&, evidence const&) = default;
};

/// Digest of a request, and at how many upstream crashes it was in flight; 0
/// after a reset that may have been a crash.
struct suspect_request
{
    std::string m_digest; ///< SHA-256 of account, method, path and body
    std::uint32_t m_crashes = 0;

    friend bool
    operator==(suspect_request const&, suspect_request const&) = default;
};

} // namespace briarhub

#endif
