#include "outlier_detector.hpp"

#include "capacity_floor.hpp"
#include "fleet_score.hpp"
#include "running_median.hpp"
#include "sequential_test.hpp"
#include "service_baseline.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace briarhub
{
namespace
{

constexpr std::chrono::seconds base_ejection_time{10};
constexpr std::chrono::minutes max_ejection_time{5};
constexpr std::chrono::minutes ejection_count_window{10};

/// Ejection times vary by this share, so that the VMs do not all return at the
/// same moment to an upstream that is still unhealthy.
constexpr double ejection_jitter = 0.2;

/// Interval between probes of an upstream whose ejection time has elapsed.
constexpr std::chrono::seconds return_probe_interval{2};

constexpr std::chrono::seconds slow_start_window{10};
constexpr double min_weight = 0.1;

/// Weight of an unhealthy upstream that stays in service for the capacity
/// floor.
constexpr double floor_weight = 0.5;

/// Weight of bad outcomes at a cold upstream.
constexpr double cold_evidence_weight = 0.5;

/// Initial score of a returning upstream, as a share of the threshold: it is
/// taken out of service again after fewer bad outcomes.
constexpr double return_score_share = 0.5;

/// Outcomes older than this are no evidence of the present state.
constexpr std::chrono::seconds outcome_max_age{60};

/// Lower bounds of the healthy ratios. A wrong response passes the checksums of
/// the network, so only a fault causes it: two raise an alarm at any load.
constexpr double min_slow_or_error_ratio = 0.01;
constexpr double min_wrong_ratio = 1e-7;

/// Lower bounds of the unhealthy ratios that the tests detect.
constexpr double unhealthy_slow_or_error_ratio = 0.5;
constexpr double unhealthy_wrong_ratio = 0.05;

/// A pause of an upstream, for example for garbage collection, delays all
/// attempts in flight at once. A score must stay over the threshold for this
/// long, so that the outcomes after a short pause are counted too.
constexpr std::chrono::milliseconds confirmation_time{500};

/// Largest contribution of one reporter, as a share of the threshold.
constexpr double max_reporter_share = 0.6;

/// Decay window of the service baseline, in outcomes per upstream of the
/// service.
constexpr double baseline_window_per_upstream = 4.0;

/// Least difference of scores for which an upstream replaces another one that
/// is out of service when the floor is reached. Without it two upstreams would
/// be swapped with every outcome.
constexpr double swap_margin = 4.0;

/// A VM with fewer bad upstreams than this does not suspect its own network.
constexpr std::size_t min_upstreams_for_suspicion = 3;

/// Upper limit of each count for an upstream in one report.
constexpr std::uint32_t max_reported_count = 1000;

constexpr int slow_target_multiple = 2;
constexpr int slow_median_multiple = 4;

/// An attempt is counted as slow once more at this multiple of its evidence
/// age: such an age is as rare among slow attempts at healthy upstreams as slow
/// ones are among all.
constexpr int very_slow_multiple = 4;

/// Without a tick for this long this VM was paused. The ages of attempts are
/// then caused by this VM and are no evidence about upstreams.
constexpr std::chrono::seconds vm_pause_limit{1};

/// The tests run with the configured false ejections per hour divided by this.
constexpr double false_alarm_margin = 10.0;

/// Least age of an attempt that counts as slow: the CPU scheduling of small VMs
/// causes shorter delays.
constexpr std::chrono::milliseconds min_slow_evidence_age{20};

/// Latest outcome at an upstream and its time.
struct latest_outcome
{
    bool m_bad = false;
    bool m_seen = false;
    time_point m_at{};

    [[nodiscard]] bool is_recent(time_point now) const
    {
        return m_seen && now - m_at <= outcome_max_age;
    }

    [[nodiscard]] bool is_bad(time_point now) const
    {
        return is_recent(now) && m_bad;
    }
};

/// Scores of an upstream's two tests on the outcomes of this VM. Wrong
/// responses have a separate test: they are rare even at an unhealthy upstream,
/// and the good outcomes in between would hide them.
struct local_scores
{
    cusum m_slow_or_error;
    cusum m_wrong;

    [[nodiscard]] double value() const
    {
        return std::max(m_slow_or_error.value(), m_wrong.value());
    }
};

struct fleet_scores
{
    fleet_score m_slow_or_error;
    fleet_score m_wrong;

    [[nodiscard]] double value() const
    {
        return std::max(m_slow_or_error.value(), m_wrong.value());
    }
};

struct service_record;

struct upstream_record
{
    upstream m_upstream;
    service_record* m_service = nullptr;
    upstream_status m_status = upstream_status::in_service;
    std::string m_reason;
    bool m_reported_draining = false;
    bool m_is_cold = false;           ///< in its first slow start
    bool m_required_by_floor = false; ///< unhealthy, kept for the floor
    time_point m_warming_since{};
    time_point m_out_of_service_until{};
    time_point m_next_probe{};
    double m_score_at_removal = 0.0;
    std::optional<time_point> m_over_threshold_since; ///< slow-or-error score
    int m_ejections = 0; ///< within `ejection_count_window`
    time_point m_last_ejection{};

    local_scores m_local;
    fleet_scores m_fleet;
    latest_outcome m_own_latest;
    latest_outcome m_peer_latest;
    decaying_counts m_slow_or_error_counts;
    decaying_counts m_wrong_counts;
    evidence m_unsent_evidence;

    [[nodiscard]] bool is_live() const
    {
        return m_upstream.m_state == vm_state::live;
    }

    [[nodiscard]] bool is_draining() const
    {
        return m_reported_draining || !is_live();
    }

    [[nodiscard]] bool is_out_of_service() const
    {
        return m_status == upstream_status::avoided ||
               m_status == upstream_status::ejected ||
               m_status == upstream_status::probing;
    }

    [[nodiscard]] bool is_usable() const
    {
        return !is_draining() && !is_out_of_service();
    }

    [[nodiscard]] latest_outcome latest() const
    {
        bool const own =
            m_own_latest.m_seen &&
            (!m_peer_latest.m_seen || m_own_latest.m_at >= m_peer_latest.m_at);
        return own ? m_own_latest : m_peer_latest;
    }

    [[nodiscard]] double score() const
    {
        return std::max(m_local.value(), m_fleet.value());
    }
};

struct service_record
{
    double m_floor = service_config{}.m_floor;
    std::vector<upstream_record*> m_upstreams; ///< ordered by id
    std::map<work_class_name, running_median> m_medians;
    double m_outcomes = 0.0; ///< position of the decaying counts
    decaying_counts m_slow_or_error_counts;
    decaying_counts m_wrong_counts;
    outcome_rate m_own_rate;
    outcome_rate m_fleet_rate;
    double m_local_threshold = 0.0; ///< as of the latest tick
    double m_fleet_threshold = 0.0;

    [[nodiscard]] double window() const
    {
        return baseline_window_per_upstream *
               static_cast<double>(
                   std::max<std::size_t>(m_upstreams.size(), 1));
    }

    [[nodiscard]] double per_upstream(double outcomes) const
    {
        return outcomes / static_cast<double>(
                              std::max<std::size_t>(m_upstreams.size(), 1));
    }
};

struct attempt_record
{
    service_name m_service;
    work_class_name m_work_class;
    time_point m_started{};
    time_point m_slow_at{}; ///< time of its next count as slow
    duration m_slow_evidence_age{};
    int m_slow_counts = 0;
    bool m_is_excluded = false; ///< in flight while this VM was paused
};

using attempt_key = std::pair<request_ticket, upstream_id>;

struct outcome_sums
{
    double m_good = 0.0;
    double m_slow_or_error = 0.0;
    double m_wrong = 0.0;

    [[nodiscard]] double total() const
    {
        return m_good + m_slow_or_error + m_wrong;
    }
};

outcome_sums sums_of(evidence const& item)
{
    auto const bounded = [](std::uint32_t count)
    {
        return static_cast<double>(std::min(count, max_reported_count));
    };
    return {
        bounded(item.m_good),
        bounded(item.m_slow) + bounded(item.m_error),
        bounded(item.m_wrong)};
}

double share(duration part, duration whole)
{
    return std::chrono::duration<double>(part) /
           std::chrono::duration<double>(whole);
}

} // namespace

std::string_view to_string(upstream_status status) noexcept
{
    switch (status)
    {
    case upstream_status::in_service:
        return "in_service";
    case upstream_status::warming:
        return "warming";
    case upstream_status::avoided:
        return "avoided";
    case upstream_status::ejected:
        return "ejected";
    case upstream_status::probing:
        return "probing";
    case upstream_status::draining:
        return "draining";
    }
    return "unknown";
}

struct outlier_detector::implementation
{
    implementation(member self, std::uint64_t seed)
        : m_self{std::move(self)}, m_random{seed}
    {
    }

    upstream_record* find(upstream_id const& id)
    {
        auto const found = m_upstreams.find(id);
        return found == m_upstreams.end() ? nullptr : &found->second;
    }

    service_record& service_of(service_name const& name)
    {
        service_record& service = m_services[name];
        auto const configured = m_config.m_services.find(name);
        if (configured != m_config.m_services.end())
        {
            service.m_floor = configured->second.m_floor;
        }
        return service;
    }

    void set_status(
        upstream_record& record,
        upstream_status status,
        std::string const& reason)
    {
        if (record.m_status != status)
        {
            m_changes.push_back(
                {record.m_upstream.m_id, record.m_status, status, reason});
        }
        record.m_status = status;
        record.m_reason = reason;
        activate(record);
    }

    void activate(upstream_record& record)
    {
        m_active.emplace(record.m_upstream.m_id, &record);
    }

    void deactivate_idle(time_point now)
    {
        std::erase_if(
            m_active,
            [&](auto const& item)
            {
                upstream_record const& record = *item.second;
                return record.m_status == upstream_status::in_service &&
                       record.score() <= 0.0 && !record.m_required_by_floor &&
                       !record.m_own_latest.is_bad(now);
            });
    }

    // Evidence

    void add_evidence(
        time_point now,
        upstream_record& record,
        member const& reporter,
        outcome_sums const& sums,
        bool is_own)
    {
        if (sums.total() <= 0.0)
        {
            return;
        }
        service_record& service = *record.m_service;
        latest_outcome& latest =
            is_own ? record.m_own_latest : record.m_peer_latest;
        latest = {sums.m_slow_or_error + sums.m_wrong > sums.m_good, true, now};
        if (sums.m_slow_or_error + sums.m_wrong > 0.0)
        {
            activate(record);
        }
        if (is_own)
        {
            service.m_own_rate.add(now, sums.total());
        }
        if (!is_own || !m_suspects_own_network)
        {
            service.m_fleet_rate.add(now, sums.total());
        }
        double const share = record.m_is_cold ? cold_evidence_weight : 1.0;
        test_input const slow_or_error{
            service.m_slow_or_error_counts,
            record.m_slow_or_error_counts,
            min_slow_or_error_ratio,
            unhealthy_slow_or_error_ratio,
            share * sums.m_slow_or_error,
            sums.m_good,
            record.m_local.m_slow_or_error,
            record.m_fleet.m_slow_or_error};
        add_to_test(now, record, reporter, slow_or_error, is_own);
        test_input const wrong{
            service.m_wrong_counts,
            record.m_wrong_counts,
            min_wrong_ratio,
            unhealthy_wrong_ratio,
            share * sums.m_wrong,
            sums.m_good,
            record.m_local.m_wrong,
            record.m_fleet.m_wrong};
        add_to_test(now, record, reporter, wrong, is_own);
        count(record, sums);
    }

    /// Inputs of one of the two tests for a batch of outcomes.
    struct test_input
    {
        decaying_counts const& m_service_counts;
        decaying_counts const& m_own_counts;
        double m_min_ratio;       ///< lower bound at a healthy upstream
        double m_unhealthy_ratio; ///< lower bound at an unhealthy one
        double m_bad;
        double m_good;
        cusum& m_local;
        fleet_score& m_fleet;
    };

    void add_to_test(
        time_point now,
        upstream_record const& record,
        member const& reporter,
        test_input const& input,
        bool is_own)
    {
        double const p0 = healthy_failure_ratio(
            other_upstream_counts(
                input.m_service_counts, input.m_own_counts, *record.m_service),
            input.m_min_ratio);
        log_likelihood_ratios const weights =
            make_log_likelihood_ratios(p0, input.m_unhealthy_ratio);
        add_scores(
            now,
            reporter,
            input.m_bad * weights.m_bad,
            input.m_good * weights.m_good,
            is_own,
            record,
            input.m_local,
            input.m_fleet);
    }

    void add_scores(
        time_point now,
        member const& reporter,
        double bad,
        double good,
        bool is_own,
        upstream_record const& record,
        cusum& local,
        fleet_score& fleet)
    {
        if (is_own)
        {
            local.add(bad + good);
        }
        if (!is_own || !m_suspects_own_network)
        {
            double const threshold = record.m_service->m_fleet_threshold;
            double const cap = fleet.has_single_reporter(now)
                                   ? 2.0 * threshold
                                   : max_reporter_share * threshold;
            fleet.add(now, reporter, bad, good, cap);
        }
    }

    static outcome_counts other_upstream_counts(
        decaying_counts const& service_counts,
        decaying_counts const& own_counts,
        service_record const& service)
    {
        double const window = service.window();
        outcome_counts const all =
            service_counts.read(service.m_outcomes, window);
        outcome_counts const own = own_counts.read(service.m_outcomes, window);
        return {all.m_total - own.m_total, all.m_bad - own.m_bad};
    }

    static void count(upstream_record& record, outcome_sums const& sums)
    {
        service_record& service = *record.m_service;
        double const window = service.window();
        outcome_counts const slow_or_error{
            sums.m_good + sums.m_slow_or_error, sums.m_slow_or_error};
        outcome_counts const wrong{sums.m_good + sums.m_wrong, sums.m_wrong};
        service.m_outcomes += sums.total();
        service.m_slow_or_error_counts.add(
            service.m_outcomes, window, slow_or_error);
        service.m_wrong_counts.add(service.m_outcomes, window, wrong);
        record.m_slow_or_error_counts.add(
            service.m_outcomes, window, slow_or_error);
        record.m_wrong_counts.add(service.m_outcomes, window, wrong);
    }

    void add_own_outcome(
        time_point now, upstream_record& record, attempt_outcome outcome)
    {
        outcome_sums sums;
        switch (outcome)
        {
        case attempt_outcome::good:
            sums.m_good = 1.0;
            ++record.m_unsent_evidence.m_good;
            break;
        case attempt_outcome::slow:
            sums.m_slow_or_error = 1.0;
            ++record.m_unsent_evidence.m_slow;
            break;
        case attempt_outcome::error:
        case attempt_outcome::crashed:
            sums.m_slow_or_error = 1.0;
            ++record.m_unsent_evidence.m_error;
            break;
        case attempt_outcome::wrong:
            sums.m_wrong = 1.0;
            ++record.m_unsent_evidence.m_wrong;
            break;
        case attempt_outcome::shed:
        case attempt_outcome::cancelled:
            return;
        }
        m_unsent_evidence.insert(record.m_upstream.m_id);
        add_evidence(now, record, m_self, sums, true);
    }

    // Thresholds. The allowed false alarms are split between the two tests and
    // reduced by a margin: several VMs test each upstream and slow responses
    // come in bursts, so that without it the fleet ejected about four times as
    // often.

    [[nodiscard]] double threshold(double outcomes_per_hour) const
    {
        return alarm_threshold(
            outcomes_per_hour,
            m_config.m_detection.m_false_ejections_per_hour / 2.0 /
                false_alarm_margin);
    }

    void update_thresholds(time_point now, service_record& service) const
    {
        service.m_local_threshold =
            threshold(service.per_upstream(service.m_own_rate.per_hour(now)));
        service.m_fleet_threshold =
            threshold(service.per_upstream(service.m_fleet_rate.per_hour(now)));
    }

    // Slow attempts

    [[nodiscard]] std::optional<duration> median_of(
        service_name const& service, work_class_name const& work_class) const
    {
        auto const record = m_services.find(service);
        if (record == m_services.end())
        {
            return std::nullopt;
        }
        auto const median = record->second.m_medians.find(work_class);
        return median == record->second.m_medians.end()
                   ? std::nullopt
                   : median->second.value();
    }

    /// Age at which an attempt should be retried at another upstream.
    [[nodiscard]] duration slow_limit(
        service_name const& service,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target) const
    {
        duration const by_target =
            slow_target_multiple * duration{latency_target};
        auto const median = median_of(service, work_class);
        return std::max(
            by_target,
            slow_median_multiple * median.value_or(duration::zero()));
    }

    /// Age at which an attempt counts as slow. It depends on the median latency
    /// and not on the target, which may be many times as long: an upstream that
    /// became 5 times slower can still meet its target.
    [[nodiscard]] duration slow_evidence_age(
        service_name const& service,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target) const
    {
        auto const median = median_of(service, work_class);
        return median
                   ? std::max<duration>(
                         slow_median_multiple * *median, min_slow_evidence_age)
                   : slow_target_multiple * duration{latency_target};
    }

    void count_slow(time_point now)
    {
        while (!m_slow_deadlines.empty() &&
               m_slow_deadlines.begin()->first <= now)
        {
            attempt_key const key = m_slow_deadlines.begin()->second;
            m_slow_deadlines.erase(m_slow_deadlines.begin());
            attempt_record& attempt = m_attempts.at(key);
            if (attempt.m_slow_counts++ == 0)
            {
                add_latency(attempt, now - attempt.m_started);
                attempt.m_slow_at =
                    attempt.m_started +
                    very_slow_multiple * attempt.m_slow_evidence_age;
                m_slow_deadlines.emplace(attempt.m_slow_at, key);
            }
            if (upstream_record* record = find(key.second))
            {
                add_own_outcome(now, *record, attempt_outcome::slow);
            }
        }
    }

    void exclude_attempts_if_paused(time_point now)
    {
        if (!m_last_tick || now - *m_last_tick <= vm_pause_limit)
        {
            return;
        }
        m_slow_deadlines.clear();
        for (auto& [key, attempt] : m_attempts)
        {
            attempt.m_is_excluded = true;
        }
    }

    void add_latency(attempt_record const& attempt, duration age)
    {
        m_services[attempt.m_service].m_medians[attempt.m_work_class].add(age);
    }

    // Suspicion of this VM's own network

    /// The latest outcome is bad on this VM, and no peer reports a bad one.
    static bool
    is_bad_only_locally(time_point now, upstream_record const& record)
    {
        return record.m_own_latest.is_bad(now) &&
               !record.m_peer_latest.is_bad(now);
    }

    void update_own_network_suspicion(time_point now)
    {
        auto const bad = std::ranges::count_if(
            m_active,
            [&](auto const& item)
            {
                return is_bad_only_locally(now, *item.second);
            });
        bool const is_suspected =
            static_cast<std::size_t>(bad) >= min_upstreams_for_suspicion &&
            count_suspicious_domains(now) >= 2;
        if (is_suspected && !m_suspects_own_network)
        {
            remove_own_evidence();
        }
        m_suspects_own_network = is_suspected;
    }

    /// Failure domains in which more than half of the upstreams in use are bad
    /// only locally.
    [[nodiscard]] std::ptrdiff_t count_suspicious_domains(time_point now) const
    {
        struct counts
        {
            std::size_t m_seen = 0;
            std::size_t m_bad = 0;
        };
        std::map<failure_domain, counts> domains;
        for (auto const& [id, record] : m_upstreams)
        {
            if (record.m_own_latest.is_recent(now))
            {
                counts& domain = domains[record.m_upstream.m_failure_domain];
                ++domain.m_seen;
                domain.m_bad += is_bad_only_locally(now, record) ? 1 : 0;
            }
        }
        return std::ranges::count_if(
            domains,
            [](auto const& item)
            {
                return 2 * item.second.m_bad > item.second.m_seen;
            });
    }

    void remove_own_evidence()
    {
        for (auto& [id, record] : m_upstreams)
        {
            record.m_fleet.m_slow_or_error.remove_reporter(m_self.m_vm);
            record.m_fleet.m_wrong.remove_reporter(m_self.m_vm);
        }
    }

    // Ejection and return

    static capacity_floor floor_of(service_record const& service)
    {
        capacity_floor result;
        result.m_floor = service.m_floor;
        for (upstream_record const* record : service.m_upstreams)
        {
            if (record->is_live())
            {
                result.m_live_slots += record->m_upstream.m_slots;
            }
            if (record->is_usable())
            {
                result.add(record->m_upstream.m_slots);
            }
        }
        return result;
    }

    /// The latest outcome of more than half of the service's other upstreams is
    /// bad: they have a common cause, for example a shared database.
    static bool has_common_cause(time_point now, upstream_record const& record)
    {
        std::size_t seen = 0;
        std::size_t bad = 0;
        for (upstream_record const* other : record.m_service->m_upstreams)
        {
            latest_outcome const latest = other->latest();
            if (other == &record || !latest.is_recent(now))
            {
                continue;
            }
            ++seen;
            bad += latest.m_bad ? 1 : 0;
        }
        return seen > 0 && 2 * bad > seen;
    }

    /// Median slow-or-error score of the service's other upstreams. A score
    /// that they have in common is no evidence against one of them.
    static double median_score_of_others(upstream_record const& record)
    {
        std::vector<double> scores;
        for (upstream_record const* other : record.m_service->m_upstreams)
        {
            if (other != &record)
            {
                scores.push_back(other->m_fleet.m_slow_or_error.value());
            }
        }
        if (scores.empty())
        {
            return 0.0;
        }
        auto const middle =
            scores.begin() + static_cast<std::ptrdiff_t>(scores.size() / 2);
        std::nth_element(scores.begin(), middle, scores.end());
        return *middle;
    }

    [[nodiscard]] bool
    is_over_threshold(time_point now, upstream_record const& record) const
    {
        double const limit = record.m_service->m_fleet_threshold;
        double const score = record.m_fleet.m_slow_or_error.value();
        return score >= limit &&
               score - median_score_of_others(record) >= limit &&
               record.m_fleet.m_slow_or_error.is_corroborated(now);
    }

    [[nodiscard]] bool
    is_unhealthy_for_fleet(time_point now, upstream_record& record) const
    {
        if (!is_over_threshold(now, record))
        {
            record.m_over_threshold_since.reset();
        }
        else if (!record.m_over_threshold_since)
        {
            record.m_over_threshold_since = now;
        }
        bool const is_confirmed =
            record.m_over_threshold_since &&
            now - *record.m_over_threshold_since >= confirmation_time;
        bool const is_wrong = record.m_fleet.m_wrong.value() >=
                                  record.m_service->m_fleet_threshold &&
                              record.m_fleet.m_wrong.is_corroborated(now);
        return is_confirmed || is_wrong;
    }

    [[nodiscard]] static bool
    is_unhealthy_locally(upstream_record const& record)
    {
        return record.m_local.value() >= record.m_service->m_local_threshold;
    }

    static std::string reason_of(upstream_record const& record)
    {
        double const wrong = std::max(
            record.m_local.m_wrong.value(), record.m_fleet.m_wrong.value());
        double const slow_or_error = std::max(
            record.m_local.m_slow_or_error.value(),
            record.m_fleet.m_slow_or_error.value());
        return wrong >= slow_or_error ? "wrong" : "slow_or_error";
    }

    duration next_ejection_time(time_point now, upstream_record& record)
    {
        if (now - record.m_last_ejection > ejection_count_window)
        {
            record.m_ejections = 0;
        }
        duration time = base_ejection_time;
        for (int i = 0; i < record.m_ejections; ++i)
        {
            time = std::min<duration>(2 * time, max_ejection_time);
        }
        std::uniform_real_distribution<double> jitter{
            1.0 - ejection_jitter, 1.0 + ejection_jitter};
        return std::chrono::duration_cast<duration>(time * jitter(m_random));
    }

    void take_out_of_service(
        time_point now, upstream_record& record, upstream_status status)
    {
        record.m_out_of_service_until = now + next_ejection_time(now, record);
        record.m_score_at_removal = record.score();
        ++record.m_ejections;
        record.m_last_ejection = now;
        record.m_required_by_floor = false;
        set_status(record, status, reason_of(record));
    }

    void restore_to_service(upstream_record& record, std::string const& reason)
    {
        record.m_required_by_floor = true;
        set_status(record, upstream_status::in_service, reason);
    }

    /// The out-of-service upstream with the lowest score, nullptr if none is
    /// out of service.
    static upstream_record*
    least_bad_out_of_service(service_record const& service)
    {
        upstream_record* best = nullptr;
        for (upstream_record* record : service.m_upstreams)
        {
            bool const candidate =
                record->is_out_of_service() && !record->is_draining();
            if (candidate && (best == nullptr || record->m_score_at_removal <
                                                     best->m_score_at_removal))
            {
                best = record;
            }
        }
        return best;
    }

    void restore_floor(service_record const& service)
    {
        capacity_floor floor = floor_of(service);
        while (!floor.is_satisfied())
        {
            upstream_record* record = least_bad_out_of_service(service);
            if (record == nullptr)
            {
                return;
            }
            restore_to_service(*record, "floor");
            floor.add(record->m_upstream.m_slots);
        }
    }

    void restore_floors()
    {
        for (auto const& [name, service] : m_services)
        {
            restore_floor(service);
        }
    }

    /// Takes the upstream out of service if the floor allows it, possibly by
    /// restoring one with a lower score.
    void try_take_out_of_service(
        time_point now, upstream_record& record, upstream_status status)
    {
        service_record const& service = *record.m_service;
        capacity_floor floor = floor_of(service);
        if (floor.is_satisfied_without(record.m_upstream.m_slots))
        {
            take_out_of_service(now, record, status);
            return;
        }
        record.m_required_by_floor = true;
        upstream_record* const other = least_bad_out_of_service(service);
        if (other == nullptr ||
            other->m_score_at_removal + swap_margin > record.score())
        {
            return;
        }
        floor.add(other->m_upstream.m_slots);
        if (floor.is_satisfied_without(record.m_upstream.m_slots))
        {
            restore_to_service(*other, "floor");
            take_out_of_service(now, record, status);
        }
    }

    struct candidate
    {
        upstream_record* m_record = nullptr;
        upstream_status m_status = upstream_status::ejected;
    };

    /// Upstreams to take out of service, the highest score first.
    std::vector<candidate> removal_candidates(time_point now) const
    {
        std::vector<candidate> result;
        for (auto const& [id, record] : m_active)
        {
            if (auto const status = removal_status(now, *record))
            {
                result.push_back({record, *status});
            }
        }
        std::ranges::stable_sort(
            result,
            std::greater{},
            [](candidate const& item)
            {
                return item.m_record->score();
            });
        return result;
    }

    /// Status with which the evidence takes an upstream out of service, nullopt
    /// if it does not.
    [[nodiscard]] std::optional<upstream_status>
    removal_status(time_point now, upstream_record& record) const
    {
        bool const is_avoided = record.m_status == upstream_status::avoided;
        if (record.is_draining() || (record.is_out_of_service() && !is_avoided))
        {
            return std::nullopt;
        }
        bool const ejects =
            is_unhealthy_for_fleet(now, record) && !m_suspects_own_network;
        bool const avoids = !is_avoided && is_unhealthy_locally(record);
        if (!ejects && !avoids)
        {
            record.m_required_by_floor = false;
            return std::nullopt;
        }
        if (reason_of(record) != "wrong" && has_common_cause(now, record))
        {
            return std::nullopt;
        }
        return ejects ? upstream_status::ejected : upstream_status::avoided;
    }

    void take_candidates_out_of_service(time_point now)
    {
        for (candidate const& item : removal_candidates(now))
        {
            if (item.m_record->is_out_of_service())
            {
                // Already avoided; the fleet score now confirms it.
                set_status(
                    *item.m_record, item.m_status, item.m_record->m_reason);
                continue;
            }
            try_take_out_of_service(now, *item.m_record, item.m_status);
        }
    }

    void advance_status(time_point now, upstream_record& record)
    {
        bool const is_avoided_or_ejected =
            record.m_status == upstream_status::avoided ||
            record.m_status == upstream_status::ejected;
        if (is_avoided_or_ejected && now >= record.m_out_of_service_until)
        {
            record.m_next_probe = now;
            // Its ejection time has elapsed, so it is the first to be restored
            // for the floor.
            record.m_score_at_removal = 0.0;
            set_status(record, upstream_status::probing, "time_over");
        }
        if (record.m_status == upstream_status::warming &&
            now - record.m_warming_since >= slow_start_window)
        {
            record.m_is_cold = false;
            set_status(record, upstream_status::in_service, "warm");
        }
    }

    void start_warming(
        time_point now, upstream_record& record, std::string const& reason)
    {
        record.m_warming_since = now;
        record.m_required_by_floor = false;
        set_status(record, upstream_status::warming, reason);
    }

    void return_to_service(time_point now, upstream_record& record)
    {
        double const prior =
            return_score_share * record.m_service->m_fleet_threshold;
        double const local_prior =
            return_score_share * record.m_service->m_local_threshold;
        record.m_fleet.m_slow_or_error.reset(prior);
        record.m_fleet.m_wrong.reset(prior);
        record.m_local.m_slow_or_error.reset(local_prior);
        record.m_local.m_wrong.reset(local_prior);
        start_warming(now, record, "probe_ok");
    }

    [[nodiscard]] double
    weight(time_point now, upstream_record const& record) const
    {
        if (!record.is_usable())
        {
            return 0.0;
        }
        double const limit = record.m_required_by_floor ? floor_weight : 1.0;
        if (record.m_status != upstream_status::warming)
        {
            return limit;
        }
        double const elapsed_share =
            share(now - record.m_warming_since, slow_start_window);
        return limit * std::clamp(elapsed_share, min_weight, 1.0);
    }

    member m_self;
    std::mt19937_64 m_random;
    config m_config;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::map<service_name, service_record> m_services;
    std::map<attempt_key, attempt_record> m_attempts;
    std::set<std::pair<time_point, attempt_key>> m_slow_deadlines;
    std::optional<time_point> m_last_tick;
    std::set<upstream_id> m_unsent_evidence;
    /// Upstreams with a score or a status other than in service. Ticks visit
    /// only these, as a fleet has tens of thousands of upstreams.
    std::map<upstream_id, upstream_record*> m_active;
    std::vector<upstream_status_change> m_changes;
    bool m_suspects_own_network = false;
};

outlier_detector::outlier_detector(member self, std::uint64_t seed)
    : m_implementation{std::make_unique<implementation>(std::move(self), seed)}
{
}

outlier_detector::~outlier_detector() = default;
outlier_detector::outlier_detector(outlier_detector&&) noexcept = default;
outlier_detector&
outlier_detector::operator=(outlier_detector&&) noexcept = default;

void outlier_detector::set_config(time_point, config const& configuration)
{
    auto& self = *m_implementation;
    self.m_config = configuration;
    for (auto& [name, service] : self.m_services)
    {
        self.service_of(name);
    }
    self.restore_floors();
}

// New upstreams of a service that already had upstreams are cold.
void outlier_detector::set_upstreams(
    time_point now, std::span<upstream const> upstreams)
{
    auto& self = *m_implementation;
    std::set<upstream_id> listed;
    for (auto& [name, service] : self.m_services)
    {
        service.m_upstreams.clear();
    }
    std::set<service_name> known;
    for (auto const& [id, record] : self.m_upstreams)
    {
        known.insert(record.m_upstream.m_service);
    }
    for (upstream const& item : upstreams)
    {
        listed.insert(item.m_id);
        auto const [place, is_new] = self.m_upstreams.try_emplace(item.m_id);
        upstream_record& record = place->second;
        record.m_upstream = item;
        record.m_unsent_evidence.m_upstream = item.m_id;
        record.m_service = &self.service_of(item.m_service);
        if (is_new && known.contains(item.m_service))
        {
            record.m_is_cold = true;
            self.start_warming(now, record, "cold");
        }
    }
    auto const is_gone = [&](auto const& item)
    {
        return !listed.contains(item.first);
    };
    std::erase_if(self.m_active, is_gone);
    std::erase_if(self.m_upstreams, is_gone);
    for (auto& [id, record] : self.m_upstreams)
    {
        record.m_service->m_upstreams.push_back(&record);
    }
    for (auto& [name, service] : self.m_services)
    {
        self.update_thresholds(now, service);
    }
    self.restore_floors();
}

void outlier_detector::attempt_started(
    time_point now,
    request_ticket ticket,
    upstream_id const& target,
    work_class_name const& work_class,
    std::chrono::milliseconds latency_target)
{
    auto& self = *m_implementation;
    upstream_record const* record = self.find(target);
    if (record == nullptr)
    {
        return;
    }
    attempt_record attempt;
    attempt.m_service = record->m_upstream.m_service;
    attempt.m_work_class = work_class;
    attempt.m_started = now;
    attempt.m_slow_evidence_age =
        self.slow_evidence_age(attempt.m_service, work_class, latency_target);
    attempt.m_slow_at = now + attempt.m_slow_evidence_age;
    attempt_key const key{ticket, target};
    if (self.m_attempts.emplace(key, attempt).second)
    {
        self.m_slow_deadlines.emplace(attempt.m_slow_at, key);
    }
}

void outlier_detector::attempt_finished(
    time_point now,
    request_ticket ticket,
    upstream_id const& target,
    attempt_outcome outcome)
{
    auto& self = *m_implementation;
    self.exclude_attempts_if_paused(now);
    self.count_slow(now);
    auto const found = self.m_attempts.find(attempt_key{ticket, target});
    if (found == self.m_attempts.end())
    {
        return;
    }
    attempt_record const attempt = found->second;
    self.m_slow_deadlines.erase({attempt.m_slow_at, found->first});
    self.m_attempts.erase(found);
    upstream_record* record = self.find(target);
    if (record == nullptr)
    {
        return;
    }
    bool const is_wrong = outcome == attempt_outcome::wrong;
    if (!is_wrong && (attempt.m_slow_counts > 0 || attempt.m_is_excluded))
    {
        return;
    }
    if (outcome == attempt_outcome::good)
    {
        self.add_latency(attempt, now - attempt.m_started);
    }
    self.add_own_outcome(now, *record, outcome);
}

duration outlier_detector::slow_limit(
    service_name const& service,
    work_class_name const& work_class,
    std::chrono::milliseconds latency_target) const
{
    return m_implementation->slow_limit(service, work_class, latency_target);
}

void outlier_detector::report_draining(time_point, upstream_id const& target)
{
    auto& self = *m_implementation;
    upstream_record* record = self.find(target);
    if (record == nullptr || record->m_reported_draining)
    {
        return;
    }
    record->m_reported_draining = true;
    self.restore_floor(*record->m_service);
}

void outlier_detector::receive(
    time_point now, member const& reporter, std::span<evidence const> items)
{
    auto& self = *m_implementation;
    if (reporter.m_vm == self.m_self.m_vm)
    {
        return;
    }
    for (evidence const& item : items)
    {
        if (upstream_record* record = self.find(item.m_upstream))
        {
            self.add_evidence(now, *record, reporter, sums_of(item), false);
        }
    }
}

void outlier_detector::probe_finished(
    time_point now, upstream_id const& target, bool good)
{
    auto& self = *m_implementation;
    upstream_record* record = self.find(target);
    if (record == nullptr || record->m_status != upstream_status::probing)
    {
        return;
    }
    if (good)
    {
        self.return_to_service(now, *record);
        return;
    }
    record->m_next_probe = now + return_probe_interval;
}

std::vector<upstream_status_change> outlier_detector::tick(time_point now)
{
    auto& self = *m_implementation;
    self.exclude_attempts_if_paused(now);
    self.m_last_tick = now;
    self.count_slow(now);
    self.update_own_network_suspicion(now);
    for (auto& [name, service] : self.m_services)
    {
        self.update_thresholds(now, service);
    }
    for (auto const& [id, record] : self.m_active)
    {
        self.advance_status(now, *record);
    }
    self.take_candidates_out_of_service(now);
    self.deactivate_idle(now);
    return std::exchange(self.m_changes, {});
}

std::vector<upstream_id> outlier_detector::collect_due_probes(time_point now)
{
    std::vector<upstream_id> result;
    for (auto const& [id, record] : m_implementation->m_active)
    {
        if (record->m_status == upstream_status::probing &&
            !record->is_draining() && now >= record->m_next_probe)
        {
            record->m_next_probe = now + return_probe_interval;
            result.push_back(id);
        }
    }
    return result;
}

std::vector<evidence> outlier_detector::collect_evidence(time_point)
{
    auto& self = *m_implementation;
    std::vector<evidence> result;
    for (upstream_id const& id : std::exchange(self.m_unsent_evidence, {}))
    {
        upstream_record* record = self.find(id);
        if (record == nullptr)
        {
            continue;
        }
        evidence unsent = std::exchange(record->m_unsent_evidence, {});
        record->m_unsent_evidence.m_upstream = id;
        if (!self.m_suspects_own_network)
        {
            result.push_back(std::move(unsent));
        }
    }
    return result;
}

double outlier_detector::weight(time_point now, upstream_id const& target) const
{
    upstream_record const* record = m_implementation->find(target);
    return record == nullptr ? 0.0 : m_implementation->weight(now, *record);
}

bool outlier_detector::suspects_own_network() const
{
    return m_implementation->m_suspects_own_network;
}

std::vector<upstream_health> outlier_detector::status(time_point now) const
{
    std::vector<upstream_health> result;
    for (auto const& [id, record] : m_implementation->m_upstreams)
    {
        result.push_back(
            {id,
             record.m_upstream.m_service,
             record.is_draining() ? upstream_status::draining : record.m_status,
             m_implementation->weight(now, record),
             record.m_local.value(),
             record.m_fleet.value(),
             record.m_reason});
    }
    return result;
}

} // namespace briarhub
