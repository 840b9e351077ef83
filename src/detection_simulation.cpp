#include "detection_simulation.hpp"

#include "outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace briarhub
{
namespace
{

using namespace std::chrono_literals;

constexpr auto tick_interval = 100ms;
constexpr auto exchange_interval = 500ms;
constexpr std::size_t exchange_fanout = 3;
constexpr std::size_t failure_domains = 4;

/// Attempts without a response end at this deadline of their work class.
constexpr auto attempt_deadline = 5s;
constexpr auto probe_round_trip = 25ms;
constexpr auto flap_phase = 10s;
constexpr auto good_response_limit = 500ms;

/// The fault is detected when this share of the VMs has stopped using the
/// faulty upstream.
constexpr double detected_share = 0.9;

/// Latency noise of healthy upstreams: log-normal, with rare long requests and
/// with pauses of a whole upstream, such as garbage collection causes.
constexpr double latency_sigma = 0.5;
constexpr double long_request_share = 0.003;
constexpr double long_request_factor = 8.0;
constexpr double healthy_error_share = 0.005;
constexpr auto pause_interval = 60s;
constexpr auto pause_time = 250ms;

constexpr double slow_factor = 5.0;
constexpr double wrong_share = 0.05;
constexpr double error_share = 0.3;
constexpr double network_loss_share = 0.5;

/// Indices of the faulty upstream and of the VM with the faulty network.
constexpr std::size_t faulty_upstream = 3;
constexpr std::size_t faulty_vm = 5;

struct simulated_work_class
{
    char const* m_name;
    double m_share;
    double m_median_ms;
    std::chrono::milliseconds m_target;
};

constexpr simulated_work_class simulated_work_classes[] = {
    {"lookup", 0.8, 60.0, 500ms}, {"archive-index", 0.2, 150.0, 1000ms}};

std::string name_of(char const* prefix, std::size_t index)
{
    std::string const digits = std::to_string(index);
    return prefix +
           std::string(2 - std::min<std::size_t>(2, digits.size()), '0') +
           digits;
}

failure_domain domain_of(std::size_t index)
{
    return name_of("fd", index % failure_domains);
}

std::vector<upstream> make_upstreams(detection_scenario const& scenario)
{
    std::vector<upstream> result;
    for (std::size_t i = 0; i < scenario.m_upstreams; ++i)
    {
        upstream item;
        item.m_id = name_of("up", i);
        item.m_service = "desk";
        item.m_failure_domain = domain_of(i);
        item.m_slots = scenario.m_slots;
        result.push_back(item);
    }
    return result;
}

config make_config(detection_scenario const& scenario)
{
    config result;
    result.m_services["desk"] = {"desk", 0.5};
    result.m_detection.m_false_ejections_per_hour =
        scenario.m_false_ejections_per_hour;
    return result;
}

/// Baseline detector: a VM ejects an upstream after five consecutive errors or
/// timeouts of its own attempts. It has the interface of `outlier_detector`.
class consecutive_errors
{
public:
    consecutive_errors(member const&, std::uint64_t)
    {
    }

    void set_config(time_point, config const&)
    {
    }

    void set_upstreams(time_point, std::span<upstream const> upstreams)
    {
        m_upstream_count = upstreams.size();
    }

    void attempt_started(
        time_point,
        request_ticket,
        upstream_id const&,
        work_class_name const&,
        std::chrono::milliseconds)
    {
    }

    void attempt_finished(
        time_point now,
        request_ticket,
        upstream_id const& target,
        attempt_outcome outcome)
    {
        state& each = m_states[target];
        each.m_errors =
            outcome == attempt_outcome::error ? each.m_errors + 1 : 0;
        if (each.m_errors >= error_limit && !each.m_ejected &&
            can_eject_another())
        {
            each.m_errors = 0;
            each.m_ejected = true;
            ++each.m_ejections;
            each.m_until = now + each.m_ejections * ejection_step;
            m_changes.push_back(
                {target,
                 upstream_status::in_service,
                 upstream_status::ejected,
                 "errors"});
        }
    }

    std::vector<upstream_status_change> tick(time_point now)
    {
        for (auto& [id, each] : m_states)
        {
            each.m_ejected = each.m_ejected && now < each.m_until;
        }
        return std::exchange(m_changes, {});
    }

    std::vector<upstream_id> collect_due_probes(time_point)
    {
        return {};
    }

    void probe_finished(time_point, upstream_id const&, bool)
    {
    }

    std::vector<evidence> collect_evidence(time_point)
    {
        return {};
    }

    void receive(time_point, member const&, std::span<evidence const>)
    {
    }

    [[nodiscard]] double weight(time_point, upstream_id const& target) const
    {
        auto const found = m_states.find(target);
        return found != m_states.end() && found->second.m_ejected ? 0.0 : 1.0;
    }

private:
    static constexpr int error_limit = 5;
    static constexpr std::chrono::seconds ejection_step{30};

    struct state
    {
        int m_errors = 0;
        int m_ejections = 0;
        bool m_ejected = false;
        time_point m_until{};
    };

    [[nodiscard]] bool can_eject_another() const
    {
        auto const ejected = std::ranges::count_if(
            m_states,
            [](auto const& item)
            {
                return item.second.m_ejected;
            });
        return 2 * (static_cast<std::size_t>(ejected) + 1) <= m_upstream_count;
    }

    std::size_t m_upstream_count = 0;
    std::map<upstream_id, state> m_states;
    std::vector<upstream_status_change> m_changes;
};

enum class event_kind
{
    arrival,
    finish_attempt,
    finish_probe,
    tick,
    exchange
};

struct event
{
    time_point m_at{};
    std::uint64_t m_order = 0; ///< among events at the same time
    event_kind m_kind = event_kind::arrival;
    std::size_t m_vm = 0;
    std::size_t m_upstream = 0;
    request_ticket m_ticket = 0;
    attempt_outcome m_outcome = attempt_outcome::good;
    time_point m_started{};

    friend bool operator>(event const& left, event const& right)
    {
        return std::pair{left.m_at, left.m_order} >
               std::pair{right.m_at, right.m_order};
    }
};

duration from_ms(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{milliseconds});
}

/// Adds `item` to the evidence that is pending for the next exchange with a
/// peer.
void add(evidence& sum, evidence const& item)
{
    sum.m_upstream = item.m_upstream;
    sum.m_good += item.m_good;
    sum.m_slow += item.m_slow;
    sum.m_error += item.m_error;
    sum.m_wrong += item.m_wrong;
}

template <class Detector>
class detection_simulation
{
public:
    explicit detection_simulation(detection_scenario const& scenario)
        : m_scenario{scenario}, m_random{scenario.m_seed},
          m_upstreams{make_upstreams(scenario)},
          m_fault_start{time_point{1h} + scenario.m_healthy_time},
          m_end{m_fault_start + scenario.m_fault_time},
          m_pauses(scenario.m_upstreams),
          m_is_unused(scenario.m_vms, std::vector<bool>(scenario.m_upstreams)),
          m_last_false_ejection(scenario.m_upstreams)
    {
        time_point const start{1h};
        for (std::size_t i = 0; i < scenario.m_vms; ++i)
        {
            m_vms.emplace_back(i, scenario.m_seed);
            m_vms.back().m_detector.set_config(start, make_config(scenario));
            m_vms.back().m_detector.set_upstreams(start, m_upstreams);
            m_vms.back().m_in_flight.resize(scenario.m_upstreams);
            push({start + from_ms(uniform() * 100.0), 0, event_kind::tick, i});
            push(
                {start + from_ms(uniform() * 500.0),
                 0,
                 event_kind::exchange,
                 i});
        }
        push({start, 0, event_kind::arrival});
    }

    detection_result run()
    {
        while (!m_events.empty() && m_events.top().m_at < m_end)
        {
            event const next = m_events.top();
            m_events.pop();
            handle(next);
            if (m_detected_at && m_scenario.m_fault != simulated_fault::flap)
            {
                break;
            }
        }
        return compute_result();
    }

private:
    struct vm
    {
        vm(std::size_t index, std::uint64_t seed)
            : m_self{name_of("vm", index), 1, domain_of(index)},
              m_detector{m_self, seed * 1000 + index}
        {
        }

        member m_self;
        Detector m_detector;
        std::vector<std::uint32_t> m_in_flight;
        std::vector<std::size_t> m_peers_left; ///< for the current round
        std::map<std::size_t, std::map<upstream_id, evidence>> m_pending;
    };

    struct pause
    {
        time_point m_start{};
        time_point m_end{};
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(
            m_random);
    }

    void push(event item)
    {
        item.m_order = ++m_next_order;
        m_events.push(item);
    }

    void handle(event const& item)
    {
        switch (item.m_kind)
        {
        case event_kind::arrival:
            handle_arrival(item.m_at);
            break;
        case event_kind::finish_attempt:
            finish_attempt(item);
            break;
        case event_kind::finish_probe:
            m_vms[item.m_vm].m_detector.probe_finished(
                item.m_at, m_upstreams[item.m_upstream].m_id, true);
            break;
        case event_kind::tick:
            tick(item);
            break;
        case event_kind::exchange:
            exchange(item);
            break;
        }
    }

    void handle_arrival(time_point now)
    {
        std::exponential_distribution<double> gap{m_scenario.m_requests_per_s};
        push({now + from_ms(1000.0 * gap(m_random)), 0, event_kind::arrival});
        std::size_t const vm_index = pick(m_scenario.m_vms);
        simulated_work_class const& work =
            uniform() < simulated_work_classes[0].m_share
                ? simulated_work_classes[0]
                : simulated_work_classes[1];
        auto const chosen = choose_upstream(now, vm_index);
        if (chosen)
        {
            start(now, vm_index, *chosen, work);
        }
    }

    std::optional<std::size_t>
    choose_upstream(time_point now, std::size_t vm_index)
    {
        auto const& in_flight = m_vms[vm_index].m_in_flight;
        std::vector<std::size_t> usable;
        std::vector<double> weights;
        for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        {
            if (in_flight[i] < m_scenario.m_slots && !m_is_unused[vm_index][i])
            {
                usable.push_back(i);
                weights.push_back(m_vms[vm_index].m_detector.weight(
                    now, m_upstreams[i].m_id));
            }
        }
        double const sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        if (sum <= 0.0)
        {
            return std::nullopt;
        }
        std::discrete_distribution<std::size_t> draw{
            weights.begin(), weights.end()};
        std::size_t const first = draw(m_random);
        std::size_t const second = draw(m_random);
        bool const is_first = in_flight[usable[first]] / weights[first] <=
                              in_flight[usable[second]] / weights[second];
        return usable[is_first ? first : second];
    }

    void start(
        time_point now,
        std::size_t vm_index,
        std::size_t target,
        simulated_work_class const& work)
    {
        vm& sender = m_vms[vm_index];
        request_ticket const ticket = ++m_next_ticket;
        sender.m_detector.attempt_started(
            now, ticket, m_upstreams[target].m_id, work.m_name, work.m_target);
        ++sender.m_in_flight[target];
        event result{
            now, 0, event_kind::finish_attempt, vm_index, target, ticket};
        result.m_started = now;
        draw_outcome(result, work);
        push(result);
    }

    bool is_fault_active(time_point now, simulated_fault fault) const
    {
        return m_scenario.m_fault == fault && now >= m_fault_start;
    }

    bool hangs(time_point now, std::size_t vm_index, std::size_t target)
    {
        bool const is_faulty_target = target == faulty_upstream;
        auto const phase = (now - m_fault_start) / flap_phase;
        return (is_faulty_target &&
                is_fault_active(now, simulated_fault::hang)) ||
               (is_faulty_target &&
                is_fault_active(now, simulated_fault::flap) &&
                phase % 2 == 0) ||
               (is_faulty_target && vm_index == faulty_vm &&
                is_fault_active(now, simulated_fault::path)) ||
               (vm_index == faulty_vm &&
                is_fault_active(now, simulated_fault::vm_network) &&
                uniform() < network_loss_share);
    }

    double latency_ms(
        time_point now, std::size_t target, simulated_work_class const& work)
    {
        std::lognormal_distribution<double> noise{0.0, latency_sigma};
        double latency = work.m_median_ms * noise(m_random);
        if (uniform() < long_request_share)
        {
            latency *= long_request_factor;
        }
        if ((target == faulty_upstream &&
             is_fault_active(now, simulated_fault::slow)) ||
            is_fault_active(now, simulated_fault::slow_all))
        {
            latency *= slow_factor;
        }
        return latency;
    }

    /// Remaining time of the upstream's pause at `at`, zero if it is not
    /// paused.
    duration pause_left(time_point at, std::size_t target)
    {
        pause& last = m_pauses[target];
        while (last.m_end < at)
        {
            std::exponential_distribution<double> gap{
                1.0 / std::chrono::duration<double>(pause_interval).count()};
            last.m_start =
                last.m_end == time_point{}
                    ? at - pause_time + from_ms(1000.0 * gap(m_random))
                    : last.m_end + from_ms(1000.0 * gap(m_random));
            last.m_end = last.m_start + pause_time;
        }
        return at < last.m_start ? duration::zero() : last.m_end - at;
    }

    void draw_outcome(event& result, simulated_work_class const& work)
    {
        time_point const now = result.m_started;
        std::size_t const target = result.m_upstream;
        bool const is_faulty_target = target == faulty_upstream;
        duration latency = from_ms(latency_ms(now, target, work));
        latency += pause_left(now + latency, target);
        if (hangs(now, result.m_vm, target) || latency > attempt_deadline)
        {
            result.m_at = now + attempt_deadline;
            result.m_outcome = attempt_outcome::error;
            return;
        }
        double const errors =
            is_faulty_target && is_fault_active(now, simulated_fault::error)
                ? error_share
                : healthy_error_share;
        result.m_at = now + latency;
        if (uniform() < errors)
        {
            result.m_outcome = attempt_outcome::error;
        }
        else if (
            is_faulty_target && is_fault_active(now, simulated_fault::wrong) &&
            uniform() < wrong_share)
        {
            result.m_outcome = attempt_outcome::wrong;
        }
    }

    void finish_attempt(event const& item)
    {
        vm& sender = m_vms[item.m_vm];
        --sender.m_in_flight[item.m_upstream];
        sender.m_detector.attempt_finished(
            item.m_at,
            item.m_ticket,
            m_upstreams[item.m_upstream].m_id,
            item.m_outcome);
        if (item.m_started >= m_fault_start)
        {
            bool const bad = item.m_outcome != attempt_outcome::good ||
                             item.m_at - item.m_started > good_response_limit;
            ++m_finished_attempts;
            m_bad_attempts += bad ? 1 : 0;
        }
    }

    void tick(event const& item)
    {
        time_point const now = item.m_at;
        Detector& detector = m_vms[item.m_vm].m_detector;
        for (upstream_status_change const& change : detector.tick(now))
        {
            count_false_change(now, change);
        }
        for (upstream_id const& id : detector.collect_due_probes(now))
        {
            // The health endpoint of a faulty upstream still reports success.
            push(
                {now + probe_round_trip,
                 0,
                 event_kind::finish_probe,
                 item.m_vm,
                 index_of(id)});
        }
        for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        {
            m_is_unused[item.m_vm][i] =
                detector.weight(now, m_upstreams[i].m_id) <= 0.0;
        }
        update_detection(now);
        push({now + tick_interval, 0, event_kind::tick, item.m_vm});
    }

    std::size_t index_of(upstream_id const& id) const
    {
        return static_cast<std::size_t>(
            std::ranges::find(m_upstreams, id, &upstream::m_id) -
            m_upstreams.begin());
    }

    bool has_injected_fault(time_point now, std::size_t target) const
    {
        bool const is_single_upstream_fault =
            m_scenario.m_fault == simulated_fault::hang ||
            m_scenario.m_fault == simulated_fault::slow ||
            m_scenario.m_fault == simulated_fault::wrong ||
            m_scenario.m_fault == simulated_fault::error ||
            m_scenario.m_fault == simulated_fault::flap;
        return is_single_upstream_fault && target == faulty_upstream &&
               now >= m_fault_start;
    }

    void
    count_false_change(time_point now, upstream_status_change const& change)
    {
        std::size_t const target = index_of(change.m_upstream);
        bool const ejected = change.m_to == upstream_status::ejected;
        bool const avoided = change.m_to == upstream_status::avoided;
        if ((!ejected && !avoided) || has_injected_fault(now, target))
        {
            return;
        }
        if (avoided)
        {
            ++m_false_avoidances;
            return;
        }
        auto& last = m_last_false_ejection[target];
        if (!last || now - *last > 60s)
        {
            ++m_false_ejections;
        }
        last = now;
    }

    // For `flap`, each hanging phase is a separate detection.
    void update_detection(time_point now)
    {
        if (now < m_fault_start)
        {
            return;
        }
        auto const out = std::ranges::count_if(
            m_is_unused,
            [](std::vector<bool> const& row)
            {
                return row[faulty_upstream];
            });
        bool const detected =
            static_cast<double>(out) >=
            detected_share * static_cast<double>(m_vms.size());
        auto const phase = (now - m_fault_start) / (2 * flap_phase);
        if (m_scenario.m_fault == simulated_fault::flap)
        {
            update_phase(now, static_cast<std::size_t>(phase), detected);
        }
        else if (
            detected && !m_detected_at &&
            has_injected_fault(now, faulty_upstream))
        {
            m_detected_at = now;
        }
    }

    void update_phase(time_point now, std::size_t phase, bool detected)
    {
        m_phase_detections.resize(
            std::max(m_phase_detections.size(), phase + 1));
        if (detected && !m_phase_detections[phase])
        {
            m_phase_detections[phase] =
                now - (m_fault_start + phase * 2 * flap_phase);
        }
    }

    void exchange(event const& item)
    {
        time_point const now = item.m_at;
        push({now + exchange_interval, 0, event_kind::exchange, item.m_vm});
        queue_evidence(now, item.m_vm);
        vm& sender = m_vms[item.m_vm];
        for (std::size_t i = 0; i < exchange_fanout; ++i)
        {
            if (sender.m_peers_left.empty())
            {
                refill_peers(item.m_vm);
            }
            std::size_t const peer = sender.m_peers_left.back();
            sender.m_peers_left.pop_back();
            deliver_evidence(now, item.m_vm, peer);
            queue_evidence(now, peer);
            deliver_evidence(now, peer, item.m_vm);
        }
    }

    void refill_peers(std::size_t vm_index)
    {
        auto& peers = m_vms[vm_index].m_peers_left;
        for (std::size_t i = 0; i < m_vms.size(); ++i)
        {
            if (i != vm_index)
            {
                peers.push_back(i);
            }
        }
        std::ranges::shuffle(peers, m_random);
    }

    void queue_evidence(time_point now, std::size_t vm_index)
    {
        vm& sender = m_vms[vm_index];
        for (evidence const& item : sender.m_detector.collect_evidence(now))
        {
            for (std::size_t peer = 0; peer < m_vms.size(); ++peer)
            {
                if (peer != vm_index)
                {
                    add(sender.m_pending[peer][item.m_upstream], item);
                }
            }
        }
    }

    void deliver_evidence(time_point now, std::size_t from, std::size_t to)
    {
        auto& pending = m_vms[from].m_pending[to];
        std::vector<evidence> items;
        for (auto const& [id, item] : pending)
        {
            items.push_back(item);
        }
        pending.clear();
        m_vms[to].m_detector.receive(now, m_vms[from].m_self, items);
    }

    detection_result compute_result() const
    {
        detection_result result;
        result.m_detection = m_scenario.m_fault_time;
        if (m_detected_at)
        {
            result.m_detection = *m_detected_at - m_fault_start;
        }
        if (!m_phase_detections.empty())
        {
            std::vector<std::chrono::duration<double>> times;
            for (auto const& phase : m_phase_detections)
            {
                times.push_back(phase.value_or(flap_phase));
            }
            std::ranges::sort(times);
            result.m_detection = times[times.size() / 2];
        }
        result.m_false_ejections = m_false_ejections;
        result.m_false_avoidances = m_false_avoidances;
        result.m_bad_requests_share =
            m_finished_attempts == 0
                ? 0.0
                : static_cast<double>(m_bad_attempts) /
                      static_cast<double>(m_finished_attempts);
        return result;
    }

    detection_scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<upstream> m_upstreams;
    time_point m_fault_start;
    time_point m_end;
    std::vector<vm> m_vms;
    std::vector<pause> m_pauses;
    std::vector<std::vector<bool>> m_is_unused; ///< by VM and upstream
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_next_order = 0;
    request_ticket m_next_ticket = 0;
    std::optional<time_point> m_detected_at;
    std::vector<std::optional<duration>> m_phase_detections;
    std::vector<std::optional<time_point>> m_last_false_ejection;
    std::size_t m_false_ejections = 0;
    std::size_t m_false_avoidances = 0;
    std::size_t m_finished_attempts = 0;
    std::size_t m_bad_attempts = 0;
};

} // namespace

detection_result simulate_detection(detection_scenario const& scenario)
{
    if (scenario.m_detector == simulated_detector::sequential_test)
    {
        return detection_simulation<outlier_detector>{scenario}.run();
    }
    return detection_simulation<consecutive_errors>{scenario}.run();
}

} // namespace briarhub
