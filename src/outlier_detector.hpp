#ifndef BRIARHUB_OUTLIER_DETECTOR_HPP
#define BRIARHUB_OUTLIER_DETECTOR_HPP

/// Outlier detection for upstreams. Sequential tests on the outcomes that this
/// VM and its peers observe decide which upstreams are ejected, within the
/// capacity floor. Ejected upstreams return after a successful probe, with slow
/// start. No I/O; the caller passes the time in.

#include "config.hpp"
#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace briarhub
{

enum class upstream_status
{
    in_service,
    warming, ///< slow start of a new or returning upstream
    avoided, ///< out of service for this VM only
    ejected, ///< out of service for the fleet
    probing, ///< out of service until a probe succeeds
    draining ///< reported by the upstream or by the VM list
};

std::string_view to_string(upstream_status status) noexcept;

/// Change of an upstream's status with its reason, for logs and metrics.
struct upstream_status_change
{
    upstream_id m_upstream;
    upstream_status m_from = upstream_status::in_service;
    upstream_status m_to = upstream_status::in_service;
    std::string m_reason; ///< for example "slow", "wrong", "floor", "probe_ok"
};

struct upstream_health
{
    upstream_id m_upstream;
    service_name m_service;
    upstream_status m_status = upstream_status::in_service;
    double m_weight = 1.0; ///< 0 when unusable, rises during slow start
    double m_local_score = 0.0;
    double m_fleet_score = 0.0;
    std::string m_reason;
};

class outlier_detector
{
public:
    outlier_detector(member self, std::uint64_t seed);
    ~outlier_detector();
    outlier_detector(outlier_detector&&) noexcept;
    outlier_detector& operator=(outlier_detector&&) noexcept;

    void set_config(time_point now, config const& configuration);
    void set_upstreams(time_point now, std::span<upstream const> upstreams);

    /// An attempt starts. `latency_target` is the target of its work class.
    void attempt_started(
        time_point now,
        request_ticket ticket,
        upstream_id const& target,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target);

    /// An attempt ended. It may have been counted as slow before.
    void attempt_finished(
        time_point now,
        request_ticket ticket,
        upstream_id const& target,
        attempt_outcome outcome);

    /// Age after which an attempt should be retried at another upstream. An
    /// attempt is evidence of slowness from four times the median latency of
    /// its work class on, which may be earlier.
    [[nodiscard]] duration slow_limit(
        service_name const& service,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target) const;

    /// The upstream reported that it is draining.
    void report_draining(time_point now, upstream_id const& target);

    /// Adds the evidence that a peer collected since its previous report.
    void receive(
        time_point now,
        member const& reporter,
        std::span<evidence const> items);

    /// Result of a probe requested by `collect_due_probes`.
    void probe_finished(time_point now, upstream_id const& target, bool good);

    /// Counts attempts that became slow, ejects unhealthy upstreams and starts
    /// or ends the stages of their return. Returns the status changes since the
    /// last call.
    std::vector<upstream_status_change> tick(time_point now);

    /// Upstreams that are due for a probe; schedules their next one.
    std::vector<upstream_id> collect_due_probes(time_point now);

    /// Evidence of this VM since the last call, for its peers. Empty while this
    /// VM suspects its own network.
    std::vector<evidence> collect_evidence(time_point now);

    /// Load balancing weight: 0 if unusable, else up to 1; rises during slow
    /// start.
    [[nodiscard]] double
    weight(time_point now, upstream_id const& target) const;

    [[nodiscard]] bool suspects_own_network() const;
    [[nodiscard]] std::vector<upstream_health> status(time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
