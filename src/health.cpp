#include "health.hpp"

#include "pooled_score.hpp"
#include "running_median.hpp"
#include "sequential_test.hpp"
#include "service_baseline.hpp"
#include "slot_floor.hpp"

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

constexpr std::chrono::seconds ejection_time{10};
constexpr std::chrono::minutes longest_ejection_time{5};
constexpr std::chrono::minutes ejection_memory{10};

/// Ejection times vary by this share, so that the VMs do not all return to an
/// upstream that is still sick at the same moment.
constexpr double ejection_jitter = 0.2;

/// Interval of probes to an upstream whose ejection time is over.
constexpr std::chrono::seconds return_probe_interval{2};

constexpr std::chrono::seconds slow_start_time{10};
constexpr double least_weight = 0.1;

/// Weight of an upstream that looks sick but is needed for the floor.
constexpr double floor_weight = 0.5;

/// Evidence against a cold upstream counts this much.
constexpr double cold_evidence_share = 0.5;

/// Score of an upstream that returns, as a share of the threshold: it is
/// taken out again after fewer bad outcomes.
constexpr double return_score_share = 0.5;

/// Outcomes older than this say nothing about the present.
constexpr std::chrono::seconds outcome_memory{60};

/// Healthy ratios are at least this high. A wrong answer passes the checksums
/// of the network and needs a fault: two decide at any load.
constexpr double least_fault_ratio = 0.01;
constexpr double least_wrong_ratio = 1e-7;

/// Sick ratios that the tests are tuned to.
constexpr double sick_fault_ratio = 0.5;
constexpr double sick_wrong_ratio = 0.05;

/// A pause of an upstream, for example for garbage collection, delays all
/// attempts in flight at once. A score has to stay over the threshold for this
/// long, so that the outcomes after a short pause count too.
constexpr std::chrono::milliseconds confirmation_time{500};

/// One reporter adds at most this share of the threshold.
constexpr double reporter_share_limit = 0.6;

/// Outcomes of the service over which its usual ratio is taken, for each of
/// its upstreams.
constexpr double baseline_outcomes_per_upstream = 4.0;

/// Scores that differ by less rank equal at the floor; without the margin two
/// upstreams would take turns with every outcome.
constexpr double swap_margin = 4.0;

/// A VM with fewer bad upstreams than this does not doubt itself.
constexpr std::size_t least_doubt_upstreams = 3;

/// Bad outcomes that one report may hold for an upstream.
constexpr std::uint32_t largest_reported_count = 1000;

constexpr int slow_per_target = 2;
constexpr int slow_per_median = 4;

/// An attempt this many times older than the evidence limit counts once more:
/// such an age is as rare among slow healthy attempts as those are among all.
constexpr int very_slow_multiple = 4;

/// Without a tick for this long the VM was paused. Ages of attempts then tell
/// about this VM and not about upstreams.
constexpr std::chrono::seconds pause_limit{1};

/// The tests run with the configured false ejections divided by this.
constexpr double false_alarm_margin = 10.0;

/// Evidence of slowness needs at least this age: shorter delays come from the
/// scheduling of small VMs.
constexpr std::chrono::milliseconds least_slow_age{20};

/// An outcome and when it was seen.
struct latest_outcome
{
    bool m_bad = false;
    bool m_seen = false;
    time_point m_at{};

    [[nodiscard]] bool is_recent(time_point now) const
    {
        return m_seen && now - m_at <= outcome_memory;
    }

    [[nodiscard]] bool is_bad(time_point now) const
    {
        return is_recent(now) && m_bad;
    }
};

/// The two tests of an upstream from one point of view. Wrong answers have a
/// test of their own: they are rare even at a sick upstream, and good outcomes
/// in between would hide them.
struct local_scores
{
    cusum m_fault;
    cusum m_wrong;

    [[nodiscard]] double value() const
    {
        return std::max(m_fault.value(), m_wrong.value());
    }
};

struct pooled_scores
{
    pooled_score m_fault;
    pooled_score m_wrong;

    [[nodiscard]] double value() const
    {
        return std::max(m_fault.value(), m_wrong.value());
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
    bool m_is_cold = false;       ///< warming for the first time
    bool m_held_by_floor = false; ///< looks sick but is needed
    time_point m_warming_since{};
    time_point m_out_until{};
    time_point m_next_probe{};
    double m_score_when_out = 0.0;
    std::optional<time_point> m_over_since; ///< fault score over the threshold
    int m_ejections = 0;                    ///< within `ejection_memory`
    time_point m_last_ejection{};

    local_scores m_local;
    pooled_scores m_pooled;
    latest_outcome m_own_latest;
    latest_outcome m_peer_latest;
    fading_counts m_fault_counts;
    fading_counts m_wrong_counts;
    evidence m_news;

    [[nodiscard]] bool is_live() const
    {
        return m_upstream.m_state == vm_state::live;
    }

    [[nodiscard]] bool is_draining() const
    {
        return m_reported_draining || !is_live();
    }

    [[nodiscard]] bool is_out() const
    {
        return m_status == upstream_status::avoided ||
               m_status == upstream_status::ejected ||
               m_status == upstream_status::probing;
    }

    [[nodiscard]] bool is_usable() const
    {
        return !is_draining() && !is_out();
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
        return std::max(m_local.value(), m_pooled.value());
    }
};

struct service_record
{
    double m_floor = service_config{}.m_floor;
    std::vector<upstream_record*> m_upstreams; ///< ordered by id
    std::map<work_class_name, running_median> m_medians;
    double m_outcomes = 0.0; ///< position of the fading counts
    fading_counts m_fault_counts;
    fading_counts m_wrong_counts;
    outcome_rate m_own_rate;
    outcome_rate m_fleet_rate;
    double m_local_threshold = 0.0; ///< as of the latest tick
    double m_fleet_threshold = 0.0;

    [[nodiscard]] double window() const
    {
        return baseline_outcomes_per_upstream *
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
    time_point m_slow_at{}; ///< when it counts as slow next
    duration m_slow_limit{};
    int m_slow_counts = 0;
    bool m_is_excused = false; ///< in flight while this VM was paused
};

using attempt_key = std::pair<request_ticket, upstream_id>;

struct outcome_sums
{
    double m_good = 0.0;
    double m_fault = 0.0;
    double m_wrong = 0.0;

    [[nodiscard]] double total() const
    {
        return m_good + m_fault + m_wrong;
    }
};

outcome_sums sums_of(evidence const& item)
{
    auto const bounded = [](std::uint32_t count)
    {
        return static_cast<double>(std::min(count, largest_reported_count));
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

struct health_monitor::implementation
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
                       record.score() <= 0.0 && !record.m_held_by_floor &&
                       !record.m_own_latest.is_bad(now);
            });
    }

    // Evidence.

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
        latest = {sums.m_fault + sums.m_wrong > sums.m_good, true, now};
        if (sums.m_fault + sums.m_wrong > 0.0)
        {
            activate(record);
        }
        if (is_own)
        {
            service.m_own_rate.add(now, sums.total());
        }
        if (!is_own || !m_doubts_itself)
        {
            service.m_fleet_rate.add(now, sums.total());
        }
        double const share = record.m_is_cold ? cold_evidence_share : 1.0;
        test_input const fault{
            service.m_fault_counts,
            record.m_fault_counts,
            least_fault_ratio,
            sick_fault_ratio,
            share * sums.m_fault,
            sums.m_good,
            record.m_local.m_fault,
            record.m_pooled.m_fault};
        add_to_test(now, record, reporter, fault, is_own);
        test_input const wrong{
            service.m_wrong_counts,
            record.m_wrong_counts,
            least_wrong_ratio,
            sick_wrong_ratio,
            share * sums.m_wrong,
            sums.m_good,
            record.m_local.m_wrong,
            record.m_pooled.m_wrong};
        add_to_test(now, record, reporter, wrong, is_own);
        count(record, sums);
    }

    /// What one of the two tests needs of a batch of outcomes.
    struct test_input
    {
        fading_counts const& m_service_counts;
        fading_counts const& m_own_counts;
        double m_least_ratio; ///< bad outcomes of a healthy upstream, at least
        double m_sick_ratio;  ///< bad outcomes of a sick upstream, at least
        double m_bad;
        double m_good;
        cusum& m_local;
        pooled_score& m_pooled;
    };

    void add_to_test(
        time_point now,
        upstream_record const& record,
        member const& reporter,
        test_input const& input,
        bool is_own)
    {
        double const p0 = healthy_ratio(
            others(
                input.m_service_counts, input.m_own_counts, *record.m_service),
            input.m_least_ratio);
        test_weights const weights = make_weights(p0, input.m_sick_ratio);
        add_scores(
            now,
            reporter,
            input.m_bad * weights.m_bad,
            input.m_good * weights.m_good,
            is_own,
            record,
            input.m_local,
            input.m_pooled);
    }

    void add_scores(
        time_point now,
        member const& reporter,
        double bad,
        double good,
        bool is_own,
        upstream_record const& record,
        cusum& local,
        pooled_score& pooled)
    {
        if (is_own)
        {
            local.add(bad + good);
        }
        if (!is_own || !m_doubts_itself)
        {
            double const threshold = record.m_service->m_fleet_threshold;
            double const cap = pooled.has_single_reporter(now)
                                   ? 2.0 * threshold
                                   : reporter_share_limit * threshold;
            pooled.add(now, reporter, bad, good, cap);
        }
    }

    static outcome_counts others(
        fading_counts const& service_counts,
        fading_counts const& own_counts,
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
        outcome_counts const fault{sums.m_good + sums.m_fault, sums.m_fault};
        outcome_counts const wrong{sums.m_good + sums.m_wrong, sums.m_wrong};
        service.m_outcomes += sums.total();
        service.m_fault_counts.add(service.m_outcomes, window, fault);
        service.m_wrong_counts.add(service.m_outcomes, window, wrong);
        record.m_fault_counts.add(service.m_outcomes, window, fault);
        record.m_wrong_counts.add(service.m_outcomes, window, wrong);
    }

    void
    add_own(time_point now, upstream_record& record, attempt_outcome outcome)
    {
        outcome_sums sums;
        switch (outcome)
        {
        case attempt_outcome::good:
            sums.m_good = 1.0;
            ++record.m_news.m_good;
            break;
        case attempt_outcome::slow:
            sums.m_fault = 1.0;
            ++record.m_news.m_slow;
            break;
        case attempt_outcome::error:
        case attempt_outcome::crashed:
            sums.m_fault = 1.0;
            ++record.m_news.m_error;
            break;
        case attempt_outcome::wrong:
            sums.m_wrong = 1.0;
            ++record.m_news.m_wrong;
            break;
        case attempt_outcome::shed:
        case attempt_outcome::cancelled:
            return;
        }
        m_news.insert(record.m_upstream.m_id);
        add_evidence(now, record, m_self, sums, true);
    }

    // Thresholds. The allowed false alarms are shared by the two tests and
    // reduced by a margin: several VMs test each upstream, and slow answers
    // come in groups, so that the fleet ejected about four times as often.

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

    // Slow attempts.

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

    /// Age at which an attempt is worth a second one elsewhere.
    [[nodiscard]] duration slow_limit(
        service_name const& service,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target) const
    {
        duration const by_target = slow_per_target * duration{latency_target};
        auto const median = median_of(service, work_class);
        return std::max(
            by_target, slow_per_median * median.value_or(duration::zero()));
    }

    /// Age at which an attempt is evidence. It depends on the usual latency
    /// and not on the target, which may be many times as long: an upstream
    /// that became 5 times slower can still meet its target.
    [[nodiscard]] duration evidence_limit(
        service_name const& service,
        work_class_name const& work_class,
        std::chrono::milliseconds latency_target) const
    {
        auto const median = median_of(service, work_class);
        return median ? std::max<duration>(
                            slow_per_median * *median, least_slow_age)
                      : slow_per_target * duration{latency_target};
    }

    void count_slow(time_point now)
    {
        while (!m_slow_due.empty() && m_slow_due.begin()->first <= now)
        {
            attempt_key const key = m_slow_due.begin()->second;
            m_slow_due.erase(m_slow_due.begin());
            attempt_record& attempt = m_attempts.at(key);
            if (attempt.m_slow_counts++ == 0)
            {
                add_latency(attempt, now - attempt.m_started);
                attempt.m_slow_at = attempt.m_started +
                                    very_slow_multiple * attempt.m_slow_limit;
                m_slow_due.emplace(attempt.m_slow_at, key);
            }
            if (upstream_record* record = find(key.second))
            {
                add_own(now, *record, attempt_outcome::slow);
            }
        }
    }

    void excuse_if_paused(time_point now)
    {
        if (!m_last_tick || now - *m_last_tick <= pause_limit)
        {
            return;
        }
        m_slow_due.clear();
        for (auto& [key, attempt] : m_attempts)
        {
            attempt.m_is_excused = true;
        }
    }

    void add_latency(attempt_record const& attempt, duration age)
    {
        m_services[attempt.m_service].m_medians[attempt.m_work_class].add(age);
    }

    // Doubt about this VM's own network.

    /// Bad for this VM while no peer confirms it.
    static bool
    looks_bad_here_only(time_point now, upstream_record const& record)
    {
        return record.m_own_latest.is_bad(now) &&
               !record.m_peer_latest.is_bad(now);
    }

    void update_doubt(time_point now)
    {
        auto const bad = std::ranges::count_if(
            m_active,
            [&](auto const& item)
            {
                return looks_bad_here_only(now, *item.second);
            });
        bool const doubts =
            static_cast<std::size_t>(bad) >= least_doubt_upstreams &&
            count_bad_domains(now) >= 2;
        if (doubts && !m_doubts_itself)
        {
            withdraw_own_evidence();
        }
        m_doubts_itself = doubts;
    }

    /// Failure domains of which more than half of the upstreams in use look
    /// bad here only.
    [[nodiscard]] std::ptrdiff_t count_bad_domains(time_point now) const
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
                domain.m_bad += looks_bad_here_only(now, record) ? 1 : 0;
            }
        }
        return std::ranges::count_if(
            domains,
            [](auto const& item)
            {
                return 2 * item.second.m_bad > item.second.m_seen;
            });
    }

    void withdraw_own_evidence()
    {
        for (auto& [id, record] : m_upstreams)
        {
            record.m_pooled.m_fault.withdraw(m_self.m_vm);
            record.m_pooled.m_wrong.withdraw(m_self.m_vm);
        }
    }

    // Decisions.

    static slot_floor floor_of(service_record const& service)
    {
        slot_floor result;
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

    /// More than half of the service's other upstreams had a bad outcome
    /// last: the cause is common to them, for example a shared database.
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

    /// Median fault score of the service's other upstreams. What they have in
    /// common is no evidence against one of them.
    static double common_score(upstream_record const& record)
    {
        std::vector<double> scores;
        for (upstream_record const* other : record.m_service->m_upstreams)
        {
            if (other != &record)
            {
                scores.push_back(other->m_pooled.m_fault.value());
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
        double const score = record.m_pooled.m_fault.value();
        return score >= limit && score - common_score(record) >= limit &&
               record.m_pooled.m_fault.is_agreed(now);
    }

    [[nodiscard]] bool
    is_fleet_sick(time_point now, upstream_record& record) const
    {
        if (!is_over_threshold(now, record))
        {
            record.m_over_since.reset();
        }
        else if (!record.m_over_since)
        {
            record.m_over_since = now;
        }
        bool const is_confirmed =
            record.m_over_since &&
            now - *record.m_over_since >= confirmation_time;
        bool const is_wrong = record.m_pooled.m_wrong.value() >=
                                  record.m_service->m_fleet_threshold &&
                              record.m_pooled.m_wrong.is_agreed(now);
        return is_confirmed || is_wrong;
    }

    [[nodiscard]] static bool is_locally_sick(upstream_record const& record)
    {
        return record.m_local.value() >= record.m_service->m_local_threshold;
    }

    static std::string reason_of(upstream_record const& record)
    {
        double const wrong = std::max(
            record.m_local.m_wrong.value(), record.m_pooled.m_wrong.value());
        double const fault = std::max(
            record.m_local.m_fault.value(), record.m_pooled.m_fault.value());
        return wrong >= fault ? "wrong" : "slow_or_error";
    }

    duration next_ejection_time(time_point now, upstream_record& record)
    {
        if (now - record.m_last_ejection > ejection_memory)
        {
            record.m_ejections = 0;
        }
        duration time = ejection_time;
        for (int i = 0; i < record.m_ejections; ++i)
        {
            time = std::min<duration>(2 * time, longest_ejection_time);
        }
        std::uniform_real_distribution<double> jitter{
            1.0 - ejection_jitter, 1.0 + ejection_jitter};
        return std::chrono::duration_cast<duration>(time * jitter(m_random));
    }

    void
    take_out(time_point now, upstream_record& record, upstream_status status)
    {
        record.m_out_until = now + next_ejection_time(now, record);
        record.m_score_when_out = record.score();
        ++record.m_ejections;
        record.m_last_ejection = now;
        record.m_held_by_floor = false;
        set_status(record, status, reason_of(record));
    }

    void bring_back(upstream_record& record, std::string const& reason)
    {
        record.m_held_by_floor = true;
        set_status(record, upstream_status::in_service, reason);
    }

    /// The least bad upstream that is out, nullptr if none is.
    static upstream_record* least_bad_out(service_record const& service)
    {
        upstream_record* best = nullptr;
        for (upstream_record* record : service.m_upstreams)
        {
            bool const candidate = record->is_out() && !record->is_draining();
            if (candidate && (best == nullptr || record->m_score_when_out <
                                                     best->m_score_when_out))
            {
                best = record;
            }
        }
        return best;
    }

    void restore_floor(service_record const& service)
    {
        slot_floor floor = floor_of(service);
        while (!floor.holds())
        {
            upstream_record* record = least_bad_out(service);
            if (record == nullptr)
            {
                return;
            }
            bring_back(*record, "floor");
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

    /// Takes the upstream out if the floor allows it, possibly in exchange
    /// for a less bad one that is out.
    void try_take_out(
        time_point now, upstream_record& record, upstream_status status)
    {
        service_record const& service = *record.m_service;
        slot_floor floor = floor_of(service);
        if (floor.holds_without(record.m_upstream.m_slots))
        {
            take_out(now, record, status);
            return;
        }
        record.m_held_by_floor = true;
        upstream_record* const other = least_bad_out(service);
        if (other == nullptr ||
            other->m_score_when_out + swap_margin > record.score())
        {
            return;
        }
        floor.add(other->m_upstream.m_slots);
        if (floor.holds_without(record.m_upstream.m_slots))
        {
            bring_back(*other, "floor");
            take_out(now, record, status);
        }
    }

    struct candidate
    {
        upstream_record* m_record = nullptr;
        upstream_status m_status = upstream_status::ejected;
    };

    /// Upstreams to take out, the worst first.
    std::vector<candidate> candidates(time_point now) const
    {
        std::vector<candidate> result;
        for (auto const& [id, record] : m_active)
        {
            if (auto const status = wanted_status(now, *record))
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

    /// Whether and how the evidence takes an upstream out.
    [[nodiscard]] std::optional<upstream_status>
    wanted_status(time_point now, upstream_record& record) const
    {
        bool const is_avoided = record.m_status == upstream_status::avoided;
        if (record.is_draining() || (record.is_out() && !is_avoided))
        {
            return std::nullopt;
        }
        bool const ejects = is_fleet_sick(now, record) && !m_doubts_itself;
        bool const avoids = !is_avoided && is_locally_sick(record);
        if (!ejects && !avoids)
        {
            record.m_held_by_floor = false;
            return std::nullopt;
        }
        if (reason_of(record) != "wrong" && has_common_cause(now, record))
        {
            return std::nullopt;
        }
        return ejects ? upstream_status::ejected : upstream_status::avoided;
    }

    void decide(time_point now)
    {
        for (candidate const& item : candidates(now))
        {
            if (item.m_record->is_out())
            {
                // Avoided before; the fleet now agrees.
                set_status(
                    *item.m_record, item.m_status, item.m_record->m_reason);
                continue;
            }
            try_take_out(now, *item.m_record, item.m_status);
        }
    }

    void advance_status(time_point now, upstream_record& record)
    {
        bool const out = record.m_status == upstream_status::avoided ||
                         record.m_status == upstream_status::ejected;
        if (out && now >= record.m_out_until)
        {
            record.m_next_probe = now;
            // Served its time: the first to return if the floor needs one.
            record.m_score_when_out = 0.0;
            set_status(record, upstream_status::probing, "time_over");
        }
        if (record.m_status == upstream_status::warming &&
            now - record.m_warming_since >= slow_start_time)
        {
            record.m_is_cold = false;
            set_status(record, upstream_status::in_service, "warm");
        }
    }

    void start_warming(
        time_point now, upstream_record& record, std::string const& reason)
    {
        record.m_warming_since = now;
        record.m_held_by_floor = false;
        set_status(record, upstream_status::warming, reason);
    }

    void return_to_service(time_point now, upstream_record& record)
    {
        double const prior =
            return_score_share * record.m_service->m_fleet_threshold;
        double const local_prior =
            return_score_share * record.m_service->m_local_threshold;
        record.m_pooled.m_fault.reset(prior);
        record.m_pooled.m_wrong.reset(prior);
        record.m_local.m_fault.reset(local_prior);
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
        double const limit = record.m_held_by_floor ? floor_weight : 1.0;
        if (record.m_status != upstream_status::warming)
        {
            return limit;
        }
        double const passed =
            share(now - record.m_warming_since, slow_start_time);
        return limit * std::clamp(passed, least_weight, 1.0);
    }

    member m_self;
    std::mt19937_64 m_random;
    config m_config;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::map<service_name, service_record> m_services;
    std::map<attempt_key, attempt_record> m_attempts;
    std::set<std::pair<time_point, attempt_key>> m_slow_due;
    std::optional<time_point> m_last_tick;
    std::set<upstream_id> m_news;
    /// Upstreams with a score or out of usual service. Ticks look at no
    /// others: a fleet has tens of thousands of upstreams.
    std::map<upstream_id, upstream_record*> m_active;
    std::vector<health_change> m_changes;
    bool m_doubts_itself = false;
};

health_monitor::health_monitor(member self, std::uint64_t seed)
    : m_implementation{std::make_unique<implementation>(std::move(self), seed)}
{
}

health_monitor::~health_monitor() = default;
health_monitor::health_monitor(health_monitor&&) noexcept = default;
health_monitor& health_monitor::operator=(health_monitor&&) noexcept = default;

void health_monitor::set_config(time_point, config const& configuration)
{
    auto& self = *m_implementation;
    self.m_config = configuration;
    for (auto& [name, service] : self.m_services)
    {
        self.service_of(name);
    }
    self.restore_floors();
}

// Upstreams that appear in a service which had some before are cold.
void health_monitor::set_upstreams(
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
        record.m_news.m_upstream = item.m_id;
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

void health_monitor::attempt_started(
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
    attempt.m_slow_limit =
        self.evidence_limit(attempt.m_service, work_class, latency_target);
    attempt.m_slow_at = now + attempt.m_slow_limit;
    attempt_key const key{ticket, target};
    if (self.m_attempts.emplace(key, attempt).second)
    {
        self.m_slow_due.emplace(attempt.m_slow_at, key);
    }
}

void health_monitor::attempt_finished(
    time_point now,
    request_ticket ticket,
    upstream_id const& target,
    attempt_outcome outcome)
{
    auto& self = *m_implementation;
    self.excuse_if_paused(now);
    self.count_slow(now);
    auto const found = self.m_attempts.find(attempt_key{ticket, target});
    if (found == self.m_attempts.end())
    {
        return;
    }
    attempt_record const attempt = found->second;
    self.m_slow_due.erase({attempt.m_slow_at, found->first});
    self.m_attempts.erase(found);
    upstream_record* record = self.find(target);
    if (record == nullptr)
    {
        return;
    }
    bool const is_wrong = outcome == attempt_outcome::wrong;
    if (!is_wrong && (attempt.m_slow_counts > 0 || attempt.m_is_excused))
    {
        return;
    }
    if (outcome == attempt_outcome::good)
    {
        self.add_latency(attempt, now - attempt.m_started);
    }
    self.add_own(now, *record, outcome);
}

duration health_monitor::slow_limit(
    service_name const& service,
    work_class_name const& work_class,
    std::chrono::milliseconds latency_target) const
{
    return m_implementation->slow_limit(service, work_class, latency_target);
}

void health_monitor::report_draining(time_point, upstream_id const& target)
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

void health_monitor::receive(
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

void health_monitor::probe_finished(
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

std::vector<health_change> health_monitor::tick(time_point now)
{
    auto& self = *m_implementation;
    self.excuse_if_paused(now);
    self.m_last_tick = now;
    self.count_slow(now);
    self.update_doubt(now);
    for (auto& [name, service] : self.m_services)
    {
        self.update_thresholds(now, service);
    }
    for (auto const& [id, record] : self.m_active)
    {
        self.advance_status(now, *record);
    }
    self.decide(now);
    self.deactivate_idle(now);
    return std::exchange(self.m_changes, {});
}

std::vector<upstream_id> health_monitor::take_probes(time_point now)
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

std::vector<evidence> health_monitor::take_evidence(time_point)
{
    auto& self = *m_implementation;
    std::vector<evidence> result;
    for (upstream_id const& id : std::exchange(self.m_news, {}))
    {
        upstream_record* record = self.find(id);
        if (record == nullptr)
        {
            continue;
        }
        evidence news = std::exchange(record->m_news, {});
        record->m_news.m_upstream = id;
        if (!self.m_doubts_itself)
        {
            result.push_back(std::move(news));
        }
    }
    return result;
}

double health_monitor::weight(time_point now, upstream_id const& target) const
{
    upstream_record const* record = m_implementation->find(target);
    return record == nullptr ? 0.0 : m_implementation->weight(now, *record);
}

bool health_monitor::is_self_doubting() const
{
    return m_implementation->m_doubts_itself;
}

std::vector<upstream_health> health_monitor::status(time_point now) const
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
             record.m_pooled.value(),
             record.m_reason});
    }
    return result;
}

} // namespace briarhub
