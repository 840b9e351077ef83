#ifndef BRIARHUB_DISPATCHER_HPP
#define BRIARHUB_DISPATCHER_HPP

/// Load balancer of one VM. Queues requests per service in a queue that is fair
/// between client accounts, and assigns them to upstreams with free slots by a
/// weighted choice of two. Does no I/O and reads no clock.

#include "result_code.hpp"
#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace briarhub
{

struct dispatch_request
{
    request_ticket m_ticket = 0;
    service_name m_service;
    account_name m_account;
    time_point m_deadline{};
    /// Upstreams that earlier attempts were assigned to; not empty for a retry.
    std::vector<upstream_id> m_excluded_upstreams;
    /// Cost in the fair queue, relative to a normal request.
    double m_cost = 1.0;
};

/// A queued request that was assigned to an upstream.
struct assignment
{
    request_ticket m_ticket = 0;
    upstream m_upstream;
};

/// A queued request that was refused.
struct dispatch_refusal
{
    request_ticket m_ticket = 0;
    result_code m_code = result_code::deadline_passed;
};

struct dispatch_decisions
{
    std::vector<assignment> m_assignments;
    std::vector<dispatch_refusal> m_refusals;
};

class dispatcher
{
public:
    /// Load balancing weight of an upstream, from 0 (unusable) to 1 (fully in
    /// service).
    using weight_function =
        std::function<double(time_point now, upstream_id const&)>;

    dispatcher(weight_function weight, std::uint64_t seed);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;

    void set_upstreams(time_point now, std::span<upstream const> upstreams);

    /// Queues a request, or refuses it immediately: `queue_full`,
    /// `deadline_too_short` or `no_upstream`; `ok` if queued.
    result_code enqueue(time_point now, dispatch_request request);

    /// Removes a queued request because its caller disconnected or its deadline
    /// passed.
    void cancel(request_ticket ticket);

    /// Refuses expired requests and assigns queued ones to upstreams with free
    /// slots.
    dispatch_decisions poll(time_point now);

    /// Frees the slot of an attempt that ended after `service_time`.
    void
    release(time_point now, upstream_id const& target, duration service_time);

    /// Records that the upstream shed an attempt without running it. Lowers the
    /// upstream's limit for one second.
    void report_shed(time_point now, upstream_id const& target);

    /// Records the load that the upstream reported with a response; a hint
    /// about the requests of other VMs.
    void report_load(
        time_point now,
        upstream_id const& target,
        std::uint32_t in_use,
        std::uint32_t slots);

    /// Time of the next `poll` call if no other event occurs.
    [[nodiscard]] time_point next_poll() const;

    struct service_status
    {
        service_name m_service;
        std::size_t m_queued = 0;
        std::size_t m_in_flight = 0;
    };
    [[nodiscard]] std::vector<service_status> status() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
