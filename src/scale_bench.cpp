#include "scale_bench.hpp"

#include "caller_key.hpp"
#include "claim_table.hpp"
#include "config.hpp"
#include "control_log.hpp"
#include "dispatcher.hpp"
#include "freshness_tracker.hpp"
#include "lease_rate_limiter.hpp"
#include "membership.hpp"
#include "outlier_detector.hpp"
#include "route_table.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace briarhub
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t failure_domain_count = 11;

/// Repeated operations are averaged over this many calls.
constexpr int repetitions = 20;

/// Rate shares are measured with this fraction of the accounts, since adding an
/// account ranks it against all members, which dominates the run time.
constexpr std::size_t rate_share_divisor = 20;

struct cost
{
    double m_bytes = 0.0;
    double m_cpu_seconds = 0.0;
};

double cpu_seconds()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) +
           static_cast<double>(value.tv_nsec) * 1e-9;
}

double heap_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Heap bytes and CPU time of constructing one object, which is alive while
/// the heap is measured.
template <class Make>
cost measure_construction(Make const& make)
{
    double const bytes = heap_bytes();
    double const seconds = cpu_seconds();
    auto const object = make();
    cost result;
    result.m_cpu_seconds = cpu_seconds() - seconds;
    result.m_bytes = heap_bytes() - bytes;
    return result;
}

/// Average CPU time of one call.
template <class Call>
double measure_call(Call const& call)
{
    double const seconds = cpu_seconds();
    for (int i = 0; i < repetitions; ++i)
    {
        call(i);
    }
    return (cpu_seconds() - seconds) / repetitions;
}

/// Collects the results of one run.
class result_collector
{
public:
    explicit result_collector(std::uint64_t seed) : m_seed(seed)
    {
    }

    void add(std::string name, std::string unit, double value)
    {
        bench_result result;
        result.m_name = std::move(name);
        result.m_unit = std::move(unit);
        result.m_value = value;
        result.m_seed = m_seed;
        result.m_command = fmt::format("briar-scale --seed {}", m_seed);
        m_results.push_back(std::move(result));
    }

    /// Measures the cost per entity of constructing an object with `count`
    /// entities.
    template <class Make>
    void
    add_slopes(std::string const& name, std::size_t count, Make const& make)
    {
        std::size_t const half = count / 2;
        cost const small = measure_construction(
            [&]
            {
                return make(half);
            });
        cost const large = measure_construction(
            [&]
            {
                return make(count);
            });
        auto const step = static_cast<double>(count - half);
        add(name + "/memory", "B", (large.m_bytes - small.m_bytes) / step);
        add(name + "/cpu",
            "us",
            (large.m_cpu_seconds - small.m_cpu_seconds) / step * 1e6);
    }

    std::vector<bench_result> take_results()
    {
        return std::move(m_results);
    }

private:
    std::uint64_t m_seed;
    std::vector<bench_result> m_results;
};

std::string key_digest(std::size_t number)
{
    return sha256_hex(fmt::format("key-{}", number));
}

account_config make_account(std::size_t number)
{
    return {fmt::format("account-{:06}", number), 5.0, 10.0};
}

key_config make_key(std::size_t number)
{
    return {
        fmt::format("key-{:06}", number),
        key_digest(number),
        fmt::format("account-{:06}", number)};
}

work_class_config make_work_class(std::size_t number, std::size_t services)
{
    work_class_config result;
    result.m_name = fmt::format("class-{:05}", number);
    result.m_service = fmt::format("service-{:04}", number % services);
    result.m_method = "GET";
    result.m_path_prefix = fmt::format("/area-{}/item-{}", number % 97, number);
    return result;
}

std::vector<upstream> make_upstreams(std::size_t count, std::size_t services)
{
    std::vector<upstream> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        upstream entry;
        entry.m_id = fmt::format("upstream-{:05}", i);
        entry.m_service = fmt::format("service-{:04}", i % services);
        entry.m_failure_domain =
            fmt::format("domain-{}", i % failure_domain_count);
        entry.m_address =
            fmt::format("10.{}.{}.{}:7000", i / 65'536, i / 256 % 256, i % 256);
        entry.m_slots = 4;
        result.push_back(std::move(entry));
    }
    return result;
}

std::vector<member> make_members(std::size_t count)
{
    std::vector<member> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back(
            {fmt::format("entry-{:04}", i),
             0x1000 + i,
             fmt::format("domain-{}", i % failure_domain_count)});
    }
    return result;
}

std::vector<entry_vm> make_vms(std::size_t count)
{
    std::vector<entry_vm> result;
    for (auto const& each : make_members(count))
    {
        entry_vm vm;
        vm.m_id = each.m_vm;
        vm.m_failure_domain = each.m_failure_domain;
        vm.m_address = "10.200.0.1:8080";
        vm.m_peer_address = "10.200.0.1:8081";
        result.push_back(std::move(vm));
    }
    return result;
}

config make_config(fleet_dimensions const& size)
{
    config result;
    for (std::size_t i = 0; i < size.m_services; ++i)
    {
        std::string const name = fmt::format("service-{:04}", i);
        result.m_services[name] = {name, 0.5};
    }
    for (std::size_t i = 0; i < size.m_work_classes; ++i)
    {
        auto work_class = make_work_class(i, size.m_services);
        result.m_work_classes[work_class.m_name] = work_class;
    }
    for (std::size_t i = 0; i < size.m_accounts; ++i)
    {
        auto account = make_account(i);
        result.m_accounts[account.m_name] = account;
        auto key = make_key(i);
        result.m_keys[key.m_id] = key;
    }
    return result;
}

void measure_config(result_collector& results, fleet_dimensions const& size)
{
    results.add_slopes(
        "config/account_with_key",
        size.m_accounts,
        [&](std::size_t count)
        {
            fleet_dimensions part = size;
            part.m_accounts = count;
            part.m_work_classes = 0;
            return make_config(part);
        });
    results.add_slopes(
        "config/work_class",
        size.m_work_classes,
        [&](std::size_t count)
        {
            fleet_dimensions part = size;
            part.m_accounts = 0;
            part.m_work_classes = count;
            return make_config(part);
        });
    results.add_slopes(
        "key_index/key",
        size.m_accounts,
        [](std::size_t count)
        {
            auto index = std::make_unique<key_index>();
            for (std::size_t i = 0; i < count; ++i)
            {
                index->put(make_key(i));
            }
            return index;
        });
    results.add_slopes(
        "route_table/work_class",
        size.m_work_classes,
        [&](std::size_t count)
        {
            auto table = std::make_unique<route_table>();
            for (std::size_t i = 0; i < count; ++i)
            {
                table->put(make_work_class(i, size.m_services));
            }
            return table;
        });
}

/// Makes a control log with the whole configuration and all members.
control_log make_control_log(fleet_dimensions const& size)
{
    snapshot_record snapshot;
    snapshot.m_state.m_version = 1;
    snapshot.m_state.m_config = make_config(size);
    snapshot.m_state.m_members = make_members(size.m_vms);
    control_log log;
    log.install_snapshot(snapshot);
    return log;
}

void measure_control_log(
    result_collector& results, fleet_dimensions const& size)
{
    control_log log = make_control_log(size);
    std::size_t record_bytes = 0;
    double const fold = measure_call(
        [&](int i)
        {
            change_record change;
            change.m_change_id =
                fmt::format("00000000-0000-7000-8000-{:012}", i);
            change.m_parent = log.state().m_config_version;
            auto account = make_account(static_cast<std::size_t>(i));
            account.m_rate = 6.0 + i;
            change.m_operations.emplace_back(put_account{account});
            log_record record;
            record.m_offset = log.next_offset();
            record.m_data = to_record(change);
            record_bytes = record.m_data.size();
            static_cast<void>(log.fold(record));
        });
    results.add("control_log/change_fold", "us", fold * 1e6);
    results.add(
        "control_log/change_record", "B", static_cast<double>(record_bytes));
    double const encode = measure_call(
        [&](int i)
        {
            if (i == 0)
            {
                record_bytes = to_record(log.make_snapshot()).size();
            }
        });
    results.add(
        "control_log/snapshot_encode_total", "ms", encode * repetitions * 1e3);
    results.add(
        "control_log/snapshot_total", "B", static_cast<double>(record_bytes));
}

void measure_members(result_collector& results, fleet_dimensions const& size)
{
    auto const vms = make_vms(size.m_vms);
    auto const members = make_members(size.m_vms);
    time_point const now{std::chrono::hours{1}};
    results.add_slopes(
        "membership/vm",
        size.m_vms,
        [&](std::size_t count)
        {
            auto result = std::make_unique<membership>(members.front(), 1);
            result->set_vms(now, make_vms(count));
            result->set_members(now, make_members(count));
            return result;
        });
    membership peers{members.front(), 1};
    peers.set_vms(now, vms);
    peers.set_members(now, members);
    peers.log_read_succeeded(now);
    double const probes = measure_call(
        [&](int)
        {
            static_cast<void>(peers.next_probes(now));
        });
    results.add("membership/probe_round", "us", probes * 1e6);
    freshness_tracker tracker{members.front()};
    double const change = measure_call(
        [&](int i)
        {
            auto const version = static_cast<control_version>(i) + 1;
            tracker.set_members(version, members);
            tracker.set_version(version);
            tracker.record_peer_reply(now, members.at(1), version);
        });
    results.add("freshness/member_change", "us", change * 1e6);
}

lease_rate_limiter
make_rate_share(fleet_dimensions const& size, std::size_t accounts)
{
    time_point const now{std::chrono::hours{1}};
    auto const members = make_members(size.m_vms);
    lease_rate_limiter shares{members.front(), 1};
    shares.set_members(now, {1, members});
    for (std::size_t i = 0; i < accounts; ++i)
    {
        shares.put_account(now, make_account(i), 1);
    }
    return shares;
}

void measure_rate_share(result_collector& results, fleet_dimensions const& size)
{
    results.add_slopes(
        "rate_share/account",
        size.m_accounts / rate_share_divisor,
        [&](std::size_t count)
        {
            return make_rate_share(size, count);
        });
    std::size_t const accounts = size.m_accounts / rate_share_divisor;
    auto shares = make_rate_share(size, accounts);
    time_point now{std::chrono::hours{1}};
    double const poll = measure_call(
        [&](int)
        {
            now += milliseconds{100};
            static_cast<void>(shares.poll(now));
        });
    results.add(
        fmt::format("rate_share/idle_poll, {} accounts", accounts),
        "us",
        poll * 1e6);
    auto members = make_members(size.m_vms);
    double const seconds = cpu_seconds();
    members.pop_back();
    shares.set_members(now, {2, members});
    results.add(
        fmt::format("rate_share/member_change, {} accounts", accounts),
        "ms",
        (cpu_seconds() - seconds) * 1e3);
}

void measure_upstreams(result_collector& results, fleet_dimensions const& size)
{
    time_point now{std::chrono::hours{1}};
    auto const self = make_members(1).front();
    results.add_slopes(
        "health/upstream",
        size.m_upstreams,
        [&](std::size_t count)
        {
            outlier_detector monitor{self, 1};
            monitor.set_upstreams(now, make_upstreams(count, size.m_services));
            return monitor;
        });
    results.add_slopes(
        "dispatcher/upstream",
        size.m_upstreams,
        [&](std::size_t count)
        {
            dispatcher queue{
                [](time_point, upstream_id const&)
                {
                    return 1.0;
                },
                1};
            queue.set_upstreams(now, make_upstreams(count, size.m_services));
            return queue;
        });
    outlier_detector monitor{self, 1};
    monitor.set_upstreams(
        now, make_upstreams(size.m_upstreams, size.m_services));
    double const tick = measure_call(
        [&](int)
        {
            now += milliseconds{100};
            static_cast<void>(monitor.tick(now));
        });
    results.add("health/idle_tick", "us", tick * 1e6);
}

void measure_claims(result_collector& results, fleet_dimensions const& size)
{
    results.add_slopes(
        "claim_table/claim",
        size.m_claims,
        [](std::size_t count)
        {
            auto table = std::make_unique<claim_table>();
            for (std::size_t i = 0; i < count; ++i)
            {
                claim entry;
                entry.m_name = {
                    fmt::format("account-{:06}", i % 1000),
                    fmt::format("00000000-0000-7000-8000-{:012}", i)};
                entry.m_claim_id = {"entry-0001", 1, i};
                entry.m_request_digest = key_digest(i);
                std::vector<claim_entry> const entries{entry};
                log_record record;
                record.m_offset = i;
                record.m_data = to_record(entries);
                table->fold(record);
            }
            return table;
        });
}

} // namespace

std::vector<bench_result>
run_scale_bench(fleet_dimensions const& size, std::uint64_t seed)
{
    result_collector results{seed};
    measure_config(results, size);
    measure_control_log(results, size);
    measure_members(results, size);
    measure_rate_share(results, size);
    measure_upstreams(results, size);
    measure_claims(results, size);
    return results.take_results();
}

} // namespace briarhub
