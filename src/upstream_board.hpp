#ifndef BRIARHUB_UPSTREAM_BOARD_HPP
#define BRIARHUB_UPSTREAM_BOARD_HPP

/// What the fleet believes of each upstream, from attempts of this VM and of
/// its peers, and the choice of an upstream for a request. Pure: no I/O,
/// reads no clock.

#include "fleet_policy.hpp"
#include "sickness.hpp"
#include "tags.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhub
{

upstream_tag tag_of(upstream_entry const& entry);

inline constexpr std::size_t sign_count = 6;

/// What one VM saw of an upstream since its last message.
struct upstream_news
{
    upstream_tag m_upstream = 0;
    std::uint32_t m_in_flight = 0; ///< requests of the VM at the upstream now
    std::array<std::uint32_t, sign_count> m_signs{}; ///< indexed by `sign`

    friend bool
    operator==(upstream_news const&, upstream_news const&) = default;
};

/// Probability that an upstream is sick, as one VM believes it.
struct upstream_belief
{
    upstream_tag m_upstream = 0;
    double m_sickness = 0.0;

    friend bool
    operator==(upstream_belief const&, upstream_belief const&) = default;
};

/// A request that needs an upstream.
struct choice_request
{
    service_name m_service;
    bool m_is_idempotent = true;
    /// Another attempt failed before; this one should succeed.
    bool m_is_retry = false;
    unsigned m_priority = 0;
    std::chrono::milliseconds m_latency_target{0};
    double m_answer_bytes = 0.0; ///< usual size of an answer on the route
    std::span<upstream_id const> m_excluded;
};

class upstream_board
{
public:
    /// True if a connection to the address is open and idle.
    using warm_check = std::function<bool(endpoint_address const&)>;

    upstream_board(failure_domain own_domain, std::uint64_t seed);

    void set_warm_check(warm_check check)
    {
        m_is_warm = std::move(check);
    }

    /// The upstreams that may get requests. Beliefs about known lifetimes are
    /// kept.
    void set_upstreams(time_point now, std::span<upstream_entry const> entries);

    /// The cheapest upstream by risk, load and distance; nullopt if all are
    /// excluded or full.
    std::optional<upstream_entry>
    choose(time_point now, choice_request const& request);

    void attempt_started(upstream_tag target);
    void attempt_ended(upstream_tag target);

    /// A sign from this VM's own attempt; it is also news for the peers.
    void observe(time_point now, upstream_tag target, sign what);

    /// An own attempt was served; its duration sets what is usual.
    void
    note_duration(service_name const& service, std::chrono::nanoseconds took);

    /// Duration after which an attempt counts as slow.
    [[nodiscard]] std::chrono::nanoseconds slow_limit(
        service_name const& service,
        std::chrono::milliseconds latency_target) const;

    /// Several upstreams of the service have just reset kept connections at
    /// the next request.
    [[nodiscard]] bool
    forgets_connections(time_point now, service_name const& service) const;

    /// The endpoint is leaving: no new requests.
    void retire(upstream_tag target);

    /// News from a peer; `sequence` orders its counts in flight.
    void receive(
        time_point now,
        vm_tag from,
        std::uint64_t sequence,
        std::span<upstream_news const> news);

    /// What this VM believes of the upstreams for which it has evidence.
    [[nodiscard]] std::vector<upstream_belief> beliefs(time_point now) const;

    /// Takes over beliefs from the past or from a peer where this VM has no
    /// evidence of its own; upstreams that it does not know yet may follow.
    void adopt(time_point as_of, std::span<upstream_belief const> beliefs);

    /// News since the last call, and all counts in flight if `all` is set.
    std::vector<upstream_news> take_news(bool all);

    [[nodiscard]] bool has_news() const
    {
        return !m_unsent.empty();
    }

    [[nodiscard]] double sickness_of(time_point now, upstream_tag target) const;
    [[nodiscard]] unsigned in_flight(time_point now, upstream_tag target) const;

    struct status
    {
        upstream_entry m_entry;
        double m_sickness = 0.0;
        unsigned m_in_flight = 0;
    };
    [[nodiscard]] std::vector<status> statuses(time_point now) const;

private:
    struct peer_load
    {
        unsigned m_in_flight = 0;
        std::uint64_t m_sequence = 0;
        time_point m_heard{};
    };

    struct slot
    {
        upstream_entry m_entry;
        sickness m_upstream;
        sickness m_path;
        unsigned m_own_in_flight = 0;
        std::unordered_map<vm_tag, peer_load> m_peers;
        time_point m_last_sign{};
        time_point m_forgot_at{}; ///< last reset of a kept connection
        time_point m_warm_at{};
        bool m_has_evidence = false;
        bool m_is_retired = false;
    };

    struct inherited_belief
    {
        time_point m_as_of{};
        double m_sickness = 0.0;
    };

    [[nodiscard]] double
    cost(time_point now, slot const& entry, choice_request const& request);
    [[nodiscard]] double wait_cost(
        slot const& entry,
        unsigned in_flight,
        choice_request const& request) const;
    [[nodiscard]] unsigned
    total_in_flight(time_point now, slot const& entry) const;
    [[nodiscard]] static double sickness_of(time_point now, slot const& entry);
    [[nodiscard]] std::chrono::nanoseconds
    usual_duration(service_name const& service) const;
    static void take_sign(time_point now, slot& entry, sign what);
    upstream_news& news_of(upstream_tag target);

    failure_domain m_own_domain;
    std::mt19937_64 m_random;
    warm_check m_is_warm;
    std::map<upstream_tag, slot> m_slots;
    std::unordered_map<upstream_tag, inherited_belief> m_inherited;
    std::map<service_name, std::vector<upstream_tag>> m_by_service;
    std::unordered_map<upstream_tag, upstream_news> m_unsent;
    std::map<service_name, std::chrono::nanoseconds> m_usual;
};

} // namespace briarhub

#endif
