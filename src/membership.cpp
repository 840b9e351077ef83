#include "membership.hpp"

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

/// A majority must be reached within a third of the freshness window, so that
/// two rounds may fail before a VM stops admitting.
constexpr auto majority_intervals = static_cast<std::size_t>(
    std::chrono::milliseconds{freshness_window} / 3 / probe_interval);

} // namespace

membership::membership(member self, std::uint64_t seed)
    : m_self{std::move(self)}, m_random{seed}
{
}

/// A member that is no longer listed keeps its address: the list may be wrong,
/// and the member is still needed for a majority.
void membership::set_vms(time_point now, std::span<entry_vm const> vms)
{
    m_has_list = true;
    std::vector<entry_vm> const previous = std::exchange(m_vms, {});
    m_vms.assign(vms.begin(), vms.end());
    m_listed.clear();
    for (entry_vm const& vm : vms)
    {
        m_listed.insert(vm.m_id);
        m_contacts[vm.m_id].m_was_listed = true;
    }
    for (entry_vm const& vm : previous)
    {
        if (!is_listed(vm.m_id) && is_member(vm.m_id))
        {
            m_vms.push_back(vm);
        }
    }
    note_listing(now);
}

void membership::set_members(time_point now, std::vector<member> members)
{
    for (member const& m : members)
    {
        bool const is_known =
            std::ranges::find(m_members, m) != m_members.end();
        peer_contact& contact = m_contacts[m.m_vm];
        if (!is_known && contact.m_incarnation != m.m_incarnation)
        {
            bool const was_listed = contact.m_was_listed;
            contact = {};
            contact.m_was_listed = was_listed;
        }
        if (!is_known)
        {
            contact.m_known_since = now;
        }
    }
    m_members = std::move(members);
    m_has_members = true;
    m_was_member = m_was_member || is_self_member();
    note_listing(now);
}

/// Updates since when members are missing in the list and forgets VMs that
/// are neither listed nor members.
void membership::note_listing(time_point now)
{
    std::erase_if(
        m_contacts,
        [&](auto const& contact)
        {
            return !is_listed(contact.first) && !is_member(contact.first);
        });
    std::erase_if(
        m_silence_reports,
        [&](auto const& report)
        {
            return !is_member(report.first);
        });
    for (member const& m : m_members)
    {
        peer_contact& contact = m_contacts[m.m_vm];
        if (!m_has_list || is_listed(m.m_vm))
        {
            contact.m_unlisted_since.reset();
        }
        else if (!contact.m_unlisted_since)
        {
            contact.m_unlisted_since = now;
        }
    }
}

void membership::log_answered(time_point now)
{
    m_last_log_answer = now;
}

std::vector<entry_vm> membership::next_probes(time_point now)
{
    std::size_t const wanted = fanout(now);
    std::vector<vm_id> chosen;
    if (auto const failed = failed_peer_due(now))
    {
        chosen.push_back(*failed);
    }
    bool round_started = false;
    while (chosen.size() < wanted)
    {
        if (m_round.empty())
        {
            if (std::exchange(round_started, true))
            {
                break;
            }
            start_round(now);
            continue;
        }
        vm_id const vm = m_round.back();
        m_round.pop_back();
        if (find(vm) && std::ranges::find(chosen, vm) == chosen.end())
        {
            chosen.push_back(vm);
        }
    }
    std::vector<entry_vm> result;
    for (vm_id const& vm : chosen)
    {
        m_contacts[vm].m_last_probe = now;
        result.push_back(*find(vm));
    }
    return result;
}

/// While the log is silent only members are probed, since only they count
/// for a majority.
void membership::start_round(time_point now)
{
    bool const only_members = is_log_silent(now) && !m_members.empty();
    for (entry_vm const& vm : m_vms)
    {
        bool const is_wanted = !only_members || is_member(vm.m_id);
        if (vm.m_id != m_self.m_vm && is_wanted)
        {
            m_round.push_back(vm.m_id);
        }
    }
    std::ranges::shuffle(m_round, m_random);
    // The round is taken from its end.
    std::stable_partition(
        m_round.begin(),
        m_round.end(),
        [&](vm_id const& vm)
        {
            return find(vm)->m_failure_domain != m_self.m_failure_domain;
        });
}

/// Members that do not answer may be among those probed, so they are added to
/// the number of answers that a majority needs.
std::size_t membership::fanout(time_point now) const
{
    if (!is_log_silent(now) || m_members.empty())
    {
        return probe_fanout;
    }
    std::size_t const majority = m_members.size() / 2 + 1;
    std::size_t needed = majority - (is_self_member() ? 1 : 0);
    for (member const& m : m_members)
    {
        needed += !is_self(m) && !answers(m) ? 1 : 0;
    }
    std::size_t const each =
        (needed + majority_intervals - 1) / majority_intervals;
    return std::max(probe_fanout, each);
}

/// The failed peer that was probed longest ago. Without this a large fleet
/// would need many rounds to tell a dead peer from a lost message.
std::optional<vm_id> membership::failed_peer_due(time_point now) const
{
    std::optional<vm_id> result;
    time_point oldest = now - failed_probe_interval;
    for (auto const& [vm, contact] : m_contacts)
    {
        bool const failed = contact.m_failures > 0 && contact.m_last_probe;
        if (failed && *contact.m_last_probe <= oldest && find(vm))
        {
            oldest = *contact.m_last_probe;
            result = vm;
        }
    }
    return result;
}

void membership::probe_answered(time_point now, member const& peer)
{
    auto const place = m_contacts.find(peer.m_vm);
    if (place == m_contacts.end())
    {
        return;
    }
    peer_contact& contact = place->second;
    if (contact.m_incarnation != peer.m_incarnation)
    {
        contact.m_incarnation = peer.m_incarnation;
        contact.m_incarnation_since = now;
    }
    contact.m_last_answer = now;
    contact.m_failed_since.reset();
    contact.m_failures = 0;
}

void membership::probe_failed(time_point now, vm_id const& peer)
{
    auto const place = m_contacts.find(peer);
    if (place == m_contacts.end())
    {
        return;
    }
    peer_contact& contact = place->second;
    contact.m_failed_since = contact.m_failed_since.value_or(now);
    ++contact.m_failures;
}

std::vector<vm_id> membership::silent_vms(time_point now) const
{
    std::vector<vm_id> result;
    if (doubts_itself(now))
    {
        return result;
    }
    for (member const& m : m_members)
    {
        if (is_silent(now, m))
        {
            result.push_back(m.m_vm);
        }
    }
    return result;
}

void membership::peer_reported_silent(
    time_point now, member const& reporter, std::vector<vm_id> silent)
{
    if (std::ranges::find(m_members, reporter) != m_members.end())
    {
        m_silence_reports[reporter.m_vm] = {now, std::move(silent)};
    }
}

std::optional<control_record> membership::own_record(time_point now)
{
    auto const own = std::ranges::find(m_vms, m_self.m_vm, &entry_vm::m_id);
    bool const is_leaving =
        own != m_vms.end() && own->m_state == vm_state::leaving;
    if (!m_has_members || is_self_member() || is_replaced() || is_leaving ||
        is_log_silent(now))
    {
        return std::nullopt;
    }
    bool const is_too_soon =
        m_last_own_record && (now - *m_last_own_record < join_retry_after ||
                              *m_last_log_answer <= *m_last_own_record);
    if (is_too_soon)
    {
        return std::nullopt;
    }
    m_last_own_record = now;
    return join_record{m_self};
}

bool membership::is_replaced() const
{
    return m_was_member && !is_self_member() && is_member(m_self.m_vm);
}

std::optional<leave_record> membership::next_fence(time_point now)
{
    if (is_log_silent(now) || !is_self_member())
    {
        return std::nullopt;
    }
    for (member const& m : m_members)
    {
        auto const due = fence_due(now, m);
        peer_contact& contact = m_contacts[m.m_vm];
        bool const is_proposed =
            contact.m_fence_proposed &&
            now - *contact.m_fence_proposed < fence_retry_after;
        if (due && *due <= now && !is_proposed)
        {
            contact.m_fence_proposed = now;
            return leave_record{
                m.m_vm, m.m_incarnation, std::string{leave_by_fence}};
        }
    }
    return std::nullopt;
}

std::optional<time_point>
membership::fence_due(time_point now, member const& m) const
{
    if (is_self(m))
    {
        return std::nullopt;
    }
    std::optional<time_point> due = unlisted_fence_due(now, m);
    if (!due && is_silent(now, m) && is_reported_silent(now, m.m_vm) &&
        !doubts_itself(now))
    {
        due = *silent_since(m) + fence_after;
    }
    if (!due)
    {
        return std::nullopt;
    }
    return *due + fence_rank(m) * fence_rank_delay;
}

/// A list that lacks more than half of the members is not believed.
std::optional<time_point>
membership::unlisted_fence_due(time_point now, member const& m) const
{
    auto const is_listed_member = [this](member const& other)
    {
        return is_listed(other.m_vm);
    };
    auto const listed = std::ranges::count_if(m_members, is_listed_member);
    peer_contact const& contact = m_contacts.at(m.m_vm);
    bool const answered_lately =
        answers(m) && now - *contact.m_last_answer < fence_unlisted_after;
    if (!contact.m_unlisted_since || answered_lately ||
        2 * static_cast<std::size_t>(listed) < m_members.size())
    {
        return std::nullopt;
    }
    // A VM that was never listed is likely newer than the list.
    std::chrono::seconds const patience =
        contact.m_was_listed ? fence_unlisted_after : fence_after;
    return *contact.m_unlisted_since + patience;
}

std::size_t membership::fence_rank(member const& target) const
{
    auto const is_before = [&](member const& m)
    {
        return m.m_vm < m_self.m_vm && m.m_vm != target.m_vm && answers(m);
    };
    auto const before = std::ranges::count_if(m_members, is_before);
    return std::min(static_cast<std::size_t>(before), max_fence_rank);
}

std::optional<entry_vm> membership::find(vm_id const& vm) const
{
    auto const place = std::ranges::find(m_vms, vm, &entry_vm::m_id);
    if (place == m_vms.end())
    {
        return std::nullopt;
    }
    return *place;
}

std::vector<membership::peer_status> membership::status(time_point) const
{
    std::vector<peer_status> result;
    for (member const& m : m_members)
    {
        result.push_back({m, is_listed(m.m_vm), is_self(m) || answers(m)});
    }
    return result;
}

bool membership::is_self(member const& m) const
{
    return m.m_vm == m_self.m_vm && m.m_incarnation == m_self.m_incarnation;
}

bool membership::is_self_member() const
{
    auto const is_own = [this](member const& m)
    {
        return is_self(m);
    };
    return std::ranges::any_of(m_members, is_own);
}

bool membership::is_member(vm_id const& vm) const
{
    return std::ranges::find(m_members, vm, &member::m_vm) != m_members.end();
}

bool membership::is_listed(vm_id const& vm) const
{
    return m_listed.contains(vm);
}

bool membership::is_log_silent(time_point now) const
{
    return !m_last_log_answer || now - *m_last_log_answer > log_silence_limit;
}

/// If more members are silent than answer, this VM's own network is the
/// likelier cause.
bool membership::doubts_itself(time_point now) const
{
    std::size_t silent = 0;
    std::size_t answering = 1;
    for (member const& m : m_members)
    {
        silent += !is_self(m) && is_silent(now, m) ? 1 : 0;
        answering += !is_self(m) && answers(m) ? 1 : 0;
    }
    return silent > answering;
}

bool membership::answers(member const& m) const
{
    auto const place = m_contacts.find(m.m_vm);
    return place != m_contacts.end() && place->second.m_last_answer &&
           place->second.m_incarnation == m.m_incarnation &&
           place->second.m_failures == 0;
}

bool membership::is_reported_silent(time_point now, vm_id const& vm) const
{
    auto const reports = [&](auto const& item)
    {
        auto const& [reporter, report] = item;
        return reporter != vm && reporter != m_self.m_vm &&
               now - report.m_received < fence_after &&
               std::ranges::find(report.m_silent, vm) != report.m_silent.end();
    };
    return std::ranges::any_of(m_silence_reports, reports);
}

/// Since when this incarnation has not answered; another incarnation's answer
/// shows that it has ended.
std::optional<time_point> membership::silent_since(member const& m) const
{
    auto const place = m_contacts.find(m.m_vm);
    if (place == m_contacts.end() || is_self(m))
    {
        return std::nullopt;
    }
    peer_contact const& contact = place->second;
    if (contact.m_incarnation && contact.m_incarnation != m.m_incarnation)
    {
        return std::max(contact.m_incarnation_since, contact.m_known_since);
    }
    if (!contact.m_failed_since || contact.m_failures < fence_after_failures)
    {
        return std::nullopt;
    }
    return std::max(*contact.m_failed_since, contact.m_known_since);
}

bool membership::is_silent(time_point now, member const& m) const
{
    auto const since = silent_since(m);
    return since && now - *since >= fence_after;
}

} // namespace briarhub
