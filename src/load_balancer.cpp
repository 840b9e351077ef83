#include "load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace briarhub
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Peers repeat a nonzero in-flight count within this time; an older count is
/// ignored.
constexpr std::chrono::milliseconds peer_load_retention{1600};

/// Costs are in lost requests: a cost of 1 is the loss of this request.
constexpr double loss_cost = 1.0;
constexpr double retry_cost = 0.12;        ///< delay and retry budget
constexpr double exploration_bonus = 0.12; ///< value of a new observation
constexpr std::chrono::milliseconds exploration_period{1200};
constexpr double late_cost = 0.7; ///< value lost by a late response
constexpr double wait_slope = 0.1;
constexpr double utilization_cost = 0.02;
constexpr double other_domain_cost = 0.02;
/// Traffic between failure domains is expensive: an archive of 100 kB costs as
/// much as the retry of a request.
constexpr double other_domain_cost_per_byte = 1.2e-6;
constexpr double new_connection_cost = 0.015;
constexpr double warm_up_cost = 0.08;
constexpr double jitter = 0.02;

/// This share of the non-idempotent requests goes to upstreams that may have
/// recovered: nothing else tests them if a service gets no idempotent requests.
constexpr double trial_share = 0.03;
constexpr double max_trial_risk = 0.6;
constexpr std::chrono::milliseconds trial_interval{2000};
constexpr double min_trial_weight = 0.5;

/// An upstream above this failure probability gets one request at a time.
constexpr double suspect_threshold = 0.3;

/// The reused connections of a service are unreliable while this share of its
/// upstreams reset one within the window. A single upstream may have crashed.
constexpr std::chrono::seconds reuse_reset_window{3};
constexpr double reuse_reset_share = 0.12;
constexpr double min_resetting_upstreams = 2;
constexpr double max_resetting_upstreams = 10;

/// Initial typical duration of a service's requests.
constexpr std::chrono::milliseconds initial_duration{150};
constexpr double duration_smoothing = 0.1;
constexpr double slow_factor = 3.0;
constexpr std::chrono::milliseconds slow_margin{50};

/// Upper bound on the slow limit as a share of the latency target.
constexpr double slow_share_of_target = 0.8;

/// States of upstreams whose entries are missing are kept for this long:
/// entries expire while the store is unavailable, and come back with the same
/// process.
constexpr std::chrono::minutes unlisted_retention{10};
constexpr std::size_t max_unlisted_upstreams = 4096;

/// Requests to an upstream that was closed resume later by a random time, up to
/// this share of the closed period and up to this limit.
constexpr double reopen_spread = 0.25;
constexpr std::chrono::milliseconds max_reopen_spread{1000};

/// False if no upstream can serve the request in the time left after `wait`.
bool fits(selection_context const& request, std::chrono::nanoseconds wait)
{
    return !request.m_time_left ||
           wait + request.m_work <= *request.m_time_left;
}

double slots_of(upstream_entry const& entry)
{
    return std::max(1U, entry.m_upstream.m_slots);
}

/// A missing response may be a fault of this VM's path, so it counts against
/// the path and not against the upstream. Missing responses that peers report
/// count against the upstream.
bool concerns_path(observation observed)
{
    return observed == observation::no_response ||
           observed == observation::served;
}

} // namespace

upstream_tag tag_of(upstream_entry const& entry)
{
    return wide_hash(
        entry.m_upstream.m_id + '@' + std::to_string(entry.m_start_time));
}

load_balancer::load_balancer(
    failure_domain own_domain,
    std::uint64_t seed,
    warm_up_bounds const& warm_up)
    : m_own_domain(std::move(own_domain)), m_random(seed), m_warm_up(warm_up)
{
}

std::vector<upstream_id> load_balancer::set_upstreams(
    time_point now, std::span<upstream_entry const> entries)
{
    std::vector<upstream_id> turned_cold;
    m_warm_up.remove_warm(now);
    auto previous = std::exchange(m_slots, {});
    m_by_service.clear();
    for (auto const& entry : entries)
    {
        auto const tag = tag_of(entry);
        bool is_announced = true;
        if (auto listed = previous.extract(tag))
        {
            is_announced = !(listed.mapped().m_entry == entry);
            m_slots.insert(std::move(listed));
        }
        else if (auto unlisted = m_unlisted.extract(tag))
        {
            m_slots.emplace(tag, std::move(unlisted.mapped().m_state));
        }
        else
        {
            m_slots.emplace(tag, make_state(now, tag, entry));
        }
        m_slots.at(tag).m_entry = entry;
        bool const is_newly_cold =
            is_announced &&
            m_warm_up.announce(
                now, entry.m_upstream, entry.m_warm_up_remaining);
        if (is_newly_cold)
        {
            turned_cold.push_back(entry.m_upstream.m_id);
        }
        m_by_service[entry.m_upstream.m_service].push_back(tag);
    }
    retain_unlisted(now, std::move(previous));
    std::erase_if(
        m_imported,
        [now](auto const& item)
        {
            return now - item.second.m_as_of > unlisted_retention;
        });
    return turned_cold;
}

load_balancer::upstream_state load_balancer::make_state(
    time_point now, upstream_tag tag, upstream_entry const& entry)
{
    upstream_state added{
        entry,
        failure_estimator{upstream_transition_rates, now},
        failure_estimator{path_transition_rates, now},
        0,
        {},
        now,
        time_point{},
        time_point{},
        upstream_rate_limiter{draw_share()},
        false,
        false,
        false};
    auto found = m_imported.find(tag);
    if (found == m_imported.end())
    {
        found = m_imported.find(join_hash(short_part(tag), 0));
    }
    if (found == m_imported.end())
    {
        return added;
    }
    auto const& imported = found->second;
    if (imported.m_failure_probability)
    {
        added.m_upstream = failure_estimator{
            upstream_transition_rates,
            imported.m_as_of,
            *imported.m_failure_probability};
    }
    if (imported.m_is_leaving)
    {
        set_leaving(added);
    }
    return added;
}

/// Keeps the states of upstreams whose entries are gone, the latest ones first.
void load_balancer::retain_unlisted(
    time_point now, std::map<upstream_tag, upstream_state>&& removed)
{
    std::erase_if(
        m_unlisted,
        [now](auto const& item)
        {
            return now - item.second.m_removed > unlisted_retention;
        });
    for (auto& [tag, state] : removed)
    {
        if (m_unlisted.size() >= max_unlisted_upstreams)
        {
            m_unlisted.erase(std::ranges::min_element(
                m_unlisted,
                {},
                [](auto const& item)
                {
                    return item.second.m_removed;
                }));
        }
        m_unlisted.insert_or_assign(
            tag, unlisted_upstream{std::move(state), now});
    }
}

load_balancer::upstream_state* load_balancer::find_state(upstream_tag target)
{
    auto const listed = m_slots.find(target);
    if (listed != m_slots.end())
    {
        return &listed->second;
    }
    auto const unlisted = m_unlisted.find(target);
    return unlisted == m_unlisted.end() ? nullptr : &unlisted->second.m_state;
}

/// Applies the function to the state of a peer's tag, or to each state that a
/// short one stands for. False if there is none.
bool load_balancer::update_states(
    upstream_tag received, std::function<void(upstream_state&)> const& update)
{
    if (!is_short(received))
    {
        auto* const state = find_state(received);
        if (state != nullptr)
        {
            update(*state);
        }
        return state != nullptr;
    }
    bool is_found = false;
    auto const has_short_part = [received](upstream_tag tag)
    {
        return short_part(tag) == short_part(received);
    };
    for (auto item = m_slots.lower_bound(received);
         item != m_slots.end() && has_short_part(item->first);
         ++item)
    {
        update(item->second);
        is_found = true;
    }
    for (auto item = m_unlisted.lower_bound(received);
         item != m_unlisted.end() && has_short_part(item->first);
         ++item)
    {
        update(item->second.m_state);
        is_found = true;
    }
    return is_found;
}

std::optional<upstream_choice>
load_balancer::select_upstream(time_point now, selection_context const& request)
{
    auto const service = m_by_service.find(request.m_service);
    if (service == m_by_service.end())
    {
        return std::nullopt;
    }
    bool const is_first_attempt = request.m_excluded.empty();
    if (!request.m_is_idempotent && is_first_attempt &&
        request.m_may_test_idle && fits(request, {}) &&
        draw_share() < trial_share)
    {
        if (auto const* trial = select_trial(now, service->second))
        {
            return make_choice(now, *trial, request, true);
        }
    }
    upstream_state const* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    for (auto const tag : service->second)
    {
        auto const& candidate = m_slots.at(tag);
        if (is_excluded(candidate, request))
        {
            continue;
        }
        if (!is_open(now, candidate))
        {
            count_if_passed_over(now, candidate);
            continue;
        }
        double const candidate_cost = cost(now, candidate, request);
        if (candidate_cost < best_cost)
        {
            best_cost = candidate_cost;
            best = &candidate;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return make_choice(now, *best, request, false);
}

upstream_choice load_balancer::make_choice(
    time_point now,
    upstream_state const& entry,
    selection_context const& request,
    bool is_trial) const
{
    upstream_choice choice;
    choice.m_entry = entry.m_entry;
    choice.m_failure_probability = failure_probability(now, entry);
    choice.m_expected_wait =
        expected_wait(entry, total_in_flight(now, entry), request);
    choice.m_is_trial = is_trial;
    return choice;
}

double
load_balancer::lower_quartile(time_point now, service_name const& service) const
{
    constexpr std::size_t quarter = 4;
    std::vector<double> probabilities;
    auto const found = m_by_service.find(service);
    if (found == m_by_service.end())
    {
        return 0.0;
    }
    for (auto const tag : found->second)
    {
        auto const& entry = m_slots.at(tag);
        if (!entry.m_is_draining && !is_evacuated(entry))
        {
            probabilities.push_back(failure_probability(now, entry));
        }
    }
    if (probabilities.empty())
    {
        return 0.0;
    }
    auto const index = probabilities.size() / quarter;
    auto const quartile =
        probabilities.begin() + static_cast<std::ptrdiff_t>(index);
    std::ranges::nth_element(probabilities, quartile);
    return *quartile;
}

selection_shortage
load_balancer::shortage(time_point now, selection_context const& request) const
{
    auto const service = m_by_service.find(request.m_service);
    if (service == m_by_service.end())
    {
        return selection_shortage::none_open;
    }
    auto result = selection_shortage::none_open;
    for (auto const tag : service->second)
    {
        auto const& entry = m_slots.at(tag);
        if (!is_candidate(now, entry, request))
        {
            continue;
        }
        if (has_room(now, entry, request))
        {
            return selection_shortage::all_too_late;
        }
        result = selection_shortage::all_full;
    }
    return result;
}

std::optional<std::chrono::nanoseconds> load_balancer::shortest_wait(
    time_point now, selection_context const& request) const
{
    std::optional<std::chrono::nanoseconds> shortest;
    auto const service = m_by_service.find(request.m_service);
    if (service == m_by_service.end())
    {
        return shortest;
    }
    for (auto const tag : service->second)
    {
        auto const& entry = m_slots.at(tag);
        if (is_candidate(now, entry, request))
        {
            auto const wait =
                expected_wait(entry, total_in_flight(now, entry), request);
            shortest = std::min(wait, shortest.value_or(wait));
        }
    }
    return shortest;
}

bool load_balancer::is_excluded(
    upstream_state const& entry, selection_context const& request)
{
    return std::ranges::find(
               request.m_excluded, entry.m_entry.m_upstream.m_id) !=
           request.m_excluded.end();
}

bool load_balancer::is_candidate(
    time_point now,
    upstream_state const& entry,
    selection_context const& request) const
{
    return is_open(now, entry) && !is_excluded(entry, request);
}

bool load_balancer::has_room(
    time_point now,
    upstream_state const& entry,
    selection_context const& request) const
{
    return total_in_flight(now, entry) <
           slots_of(entry.m_entry) * request.m_requests_per_slot;
}

void load_balancer::set_evacuated(
    time_point now, std::set<failure_domain> domains)
{
    auto const previous = std::exchange(m_evacuated, std::move(domains));
    auto const presume_cold = [&](upstream_state const& entry)
    {
        auto const& domain = entry.m_entry.m_upstream.m_failure_domain;
        if (previous.contains(domain) && !m_evacuated.contains(domain))
        {
            m_warm_up.presume_cold(now, entry.m_entry.m_upstream);
        }
    };
    for (auto const& [tag, entry] : m_slots)
    {
        presume_cold(entry);
    }
    for (auto const& [tag, unlisted] : m_unlisted)
    {
        presume_cold(unlisted.m_state);
    }
}

void load_balancer::set_services(std::span<service_policy const> services)
{
    m_warm_up.set_services(services);
}

void load_balancer::set_warm_up_bounds(warm_up_bounds const& bounds)
{
    m_warm_up.set_bounds(bounds);
}

void load_balancer::set_members(vm_tag self, std::vector<vm_tag> members)
{
    m_warm_up.set_members(self, std::move(members));
}

std::size_t load_balancer::cold_upstreams(time_point now) const
{
    return m_warm_up.cold_upstreams(now);
}

load_balancer::passed_over_counts load_balancer::take_passed_over()
{
    return std::exchange(m_passed_over, {});
}

void load_balancer::count_if_passed_over(
    time_point now, upstream_state const& entry)
{
    if (entry.m_is_draining)
    {
        return;
    }
    if (is_evacuated(entry))
    {
        ++m_passed_over.m_evacuated;
    }
    else if (m_warm_up.wait(now, entry.m_entry.m_upstream) > duration::zero())
    {
        ++m_passed_over.m_cold;
    }
}

std::size_t load_balancer::upstreams_in(failure_domain const& domain) const
{
    auto const count = std::ranges::count_if(
        m_slots,
        [&domain](auto const& item)
        {
            return item.second.m_entry.m_upstream.m_failure_domain == domain;
        });
    return static_cast<std::size_t>(count);
}

load_balancer::obstacle
load_balancer::find_obstacle(time_point now, service_name const& service) const
{
    auto const found = m_by_service.find(service);
    if (found == m_by_service.end())
    {
        return obstacle::other;
    }
    auto result = obstacle::other;
    for (auto const tag : found->second)
    {
        auto const& entry = m_slots.at(tag);
        if (entry.m_is_draining)
        {
            continue;
        }
        if (is_evacuated(entry))
        {
            result = result == obstacle::cold ? result : obstacle::evacuated;
            continue;
        }
        if (m_warm_up.wait(now, entry.m_entry.m_upstream) == duration::zero())
        {
            return obstacle::other;
        }
        result = obstacle::cold;
    }
    return result;
}

bool load_balancer::is_evacuated(upstream_state const& entry) const
{
    return m_evacuated.contains(entry.m_entry.m_upstream.m_failure_domain);
}

bool load_balancer::is_open(time_point now, upstream_state const& entry) const
{
    return !entry.m_is_draining && !is_evacuated(entry) &&
           now >= entry.m_closed_until &&
           entry.m_rate_limiter.wait(now) == duration::zero() &&
           m_warm_up.wait(now, entry.m_entry.m_upstream) == duration::zero();
}

/// An upstream that may have recovered: healthy by its estimate, without
/// requests and recent observations. Prefers those that have waited longest.
/// The random part keeps VMs from choosing the same one before they know of
/// each other's requests. Null if there is none.
load_balancer::upstream_state const*
load_balancer::select_trial(time_point now, std::span<upstream_tag const> tags)
{
    std::uniform_real_distribution<> weight{min_trial_weight, 1.0};
    upstream_state const* chosen = nullptr;
    seconds longest{0};
    for (auto const tag : tags)
    {
        auto const& entry = m_slots.at(tag);
        auto const age = now - entry.m_last_observation;
        bool const is_candidate =
            is_open(now, entry) && age >= trial_interval &&
            failure_probability(now, entry) <= max_trial_risk &&
            total_in_flight(now, entry) == 0;
        if (!is_candidate)
        {
            continue;
        }
        auto const weighted_age = weight(m_random) * seconds(age);
        if (weighted_age > longest)
        {
            longest = weighted_age;
            chosen = &entry;
        }
    }
    return chosen;
}

double load_balancer::cost(
    time_point now,
    upstream_state const& entry,
    selection_context const& request)
{
    unsigned const load = total_in_flight(now, entry);
    double const slots = slots_of(entry.m_entry);
    double const risk = failure_probability(now, entry);
    bool const is_possible = load < slots * request.m_requests_per_slot &&
                             risk <= request.m_max_failure_probability &&
                             fits(request, expected_wait(entry, load, request));
    if (!is_possible)
    {
        return std::numeric_limits<double>::infinity();
    }
    bool const must_succeed = !request.m_is_idempotent || request.m_is_retry;
    double total = wait_cost(entry, load, request);
    if (must_succeed)
    {
        total += loss_cost * risk;
        bool const is_cold = m_warm_up.is_cold(now, entry.m_entry.m_upstream);
        total += is_cold ? warm_up_cost : 0.0;
    }
    else
    {
        double const age = std::min(
            1.0,
            seconds(now - entry.m_last_observation) /
                seconds(exploration_period));
        bool const is_being_probed = risk > suspect_threshold && load > 0;
        total += (is_being_probed ? loss_cost : retry_cost) * risk;
        total -= exploration_bonus * age;
    }
    total += utilization_cost * load / slots;
    bool const is_same_domain =
        entry.m_entry.m_upstream.m_failure_domain == m_own_domain;
    total += is_same_domain ? 0.0
                            : other_domain_cost + other_domain_cost_per_byte *
                                                      request.m_response_bytes;
    bool const has_idle_connection =
        m_has_idle_connection &&
        m_has_idle_connection(entry.m_entry.m_upstream.m_address);
    total += has_idle_connection ? 0.0 : new_connection_cost;
    return total + std::uniform_real_distribution<>{0.0, jitter}(m_random);
}

std::chrono::nanoseconds load_balancer::expected_wait(
    upstream_state const& entry,
    unsigned in_flight,
    selection_context const& request) const
{
    double const slots = slots_of(entry.m_entry);
    double const queued = std::max(0.0, (in_flight + 1.0 - slots) / slots);
    seconds const work =
        request.m_service_work.value_or(typical_duration(request.m_service));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(work * queued);
}

double load_balancer::wait_cost(
    upstream_state const& entry,
    unsigned in_flight,
    selection_context const& request) const
{
    double const wait =
        seconds(expected_wait(entry, in_flight, request)).count();
    double const target =
        std::max(seconds(request.m_latency_target).count(), 0.05);
    double const share = wait / target;
    return wait_slope * share + late_cost * std::min(share * share, 4.0);
}

unsigned load_balancer::total_in_flight(
    time_point now, upstream_state const& entry) const
{
    unsigned total = entry.m_own_in_flight;
    for (auto const& [vm, load] : entry.m_peers)
    {
        if (now - load.m_received < peer_load_retention)
        {
            total += load.m_in_flight;
        }
    }
    return total;
}

double
load_balancer::failure_probability(time_point now, upstream_state const& entry)
{
    double const upstream_healthy = 1.0 - entry.m_upstream.probability(now);
    double const path_healthy = 1.0 - entry.m_path.probability(now);
    return 1.0 - upstream_healthy * path_healthy;
}

double
load_balancer::failure_probability(time_point now, upstream_tag target) const
{
    auto const found = m_slots.find(target);
    return found == m_slots.end() ? 0.0
                                  : failure_probability(now, found->second);
}

unsigned load_balancer::in_flight(time_point now, upstream_tag target) const
{
    auto const found = m_slots.find(target);
    return found == m_slots.end() ? 0 : total_in_flight(now, found->second);
}

bool load_balancer::has_spare_slots(time_point now, upstream_tag target) const
{
    constexpr double used_share = 0.5;
    auto const found = m_slots.find(target);
    return found != m_slots.end() &&
           total_in_flight(now, found->second) <=
               used_share * slots_of(found->second.m_entry);
}

upstream_update& load_balancer::pending_update(upstream_tag target)
{
    auto& update = m_unsent[target];
    update.m_upstream = target;
    return update;
}

void load_balancer::attempt_started(time_point now, upstream_tag target)
{
    if (auto* const entry = find_state(target))
    {
        ++entry->m_own_in_flight;
        entry->m_rate_limiter.record_own_request(now, draw_share());
        m_warm_up.record_request(now, entry->m_entry.m_upstream);
        ++pending_update(target).m_started;
    }
}

void load_balancer::attempt_ended(upstream_tag target)
{
    auto* const entry = find_state(target);
    if (entry != nullptr && entry->m_own_in_flight > 0)
    {
        --entry->m_own_in_flight;
        pending_update(target);
    }
}

void load_balancer::observe(
    time_point now, upstream_tag target, observation observed)
{
    auto* const entry = find_state(target);
    if (entry == nullptr)
    {
        return;
    }
    if (concerns_path(observed))
    {
        entry->m_path.observe(now, observed);
    }
    if (observed != observation::no_response)
    {
        entry->m_upstream.observe(now, observed);
    }
    record_observation(now, *entry, observed);
    ++pending_update(target).m_observations[static_cast<std::size_t>(observed)];
}

void load_balancer::record_observation(
    time_point now, upstream_state& entry, observation observed)
{
    entry.m_last_observation = now;
    entry.m_has_observations = true;
    if (observed == observation::reset_on_reuse)
    {
        entry.m_reset_on_reuse_at = now;
    }
}

bool load_balancer::resets_reused_connections(
    time_point now, service_name const& service) const
{
    auto const found = m_by_service.find(service);
    if (found == m_by_service.end())
    {
        return false;
    }
    auto const resetting = static_cast<std::size_t>(std::ranges::count_if(
        found->second,
        [&](upstream_tag tag)
        {
            auto const at = m_slots.at(tag).m_reset_on_reuse_at;
            return at != time_point{} && now - at < reuse_reset_window;
        }));
    double const needed =
        reuse_reset_share * static_cast<double>(found->second.size());
    return static_cast<double>(resetting) >=
           std::clamp(needed, min_resetting_upstreams, max_resetting_upstreams);
}

void load_balancer::record_duration(
    service_name const& service, std::chrono::nanoseconds elapsed)
{
    auto& typical = m_typical_durations.try_emplace(service, initial_duration)
                        .first->second;
    typical += std::chrono::duration_cast<std::chrono::nanoseconds>(
        duration_smoothing * (elapsed - typical));
}

std::chrono::nanoseconds
load_balancer::typical_duration(service_name const& service) const
{
    auto const found = m_typical_durations.find(service);
    return found == m_typical_durations.end()
               ? std::chrono::nanoseconds{initial_duration}
               : found->second;
}

std::chrono::nanoseconds load_balancer::slow_limit(
    service_name const& service, std::chrono::milliseconds latency_target) const
{
    auto const typical =
        slow_factor * typical_duration(service) + seconds(slow_margin);
    auto const latest = slow_share_of_target * latency_target;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::min(seconds(typical), seconds(latest)));
}

double load_balancer::draw_share()
{
    return std::uniform_real_distribution<>{0.0, 1.0}(m_random);
}

bool load_balancer::set_rate_limit(
    time_point now, upstream_tag target, rate_limit_notice const& notice)
{
    auto* const entry = find_state(target);
    if (entry == nullptr)
    {
        return false;
    }
    bool const is_changed =
        entry->m_rate_limiter.set(now, notice, m_reachable_share);
    if (is_changed || notice.m_requests_per_second)
    {
        pending_update(target).m_rate_limit = notice;
    }
    return is_changed;
}

void load_balancer::set_reachable_share(time_point now, double share)
{
    if (std::exchange(m_reachable_share, share) == share)
    {
        return;
    }
    for (auto& [tag, entry] : m_slots)
    {
        entry.m_rate_limiter.set_share(now, share);
    }
    for (auto& [tag, unlisted] : m_unlisted)
    {
        unlisted.m_state.m_rate_limiter.set_share(now, share);
    }
}

duration load_balancer::availability_wait(
    time_point now, service_name const& service) const
{
    auto const found = m_by_service.find(service);
    if (found == m_by_service.end())
    {
        return duration::zero();
    }
    std::optional<duration> shortest;
    for (auto const tag : found->second)
    {
        auto const& entry = m_slots.at(tag);
        if (entry.m_is_draining || is_evacuated(entry))
        {
            continue;
        }
        auto const closed =
            std::max(entry.m_closed_until - now, duration::zero());
        auto const wait = std::max(
            {closed,
             entry.m_rate_limiter.wait(now),
             m_warm_up.wait(now, entry.m_entry.m_upstream)});
        shortest = std::min(wait, shortest.value_or(wait));
    }
    return shortest.value_or(duration::zero());
}

std::size_t load_balancer::rate_limited_upstreams() const
{
    auto const count = std::ranges::count_if(
        m_slots,
        [](auto const& item)
        {
            return item.second.m_rate_limiter.limit().has_value();
        });
    return static_cast<std::size_t>(count);
}

void load_balancer::mark_draining(upstream_tag target)
{
    if (auto* const entry = find_state(target))
    {
        entry->m_is_draining = true;
    }
}

void load_balancer::set_leaving(upstream_state& entry)
{
    entry.m_is_draining = true;
    entry.m_is_leaving = true;
}

bool load_balancer::mark_leaving(upstream_tag target)
{
    auto* const entry = find_state(target);
    if (entry == nullptr || entry->m_is_leaving)
    {
        return false;
    }
    set_leaving(*entry);
    pending_update(target).m_is_leaving = true;
    return true;
}

bool load_balancer::close_for(
    time_point now, upstream_tag target, duration retry_after)
{
    auto* const entry = find_state(target);
    if (entry == nullptr || retry_after <= duration::zero())
    {
        return false;
    }
    seconds const spread = std::min(
        reopen_spread * seconds(retry_after), seconds(max_reopen_spread));
    seconds const delay = spread * draw_share();
    auto const end =
        now + retry_after + std::chrono::duration_cast<duration>(delay);
    bool const was_open = entry->m_closed_until <= now;
    entry->m_closed_until = std::max(entry->m_closed_until, end);
    return was_open;
}

std::size_t load_balancer::closed_upstreams(time_point now) const
{
    auto const count = std::ranges::count_if(
        m_slots,
        [now](auto const& item)
        {
            return now < item.second.m_closed_until;
        });
    return static_cast<std::size_t>(count);
}

void load_balancer::receive(
    time_point now,
    vm_tag from,
    std::uint64_t sequence,
    std::span<upstream_update const> update)
{
    for (auto const& item : update)
    {
        bool const is_known = update_states(
            item.m_upstream,
            [&](upstream_state& entry)
            {
                apply_update(now, from, sequence, item, entry);
            });
        // The peer has the entry of a new upstream earlier than this VM.
        if (!is_known && item.m_is_leaving)
        {
            m_imported[item.m_upstream].m_as_of = now;
            m_imported[item.m_upstream].m_is_leaving = true;
        }
    }
}

void load_balancer::apply_update(
    time_point now,
    vm_tag from,
    std::uint64_t sequence,
    upstream_update const& update,
    upstream_state& entry)
{
    if (update.m_is_leaving)
    {
        set_leaving(entry);
    }
    auto& load = entry.m_peers[from];
    if (sequence >= load.m_sequence)
    {
        load = {update.m_in_flight, sequence, now};
    }
    if (update.m_rate_limit)
    {
        entry.m_rate_limiter.set(now, *update.m_rate_limit, m_reachable_share);
    }
    entry.m_rate_limiter.record_remote_requests(now, update.m_started);
    for (std::size_t i = 0; i < observation_kinds; ++i)
    {
        for (std::uint32_t n = 0; n < update.m_observations[i]; ++n)
        {
            entry.m_upstream.observe(now, static_cast<observation>(i));
            record_observation(now, entry, static_cast<observation>(i));
        }
    }
}

std::vector<upstream_estimate> load_balancer::estimates(time_point now) const
{
    std::vector<upstream_estimate> list;
    for (auto const& [tag, entry] : m_slots)
    {
        if (entry.m_has_observations || entry.m_is_leaving)
        {
            list.push_back(
                {tag, entry.m_upstream.probability(now), entry.m_is_leaving});
        }
    }
    return list;
}

void load_balancer::adopt(
    time_point as_of, std::span<upstream_estimate const> estimates)
{
    for (auto const& estimate : estimates)
    {
        m_imported[estimate.m_upstream] = {
            as_of, estimate.m_failure_probability, estimate.m_is_leaving};
        update_states(
            estimate.m_upstream,
            [&](upstream_state& entry)
            {
                if (estimate.m_is_leaving)
                {
                    set_leaving(entry);
                }
                if (!entry.m_has_observations)
                {
                    entry.m_upstream = failure_estimator{
                        upstream_transition_rates,
                        as_of,
                        estimate.m_failure_probability};
                }
            });
    }
}

std::vector<upstream_update> load_balancer::collect_updates(bool all)
{
    if (all)
    {
        for (auto const& [tag, entry] : m_slots)
        {
            if (entry.m_own_in_flight > 0)
            {
                pending_update(tag);
            }
        }
    }
    std::vector<upstream_update> updates;
    for (auto& [tag, update] : m_unsent)
    {
        if (auto const* const entry = find_state(tag))
        {
            update.m_in_flight = entry->m_own_in_flight;
            updates.push_back(update);
        }
    }
    m_unsent.clear();
    return updates;
}

std::vector<load_balancer::status> load_balancer::statuses(time_point now) const
{
    std::vector<status> list;
    for (auto const& [tag, entry] : m_slots)
    {
        list.push_back(
            {entry.m_entry,
             failure_probability(now, entry),
             total_in_flight(now, entry)});
    }
    return list;
}

} // namespace briarhub
