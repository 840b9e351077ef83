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

std::string vm_name(std::size_t i)
{
    return "vm-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
}

member make_member(std::size_t i, incarnation process_incarnation = 1)
{
    return {vm_name(i), process_incarnation, "domain-" + std::to_string(i % 4)};
}

std::vector<member> make_members(std::size_t count)
{
    std::vector<member> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back(make_member(i));
    }
    return result;
}

std::vector<entry_vm> make_vm_list(std::size_t count)
{
    std::vector<entry_vm> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        entry_vm entry;
        entry.m_id = vm_name(i);
        entry.m_failure_domain = make_member(i).m_failure_domain;
        result.push_back(entry);
    }
    return result;
}

constexpr std::uint64_t seed = 3;

/// Membership of VM 0 where the VM list and the member list agree.
membership make_membership(std::size_t count)
{
    membership result{make_member(0), seed};
    result.set_vms(at(0s), make_vm_list(count));
    result.set_members(at(0s), make_members(count));
    result.log_read_succeeded(at(0s));
    return result;
}

/// Runs probes from `from` to `to`; VMs in `failed_vms` do not respond.
void run_probes(
    membership& m,
    duration from,
    duration to,
    std::set<vm_id> const& failed_vms)
{
    for (duration t = from; t < to; t += probe_interval)
    {
        m.log_read_succeeded(at(t));
        for (entry_vm const& peer : m.next_probes(at(t)))
        {
            if (failed_vms.contains(peer.m_id))
            {
                m.probe_failed(at(t + 400ms), peer.m_id);
            }
            else
            {
                member const self{peer.m_id, 1, peer.m_failure_domain};
                m.probe_succeeded(at(t + 2ms), self);
            }
        }
    }
}

std::vector<std::string> probe_names(membership& m, time_point now)
{
    std::vector<std::string> result;
    for (entry_vm const& peer : m.next_probes(now))
    {
        result.push_back(peer.m_id);
    }
    return result;
}

} // namespace

TEST_CASE("a round probes every peer once, the own failure domain first")
{
    // The failure of a peer that is never probed is not detected, and its
    // updates are not received.
    membership m = make_membership(36);
    std::vector<std::string> order;
    for (duration t = 0s; order.size() < 35; t += probe_interval)
    {
        m.log_read_succeeded(at(t));
        std::vector<std::string> const batch = probe_names(m, at(t));
        CHECK(batch.size() == probe_fanout);
        order.insert(order.end(), batch.begin(), batch.end());
    }
    std::set<std::string> const distinct{order.begin(), order.begin() + 35};
    CHECK(distinct.size() == 35);
    CHECK_FALSE(distinct.contains(vm_name(0)));
    for (std::size_t i = 0; i < 8; ++i)
    {
        CHECK(std::stoi(order[i].substr(3)) % 4 == 0);
    }
}

TEST_CASE("while the log is down a third of a window suffices for a majority")
{
    // Otherwise every VM stops admitting a few seconds into a log outage.
    std::size_t const fleet_size = 36;
    std::set<vm_id> failed_vms;
    for (std::size_t i = 1; i < fleet_size; i += 4)
    {
        failed_vms.insert(vm_name(i));
    }
    for (bool const with_failed_vms : {false, true})
    {
        CAPTURE(with_failed_vms);
        membership m = make_membership(fleet_size);
        std::set<vm_id> const not_responding =
            with_failed_vms ? failed_vms : std::set<vm_id>{};
        run_probes(m, 0s, 20s, not_responding);
        freshness_tracker tracker{make_member(0)};
        tracker.set_members(1, make_members(fleet_size));
        tracker.set_version(1);
        time_point const outage = at(22s);
        for (auto t : {outage, outage + probe_interval})
        {
            for (entry_vm const& peer : m.next_probes(t))
            {
                if (!not_responding.contains(peer.m_id))
                {
                    tracker.record_peer_reply(
                        t, {peer.m_id, 1, peer.m_failure_domain}, 1);
                }
            }
        }
        CHECK(tracker.valid_until() == outage + freshness_window);
    }
}

TEST_CASE("a member removed from the VM list still counts and is probed")
{
    // Otherwise a wrong list makes a majority impossible.
    membership m = make_membership(8);
    m.set_vms(at(1s), make_vm_list(3));
    CHECK(m.find(vm_name(7)));
    m.set_members(at(2s), make_members(7));
    m.set_vms(at(3s), make_vm_list(3));
    CHECK_FALSE(m.find(vm_name(7)));
}

TEST_CASE("a VM joins once per read of the log and not while it is leaving")
{
    // Repeated joins would fill the log, and a late join would add a VM that
    // has already ended.
    membership m{make_member(9), seed};
    m.set_vms(at(0s), make_vm_list(10));
    m.log_read_succeeded(at(0s));
    CHECK_FALSE(m.next_join(at(0s)));
    m.set_members(at(0s), make_members(3));
    auto const record = m.next_join(at(0s));
    REQUIRE(record);
    CHECK(std::get<join_record>(*record).m_member == make_member(9));
    m.log_read_succeeded(at(3s));
    CHECK_FALSE(m.next_join(at(3s)));
    CHECK_FALSE(m.next_join(at(10s)));
    m.log_read_succeeded(at(10s));
    CHECK(m.next_join(at(10s)));
    m.set_members(at(11s), make_members(10));
    m.log_read_succeeded(at(20s));
    CHECK_FALSE(m.next_join(at(20s)));
    CHECK_FALSE(m.is_replaced());
    m.set_members(at(21s), {make_member(9, 2)});
    CHECK(m.is_replaced());
    CHECK_FALSE(m.next_join(at(21s)));

    membership leaving{make_member(0), seed};
    std::vector<entry_vm> list = make_vm_list(2);
    list[0].m_state = vm_state::leaving;
    leaving.set_vms(at(0s), list);
    leaving.set_members(at(0s), {});
    leaving.log_read_succeeded(at(0s));
    CHECK_FALSE(leaving.next_join(at(0s)));
}

TEST_CASE("an unreachable member is fenced only if another member agrees")
{
    // Otherwise a VM behind a one-way partition fences healthy members.
    membership m = make_membership(8);
    run_probes(m, 0s, 29s, {vm_name(3)});
    CHECK(m.unreachable_vms(at(29s)).empty());
    run_probes(m, 29s, 40s, {vm_name(3)});
    CHECK(m.unreachable_vms(at(40s)) == std::vector{vm_name(3)});
    CHECK_FALSE(m.next_fence(at(40s)));
    m.update_unreachable_report(at(40s), make_member(3), {vm_name(3)});
    m.update_unreachable_report(at(40s), make_member(4, 9), {vm_name(3)});
    m.update_unreachable_report(at(40s), make_member(4), {vm_name(5)});
    CHECK_FALSE(m.next_fence(at(40s)));
    m.update_unreachable_report(at(40s), make_member(4), {vm_name(3)});
    auto const fence = m.next_fence(at(40s));
    REQUIRE(fence);
    CHECK(fence->m_vm == vm_name(3));
    CHECK(fence->m_incarnation == 1);
    CHECK(fence->m_reason == leave_by_fence);
    CHECK_FALSE(m.next_fence(at(40s)));
    m.probe_succeeded(at(41s), make_member(3));
    m.log_read_succeeded(at(55s));
    CHECK_FALSE(m.next_fence(at(55s)));
}

TEST_CASE("a VM that reaches few members fences none")
{
    // Otherwise a VM partitioned from its peers but not from the log fences
    // them all.
    membership m = make_membership(8);
    std::set<vm_id> others;
    for (std::size_t i = 1; i < 7; ++i)
    {
        others.insert(vm_name(i));
    }
    run_probes(m, 0s, 60s, others);
    m.update_unreachable_report(at(60s), make_member(7), {vm_name(3)});
    CHECK(m.unreachable_vms(at(60s)).empty());
    CHECK_FALSE(m.next_fence(at(60s)));
}

TEST_CASE("the responding member with the lowest VM id fences first")
{
    // Otherwise many VMs append the same record at once.
    auto const fence_delay = [](std::size_t self)
    {
        membership m{make_member(self), seed};
        m.set_vms(at(0s), make_vm_list(8));
        m.set_members(at(0s), make_members(8));
        run_probes(m, 0s, 20s, {vm_name(0)});
        std::vector<entry_vm> list = make_vm_list(8);
        list.erase(list.begin());
        m.set_vms(at(20s), list);
        duration t = 20s;
        for (; t < 60s && !m.next_fence(at(t)); t += probe_interval)
        {
            run_probes(m, t, t + probe_interval, {vm_name(0)});
        }
        return t - duration{20s};
    };
    CHECK(fence_delay(1) == unlisted_fence_timeout);
    CHECK(fence_delay(2) == unlisted_fence_timeout + fence_rank_delay);
    CHECK(fence_delay(5) == unlisted_fence_timeout + 4 * fence_rank_delay);
}

TEST_CASE(
    "an unlisted member is not fenced while it responds or by a faulty list")
{
    // The list lags and may be wrong; a fenced VM loses its rate shares.
    membership m = make_membership(8);
    m.set_vms(at(1s), make_vm_list(7));
    run_probes(m, 1s, 30s, {});
    CHECK_FALSE(m.next_fence(at(30s)));
    m.set_vms(at(30s), std::vector<entry_vm>{});
    run_probes(m, 30s, 60s, {vm_name(7)});
    CHECK_FALSE(m.next_fence(at(60s)));

    membership new_member = make_membership(8);
    new_member.set_members(at(1s), make_members(9));
    run_probes(new_member, 1s, 20s, {});
    CHECK_FALSE(new_member.next_fence(at(20s)));
    run_probes(new_member, 20s, 32s, {});
    CHECK(new_member.next_fence(at(32s)));
}

TEST_CASE("no fence while the log is down or by a VM that is not a member")
{
    // The record could not be appended, or would be appended late, after the
    // outage.
    membership m = make_membership(8);
    m.set_vms(at(1s), make_vm_list(7));
    run_probes(m, 1s, 20s, {vm_name(7)});
    CHECK_FALSE(m.next_fence(at(22s)));
    m.log_read_succeeded(at(22s));
    CHECK(m.next_fence(at(22s)));

    membership non_member{make_member(9), seed};
    non_member.set_vms(at(0s), make_vm_list(7));
    non_member.set_members(at(0s), make_members(8));
    run_probes(non_member, 0s, 60s, {vm_name(7)});
    CHECK_FALSE(non_member.next_fence(at(60s)));
}

TEST_CASE("a member does not respond if its VM replies as another incarnation")
{
    // Otherwise the rate shares of the ended incarnation stay lost.
    membership m = make_membership(4);
    m.probe_succeeded(at(1s), make_member(2, 1));
    CHECK(m.status(at(1s))[2].m_is_responding);
    m.probe_succeeded(at(2s), make_member(2, 5));
    CHECK_FALSE(m.status(at(2s))[2].m_is_responding);
    CHECK(m.unreachable_vms(at(33s)) == std::vector{vm_name(2)});
    std::vector<member> renewed = make_members(4);
    renewed[2] = make_member(2, 5);
    m.set_members(at(34s), renewed);
    CHECK(m.status(at(34s))[2].m_is_responding);
    CHECK(m.unreachable_vms(at(90s)).empty());
}
