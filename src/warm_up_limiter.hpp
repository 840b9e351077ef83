#ifndef BRIARHUB_WARM_UP_LIMITER_HPP
#define BRIARHUB_WARM_UP_LIMITER_HPP

/// Limits the requests that the whole fleet sends to a cold upstream. The load
/// pattern: an upstream has just started, or a failure domain of upstreams
/// returns at once; they are idle, so every VM prefers them. Each VM decides by
/// itself, without messages: a rendezvous hash of VM and upstream gives each
/// permit to one VM, and a permit allows one request in any second. Performs no
/// I/O and takes the time as an argument.

#include "clock.hpp"
#include "fleet_policy.hpp"
#include "tags.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace briarhub
{

/// Bound on the requests that reach one cold upstream in any second, of all
/// VMs: its service's warm-up rate * overshoot + slack.
struct warm_up_bounds
{
    double m_overshoot = 1.5;
    double m_slack = 8.0; ///< requests

    friend bool
    operator==(warm_up_bounds const&, warm_up_bounds const&) = default;
};

/// The time in which a permit allows one request: a second, and the time by
/// which the arrival of a request may be delayed more than that of the next.
inline constexpr std::chrono::milliseconds permit_window{1250};

class warm_up_limiter
{
public:
    explicit warm_up_limiter(warm_up_bounds const& bounds) : m_bounds(bounds)
    {
    }

    void set_bounds(warm_up_bounds const& bounds)
    {
        m_bounds = bounds;
    }

    /// Replaces the slow start times and warm-up rates of all services.
    void set_services(std::span<service_policy const> services);

    /// Sets the VMs of the fleet, `self` among them. Before the first call this
    /// VM holds no permit. A VM that is listed and does not exist leaves its
    /// permits unused; one that is missing may hold permits of others.
    void set_members(vm_tag self, std::vector<vm_tag> members);

    /// An announcement of the upstream arrived: it stays cold for `remaining`,
    /// or is warm if that is zero. True if the upstream was not cold before.
    bool announce(
        time_point now,
        upstream const& target,
        std::chrono::milliseconds remaining);

    /// The upstream is taken for cold from now on, for the slow start time of
    /// its service, whatever it announces.
    void presume_cold(time_point now, upstream const& target);

    [[nodiscard]] bool is_cold(time_point now, upstream const& target) const;

    /// Time until this VM may send the upstream a request; zero if it may now.
    [[nodiscard]] duration wait(time_point now, upstream const& target) const;

    /// This VM sends a request to the upstream.
    void record_request(time_point now, upstream const& target);

    /// Number of upstreams that are cold.
    [[nodiscard]] std::size_t cold_upstreams(time_point now) const;

    /// Forgets upstreams that are warm.
    void remove_warm(time_point now);

private:
    struct cold_upstream
    {
        service_name m_service;
        time_point m_announced_until{};
        std::optional<time_point> m_presumed_since;
        /// Members whose permits for the upstream come before those of this VM.
        std::size_t m_rank = 0;
        std::deque<time_point> m_requests; ///< of this VM, in the last window
    };

    [[nodiscard]] std::size_t rank_of(upstream_id const& id) const;
    [[nodiscard]] std::size_t permits(cold_upstream const& entry) const;
    [[nodiscard]] time_point cold_until(cold_upstream const& entry) const;
    [[nodiscard]] cold_upstream const* find(upstream_id const& id) const;
    cold_upstream& obtain(upstream const& target);

    warm_up_bounds m_bounds;
    std::unordered_map<service_name, service_policy> m_services;
    vm_tag m_self = 0;
    std::vector<vm_tag> m_members;
    std::unordered_map<upstream_id, cold_upstream> m_upstreams;
};

} // namespace briarhub

#endif
