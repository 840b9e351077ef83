#include "freshness_tracker.hpp"

#include <algorithm>
#include <functional>
#include <limits>

namespace briarhub
{
namespace
{

constexpr control_version max_version =
    std::numeric_limits<control_version>::max();

std::size_t majority_of(std::size_t members)
{
    return members / 2 + 1;
}

using member_set_map = std::map<control_version, std::vector<member>>;

/// The member set in force at a version; `end` if it is unknown.
member_set_map::const_iterator
member_set_at(member_set_map const& sets, control_version v)
{
    auto const next = sets.upper_bound(v);
    return next == sets.begin() ? sets.end() : std::prev(next);
}

/// The largest value that at least `count` of the values reach.
template <class Value>
Value nth_largest(std::vector<Value>& values, std::size_t count)
{
    auto const position =
        values.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::ranges::nth_element(values, position, std::greater{});
    return *position;
}

} // namespace

freshness_tracker::freshness_tracker(member self) : m_self{std::move(self)}
{
}

void freshness_tracker::set_members(
    control_version version, std::vector<member> members)
{
    constexpr control_version first_version = 1;
    if (m_members.empty() && version == first_version)
    {
        m_members.emplace(0, std::vector<member>{});
    }
    if (!m_members.empty() && version <= m_members.rbegin()->first)
    {
        return;
    }
    if (!m_members.empty())
    {
        for (member const& old : m_members.rbegin()->second)
        {
            auto const present =
                std::ranges::find(members, old.m_vm, &member::m_vm);
            if (present != members.end() &&
                present->m_incarnation != old.m_incarnation)
            {
                mark_ended(old);
            }
        }
    }
    m_members.emplace(version, std::move(members));
    advance_stable_version();
    update_quorum_start();
}

void freshness_tracker::set_member_history(member_history const& history)
{
    if (history.m_sets.empty())
    {
        return;
    }
    control_version const first = history.m_sets.front().m_version;
    if (!m_members.empty() && first > m_members.rbegin()->first)
    {
        m_members.clear();
    }
    for (member_set const& set : history.m_sets)
    {
        m_members.emplace(set.m_version, set.m_members);
    }
    for (member const& ended : history.m_ended)
    {
        mark_ended(ended);
    }
    advance_stable_version();
    update_quorum_start();
}

void freshness_tracker::raise_stable_version(control_version version)
{
    m_stable_version = std::max(m_stable_version, version);
    advance_stable_version();
}

void freshness_tracker::mark_ended(member const& ended)
{
    m_ended.emplace(ended.m_vm, ended.m_incarnation);
}

void freshness_tracker::set_version(control_version version)
{
    m_version = std::max(m_version, version);
    advance_stable_version();
    update_quorum_start();
}

void freshness_tracker::record_log_read(time_point start)
{
    m_log_read_start = std::max(m_log_read_start.value_or(start), start);
}

/// Replies may arrive out of order. The latest start and the highest version
/// can be combined, because an incarnation's version never falls.
void freshness_tracker::record_peer_reply(
    time_point start, member const& peer, control_version version)
{
    incarnation_key const key{peer.m_vm, peer.m_incarnation};
    auto const [position, is_new] =
        m_acknowledgements.emplace(key, acknowledgement{start, version});
    acknowledgement& latest = position->second;
    latest.m_start = std::max(latest.m_start, start);
    latest.m_version = std::max(latest.m_version, version);
    advance_stable_version();
    update_quorum_start();
}

void freshness_tracker::record_self_check(time_point now)
{
    m_self_checked_at = std::max(m_self_checked_at.value_or(now), now);
    update_quorum_start();
}

/// Other VMs count an ended incarnation as having applied every version, so it
/// must not admit requests if its process still runs.
time_point freshness_tracker::valid_until() const
{
    if (m_ended.contains({m_self.m_vm, m_self.m_incarnation}))
    {
        return {};
    }
    if (!m_log_read_start && !m_quorum_start)
    {
        return {};
    }
    time_point const start = std::max(
        m_log_read_start.value_or(time_point::min()),
        m_quorum_start.value_or(time_point::min()));
    return start + freshness_window;
}

control_version freshness_tracker::stable_version() const
{
    return m_stable_version;
}

bool freshness_tracker::is_behind() const
{
    auto const is_newer = [this](auto const& peer)
    {
        return peer.second.m_version > m_version;
    };
    return std::ranges::any_of(m_acknowledgements, is_newer);
}

bool freshness_tracker::is_self(member const& m) const
{
    return m.m_vm == m_self.m_vm && m.m_incarnation == m_self.m_incarnation;
}

/// Start of a member's latest round trip. Nullopt if the member has applied a
/// version newer than that of this VM, since its reply then confirms nothing.
std::optional<time_point>
freshness_tracker::round_trip_start(member const& m) const
{
    if (is_self(m))
    {
        return time_point::max();
    }
    auto const peer = m_acknowledgements.find({m.m_vm, m.m_incarnation});
    if (peer == m_acknowledgements.end() || peer->second.m_version > m_version)
    {
        return std::nullopt;
    }
    return peer->second.m_start;
}

control_version freshness_tracker::applied_version(member const& m) const
{
    if (is_self(m))
    {
        return m_version;
    }
    if (m_ended.contains({m.m_vm, m.m_incarnation}))
    {
        return max_version;
    }
    auto const peer = m_acknowledgements.find({m.m_vm, m.m_incarnation});
    return peer == m_acknowledgements.end() ? 0 : peer->second.m_version;
}

/// A confirmation stays valid if later replies are missing or report a newer
/// version: it only requires that no newer version was stable when its round
/// trips began.
void freshness_tracker::update_quorum_start()
{
    auto const set = member_set_at(m_members, m_version);
    if (set == m_members.end())
    {
        return;
    }
    std::vector<time_point> starts;
    for (member const& m : set->second)
    {
        if (auto const start = round_trip_start(m))
        {
            starts.push_back(*start);
        }
    }
    std::size_t const majority = majority_of(set->second.size());
    if (starts.size() < majority)
    {
        return;
    }
    time_point const oldest = nth_largest(starts, majority);
    auto const confirmed =
        oldest == time_point::max() ? m_self_checked_at : std::optional{oldest};
    if (confirmed)
    {
        m_quorum_start =
            std::max(m_quorum_start.value_or(*confirmed), *confirmed);
    }
}

/// Highest version that a majority is known to have applied. An empty member
/// set cannot renew a lease, so it does not delay a version from becoming
/// stable.
control_version
freshness_tracker::applied_by_majority(std::vector<member> const& members) const
{
    if (members.empty())
    {
        return max_version;
    }
    std::vector<control_version> versions;
    versions.reserve(members.size());
    for (member const& m : members)
    {
        versions.push_back(applied_version(m));
    }
    return nth_largest(versions, majority_of(members.size()));
}

/// Raises the stable version to the highest one that a majority has applied
/// in each member set, from the set in force at the stable version to the set
/// in force at the new one.
void freshness_tracker::advance_stable_version()
{
    control_version applied = m_version;
    auto set = member_set_at(m_members, m_stable_version);
    while (set != m_members.end())
    {
        auto const next = std::next(set);
        control_version const begin = set->first;
        control_version const end =
            next == m_members.end() ? max_version : next->first - 1;
        applied = std::min(applied, applied_by_majority(set->second));
        if (applied < begin)
        {
            break;
        }
        m_stable_version = std::max(m_stable_version, std::min(applied, end));
        if (applied <= end)
        {
            break;
        }
        set = next;
    }
    remove_obsolete();
}

/// Removes member sets that ended before both the stable version and the
/// version of this VM, and the data of incarnations that are in no remaining
/// set.
void freshness_tracker::remove_obsolete()
{
    auto const oldest_needed =
        member_set_at(m_members, std::min(m_stable_version, m_version));
    if (oldest_needed != m_members.end())
    {
        m_members.erase(m_members.cbegin(), oldest_needed);
    }
    std::set<incarnation_key> needed{{m_self.m_vm, m_self.m_incarnation}};
    for (auto const& [version, members] : m_members)
    {
        for (member const& m : members)
        {
            needed.emplace(m.m_vm, m.m_incarnation);
        }
    }
    std::erase_if(
        m_ended,
        [&](incarnation_key const& key)
        {
            return !needed.contains(key);
        });
    std::erase_if(
        m_acknowledgements,
        [&](auto const& peer)
        {
            return !needed.contains(peer.first) &&
                   peer.second.m_version <= m_version;
        });
}

} // namespace briarhub
