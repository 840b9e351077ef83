#include "fleet_rate_limiter.hpp"
#include "gossip_message.hpp"
#include "peer_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds step = 10ms;
constexpr milliseconds flush_interval = 20ms;
constexpr milliseconds heartbeat_interval = 500ms;

time_point at(milliseconds since_start)
{
    return time_point{1h} + since_start;
}

struct partition
{
    std::size_t m_isolated = 0; ///< VMs without a path to any other VM
    milliseconds m_begin{};
    milliseconds m_end{};
};

/// Requests of one account, spread over all VMs.
struct demand
{
    double m_requests_per_s = 0.0;
    milliseconds m_begin{};
    milliseconds m_end{};
};

struct admission_record
{
    milliseconds m_time{};
    bool m_is_admitted = false;
};

/// VMs with peer tables and rate limiters that exchange heartbeats and totals
/// with a delay. Some are isolated for a while.
class simulated_fleet
{
public:
    simulated_fleet(std::size_t vms, account_policy account, std::uint64_t seed)
        : m_random(seed), m_account(std::move(account))
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            m_vms.push_back(
                {peer_table{{tag_of_vm(i), 1}, seed + i},
                 fleet_rate_limiter{at(0ms)}});
            m_vms.back().m_limiter.set_accounts(at(0ms), {m_account});
        }
        for (auto& each : m_vms)
        {
            for (std::size_t i = 0; i < vms; ++i)
            {
                each.m_peers.add(at(0ms), {tag_of_vm(i), 1});
            }
        }
    }

    std::vector<admission_record>
    run(partition const& cut, demand const& sent, milliseconds length)
    {
        m_cut = cut;
        for (m_now = 0ms; m_now < length; m_now += step)
        {
            deliver();
            for (std::size_t i = 0; i < m_vms.size(); ++i)
            {
                exchange(i);
            }
            if (m_now >= sent.m_begin && m_now < sent.m_end)
            {
                admit(sent.m_requests_per_s);
            }
        }
        return m_records;
    }

private:
    struct vm
    {
        peer_table m_peers;
        fleet_rate_limiter m_limiter;
        std::uint64_t m_sequence = 0;
    };

    struct pending_message
    {
        std::size_t m_to = 0;
        gossip_message m_message;
    };

    static vm_tag tag_of_vm(std::size_t index)
    {
        return static_cast<vm_tag>(index + 1);
    }

    [[nodiscard]] bool is_isolated(std::size_t index) const
    {
        return index < m_cut.m_isolated && m_now >= m_cut.m_begin &&
               m_now < m_cut.m_end;
    }

    void deliver()
    {
        auto const due = m_messages.upper_bound(m_now);
        for (auto item = m_messages.begin(); item != due; ++item)
        {
            auto& to = m_vms[item->second.m_to];
            auto const& message = item->second.m_message;
            to.m_peers.record_message(at(m_now), message);
            to.m_limiter.receive(
                at(m_now),
                {message.m_origin.m_vm, message.m_run, message.m_age},
                message.m_usage);
        }
        m_messages.erase(m_messages.begin(), due);
    }

    void exchange(std::size_t index)
    {
        auto& from = m_vms[index];
        auto const phase = step * static_cast<std::int64_t>(index);
        bool const is_heartbeat = (m_now + phase) % heartbeat_interval == 0ms;
        bool const is_flush =
            m_now % flush_interval == 0ms && from.m_limiter.has_updates();
        if (!is_heartbeat && !is_flush)
        {
            return;
        }
        from.m_peers.remove_expired(at(m_now));
        gossip_message message;
        message.m_origin = {tag_of_vm(index), 1};
        message.m_run = 1;
        message.m_age = m_now;
        message.m_sequence = ++from.m_sequence;
        message.m_usage = from.m_limiter.collect_totals(is_heartbeat);
        for (std::size_t to = 0; to < m_vms.size(); ++to)
        {
            bool const is_reachable = !is_isolated(index) && !is_isolated(to);
            if (to != index && is_reachable)
            {
                milliseconds const delay{10 + m_random() % 50};
                m_messages.emplace(m_now + delay, pending_message{to, message});
            }
        }
    }

    void admit(double requests_per_s)
    {
        double const seconds = std::chrono::duration<double>(step).count();
        std::poisson_distribution<int> count{
            requests_per_s * seconds / static_cast<double>(m_vms.size())};
        for (auto& each : m_vms)
        {
            each.m_limiter.set_view(
                at(m_now), each.m_peers.share_view(at(m_now)));
            for (int i = count(m_random); i > 0; --i)
            {
                bool const is_admitted =
                    each.m_limiter.try_admit(at(m_now), m_account.m_name);
                m_records.push_back({m_now, is_admitted});
            }
        }
    }

    std::mt19937_64 m_random;
    account_policy m_account;
    std::vector<vm> m_vms;
    std::multimap<milliseconds, pending_message> m_messages; ///< by due time
    std::vector<admission_record> m_records;
    partition m_cut;
    milliseconds m_now{};
};

account_policy make_account(double rate, double burst)
{
    account_policy account;
    account.m_name = "acme";
    account.m_rate = rate;
    account.m_burst = burst;
    return account;
}

/// The promise to operators: a tenth and 20 requests above rate and burst in
/// any 5 s.
double admission_limit(account_policy const& account)
{
    return (account.m_rate * 5 + account.m_burst) * 1.1 + 20;
}

double max_admitted_in_5_s(std::vector<admission_record> const& records)
{
    std::vector<milliseconds> admitted;
    for (auto const& each : records)
    {
        if (each.m_is_admitted)
        {
            admitted.push_back(each.m_time);
        }
    }
    std::ptrdiff_t max_count = 0;
    for (auto first = admitted.begin(); first != admitted.end(); ++first)
    {
        auto const last = std::upper_bound(first, admitted.end(), *first + 5s);
        max_count = std::max(max_count, last - first);
    }
    return static_cast<double>(max_count);
}

double refused_share(
    std::vector<admission_record> const& records,
    milliseconds begin,
    milliseconds end)
{
    double all = 0;
    double refused = 0;
    for (auto const& each : records)
    {
        bool const is_inside = each.m_time >= begin && each.m_time < end;
        all += is_inside ? 1 : 0;
        refused += is_inside && !each.m_is_admitted ? 1 : 0;
    }
    return refused / all;
}

} // namespace

TEST_CASE("VMs that are cut off do not spend the allowance of the others again")
{
    // Guards against an account that sends several times its rate and got more
    // than it may while a sixth of the VMs heard no other VM: each of these
    // refilled a copy of the bucket at the whole rate.
    for (auto const& account :
         {make_account(70, 100), make_account(20, 40), make_account(200, 50)})
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            CAPTURE(account.m_rate);
            CAPTURE(seed);
            simulated_fleet fleet{32, account, seed};
            auto const records = fleet.run(
                {5, 6500ms, 12s}, {account.m_rate * 4.7, 7500ms, 14s}, 20s);
            CHECK(max_admitted_in_5_s(records) <= admission_limit(account));
        }
    }
}

TEST_CASE("VMs that stay cut off do not take the whole rate after a while")
{
    // Guards against a VM that forgets the silent peers and takes itself for
    // the only one.
    auto const account = make_account(70, 100);
    simulated_fleet fleet{32, account, 1};
    auto const records =
        fleet.run({5, 6500ms, 40s}, {account.m_rate * 4.7, 20s, 35s}, 36s);
    CHECK(max_admitted_in_5_s(records) <= admission_limit(account));
}

TEST_CASE("an account within its rate is served after VMs were cut off")
{
    // Guards against refusals at VMs that charge what their peers admitted
    // meanwhile to a bucket that did not refill.
    auto const account = make_account(70, 100);
    simulated_fleet fleet{32, account, 1};
    auto const records =
        fleet.run({5, 6500ms, 12s}, {account.m_rate * 0.6, 2s, 20s}, 20s);
    CHECK(refused_share(records, 2s, 6500ms) == 0.0);
    CHECK(refused_share(records, 12500ms, 20s) < 0.01);
}

TEST_CASE("the sides of a partition contact each other after it has lasted")
{
    // Guards against VMs that drop each other while they are cut off and then
    // stay two fleets, each with the whole rate.
    peer_table table{{1, 1}, 1};
    gossip_message message;
    message.m_run = 1;
    for (vm_tag vm = 2; vm <= 4; ++vm)
    {
        message.m_origin = {vm, 1};
        message.m_sequence = 1;
        table.record_message(at(0ms), message);
    }
    message.m_origin = {4, 1};
    message.m_sequence = 2;
    message.m_is_leaving = true;
    table.record_message(at(1s), message);
    CHECK(!table.sample_lost());
    table.remove_expired(at(20s));
    CHECK(table.size() == 1);
    CHECK(table.share_view(at(20s)) == fleet_view{1, 3});
    auto const lost = table.sample_lost();
    REQUIRE(lost);
    CHECK((*lost == 2 || *lost == 3));
    message.m_origin = {*lost, 1};
    message.m_sequence = 2;
    message.m_is_leaving = false;
    table.record_message(at(21s), message);
    CHECK(table.share_view(at(21s)) == fleet_view{2, 3});
    CHECK(table.sample_lost() != lost);
    table.remove_expired(at(share_retention));
    CHECK(table.share_view(at(share_retention)).share() > 0.5);
}

TEST_CASE("a VM that starts has its share before it hears its peers")
{
    peer_table table{{1, 1}, 1};
    for (vm_tag vm = 2; vm <= 20; ++vm)
    {
        table.add(at(0ms), {vm, 1});
    }
    CHECK(table.share_view(at(500ms)).share() == 1.0);
    CHECK(table.share_view(at(3s)).share() < 0.1);
}
