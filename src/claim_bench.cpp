#include "claim_bench.hpp"

#include "claim_table.hpp"
#include "claim_writer.hpp"
#include "idempotency_key.hpp"

#include <malloc.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace briarhub
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t fleet_size = 36;
constexpr std::array claim_rates{50.0, 200.0, 800.0}; ///< per second

/// One-way delay between a VM and the log, for an append as well as for its
/// response and its record.
constexpr std::chrono::microseconds log_delay{2500};

constexpr duration simulated_time = 20s;
constexpr duration simulated_step = 250us;

/// Time from the decision on a claim to the outcome of its request.
constexpr duration execution_time = 50ms;

constexpr duration request_timeout = 2s;
constexpr std::size_t outcome_body_bytes = 200;
constexpr time_point start_time{std::chrono::hours{1}};
constexpr wall_time wall_start{std::chrono::milliseconds{1'800'000'000'000}};

/// Generates a UUIDv7 from the seeded generator, so that runs with one seed
/// use equal keys.
std::string make_key(std::mt19937_64& random, wall_time at)
{
    uuid_bytes uuid{};
    auto const time = at.time_since_epoch().count();
    for (std::size_t i = 0; i < uuid.size(); ++i)
    {
        uuid[i] = i < 6 ? static_cast<unsigned char>(time >> (40 - 8 * i))
                        : static_cast<unsigned char>(random());
    }
    uuid[6] = static_cast<unsigned char>((uuid[6] & 0x0fU) | 0x70U);
    uuid[8] = static_cast<unsigned char>((uuid[8] & 0x3fU) | 0x80U);
    return to_text(uuid);
}

claim_name make_name(std::mt19937_64& random)
{
    std::string const account = fmt::format("account-{}", random() % 8);
    return {account, make_key(random, wall_start)};
}

claim_outcome make_outcome(claim_name const& name, claim_id const& id)
{
    std::string const body(outcome_body_bytes, 'x');
    return {
        name,
        id,
        true,
        200,
        {{"Content-Type", "application/json"}},
        body,
        body.size(),
        true};
}

struct load_figures
{
    double m_appends_per_second = 0.0;
    double m_refused_percent = 0.0;
    double m_p50_ms = 0.0;
    double m_p99_ms = 0.0;
};

double quantile_ms(std::vector<duration> latencies, double share)
{
    if (latencies.empty())
    {
        return 0.0;
    }
    auto const position = static_cast<std::size_t>(
        share * static_cast<double>(latencies.size() - 1));
    std::nth_element(
        latencies.begin(),
        latencies.begin() + static_cast<std::ptrdiff_t>(position),
        latencies.end());
    return std::chrono::duration<double, std::milli>{latencies[position]}
        .count();
}

load_figures make_figures(
    std::size_t appends,
    std::size_t refused,
    std::vector<duration> const& latencies)
{
    double const seconds =
        std::chrono::duration<double>{simulated_time}.count();
    auto const total = static_cast<double>(refused + latencies.size());
    return {
        static_cast<double>(appends) / seconds,
        100.0 * static_cast<double>(refused) / std::max(total, 1.0),
        quantile_ms(latencies, 0.5),
        quantile_ms(latencies, 0.99)};
}

std::vector<time_point> make_arrivals(double rate, std::mt19937_64& random)
{
    std::exponential_distribution<double> gap{rate};
    std::vector<time_point> arrivals;
    std::chrono::duration<double> at{gap(random)};
    while (at < simulated_time)
    {
        arrivals.push_back(
            start_time + std::chrono::duration_cast<duration>(at));
        at += std::chrono::duration<double>{gap(random)};
    }
    return arrivals;
}

/// Simulates the claim writers of a fleet. They share one table, since all of
/// them read the log with the same delay.
class claim_simulation
{
public:
    explicit claim_simulation(std::uint64_t seed) : m_random(seed)
    {
        m_table.set_covered_since(wall_time{});
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            m_vms.emplace_back(
                member{fmt::format("vm-{}", i), m_random(), "a"});
            m_vms.back().m_writer.set_member_count(fleet_size);
        }
    }

    load_figures run(double rate)
    {
        auto const arrivals = make_arrivals(rate, m_random);
        auto next = arrivals.begin();
        for (; m_now < start_time + simulated_time; m_now += simulated_step)
        {
            while (next != arrivals.end() && *next <= m_now)
            {
                request(*next);
                ++next;
            }
            complete_appends();
            for (vm& entry : m_vms)
            {
                step(entry);
            }
        }
        return make_figures(m_appends, m_refused, m_latencies);
    }

private:
    struct vm
    {
        explicit vm(member self) : m_writer(std::move(self))
        {
        }

        claim_writer m_writer;
        std::deque<std::pair<time_point, claim_outcome>> m_running;
    };

    struct append
    {
        time_point m_completed_at{};
        vm* m_from = nullptr;
        std::string m_data;
    };

    struct pending_request
    {
        time_point m_at{};
        claim_name m_name;
    };

    void request(time_point at)
    {
        vm& entry = m_vms[m_random() % fleet_size];
        request_ticket const ticket = ++m_last_ticket;
        claim_name name = make_name(m_random);
        m_pending_requests[ticket] = {at, name};
        std::string const digest(64, 'a');
        entry.m_writer.request(
            at, ticket, std::move(name), digest, at + request_timeout);
    }

    /// The response to an append and its record arrive at the same time.
    void complete_appends()
    {
        while (!m_log.empty() && m_log.front().m_completed_at <= m_now)
        {
            append const completed = std::move(m_log.front());
            m_log.pop_front();
            log_offset const offset = m_table.next_offset();
            m_table.fold({offset, wall_start, completed.m_data});
            completed.m_from->m_writer.append_succeeded(m_now, offset);
        }
    }

    void step(vm& entry)
    {
        while (!entry.m_running.empty() &&
               entry.m_running.front().first <= m_now)
        {
            entry.m_writer.record_outcome(
                std::move(entry.m_running.front().second));
            entry.m_running.pop_front();
        }
        for (claim_decision const& decision :
             entry.m_writer.poll(m_now, m_table))
        {
            handle_decision(entry, decision);
        }
        if (auto record = entry.m_writer.start_append(m_now))
        {
            ++m_appends;
            m_log.push_back(
                {m_now + 2 * log_delay, &entry, std::move(*record)});
        }
    }

    void handle_decision(vm& entry, claim_decision const& decision)
    {
        pending_request const request =
            m_pending_requests.at(decision.m_ticket);
        m_pending_requests.erase(decision.m_ticket);
        auto const* const won = std::get_if<claim_won>(&decision.m_verdict);
        if (won == nullptr)
        {
            ++m_refused;
            return;
        }
        m_latencies.push_back(m_now - request.m_at);
        entry.m_running.emplace_back(
            m_now + execution_time,
            make_outcome(request.m_name, won->m_claim_id));
    }

    std::mt19937_64 m_random;
    time_point m_now = start_time;
    claim_table m_table;
    std::deque<vm> m_vms;
    std::deque<append> m_log;
    std::map<request_ticket, pending_request> m_pending_requests;
    request_ticket m_last_ticket = 0;
    std::size_t m_appends = 0;
    std::size_t m_refused = 0;
    std::vector<duration> m_latencies;
};

/// Limits the appends in a sliding window of one second to the fleet's budget.
class append_rate_limiter
{
public:
    bool try_append(time_point now)
    {
        while (!m_times.empty() && m_times.front() <= now - 1s)
        {
            m_times.pop_front();
        }
        if (m_times.size() >= std::size_t(claim_append_budget_per_second))
        {
            return false;
        }
        m_times.push_back(now);
        return true;
    }

private:
    std::deque<time_point> m_times;
};

/// Baseline without batching: each claim and each outcome is a separate append.
/// Claims over the log's rate limit are refused, outcomes are retried.
load_figures run_single_appends(double rate, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::multimap<time_point, bool> events; ///< true: an outcome
    for (time_point const at : make_arrivals(rate, random))
    {
        events.emplace(at, false);
    }
    append_rate_limiter limit;
    std::size_t appends = 0;
    std::size_t refused = 0;
    std::vector<duration> latencies;
    while (!events.empty())
    {
        auto const [at, is_outcome] = *events.begin();
        events.erase(events.begin());
        if (at >= start_time + simulated_time)
        {
            break;
        }
        bool const is_appended = limit.try_append(at);
        appends += is_appended ? 1 : 0;
        if (is_outcome && !is_appended)
        {
            events.emplace(at + append_retry_interval, true);
        }
        else if (!is_outcome && is_appended)
        {
            latencies.push_back(2 * log_delay);
            events.emplace(at + 2 * log_delay + execution_time, true);
        }
        refused += !is_outcome && !is_appended ? 1 : 0;
    }
    return make_figures(appends, refused, latencies);
}

// Memory and fold time of the claim table.

constexpr std::size_t table_claims = 100'000;

/// Claims in one record of a fleet under load.
constexpr std::size_t claims_per_record = 8;

/// Heap bytes allocated by the process.
double allocated_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Resident set size of the process in bytes.
double resident_bytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return static_cast<double>(resident_pages) *
           static_cast<double>(sysconf(_SC_PAGESIZE));
}

claim make_claim(std::mt19937_64& random, std::uint64_t sequence)
{
    auto const vm = sequence % fleet_size;
    claim_id const id{fmt::format("vm-{}", vm), vm + 1, sequence};
    return {make_name(random), id, std::string(64, 'a')};
}

/// Encodes all claims as log records, optionally with an outcome for each.
std::vector<std::string> make_records(std::uint64_t seed, bool with_outcomes)
{
    std::mt19937_64 random{seed};
    std::vector<std::string> records;
    std::vector<claim_entry> batch;
    for (std::size_t i = 0; i < table_claims; ++i)
    {
        claim const new_claim = make_claim(random, i);
        batch.emplace_back(new_claim);
        if (with_outcomes)
        {
            batch.emplace_back(
                make_outcome(new_claim.m_name, new_claim.m_claim_id));
        }
        if ((i + 1) % claims_per_record == 0)
        {
            records.push_back(to_record(batch));
            batch.clear();
        }
    }
    return records;
}

void fold_all(claim_table& table, std::vector<std::string> const& records)
{
    for (std::size_t i = 0; i < records.size(); ++i)
    {
        table.fold({i, wall_start, records[i]});
    }
}

double per_claim(double amount)
{
    return amount / static_cast<double>(table_claims);
}

/// Increase of `measure` per claim while the claim table is filled.
double table_bytes(std::vector<std::string> const& records, double (*measure)())
{
    malloc_trim(0);
    double const before = measure();
    claim_table table;
    table.set_covered_since(wall_time{});
    fold_all(table, records);
    return per_claim(measure() - before);
}

/// Baseline: a map of the decoded claims and outcomes.
double
baseline_bytes(std::uint64_t seed, bool with_outcomes, double (*measure)())
{
    malloc_trim(0);
    double const before = measure();
    std::mt19937_64 random{seed};
    std::map<claim_name, claim_view> views;
    for (std::size_t i = 0; i < table_claims; ++i)
    {
        claim_view view;
        view.m_claim = make_claim(random, i);
        if (with_outcomes)
        {
            view.m_outcome =
                make_outcome(view.m_claim.m_name, view.m_claim.m_claim_id);
        }
        claim_name const name = view.m_claim.m_name;
        views.emplace(name, std::move(view));
    }
    return per_claim(measure() - before);
}

struct memory_case
{
    std::string m_name;
    bool m_with_outcomes = false;
};

std::array<memory_case, 2> memory_cases()
{
    return {
        memory_case{"running claim", false},
        memory_case{"finished claim, 200 byte body", true}};
}

} // namespace

std::vector<bench_result> run_claim_bench(std::uint64_t seed)
{
    std::string const command =
        fmt::format("briar-bench claims --seed {}", seed);
    std::vector<bench_result> results;
    auto const add = [&](std::string name,
                         std::string unit,
                         double baseline,
                         double value,
                         std::optional<double> target = {})
    {
        results.push_back(
            {std::move(name),
             std::move(unit),
             baseline,
             value,
             target,
             seed,
             command});
    };
    for (double const rate : claim_rates)
    {
        auto const single = run_single_appends(rate, seed);
        auto const batched = claim_simulation{seed}.run(rate);
        std::string const load = fmt::format("{} claims/s: ", rate);
        add(load + "appends",
            "1/s",
            single.m_appends_per_second,
            batched.m_appends_per_second,
            claim_append_budget_per_second);
        add(load + "refused",
            "%",
            single.m_refused_percent,
            batched.m_refused_percent,
            0.0);
        add(load + "latency p50", "ms", single.m_p50_ms, batched.m_p50_ms);
        add(load + "latency p99", "ms", single.m_p99_ms, batched.m_p99_ms);
    }
    return results;
}

std::vector<bench_result> run_claim_cost_bench(std::uint64_t seed)
{
    std::string const command =
        fmt::format("briar-bench claims-cost --seed {}", seed);
    std::vector<bench_result> results;
    for (auto const& [name, with_outcomes] : memory_cases())
    {
        auto const records = make_records(seed, with_outcomes);
        results.push_back(
            {"allocated for a " + name,
             "bytes",
             baseline_bytes(seed, with_outcomes, allocated_bytes),
             table_bytes(records, allocated_bytes),
             {},
             seed,
             command});
        results.push_back(
            {"resident for a " + name,
             "bytes",
             baseline_bytes(seed, with_outcomes, resident_bytes),
             table_bytes(records, resident_bytes),
             {},
             seed,
             command});
        claim_table table;
        table.set_covered_since(wall_time{});
        time_point const begin = runtime_clock::now();
        fold_all(table, records);
        std::chrono::duration<double, std::micro> const elapsed =
            runtime_clock::now() - begin;
        results.push_back(
            {"fold of a " + name,
             "us",
             {},
             per_claim(elapsed.count()),
             {},
             seed,
             command});
    }
    return results;
}

} // namespace briarhub
