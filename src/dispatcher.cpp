#include "dispatcher.hpp"

#include "fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace briarhub
{
namespace
{

/// Maximum number of queued requests of one account per service.
constexpr std::size_t account_queue_limit = 256;

/// Time for which this VM limits its requests to an upstream after a shed.
constexpr std::chrono::seconds shed_backoff{1};

/// Validity of a reported load; older reports are outdated.
constexpr std::chrono::milliseconds load_report_lifetime{500};

/// Weight of the latest service time in the moving averages of a service and of
/// an upstream.
constexpr double service_ewma_weight = 0.05;
constexpr double upstream_ewma_weight = 0.2;

/// Interval of `poll` while requests are queued. Weights and load reports
/// change over time, so a poll can assign a request without any other event.
constexpr std::chrono::milliseconds poll_interval{20};

struct service_queue;

/// State of one upstream: this VM's attempts in flight, the limit after a shed
/// and the reported load.
struct upstream_slots
{
    upstream m_upstream;
    service_queue* m_service = nullptr;
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_limit_after_shed = 0;
    time_point m_shed_until{};
    double m_other_vms_in_flight = 0.0; ///< from the last load report
    time_point m_other_vms_valid_until{};
    /// Attempts that were shed and are not released yet. Their duration is not
    /// a service time.
    std::uint32_t m_shed_attempts = 0;
    bool m_listed = true;
    std::optional<double> m_service_time_s;

    [[nodiscard]] std::uint32_t limit(time_point now, double weight) const
    {
        double const slots = std::max<std::uint32_t>(m_upstream.m_slots, 1);
        auto const own = static_cast<std::uint32_t>(std::ceil(slots * weight));
        return now < m_shed_until ? std::min(own, m_limit_after_shed) : own;
    }

    [[nodiscard]] double load(time_point now, double weight) const
    {
        double const others =
            now < m_other_vms_valid_until ? m_other_vms_in_flight : 0.0;
        double const slots = std::max<std::uint32_t>(m_upstream.m_slots, 1);
        return ((m_in_flight + others) / weight + 1.0) / slots;
    }

    /// Service time relative to the service's mean, at least 1. A faster
    /// upstream gets no advantage: one that fails immediately must not attract
    /// requests.
    [[nodiscard]] double
    relative_service_time(std::optional<double> service_mean_s) const
    {
        if (!m_service_time_s || !service_mean_s || *service_mean_s <= 0.0)
        {
            return 1.0;
        }
        return std::max(1.0, *m_service_time_s / *service_mean_s);
    }
};

struct service_queue
{
    fair_queue m_queue{account_queue_limit};
    std::set<std::pair<time_point, request_ticket>> m_deadlines;
    std::vector<upstream_slots*> m_upstreams; ///< only listed ones, by id
    std::size_t m_in_flight = 0;
    std::optional<double> m_service_time_s;
};

/// A usable upstream with its current weight.
struct weighted_upstream
{
    upstream_slots* m_slots = nullptr;
    double m_weight = 0.0;
};

struct queued_ticket
{
    service_name m_service;
    account_name m_account;
    time_point m_deadline{};
};

void update_ewma(std::optional<double>& mean, double value, double gain)
{
    mean = mean ? *mean + gain * (value - *mean) : value;
}

void update_service_time(upstream_slots& slots, duration service_time)
{
    double const time_s = std::chrono::duration<double>(service_time).count();
    service_queue& service = *slots.m_service;
    update_ewma(service.m_service_time_s, time_s, service_ewma_weight);
    update_ewma(slots.m_service_time_s, time_s, upstream_ewma_weight);
}

bool is_excluded(queued_request const& request, upstream_id const& id)
{
    return std::ranges::find(request.m_excluded_upstreams, id) !=
           request.m_excluded_upstreams.end();
}

} // namespace

struct dispatcher::implementation
{
    implementation(weight_function weight, std::uint64_t seed)
        : m_weight{std::move(weight)}, m_random{seed}
    {
    }

    std::vector<weighted_upstream>
    usable(time_point now, service_queue const& service) const
    {
        std::vector<weighted_upstream> result;
        for (upstream_slots* slots : service.m_upstreams)
        {
            if (slots->m_upstream.m_state != vm_state::live)
            {
                continue;
            }
            double const weight = m_weight(now, slots->m_upstream.m_id);
            if (weight > 0.0)
            {
                result.push_back({slots, weight});
            }
        }
        return result;
    }

    // Excluded upstreams are allowed only if no other one is usable. If the
    // others are just busy, the request waits for them.
    static std::vector<weighted_upstream> free_upstreams(
        time_point now,
        std::vector<weighted_upstream> const& usable,
        queued_request const& request)
    {
        bool const all_excluded = std::ranges::all_of(
            usable,
            [&](weighted_upstream const& item)
            {
                return is_excluded(request, item.m_slots->m_upstream.m_id);
            });
        std::vector<weighted_upstream> result;
        for (weighted_upstream const& item : usable)
        {
            upstream_slots const& slots = *item.m_slots;
            bool const allowed =
                all_excluded || !is_excluded(request, slots.m_upstream.m_id);
            if (allowed && slots.m_in_flight < slots.limit(now, item.m_weight))
            {
                result.push_back(item);
            }
        }
        return result;
    }

    // Both candidates are drawn in proportion to slots and weight, so that an
    // upstream in slow start gets its share even while all upstreams are idle.
    weighted_upstream const&
    draw_weighted(std::vector<weighted_upstream> const& from)
    {
        double total = 0.0;
        for (weighted_upstream const& item : from)
        {
            total += item.m_weight * item.m_slots->m_upstream.m_slots;
        }
        std::uniform_real_distribution<double> position{0.0, total};
        double rest = position(m_random);
        for (weighted_upstream const& item : from)
        {
            rest -= item.m_weight * item.m_slots->m_upstream.m_slots;
            if (rest < 0.0)
            {
                return item;
            }
        }
        return from.back();
    }

    upstream_slots&
    choose_upstream(time_point now, std::vector<weighted_upstream> const& from)
    {
        weighted_upstream const& first = draw_weighted(from);
        weighted_upstream const& second = draw_weighted(from);
        auto const expected_time = [&](weighted_upstream const& item)
        {
            upstream_slots const& slots = *item.m_slots;
            return slots.load(now, item.m_weight) *
                   slots.relative_service_time(
                       slots.m_service->m_service_time_s);
        };
        bool const is_first = expected_time(first) <= expected_time(second);
        return is_first ? *first.m_slots : *second.m_slots;
    }

    /// Expected queueing time of a new request of the account, assuming that
    /// all usable upstreams stay fully loaded.
    duration expected_wait(
        time_point now,
        service_queue const& service,
        std::vector<weighted_upstream> const& usable,
        account_name const& account) const
    {
        double slots = 0.0;
        bool has_free_slot = false;
        for (weighted_upstream const& item : usable)
        {
            std::uint32_t const limit = item.m_slots->limit(now, item.m_weight);
            slots += limit;
            has_free_slot = has_free_slot || item.m_slots->m_in_flight < limit;
        }
        std::size_t const ahead = service.m_queue.ahead_of(account);
        if ((ahead == 0 && has_free_slot) || !service.m_service_time_s)
        {
            return duration::zero();
        }
        double const turns = static_cast<double>(ahead + 1);
        double const wait_s =
            turns * *service.m_service_time_s / std::max(slots, 1.0);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{wait_s});
    }

    void erase_ticket(request_ticket ticket, service_queue& service)
    {
        auto const queued = m_queued_tickets.find(ticket);
        service.m_deadlines.erase({queued->second.m_deadline, ticket});
        m_queued_tickets.erase(queued);
    }

    void refuse_expired(
        time_point now,
        service_queue& service,
        std::vector<dispatch_refusal>& refusals)
    {
        while (!service.m_deadlines.empty() &&
               service.m_deadlines.begin()->first <= now)
        {
            request_ticket const ticket = service.m_deadlines.begin()->second;
            account_name const account = m_queued_tickets.at(ticket).m_account;
            service.m_queue.remove(account, ticket);
            erase_ticket(ticket, service);
            refusals.push_back({ticket, result_code::deadline_passed});
        }
    }

    void assign(
        time_point now,
        service_queue& service,
        std::vector<assignment>& assignments)
    {
        std::vector<weighted_upstream> const usable_now = usable(now, service);
        std::vector<weighted_upstream> free;
        while (service.m_queue.size() > 0)
        {
            auto request = service.m_queue.pop(
                [&](queued_request const& head)
                {
                    free = free_upstreams(now, usable_now, head);
                    return !free.empty();
                });
            if (!request)
            {
                return;
            }
            upstream_slots& chosen = choose_upstream(now, free);
            ++chosen.m_in_flight;
            ++service.m_in_flight;
            erase_ticket(request->m_ticket, service);
            assignments.push_back({request->m_ticket, chosen.m_upstream});
        }
    }

    weight_function m_weight;
    std::mt19937_64 m_random;
    std::map<service_name, service_queue> m_services;
    std::map<upstream_id, upstream_slots> m_upstreams;
    std::map<request_ticket, queued_ticket> m_queued_tickets;
    time_point m_last_poll{};
};

dispatcher::dispatcher(weight_function weight, std::uint64_t seed)
    : m_implementation{
          std::make_unique<implementation>(std::move(weight), seed)}
{
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;

// A removed upstream is kept until its attempts have ended.
void dispatcher::set_upstreams(time_point, std::span<upstream const> upstreams)
{
    auto& self = *m_implementation;
    for (auto& [name, service] : self.m_services)
    {
        service.m_upstreams.clear();
    }
    for (auto& [id, slots] : self.m_upstreams)
    {
        slots.m_listed = false;
    }
    for (upstream const& item : upstreams)
    {
        upstream_slots& slots = self.m_upstreams[item.m_id];
        slots.m_upstream = item;
        slots.m_listed = true;
        slots.m_service = &self.m_services[item.m_service];
    }
    std::erase_if(
        self.m_upstreams,
        [](auto const& item)
        {
            return !item.second.m_listed && item.second.m_in_flight == 0;
        });
    for (auto& [id, slots] : self.m_upstreams)
    {
        if (slots.m_listed)
        {
            slots.m_service->m_upstreams.push_back(&slots);
        }
    }
}

result_code dispatcher::enqueue(time_point now, dispatch_request request)
{
    auto& self = *m_implementation;
    auto const found = self.m_services.find(request.m_service);
    if (found == self.m_services.end())
    {
        return result_code::no_upstream;
    }
    service_queue& service = found->second;
    auto const usable = self.usable(now, service);
    if (usable.empty())
    {
        return result_code::no_upstream;
    }
    duration const wait =
        self.expected_wait(now, service, usable, request.m_account);
    if (now + wait >= request.m_deadline)
    {
        return result_code::deadline_too_short;
    }
    queued_ticket const queued{
        request.m_service, request.m_account, request.m_deadline};
    request_ticket const ticket = request.m_ticket;
    bool const is_retry = !request.m_excluded_upstreams.empty();
    queued_request item{
        ticket,
        std::move(request.m_account),
        request.m_deadline,
        request.m_cost,
        std::move(request.m_excluded_upstreams)};
    if (is_retry)
    {
        service.m_queue.push_front(std::move(item));
    }
    else if (!service.m_queue.push(std::move(item)))
    {
        return result_code::queue_full;
    }
    self.m_queued_tickets.emplace(ticket, queued);
    service.m_deadlines.emplace(queued.m_deadline, ticket);
    return result_code::ok;
}

void dispatcher::cancel(request_ticket ticket)
{
    auto& self = *m_implementation;
    auto const queued = self.m_queued_tickets.find(ticket);
    if (queued == self.m_queued_tickets.end())
    {
        return;
    }
    service_queue& service = self.m_services[queued->second.m_service];
    service.m_queue.remove(queued->second.m_account, ticket);
    self.erase_ticket(ticket, service);
}

dispatch_decisions dispatcher::poll(time_point now)
{
    auto& self = *m_implementation;
    self.m_last_poll = now;
    dispatch_decisions decisions;
    for (auto& [name, service] : self.m_services)
    {
        self.refuse_expired(now, service, decisions.m_refusals);
        if (service.m_queue.size() > 0)
        {
            self.assign(now, service, decisions.m_assignments);
        }
    }
    return decisions;
}

void dispatcher::release(
    time_point, upstream_id const& target, duration service_time)
{
    auto& self = *m_implementation;
    auto const found = self.m_upstreams.find(target);
    if (found == self.m_upstreams.end() || found->second.m_in_flight == 0)
    {
        return;
    }
    upstream_slots& slots = found->second;
    service_queue& service = *slots.m_service;
    --slots.m_in_flight;
    --service.m_in_flight;
    if (slots.m_shed_attempts > 0)
    {
        --slots.m_shed_attempts;
    }
    else
    {
        update_service_time(slots, service_time);
    }
    if (!slots.m_listed && slots.m_in_flight == 0)
    {
        self.m_upstreams.erase(found);
    }
}

void dispatcher::report_shed(time_point now, upstream_id const& target)
{
    auto& self = *m_implementation;
    auto const found = self.m_upstreams.find(target);
    if (found == self.m_upstreams.end())
    {
        return;
    }
    upstream_slots& slots = found->second;
    ++slots.m_shed_attempts;
    slots.m_shed_until = now + shed_backoff;
    slots.m_limit_after_shed =
        std::max<std::uint32_t>(1, slots.m_upstream.m_slots / 2);
}

// The reported load includes this VM's own attempts.
void dispatcher::report_load(
    time_point now,
    upstream_id const& target,
    std::uint32_t in_use,
    std::uint32_t slots)
{
    auto& self = *m_implementation;
    auto const found = self.m_upstreams.find(target);
    if (found == self.m_upstreams.end() || slots == 0)
    {
        return;
    }
    upstream_slots& record = found->second;
    double const others =
        static_cast<double>(in_use) - static_cast<double>(record.m_in_flight);
    record.m_other_vms_in_flight = std::max(others, 0.0);
    record.m_other_vms_valid_until = now + load_report_lifetime;
}

time_point dispatcher::next_poll() const
{
    auto const& self = *m_implementation;
    time_point next = time_point::max();
    for (auto const& [name, service] : self.m_services)
    {
        if (service.m_queue.size() > 0)
        {
            next = std::min(next, self.m_last_poll + poll_interval);
            next = std::min(next, service.m_deadlines.begin()->first);
        }
    }
    return next;
}

std::vector<dispatcher::service_status> dispatcher::status() const
{
    std::vector<service_status> result;
    for (auto const& [name, service] : m_implementation->m_services)
    {
        result.push_back({name, service.m_queue.size(), service.m_in_flight});
    }
    return result;
}

} // namespace briarhub
