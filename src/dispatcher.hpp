#ifndef BRIARHUB_DISPATCHER_HPP
#define BRIARHUB_DISPATCHER_HPP

/// Fair queue per client account and choice of an upstream. Pure: no I/O,
/// reads no clock.

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
    /// Upstreams that this request was given to before.
    std::vector<upstream_id> m_excluded_upstreams;
    /// Share of the round that it takes, relative to a usual request.
    double m_cost = 1.0;
};

struct assignment
{
    request_ticket m_ticket = 0;
    upstream m_upstream;
};

/// A queued request that is refused.
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
    /// Weight of an upstream: 0 unusable, 1 fully in service.
    using weight_function =
        std::function<double(time_point now, upstream_id const&)>;

    dispatcher(weight_function weight, std::uint64_t seed);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;

    void set_upstreams(time_point now, std::span<upstream const> upstreams);

    /// Queues a request, or refuses it at once: `queue_full`,
    /// `deadline_too_short` or `no_upstream`; `ok` if queued.
    result_code enqueue(time_point now, dispatch_request request);

    /// The caller is gone or the request's deadline passed.
    void cancel(request_ticket ticket);

    /// Assigns queued requests to free upstreams.
    dispatch_decisions poll(time_point now);

    /// An assigned attempt ended after `service_time`.
    void
    release(time_point now, upstream_id const& target, duration service_time);

    /// The upstream refused an attempt without running it.
    void report_shed(time_point now, upstream_id const& target);

    /// Load that the upstream reported with an answer; a hint.
    void report_load(
        time_point now,
        upstream_id const& target,
        std::uint32_t in_use,
        std::uint32_t slots);

    /// When `poll` has to be called next if nothing else happens.
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
