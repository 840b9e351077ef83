#ifndef BRIARHUB_LOAD_BALANCER_HPP
#define BRIARHUB_LOAD_BALANCER_HPP

/// Selects an upstream for each attempt and detects failing upstreams. Keeps
/// the failure probability and the load of each upstream, from the attempts of
/// this VM and from the updates of its peers. Performs no I/O and takes the
/// time as an argument.

#include "failure_estimator.hpp"
#include "fleet_policy.hpp"
#include "tags.hpp"
#include "upstream_rate_limit.hpp"
#include "warm_up_limiter.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhub
{

upstream_tag tag_of(upstream_entry const& entry);

inline constexpr std::size_t observation_kinds = 6;

/// What one VM observed of an upstream since its last message to its peers.
struct upstream_update
{
    upstream_tag m_upstream = 0;
    std::uint32_t m_in_flight = 0; ///< the VM's requests at the upstream
    std::uint32_t m_started = 0;   ///< attempts of the VM
    /// From the VM's last response that states a limit or shows its end.
    std::optional<rate_limit_notice> m_rate_limit;
    bool m_is_leaving = false; ///< stated in a response to the VM
    /// Counts indexed by `observation`.
    std::array<std::uint32_t, observation_kinds> m_observations{};

    friend bool
    operator==(upstream_update const&, upstream_update const&) = default;
};

/// One VM's estimate of the probability that an upstream is failing, and
/// whether it knows it to be leaving.
struct upstream_estimate
{
    upstream_tag m_upstream = 0;
    double m_failure_probability = 0.0;
    bool m_is_leaving = false;

    friend bool
    operator==(upstream_estimate const&, upstream_estimate const&) = default;
};

/// The properties of a request that affect the selection of an upstream.
struct selection_context
{
    service_name m_service;
    bool m_is_idempotent = true;
    /// An earlier attempt failed, so this one should succeed.
    bool m_is_retry = false;
    /// Upstreams with this many requests per slot are full.
    double m_requests_per_slot = 4.0;
    /// An upstream is not a choice if the expected wait and the work of the
    /// request exceed the time left. Nullopt: no limit.
    std::optional<std::chrono::nanoseconds> m_time_left;
    std::chrono::nanoseconds m_work{0}; ///< expected, without the wait
    /// Usual work of the service's requests. Nullopt: the average duration of
    /// its attempts, which includes their waits.
    std::optional<std::chrono::nanoseconds> m_service_work;
    /// An upstream above this is not a choice, unless it is a trial.
    double m_max_failure_probability = 1.0;
    std::chrono::milliseconds m_latency_target{0};
    double m_response_bytes = 0.0; ///< typical size of a response on the route
    /// A non-idempotent request may test an idle upstream. False while this VM
    /// may not know yet which upstreams are draining: its peers leave those
    /// idle.
    bool m_may_test_idle = true;
    std::span<upstream_id const> m_excluded;
};

/// An upstream that was selected, with what was known of it.
struct upstream_choice
{
    upstream_entry m_entry;
    double m_failure_probability = 0.0;
    std::chrono::nanoseconds m_expected_wait{0};
    bool m_is_trial = false; ///< tests an upstream that may have recovered
};

/// Why no upstream was selected.
enum class selection_shortage
{
    none_open, ///< each one is excluded, draining, closed or at its rate limit
    all_full,  ///< those that are open are full
    all_too_late ///< those with room have too long a wait for the request
};

class load_balancer
{
public:
    /// True if a connection to the address is open and idle.
    using idle_connection_check = std::function<bool(endpoint_address const&)>;

    load_balancer(
        failure_domain own_domain,
        std::uint64_t seed,
        warm_up_bounds const& warm_up = {});

    void set_idle_connection_check(idle_connection_check check)
    {
        m_has_idle_connection = std::move(check);
    }

    /// Replaces the endpoint set. An upstream process that was already in the
    /// set keeps its state, also if its entry was missing for a while. Returns
    /// the upstreams that turned cold.
    std::vector<upstream_id>
    set_upstreams(time_point now, std::span<upstream_entry const> entries);

    /// Replaces the failure domains whose upstreams get no requests. The set
    /// may name domains without upstreams. Upstreams of a domain that is no
    /// longer evacuated are presumed cold, since they may have been restarted.
    void set_evacuated(time_point now, std::set<failure_domain> domains);

    /// Replaces the slow start times and warm-up rates of the services.
    void set_services(std::span<service_policy const> services);

    void set_warm_up_bounds(warm_up_bounds const& bounds);

    /// Sets the VMs that share the requests to cold upstreams, `self` among
    /// them. Before the first call this VM sends none to them.
    void set_members(vm_tag self, std::vector<vm_tag> members);

    /// Number of upstreams that are cold.
    [[nodiscard]] std::size_t cold_upstreams(time_point now) const;

    /// Why upstreams were passed over in selections, counted by upstream.
    struct passed_over_counts
    {
        std::uint64_t m_evacuated = 0;
        std::uint64_t m_cold = 0; ///< without a permit of this VM
    };

    /// The counts since the last call.
    passed_over_counts take_passed_over();

    /// Number of upstreams in the failure domain.
    [[nodiscard]] std::size_t upstreams_in(failure_domain const& domain) const;

    enum class obstacle
    {
        other,
        evacuated, ///< all upstreams are in evacuated failure domains
        cold ///< all others are cold and this VM may send them nothing now
    };

    /// Why no upstream of the service that is not draining takes requests.
    [[nodiscard]] obstacle
    find_obstacle(time_point now, service_name const& service) const;

    /// The upstream with the lowest cost by failure probability, load and
    /// failure domain. A few non-idempotent requests test upstreams that may
    /// have recovered instead. Nullopt if each one is excluded, draining,
    /// evacuated, closed, at its rate limit, cold without a permit, full, too
    /// likely to fail, or cannot meet the time left.
    std::optional<upstream_choice>
    select_upstream(time_point now, selection_context const& request);

    /// Why `select_upstream` selects no upstream for the request.
    [[nodiscard]] selection_shortage
    shortage(time_point now, selection_context const& request) const;

    /// Shortest expected wait at an open upstream of the service, full or not;
    /// nullopt if none is open.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    shortest_wait(time_point now, selection_context const& request) const;

    void attempt_started(time_point now, upstream_tag target);
    void attempt_ended(upstream_tag target);

    /// Records an observation of this VM's own attempt and adds it to the next
    /// update to the peers.
    void observe(time_point now, upstream_tag target, observation observed);

    /// Adds the duration of an own served attempt to the moving average.
    void record_duration(
        service_name const& service, std::chrono::nanoseconds elapsed);

    /// Duration after which an attempt counts as slow.
    [[nodiscard]] std::chrono::nanoseconds slow_limit(
        service_name const& service,
        std::chrono::milliseconds latency_target) const;

    /// True if several upstreams of the service recently reset reused
    /// connections on the next request.
    [[nodiscard]] bool resets_reused_connections(
        time_point now, service_name const& service) const;

    /// Sets the rate limit that the upstream stated in a response of this VM's
    /// own attempt; true if it changed.
    bool set_rate_limit(
        time_point now, upstream_tag target, rate_limit_notice const& notice);

    /// Sets the share of rate limits that the reachable part of the fleet may
    /// use.
    void set_reachable_share(time_point now, double share);

    /// Time until an upstream of the service is open and within its limits;
    /// zero if one is, or if all are draining or evacuated.
    [[nodiscard]] duration
    availability_wait(time_point now, service_name const& service) const;

    /// Number of upstreams that state a rate limit.
    [[nodiscard]] std::size_t rate_limited_upstreams() const;

    /// The upstream is shutting down and gets no new requests.
    void mark_draining(upstream_tag target);

    /// The same, because the upstream states it; tells the peers. True if it
    /// was not known.
    bool mark_leaving(upstream_tag target);

    /// The upstream wants no requests of this VM for `retry_after`. They resume
    /// up to a quarter later, at random, so that the VMs do not return at the
    /// same time. True if the upstream was open.
    bool close_for(time_point now, upstream_tag target, duration retry_after);

    /// Number of upstreams that are closed to this VM.
    [[nodiscard]] std::size_t closed_upstreams(time_point now) const;

    /// Applies a peer's update. `sequence` orders its in-flight counts.
    void receive(
        time_point now,
        vm_tag from,
        std::uint64_t sequence,
        std::span<upstream_update const> update);

    /// This VM's estimates of the upstreams for which it has observations.
    [[nodiscard]] std::vector<upstream_estimate>
    estimates(time_point now) const;

    /// Imports earlier or remote estimates for upstreams without observations
    /// here, including upstreams that join the endpoint set soon.
    void adopt(time_point as_of, std::span<upstream_estimate const> estimates);

    /// Updates since the last call, and all in-flight counts if `all` is set.
    std::vector<upstream_update> collect_updates(bool all);

    [[nodiscard]] bool has_updates() const
    {
        return !m_unsent.empty();
    }

    [[nodiscard]] double
    failure_probability(time_point now, upstream_tag target) const;
    [[nodiscard]] unsigned in_flight(time_point now, upstream_tag target) const;

    /// Lower quartile of the failure probabilities of the service's upstreams
    /// that are not draining; 0 if there is none.
    [[nodiscard]] double
    lower_quartile(time_point now, service_name const& service) const;

    /// True if at most half of the upstream's slots are used: a further request
    /// will hardly wait, although peers may just have sent others.
    [[nodiscard]] bool
    has_spare_slots(time_point now, upstream_tag target) const;

    struct status
    {
        upstream_entry m_entry;
        double m_failure_probability = 0.0;
        unsigned m_in_flight = 0;
    };
    [[nodiscard]] std::vector<status> statuses(time_point now) const;

private:
    struct peer_load
    {
        unsigned m_in_flight = 0;
        std::uint64_t m_sequence = 0;
        time_point m_received{};
    };

    struct upstream_state
    {
        upstream_entry m_entry;
        failure_estimator m_upstream;
        failure_estimator m_path;
        unsigned m_own_in_flight = 0;
        std::unordered_map<vm_tag, peer_load> m_peers;
        time_point m_last_observation{};
        time_point m_reset_on_reuse_at{}; ///< last reset of a reused connection
        time_point m_closed_until{}; ///< the upstream wants no requests before
        upstream_rate_limiter m_rate_limiter;
        bool m_has_observations = false;
        bool m_is_draining = false;
        bool m_is_leaving = false; ///< draining by its own statement
    };

    /// Knowledge of peers about an upstream that may not be in the set yet.
    struct imported_estimate
    {
        time_point m_as_of{};
        std::optional<double> m_failure_probability;
        bool m_is_leaving = false;
    };

    /// State of an upstream whose entry is missing.
    struct unlisted_upstream
    {
        upstream_state m_state;
        time_point m_removed{};
    };

    [[nodiscard]] bool
    is_open(time_point now, upstream_state const& entry) const;
    [[nodiscard]] bool is_evacuated(upstream_state const& entry) const;
    void count_if_passed_over(time_point now, upstream_state const& entry);
    [[nodiscard]] upstream_state const*
    select_trial(time_point now, std::span<upstream_tag const> tags);
    [[nodiscard]] double cost(
        time_point now,
        upstream_state const& entry,
        selection_context const& request);
    [[nodiscard]] static bool
    is_excluded(upstream_state const& entry, selection_context const& request);
    [[nodiscard]] bool is_candidate(
        time_point now,
        upstream_state const& entry,
        selection_context const& request) const;
    [[nodiscard]] bool has_room(
        time_point now,
        upstream_state const& entry,
        selection_context const& request) const;
    /// Expected time in the queue of an upstream with `in_flight` requests.
    [[nodiscard]] std::chrono::nanoseconds expected_wait(
        upstream_state const& entry,
        unsigned in_flight,
        selection_context const& request) const;
    [[nodiscard]] double wait_cost(
        upstream_state const& entry,
        unsigned in_flight,
        selection_context const& request) const;
    [[nodiscard]] upstream_choice make_choice(
        time_point now,
        upstream_state const& entry,
        selection_context const& request,
        bool is_trial) const;
    [[nodiscard]] unsigned
    total_in_flight(time_point now, upstream_state const& entry) const;
    [[nodiscard]] static double
    failure_probability(time_point now, upstream_state const& entry);
    [[nodiscard]] std::chrono::nanoseconds
    typical_duration(service_name const& service) const;
    static void record_observation(
        time_point now, upstream_state& entry, observation observed);
    [[nodiscard]] upstream_state* find_state(upstream_tag target);
    bool update_states(
        upstream_tag received,
        std::function<void(upstream_state&)> const& update);
    void apply_update(
        time_point now,
        vm_tag from,
        std::uint64_t sequence,
        upstream_update const& update,
        upstream_state& entry);
    [[nodiscard]] upstream_state
    make_state(time_point now, upstream_tag tag, upstream_entry const& entry);
    void retain_unlisted(
        time_point now, std::map<upstream_tag, upstream_state>&& removed);
    static void set_leaving(upstream_state& entry);
    upstream_update& pending_update(upstream_tag target);
    /// Uniform in [0, 1).
    [[nodiscard]] double draw_share();

    failure_domain m_own_domain;
    double m_reachable_share = 1.0;
    std::mt19937_64 m_random;
    idle_connection_check m_has_idle_connection;
    std::set<failure_domain> m_evacuated;
    warm_up_limiter m_warm_up;
    passed_over_counts m_passed_over;
    std::map<upstream_tag, upstream_state> m_slots; ///< the endpoint set
    std::map<upstream_tag, unlisted_upstream> m_unlisted;
    std::unordered_map<upstream_tag, imported_estimate> m_imported;
    std::map<service_name, std::vector<upstream_tag>> m_by_service;
    std::unordered_map<upstream_tag, upstream_update> m_unsent;
    std::map<service_name, std::chrono::nanoseconds> m_typical_durations;
};

} // namespace briarhub

#endif
