#ifndef BRIARHUB_ADMISSION_HPP
#define BRIARHUB_ADMISSION_HPP

/// Decides whether a request goes to an upstream now or is refused, by what
/// either costs its caller in lost requests. Performs no I/O and takes the time
/// as an argument. docs/design/admission.md describes the decisions.

#include "clock.hpp"
#include "load_balancer.hpp"
#include "result_code.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace briarhub
{

/// Moving average of the time that upstreams need for a request. The load
/// pattern: under overload the durations of attempts are mostly waits, and an
/// average over them would make each queue look longer than it is.
class work_estimate
{
public:
    /// Adds the duration of a served attempt that found spare slots.
    void record(time_point now, std::chrono::nanoseconds elapsed);

    /// Nullopt without recent attempts: a request is refused if its work does
    /// not fit, and an old estimate could refuse all that would correct it.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    recent(time_point now) const;

    /// Nullopt without any attempt. A peak that leaves no spare slots lasts
    /// longer than `recent` remembers.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> latest() const;

private:
    std::chrono::nanoseconds m_average{0};
    std::optional<time_point> m_last;
};

/// Limit on the requests at an upstream, per slot. The load pattern: routes of
/// different priority or work share a service at its peak, and requests that
/// are less urgent or occupy the slots longer would fill its queues. Falls with
/// the priority's number and with the route's work above the service's, never
/// below a floor. Without both amounts of work the priority alone counts.
[[nodiscard]] double requests_per_slot_limit(
    unsigned priority,
    std::optional<std::chrono::nanoseconds> route_work,
    std::optional<std::chrono::nanoseconds> service_work);

/// Cost of refusing a request that its caller may send again, from 0 to 1, the
/// loss of the request. The load pattern: in a burst beside failing upstreams a
/// caller loses little by returning while it has time for many returns, and
/// everything with time for none. Higher for an urgent priority (0 is the most
/// urgent). `work` is the expected time at the upstream.
[[nodiscard]] double refusal_cost(
    std::chrono::nanoseconds time_left,
    std::chrono::nanoseconds work,
    unsigned priority);

/// Share of an admission at the limit of the most urgent priority that a route
/// earns by each refusal for lack of room or for suspect upstreams. The load
/// pattern: an urgent route at its peak fills the queues up to its own limit,
/// so that a less urgent one would get nothing for as long as the peak lasts.
inline constexpr double starvation_credit_per_refusal = 0.02;

/// The properties of a request that a decision depends on.
struct admission_request
{
    std::string_view m_route;
    unsigned m_priority = 0; ///< 0 is the most urgent
    std::chrono::nanoseconds m_time_left{0};
    /// An attempt may have executed it, so a refusal could not promise that it
    /// was not run.
    bool m_may_have_run = false;
};

/// What an admission decision was based on, for the log.
struct admission_basis
{
    std::chrono::nanoseconds m_time_left{0};
    double m_requests_per_slot = 0.0;
    std::optional<std::chrono::nanoseconds> m_work; ///< of the route
    /// At the selected upstream, or the shortest one if none was selected.
    std::optional<std::chrono::nanoseconds> m_expected_wait;
    std::optional<double> m_failure_probability; ///< of the selected upstream
    std::optional<double> m_refusal_cost;        ///< if it was compared
};

/// No upstream may get the request now. The code is `no_upstream`,
/// `deadline_too_short`, `upstreams_full` or `upstreams_suspect`.
struct admission_refusal
{
    result_code m_code = result_code::no_upstream;
    admission_basis m_basis;
};

using admission_decision = std::variant<upstream_choice, admission_refusal>;

/// The decisions of one VM with the averages and credits that they depend on.
class admission
{
public:
    /// Selects an upstream or refuses. Sets the limits in `context`; the rest
    /// of it describes the request.
    admission_decision decide(
        time_point now,
        load_balancer& upstreams,
        selection_context const& context,
        admission_request const& request);

    /// Records the duration of a served attempt that found spare slots.
    void record_work(
        time_point now,
        std::string_view route,
        service_name const& service,
        std::chrono::nanoseconds elapsed);

    /// Records that a request was answered with the refusal.
    void record_refusal(std::string_view route, result_code code);

    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    route_work(time_point now, std::string_view route) const;
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    service_work(std::string_view service) const;

    /// Drops the state of all other routes and services.
    void retain(
        std::set<std::string_view> const& routes,
        std::set<std::string_view> const& services);

private:
    using estimates = std::map<std::string, work_estimate, std::less<>>;

    [[nodiscard]] admission_decision decide_at_priority(
        time_point now,
        load_balancer& upstreams,
        selection_context context,
        admission_request const& request,
        double requests_per_slot);
    [[nodiscard]] bool has_credit(std::string_view route) const;

    estimates m_route_work;
    estimates m_service_work;
    std::map<std::string, double, std::less<>> m_credits; ///< by route
};

} // namespace briarhub

#endif
