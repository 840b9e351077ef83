#include "membership.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

time_point at(duration since_start)
{
    return time_point{1h} + since_start;
}

std::string name(std::size_t i)
{
    return "vm-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
}

member vm(std::size_t i, incarnation run = 1)
{
    return {name(i), run, "domain-" + std::to_string(i % 4)};
}

std::vector<member> members(std::size_t count)
{
    std::vector<member> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back(vm(i));
    }
    return result;
}

std::vector<entry_vm> listed(std::size_t count)
{
    std::vector<entry_vm> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        entry_vm entry;
        entry.m_id = name(i);
        entry.m_failure_domain = vm(i).m_failure_domain;
        result.push_back(entry);
    }
    return result;
}

constexpr std::uint64_t seed = 3;

/// VM 0 of a fleet that the list and the members agree on.
membership vm_0(std::size_t count)
{
    membership result{vm(0), seed};
    result.set_vms(at(0s), listed(count));
    result.set_members(at(0s), members(count));
    result.log_answered(at(0s));
    return result;
}

/// Runs probes from `from` to `to`; VMs in `dead` do not answer.
void run_probes(
    membership& m, duration from, duration to, std::set<vm_id> const& dead)
{
    for (duration t = from; t < to; t += probe_interval)
    {
        m.log_answered(at(t));
        for (entry_vm const& peer : m.next_probes(at(t)))
        {
            if (dead.contains(peer.m_id))
            {
                m.probe_failed(at(t + 400ms), peer.m_id);
            }
            else
            {
                member const self{peer.m_id, 1, peer.m_failure_domain};
                m.probe_answered(at(t + 2ms), self);
            }
        }
    }
}

std::vector<std::string> probed(membership& m, time_point now)
{
    std::vector<std::string> result;
    for (entry_vm const& peer : m.next_probes(now))
    {
        result.push_back(peer.m_id);
    }
    return result;
}

} // namespace

TEST_CASE("a round reaches every peer once, the own failure domain first")
{
    // A peer that is never probed is never found dead and brings no news.
    membership m = vm_0(36);
    std::vector<std::string> order;
    for (duration t = 0s; order.size() < 35; t += probe_interval)
    {
        m.log_answered(at(t));
        std::vector<std::string> const some = probed(m, at(t));
        CHECK(some.size() == probe_fanout);
        order.insert(order.end(), some.begin(), some.end());
    }
    std::set<std::string> const distinct{order.begin(), order.begin() + 35};
    CHECK(distinct.size() == 35);
    CHECK_FALSE(distinct.contains(name(0)));
    for (std::size_t i = 0; i < 8; ++i)
    {
        CHECK(std::stoi(order[i].substr(3)) % 4 == 0);
    }
}

TEST_CASE("when the log is silent a majority is reached in a third of a window")
{
    // Every VM would stop admitting a few seconds into a log outage.
    std::size_t const fleet = 36;
    std::set<vm_id> dead;
    for (std::size_t i = 1; i < fleet; i += 4)
    {
        dead.insert(name(i));
    }
    for (bool const with_dead : {false, true})
    {
        CAPTURE(with_dead);
        membership m = vm_0(fleet);
        std::set<vm_id> const silent = with_dead ? dead : std::set<vm_id>{};
        run_probes(m, 0s, 20s, silent);
        freshness_tracker f{vm(0)};
        f.set_members(1, members(fleet));
        f.set_version(1);
        time_point const outage = at(22s);
        for (auto t : {outage, outage + probe_interval})
        {
            for (entry_vm const& peer : m.next_probes(t))
            {
                if (!silent.contains(peer.m_id))
                {
                    f.record_peer_reply(
                        t, {peer.m_id, 1, peer.m_failure_domain}, 1);
                }
            }
        }
        CHECK(f.valid_until() == outage + freshness_window);
    }
}

TEST_CASE("a member that left the list still counts and is still probed")
{
    // A wrong list would take the majority away.
    membership m = vm_0(8);
    m.set_vms(at(1s), listed(3));
    CHECK(m.find(name(7)));
    m.set_members(at(2s), members(7));
    m.set_vms(at(3s), listed(3));
    CHECK_FALSE(m.find(name(7)));
}

TEST_CASE("a VM joins once per read of the log and not while it is leaving")
{
    // Repeated joins would fill the log; a late join would revive a dead VM.
    membership m{vm(9), seed};
    m.set_vms(at(0s), listed(10));
    m.log_answered(at(0s));
    CHECK_FALSE(m.own_record(at(0s)));
    m.set_members(at(0s), members(3));
    auto const record = m.own_record(at(0s));
    REQUIRE(record);
    CHECK(std::get<join_record>(*record).m_member == vm(9));
    m.log_answered(at(3s));
    CHECK_FALSE(m.own_record(at(3s)));
    CHECK_FALSE(m.own_record(at(10s)));
    m.log_answered(at(10s));
    CHECK(m.own_record(at(10s)));
    m.set_members(at(11s), members(10));
    m.log_answered(at(20s));
    CHECK_FALSE(m.own_record(at(20s)));
    CHECK_FALSE(m.is_replaced());
    m.set_members(at(21s), {vm(9, 2)});
    CHECK(m.is_replaced());
    CHECK_FALSE(m.own_record(at(21s)));

    membership leaving{vm(0), seed};
    std::vector<entry_vm> list = listed(2);
    list[0].m_state = vm_state::leaving;
    leaving.set_vms(at(0s), list);
    leaving.set_members(at(0s), {});
    leaving.log_answered(at(0s));
    CHECK_FALSE(leaving.own_record(at(0s)));
}

TEST_CASE("a silent member is fenced only if another member says the same")
{
    // A VM behind a one-way partition would fence healthy members.
    membership m = vm_0(8);
    run_probes(m, 0s, 29s, {name(3)});
    CHECK(m.silent_vms(at(29s)).empty());
    run_probes(m, 29s, 40s, {name(3)});
    CHECK(m.silent_vms(at(40s)) == std::vector{name(3)});
    CHECK_FALSE(m.next_fence(at(40s)));
    m.peer_reported_silent(at(40s), vm(3), {name(3)});
    m.peer_reported_silent(at(40s), vm(4, 9), {name(3)});
    m.peer_reported_silent(at(40s), vm(4), {name(5)});
    CHECK_FALSE(m.next_fence(at(40s)));
    m.peer_reported_silent(at(40s), vm(4), {name(3)});
    auto const fence = m.next_fence(at(40s));
    REQUIRE(fence);
    CHECK(fence->m_vm == name(3));
    CHECK(fence->m_incarnation == 1);
    CHECK(fence->m_reason == leave_by_fence);
    CHECK_FALSE(m.next_fence(at(40s)));
    m.probe_answered(at(41s), vm(3));
    m.log_answered(at(55s));
    CHECK_FALSE(m.next_fence(at(55s)));
}

TEST_CASE("a VM that hears hardly anyone fences nobody")
{
    // A VM cut off from its peers but not from the log would fence them all.
    membership m = vm_0(8);
    std::set<vm_id> others;
    for (std::size_t i = 1; i < 7; ++i)
    {
        others.insert(name(i));
    }
    run_probes(m, 0s, 60s, others);
    m.peer_reported_silent(at(60s), vm(7), {name(3)});
    CHECK(m.silent_vms(at(60s)).empty());
    CHECK_FALSE(m.next_fence(at(60s)));
}

TEST_CASE("the lowest VM that answers fences first, others later")
{
    // Many VMs would append the same record at once.
    auto const fenced_after = [](std::size_t self)
    {
        membership m{vm(self), seed};
        m.set_vms(at(0s), listed(8));
        m.set_members(at(0s), members(8));
        run_probes(m, 0s, 20s, {name(0)});
        std::vector<entry_vm> list = listed(8);
        list.erase(list.begin());
        m.set_vms(at(20s), list);
        duration t = 20s;
        for (; t < 60s && !m.next_fence(at(t)); t += probe_interval)
        {
            run_probes(m, t, t + probe_interval, {name(0)});
        }
        return t - duration{20s};
    };
    CHECK(fenced_after(1) == fence_unlisted_after);
    CHECK(fenced_after(2) == fence_unlisted_after + fence_rank_delay);
    CHECK(fenced_after(5) == fence_unlisted_after + 4 * fence_rank_delay);
}

TEST_CASE(
    "an unlisted member is not fenced while it answers, nor by a bad list")
{
    // The list lags and may be wrong; a fenced VM loses its share of rates.
    membership m = vm_0(8);
    m.set_vms(at(1s), listed(7));
    run_probes(m, 1s, 30s, {});
    CHECK_FALSE(m.next_fence(at(30s)));
    m.set_vms(at(30s), std::vector<entry_vm>{});
    run_probes(m, 30s, 60s, {name(7)});
    CHECK_FALSE(m.next_fence(at(60s)));

    membership new_member = vm_0(8);
    new_member.set_members(at(1s), members(9));
    run_probes(new_member, 1s, 20s, {});
    CHECK_FALSE(new_member.next_fence(at(20s)));
    run_probes(new_member, 20s, 32s, {});
    CHECK(new_member.next_fence(at(32s)));
}

TEST_CASE("no fence while the log is silent or by a VM that is no member")
{
    // The record could not be appended, or comes late after the outage.
    membership m = vm_0(8);
    m.set_vms(at(1s), listed(7));
    run_probes(m, 1s, 20s, {name(7)});
    CHECK_FALSE(m.next_fence(at(22s)));
    m.log_answered(at(22s));
    CHECK(m.next_fence(at(22s)));

    membership outside{vm(9), seed};
    outside.set_vms(at(0s), listed(7));
    outside.set_members(at(0s), members(8));
    run_probes(outside, 0s, 60s, {name(7)});
    CHECK_FALSE(outside.next_fence(at(60s)));
}

TEST_CASE("a member whose VM answers as another incarnation does not answer")
{
    // The dead incarnation's share of the rates would stay lost.
    membership m = vm_0(4);
    m.probe_answered(at(1s), vm(2, 1));
    CHECK(m.status(at(1s))[2].m_answers);
    m.probe_answered(at(2s), vm(2, 5));
    CHECK_FALSE(m.status(at(2s))[2].m_answers);
    CHECK(m.silent_vms(at(33s)) == std::vector{name(2)});
    std::vector<member> renewed = members(4);
    renewed[2] = vm(2, 5);
    m.set_members(at(34s), renewed);
    CHECK(m.status(at(34s))[2].m_answers);
    CHECK(m.silent_vms(at(90s)).empty());
}
