#ifndef BRIARHUB_RATE_BENCH_HPP
#define BRIARHUB_RATE_BENCH_HPP

/// Discrete-event simulation of distributed rate limiting: one
/// `lease_rate_limiter` per VM, with simulated time and delayed, lost and
/// duplicated messages. The benchmark compares it with simpler policies.

#include "bench_result.hpp"
#include "lease_rate_limiter.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace briarhub
{

struct network_conditions
{
    std::chrono::microseconds m_delay{2500}; ///< one way
    std::chrono::microseconds m_jitter{0};   ///< uniform, added to the delay
    double m_loss_probability = 0.0;
    double m_duplicate_probability = 0.0;
};

struct bench_request
{
    std::size_t m_vm = 0;
    account_name m_account;
    time_point m_arrived_at{};
    std::optional<time_point> m_admitted_at;
};

/// Simulates the VMs of a fleet and the network between them.
class rate_simulation
{
public:
    rate_simulation(
        std::size_t vms,
        std::uint64_t seed,
        network_conditions const& conditions,
        lease_policy const& policy = {});

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] member const& self(std::size_t vm) const;
    lease_rate_limiter& share(std::size_t vm);
    [[nodiscard]] time_point now() const;

    /// Restarts a VM with empty state and a new incarnation.
    void restart(std::size_t vm);

    /// A paused VM handles its events when it resumes; a dead VM drops them.
    void set_paused(std::size_t vm, bool is_paused);
    void set_dead(std::size_t vm);

    /// Sets the time until which the VM may admit requests and lend tokens.
    void set_valid_until(std::size_t vm, time_point valid_until);

    /// Schedules a request at its arrival time, which is not in the past.
    void add_request(bench_request request);

    /// Schedules `action`.
    void at(time_point when, std::function<void()> action);

    void run_until(time_point end);

    [[nodiscard]] std::vector<bench_request> const& requests() const;
    [[nodiscard]] std::uint64_t messages() const; ///< sent, lost ones too

private:
    struct simulated_vm
    {
        member m_self;
        std::optional<lease_rate_limiter> m_share;
        bool m_is_paused = false;
        bool m_is_dead = false;
        time_point m_valid_until{};
        time_point m_next_poll = time_point::max();
        std::vector<std::function<void()>> m_deferred;
    };

    struct event
    {
        time_point m_at{};
        std::uint64_t m_order = 0;
        std::function<void()> m_action;

        friend bool operator>(event const& left, event const& right)
        {
            return left.m_at != right.m_at ? left.m_at > right.m_at
                                           : left.m_order > right.m_order;
        }
    };

    void start(std::size_t vm);
    void schedule_on_vm(
        time_point when, std::size_t vm, std::function<void()> action);
    void run_on_vm(std::size_t vm, std::function<void()> const& action);
    void attempt(std::size_t request, bool is_first);
    void send_outgoing(std::size_t vm);
    void send(std::size_t from, addressed_lease_message const& message);
    void schedule_poll(std::size_t vm);
    [[nodiscard]] std::optional<std::size_t> find(vm_id const& vm) const;

    network_conditions m_conditions;
    lease_policy m_policy;
    std::mt19937_64 m_random;
    time_point m_now;
    std::uint64_t m_next_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<simulated_vm> m_simulated_vms;
    std::vector<bench_request> m_requests;
    std::uint64_t m_messages = 0;
};

/// Results of the subcommand `rates`.
std::vector<bench_result> run_rate_bench(std::uint64_t seed);

} // namespace briarhub

#endif
