#include "admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhub
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Requests that peers have just sent to the same upstream lengthen an attempt
/// by a wait that this VM could not see, so the average follows longer
/// durations more slowly than shorter ones.
constexpr double shorter_work_smoothing = 0.1;
constexpr double longer_work_smoothing = 0.025;

/// Older estimates of a route's work are not used.
constexpr std::chrono::seconds work_retention{10};

/// Requests at an upstream per slot. An upstream queues only a few requests;
/// urgent ones may use more of its queue.
constexpr double max_requests_per_slot = 4.0;
constexpr double requests_per_slot_step = 0.5;
constexpr double min_requests_per_slot = 2.0;

/// A route with more work than the service's usual queues fewer requests, but
/// gets free slots.
constexpr double min_long_requests_per_slot = 1.0;

/// Cost of a refusal to a caller that has time for many returns. Above the
/// failure probability to which an upstream without observations tends, about
/// 0.25: a lower cost would refuse because nothing is known.
constexpr double base_refusal_cost = 0.26;

/// Added for the most urgent priority, and half as much for each next one.
constexpr double urgency_refusal_cost = 0.04;
constexpr double urgency_decay = 0.5;

/// Probability that a return is refused again.
constexpr double refused_return_probability = 0.5;

/// Mean time from a refusal until the caller's next request arrives.
constexpr std::chrono::milliseconds return_interval{350};

/// Bounds how many requests a route may send to full queues after a peak.
constexpr double max_credit = 4.0;

void record(
    std::map<std::string, work_estimate, std::less<>>& estimates,
    time_point now,
    std::string_view name,
    std::chrono::nanoseconds elapsed)
{
    auto found = estimates.find(name);
    if (found == estimates.end())
    {
        found = estimates.emplace(name, work_estimate{}).first;
    }
    found->second.record(now, elapsed);
}

result_code refusal_code(selection_shortage shortage)
{
    switch (shortage)
    {
    case selection_shortage::none_open:
        return result_code::no_upstream;
    case selection_shortage::all_full:
        return result_code::upstreams_full;
    case selection_shortage::all_too_late:
        return result_code::deadline_too_short;
    }
    return result_code::no_upstream;
}

/// True for refusals that another request may have caused by taking the room.
bool earns_credit(result_code code)
{
    return code == result_code::upstreams_full ||
           code == result_code::upstreams_suspect;
}

/// Cost of a refusal if the upstream at a later attempt fails with
/// `later_failure_probability`.
double cost_with_return(double refused, double later_failure_probability)
{
    return refused + (1.0 - refused) * later_failure_probability;
}

} // namespace

void work_estimate::record(time_point now, std::chrono::nanoseconds elapsed)
{
    if (!m_last)
    {
        m_average = elapsed;
    }
    double const smoothing =
        elapsed < m_average ? shorter_work_smoothing : longer_work_smoothing;
    m_average += std::chrono::duration_cast<std::chrono::nanoseconds>(
        smoothing * (elapsed - m_average));
    m_last = now;
}

std::optional<std::chrono::nanoseconds>
work_estimate::recent(time_point now) const
{
    bool const is_recent = m_last && now - *m_last <= work_retention;
    return is_recent ? std::optional{m_average} : std::nullopt;
}

std::optional<std::chrono::nanoseconds> work_estimate::latest() const
{
    return m_last ? std::optional{m_average} : std::nullopt;
}

double requests_per_slot_limit(
    unsigned priority,
    std::optional<std::chrono::nanoseconds> route_work,
    std::optional<std::chrono::nanoseconds> service_work)
{
    double const by_priority = std::max(
        min_requests_per_slot,
        max_requests_per_slot - requests_per_slot_step * priority);
    bool const is_long =
        route_work && service_work && *route_work > *service_work;
    if (!is_long)
    {
        return by_priority;
    }
    double const share = seconds(*service_work) / seconds(*route_work);
    return std::max(min_long_requests_per_slot, share * by_priority);
}

double refusal_cost(
    std::chrono::nanoseconds time_left,
    std::chrono::nanoseconds work,
    unsigned priority)
{
    double const base =
        base_refusal_cost +
        urgency_refusal_cost * std::pow(urgency_decay, priority);
    double const returns =
        std::max(0.0, seconds(time_left - work) / seconds(return_interval));
    return base + (1.0 - base) * std::pow(refused_return_probability, returns);
}

admission_decision admission::decide(
    time_point now,
    load_balancer& upstreams,
    selection_context const& context,
    admission_request const& request)
{
    auto const limit = requests_per_slot_limit(
        request.m_priority,
        route_work(now, request.m_route),
        service_work(context.m_service));
    auto decision = decide_at_priority(now, upstreams, context, request, limit);
    auto const* refused = std::get_if<admission_refusal>(&decision);
    bool const uses_credit = refused != nullptr &&
                             earns_credit(refused->m_code) &&
                             has_credit(request.m_route);
    if (!uses_credit)
    {
        return decision;
    }
    auto urgent = request;
    urgent.m_priority = 0;
    auto credited = decide_at_priority(
        now, upstreams, context, urgent, max_requests_per_slot);
    if (!std::holds_alternative<upstream_choice>(credited))
    {
        return decision;
    }
    m_credits.find(request.m_route)->second -= 1.0;
    return credited;
}

admission_decision admission::decide_at_priority(
    time_point now,
    load_balancer& upstreams,
    selection_context context,
    admission_request const& request,
    double requests_per_slot)
{
    admission_basis basis;
    basis.m_time_left = request.m_time_left;
    basis.m_requests_per_slot = requests_per_slot;
    basis.m_work = route_work(now, request.m_route);
    context.m_requests_per_slot = requests_per_slot;
    context.m_time_left = request.m_time_left;
    context.m_work = basis.m_work.value_or(std::chrono::nanoseconds{0});
    context.m_service_work = service_work(context.m_service);
    auto choice = upstreams.select_upstream(now, context);
    if (!choice)
    {
        basis.m_expected_wait = upstreams.shortest_wait(now, context);
        return admission_refusal{
            refusal_code(upstreams.shortage(now, context)), basis};
    }
    bool const may_refuse = !context.m_is_idempotent &&
                            !request.m_may_have_run && !choice->m_is_trial;
    if (!may_refuse)
    {
        return *choice;
    }
    basis.m_expected_wait = choice->m_expected_wait;
    basis.m_failure_probability = choice->m_failure_probability;
    double const refused =
        refusal_cost(request.m_time_left, context.m_work, request.m_priority);
    if (choice->m_failure_probability <= refused)
    {
        return *std::move(choice);
    }
    double const cost = cost_with_return(
        refused, upstreams.lower_quartile(now, context.m_service));
    basis.m_refusal_cost = cost;
    if (choice->m_failure_probability <= cost)
    {
        return *std::move(choice);
    }
    // The cheapest upstream may be a suspect one because the queues at the
    // others are long. Those still serve the request in time.
    context.m_max_failure_probability = cost;
    if (auto queued = upstreams.select_upstream(now, context))
    {
        return *std::move(queued);
    }
    return admission_refusal{result_code::upstreams_suspect, basis};
}

bool admission::has_credit(std::string_view route) const
{
    auto const found = m_credits.find(route);
    return found != m_credits.end() && found->second >= 1.0;
}

void admission::record_work(
    time_point now,
    std::string_view route,
    service_name const& service,
    std::chrono::nanoseconds elapsed)
{
    record(m_route_work, now, route, elapsed);
    record(m_service_work, now, service, elapsed);
}

void admission::record_refusal(std::string_view route, result_code code)
{
    if (!earns_credit(code))
    {
        return;
    }
    auto found = m_credits.find(route);
    if (found == m_credits.end())
    {
        found = m_credits.emplace(route, 0.0).first;
    }
    found->second =
        std::min(max_credit, found->second + starvation_credit_per_refusal);
}

std::optional<std::chrono::nanoseconds>
admission::route_work(time_point now, std::string_view route) const
{
    auto const found = m_route_work.find(route);
    return found == m_route_work.end() ? std::nullopt
                                       : found->second.recent(now);
}

std::optional<std::chrono::nanoseconds>
admission::service_work(std::string_view service) const
{
    auto const found = m_service_work.find(service);
    return found == m_service_work.end() ? std::nullopt
                                         : found->second.latest();
}

void admission::retain(
    std::set<std::string_view> const& routes,
    std::set<std::string_view> const& services)
{
    std::erase_if(
        m_route_work,
        [&](auto const& item)
        {
            return !routes.contains(item.first);
        });
    std::erase_if(
        m_service_work,
        [&](auto const& item)
        {
            return !services.contains(item.first);
        });
    std::erase_if(
        m_credits,
        [&](auto const& item)
        {
            return !routes.contains(item.first);
        });
}

} // namespace briarhub
