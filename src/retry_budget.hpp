#ifndef BRIARHUB_RETRY_BUDGET_HPP
#define BRIARHUB_RETRY_BUDGET_HPP

/// Retry budget: limits the retries of each service over the whole fleet, so
/// that they cannot amplify an overload. Performs no I/O and takes the time as
/// an argument.
///
/// The fixed part of the budget is divided among the VMs as whole permits. A
/// retry uses a permit, which returns after the window, or as soon as enough
/// requests have started since. Each VM therefore stays within its share in any
/// window without messages from the others.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace briarhub
{

/// Retries that a service may get in any window, over all VMs.
struct retry_bounds
{
    double m_ratio = 0.1;  ///< retries per request
    double m_extra = 30.0; ///< fixed number in addition
    std::chrono::seconds m_window{10};

    friend bool operator==(retry_bounds const&, retry_bounds const&) = default;
};

/// The rank of a VM among those that share a fleet-wide limit.
struct fleet_position
{
    std::size_t m_vms = 0;  ///< 0 while the fleet size is unknown
    std::size_t m_rank = 0; ///< below `m_vms`, unique to each VM

    friend bool
    operator==(fleet_position const&, fleet_position const&) = default;
};

class retry_budget
{
public:
    /// All permits count as used at `now`, because the use by an earlier
    /// process of this VM is unknown.
    retry_budget(time_point now, retry_bounds bounds);

    void set_bounds(retry_bounds bounds);

    /// The budget has no permits before the first call.
    void set_position(fleet_position position);

    /// Records a first attempt, which earns `m_ratio` of a permit.
    void request_started(time_point now, service_name const& service);

    /// Uses one permit; false if none is available.
    bool try_retry(time_point now, service_name const& service);

    /// Retries that this VM may start now.
    [[nodiscard]] std::size_t
    remaining(time_point now, service_name const& service);

private:
    struct service_permits
    {
        std::size_t m_assigned = 0;
        bool m_had_position = false; ///< an earlier refresh knew the position
        std::deque<time_point> m_returns; ///< of used permits, in order
        double m_earned = 0.0; ///< part of a permit since the last return
    };

    [[nodiscard]] std::size_t assigned_permits(std::string_view service) const;
    service_permits& refresh(time_point now, service_name const& service);

    time_point m_started;
    retry_bounds m_bounds;
    fleet_position m_position;
    std::unordered_map<service_name, service_permits> m_permits;
};

} // namespace briarhub

#endif
