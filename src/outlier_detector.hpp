#ifndef BRIARHUB_OUTLIER_DETECTOR_HPP
#define BRIARHUB_OUTLIER_DETECTOR_HPP

/// Outlier detection for upstreams: evidence, sequential test, ejection within
/// the floor, return to service. Pure: no I/O, reads no clock.

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
    warming, ///< slow start after a cold start or an ejection
    avoided, ///< unused by this VM only
    ejected, ///< unused by the fleet
    probing, ///< out of service, a probe decides about the return
    draining ///< reported by the upstream or by the VM list
};

std::string_view to_string(upstream_status status) noexcept;

/// A change of an upstream's status with its reason, for logs and counters.
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

    /// An attempt starts. `latency_target` is that of its work class.
    void attempt_started(
        time_point now,
        request_ticket ticket,
        upstream_id const& target,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target);

    /// An attempt ended. Evidence for `slow` may have been counted before.
    void attempt_finished(
        time_point now,
        request_ticket ticket,
        upstream_id const& target,
        attempt_outcome outcome);

    /// Age after which an attempt of the class should be tried elsewhere. It
    /// counts as evidence from four times the usual latency on, which may be
    /// earlier.
    [[nodiscard]] duration slow_limit(
        service_name const& service,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target) const;

    /// The upstream says that it drains.
    void report_draining(time_point now, upstream_id const& target);

    /// Evidence that a peer gathered since its last report.
    void receive(
        time_point now,
        member const& reporter,
        std::span<evidence const> items);

    /// Result of a probe requested by `collect_due_probes`.
    void probe_finished(time_point now, upstream_id const& target, bool good);

    /// Counts attempts that became slow, decides about ejection and return.
    std::vector<upstream_status_change> tick(time_point now);

    /// Upstreams that want a probe now.
    std::vector<upstream_id> collect_due_probes(time_point now);

    /// Own evidence since the last call, empty while this VM doubts itself.
    std::vector<evidence> collect_evidence(time_point now);

    /// 0 if unusable, else up to 1; rises during slow start.
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
