#include "membership.hpp"

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

/// A majority must be reached within a third of the freshness window, so that
/// two rounds can fail before a VM stops admitting.
constexpr auto majority_intervals = static_cast<std::size_t>(
    std::chrono::milliseconds{freshness_window} / 3 / probe_interval);

} // namespace

membership::membership(member self, std::uint64_t seed)
    : m_self{std::move(self)}, m_random{seed}
{
}

/// A member that is no longer listed keeps its address, since the list may be
/// wrong and the member still counts for a majority.
void membership::set_vms(time_point now, std::span<entry_vm const> vms)
{
    m_has_vm_list = true;
    std::vector<entry_vm> const previous = std::exchange(m_vms, {});
    m_vms.assign(vms.begin(), vms.end());
    m_listed.clear();
    for (entry_vm const& vm : vms)
    {
        m_listed.insert(vm.m_id);
        m_peer_states[vm.m_id].m_was_listed = true;
    }
    for (entry_vm const& vm : previous)
    {
        if (!is_listed(vm.m_id) && is_member(vm.m_id))
        {
            m_vms.push_back(vm);
        }
    }
    update_listing(now);
}

void membership::set_members(time_point now, std::vector<member> members)
{
    for (member const& m : members)
    {
        bool const was_member =
            std::ranges::find(m_members, m) != m_members.end();
        peer_state& state = m_peer_states[m.m_vm];
        if (!was_member && state.m_incarnation != m.m_incarnation)
        {
            bool const was_listed = state.m_was_listed;
            state = {};
            state.m_was_listed = was_listed;
        }
        if (!was_member)
        {
            state.m_member_since = now;
        }
    }
    m_members = std::move(members);
    m_has_members = true;
    m_was_member = m_was_member || is_self_member();
    update_listing(now);
}

/// Updates since when members are missing from the list, and removes the state
/// of VMs that are neither listed nor members.
void membership::update_listing(time_point now)
{
    std::erase_if(
        m_peer_states,
        [&](auto const& state)
        {
            return !is_listed(state.first) && !is_member(state.first);
        });
    std::erase_if(
        m_unreachable_reports,
        [&](auto const& report)
        {
            return !is_member(report.first);
        });
    for (member const& m : m_members)
    {
        peer_state& state = m_peer_states[m.m_vm];
        if (!m_has_vm_list || is_listed(m.m_vm))
        {
            state.m_unlisted_since.reset();
        }
        else if (!state.m_unlisted_since)
        {
            state.m_unlisted_since = now;
        }
    }
}

void membership::log_read_succeeded(time_point now)
{
    m_last_log_read = now;
}

std::vector<entry_vm> membership::next_probes(time_point now)
{
    std::size_t const probe_count = fanout(now);
    std::vector<vm_id> selected;
    if (auto const failed = next_failed_peer(now))
    {
        selected.push_back(*failed);
    }
    bool round_started = false;
    while (selected.size() < probe_count)
    {
        if (m_probe_round.empty())
        {
            if (std::exchange(round_started, true))
            {
                break;
            }
            start_probe_round(now);
            continue;
        }
        vm_id const vm = m_probe_round.back();
        m_probe_round.pop_back();
        if (find(vm) && std::ranges::find(selected, vm) == selected.end())
        {
            selected.push_back(vm);
        }
    }
    std::vector<entry_vm> result;
    for (vm_id const& vm : selected)
    {
        m_peer_states[vm].m_last_probe = now;
        result.push_back(*find(vm));
    }
    return result;
}

/// While the log is unreachable only members are probed, since only they count
/// for a majority.
void membership::start_probe_round(time_point now)
{
    bool const only_members = is_log_unreachable(now) && !m_members.empty();
    for (entry_vm const& vm : m_vms)
    {
        bool const is_included = !only_members || is_member(vm.m_id);
        if (vm.m_id != m_self.m_vm && is_included)
        {
            m_probe_round.push_back(vm.m_id);
        }
    }
    std::ranges::shuffle(m_probe_round, m_random);
    // Peers are taken from the end of the round, so those of this VM's failure
    // domain come first.
    std::stable_partition(
        m_probe_round.begin(),
        m_probe_round.end(),
        [&](vm_id const& vm)
        {
            return find(vm)->m_failure_domain != m_self.m_failure_domain;
        });
}

/// Members that do not respond may be among those probed, so they are added to
/// the number of replies that a majority needs.
std::size_t membership::fanout(time_point now) const
{
    if (!is_log_unreachable(now) || m_members.empty())
    {
        return probe_fanout;
    }
    std::size_t const majority = m_members.size() / 2 + 1;
    std::size_t needed_replies = majority - (is_self_member() ? 1 : 0);
    for (member const& m : m_members)
    {
        needed_replies += !is_self(m) && !is_responding(m) ? 1 : 0;
    }
    std::size_t const probes_per_interval =
        (needed_replies + majority_intervals - 1) / majority_intervals;
    return std::max(probe_fanout, probes_per_interval);
}

/// The failed peer whose last probe is the oldest. Without this retry, a large
/// fleet would need many rounds to distinguish a failed peer from a lost
/// message.
std::optional<vm_id> membership::next_failed_peer(time_point now) const
{
    std::optional<vm_id> result;
    time_point oldest = now - failed_probe_interval;
    for (auto const& [vm, state] : m_peer_states)
    {
        bool const failed = state.m_failures > 0 && state.m_last_probe;
        if (failed && *state.m_last_probe <= oldest && find(vm))
        {
            oldest = *state.m_last_probe;
            result = vm;
        }
    }
    return result;
}

void membership::probe_succeeded(time_point now, member const& peer)
{
    auto const found = m_peer_states.find(peer.m_vm);
    if (found == m_peer_states.end())
    {
        return;
    }
    peer_state& state = found->second;
    if (state.m_incarnation != peer.m_incarnation)
    {
        state.m_incarnation = peer.m_incarnation;
        state.m_incarnation_since = now;
    }
    state.m_last_reply = now;
    state.m_failed_since.reset();
    state.m_failures = 0;
}

void membership::probe_failed(time_point now, vm_id const& peer)
{
    auto const found = m_peer_states.find(peer);
    if (found == m_peer_states.end())
    {
        return;
    }
    peer_state& state = found->second;
    state.m_failed_since = state.m_failed_since.value_or(now);
    ++state.m_failures;
}

std::vector<vm_id> membership::unreachable_vms(time_point now) const
{
    std::vector<vm_id> result;
    if (suspects_own_network(now))
    {
        return result;
    }
    for (member const& m : m_members)
    {
        if (is_unreachable(now, m))
        {
            result.push_back(m.m_vm);
        }
    }
    return result;
}

void membership::update_unreachable_report(
    time_point now, member const& reporter, std::vector<vm_id> unreachable)
{
    if (std::ranges::find(m_members, reporter) != m_members.end())
    {
        m_unreachable_reports[reporter.m_vm] = {now, std::move(unreachable)};
    }
}

std::optional<control_record> membership::next_join(time_point now)
{
    auto const self_entry =
        std::ranges::find(m_vms, m_self.m_vm, &entry_vm::m_id);
    bool const is_leaving =
        self_entry != m_vms.end() && self_entry->m_state == vm_state::leaving;
    if (!m_has_members || is_self_member() || is_replaced() || is_leaving ||
        is_log_unreachable(now))
    {
        return std::nullopt;
    }
    bool const is_too_soon =
        m_last_join && (now - *m_last_join < join_retry_interval ||
                        *m_last_log_read <= *m_last_join);
    if (is_too_soon)
    {
        return std::nullopt;
    }
    m_last_join = now;
    return join_record{m_self};
}

bool membership::is_replaced() const
{
    return m_was_member && !is_self_member() && is_member(m_self.m_vm);
}

std::optional<leave_record> membership::next_fence(time_point now)
{
    if (is_log_unreachable(now) || !is_self_member())
    {
        return std::nullopt;
    }
    for (member const& m : m_members)
    {
        auto const due = fence_due(now, m);
        peer_state& state = m_peer_states[m.m_vm];
        bool const is_recently_proposed =
            state.m_fence_proposed_at &&
            now - *state.m_fence_proposed_at < fence_retry_interval;
        if (due && *due <= now && !is_recently_proposed)
        {
            state.m_fence_proposed_at = now;
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
    if (!due && is_unreachable(now, m) &&
        is_reported_unreachable(now, m.m_vm) && !suspects_own_network(now))
    {
        due = *unreachable_since(m) + fence_timeout;
    }
    if (!due)
    {
        return std::nullopt;
    }
    return *due + fence_rank(m) * fence_rank_delay;
}

/// A list that lacks more than half of the members is ignored as faulty.
std::optional<time_point>
membership::unlisted_fence_due(time_point now, member const& m) const
{
    auto const is_listed_member = [this](member const& other)
    {
        return is_listed(other.m_vm);
    };
    auto const listed_count =
        std::ranges::count_if(m_members, is_listed_member);
    peer_state const& state = m_peer_states.at(m.m_vm);
    bool const replied_recently =
        is_responding(m) && now - *state.m_last_reply < unlisted_fence_timeout;
    if (!state.m_unlisted_since || replied_recently ||
        2 * static_cast<std::size_t>(listed_count) < m_members.size())
    {
        return std::nullopt;
    }
    // A member that was never listed probably joined after the list was made.
    std::chrono::seconds const timeout =
        state.m_was_listed ? unlisted_fence_timeout : fence_timeout;
    return *state.m_unlisted_since + timeout;
}

std::size_t membership::fence_rank(member const& target) const
{
    auto const precedes_self = [&](member const& m)
    {
        return m.m_vm < m_self.m_vm && m.m_vm != target.m_vm &&
               is_responding(m);
    };
    auto const rank = std::ranges::count_if(m_members, precedes_self);
    return std::min(static_cast<std::size_t>(rank), max_fence_rank);
}

std::optional<entry_vm> membership::find(vm_id const& vm) const
{
    auto const found = std::ranges::find(m_vms, vm, &entry_vm::m_id);
    if (found == m_vms.end())
    {
        return std::nullopt;
    }
    return *found;
}

std::vector<membership::peer_status> membership::status(time_point) const
{
    std::vector<peer_status> result;
    for (member const& m : m_members)
    {
        result.push_back(
            {m, is_listed(m.m_vm), is_self(m) || is_responding(m)});
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

bool membership::is_log_unreachable(time_point now) const
{
    return !m_last_log_read || now - *m_last_log_read > log_timeout;
}

/// If more members are unreachable than respond, a fault in this VM's own
/// network is more likely.
bool membership::suspects_own_network(time_point now) const
{
    std::size_t unreachable = 0;
    std::size_t responding = 1;
    for (member const& m : m_members)
    {
        unreachable += !is_self(m) && is_unreachable(now, m) ? 1 : 0;
        responding += !is_self(m) && is_responding(m) ? 1 : 0;
    }
    return unreachable > responding;
}

bool membership::is_responding(member const& m) const
{
    auto const found = m_peer_states.find(m.m_vm);
    return found != m_peer_states.end() && found->second.m_last_reply &&
           found->second.m_incarnation == m.m_incarnation &&
           found->second.m_failures == 0;
}

bool membership::is_reported_unreachable(time_point now, vm_id const& vm) const
{
    auto const reports = [&](auto const& item)
    {
        auto const& [reporter, report] = item;
        return reporter != vm && reporter != m_self.m_vm &&
               now - report.m_received < fence_timeout &&
               std::ranges::find(report.m_unreachable, vm) !=
                   report.m_unreachable.end();
    };
    return std::ranges::any_of(m_unreachable_reports, reports);
}

/// Since when this incarnation has not responded. A reply from another
/// incarnation shows that this one has ended.
std::optional<time_point> membership::unreachable_since(member const& m) const
{
    auto const found = m_peer_states.find(m.m_vm);
    if (found == m_peer_states.end() || is_self(m))
    {
        return std::nullopt;
    }
    peer_state const& state = found->second;
    if (state.m_incarnation && state.m_incarnation != m.m_incarnation)
    {
        return std::max(state.m_incarnation_since, state.m_member_since);
    }
    if (!state.m_failed_since || state.m_failures < min_fence_failures)
    {
        return std::nullopt;
    }
    return std::max(*state.m_failed_since, state.m_member_since);
}

bool membership::is_unreachable(time_point now, member const& m) const
{
    auto const since = unreachable_since(m);
    return since && now - *since >= fence_timeout;
}

} // namespace briarhub
