#ifndef BRIARHUB_RETRY_BUDGET_HPP
#define BRIARHUB_RETRY_BUDGET_HPP

/// Bounds the further attempts of each service over the whole fleet, so that
/// they cannot amplify an overload. Pure: no I/O, reads no clock.
///
/// The fixed part of the budget is dealt out to the VMs as whole permits. A
/// further attempt uses a permit, which returns after the window, or as soon
/// as enough requests have come since. So each VM keeps its part by itself, in
/// any window, whatever it hears of the others.

#include "types.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace briarhub
{

/// Further attempts that a service may get in any window, over all VMs.
struct retry_bounds
{
    double m_ratio = 0.1;  ///< for each request
    double m_extra = 30.0; ///< besides
    std::chrono::seconds m_window{10};

    friend bool operator==(retry_bounds const&, retry_bounds const&) = default;
};

/// The place of a VM among those that may hold a part of an allowance.
struct fleet_position
{
    std::size_t m_vms = 0;  ///< 0 while the fleet is not known
    std::size_t m_rank = 0; ///< below `m_vms`, of each VM another

    friend bool
    operator==(fleet_position const&, fleet_position const&) = default;
};

class retry_budget
{
public:
    /// What an earlier process of this VM used is not known: all permits count
    /// as used at `now`.
    retry_budget(time_point now, retry_bounds bounds);

    void set_bounds(retry_bounds bounds);

    /// No permits until this is known.
    void set_position(fleet_position position);

    /// A first attempt; `m_ratio` of a further one is earned.
    void request_started(time_point now, service_name const& service);

    /// Takes one further attempt from the budget; false if it is spent.
    bool try_retry(time_point now, service_name const& service);

    /// Further attempts that this VM may make now.
    [[nodiscard]] std::size_t
    remaining(time_point now, service_name const& service);

private:
    struct service_permits
    {
        std::size_t m_assigned = 0;
        bool m_had_position = false;      ///< the position was known before
        std::deque<time_point> m_returns; ///< of the used ones, in order
        double m_earned = 0.0; ///< of a permit, since one was used last
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
