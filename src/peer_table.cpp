#include "peer_table.hpp"

#include <algorithm>
#include <iterator>

namespace briarhub
{
namespace
{

/// Rank of a VM in elections; the lowest wins. Hashed, so that the order is
/// unrelated to the addresses.
std::uint64_t election_rank(vm_tag vm)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    std::uint64_t const mixed = (vm + multiplier) * multiplier;
    return mixed ^ (mixed >> 29U);
}

} // namespace

peer_table::peer_table(peer_address self, std::uint64_t seed)
    : m_self(self), m_random(seed)
{
}

void peer_table::add(time_point now, peer_address const& address)
{
    if (address.m_vm == m_self.m_vm || address.m_vm == 0)
    {
        return;
    }
    auto const [it, is_new] = m_peers.try_emplace(address.m_vm);
    if (is_new)
    {
        it->second.m_domain = address.m_domain;
        it->second.m_added = now;
        m_share_owners.try_emplace(address.m_vm, share_owner{now, false});
    }
}

bool peer_table::record_message(time_point now, gossip_message const& message)
{
    if (message.m_origin.m_vm == m_self.m_vm)
    {
        return false;
    }
    m_share_owners[message.m_origin.m_vm] = {now, true};
    record_reported_size(now, message.m_fleet_size);
    if (message.m_is_leaving)
    {
        m_peers.erase(message.m_origin.m_vm);
        m_departed.insert(message.m_origin.m_vm);
        return true;
    }
    m_departed.erase(message.m_origin.m_vm);
    add(now, message.m_origin);
    auto& entry = m_peers[message.m_origin.m_vm];
    bool const is_old =
        entry.m_run == message.m_run && message.m_sequence <= entry.m_sequence;
    entry.m_domain = message.m_origin.m_domain;
    entry.m_heard = now;
    entry.m_was_heard = true;
    if (is_old)
    {
        return false;
    }
    entry.m_run = message.m_run;
    entry.m_sequence = message.m_sequence;
    entry.m_reaches_store = message.m_state.m_reaches_store;
    return true;
}

void peer_table::remove_expired(time_point now)
{
    std::erase_if(
        m_peers,
        [&](auto const& item)
        {
            auto const& entry = item.second;
            auto const since =
                entry.m_was_heard ? entry.m_heard : entry.m_added;
            return now - since >= peer_retention;
        });
    std::erase_if(
        m_share_owners,
        [&](auto const& item)
        {
            return now - item.second.m_last_known >= share_retention;
        });
    std::erase_if(
        m_departed,
        [&](vm_tag vm)
        {
            return !m_share_owners.contains(vm);
        });
}

/// Peers report only what they count themselves, so a size that no VM counts
/// any more expires.
void peer_table::record_reported_size(time_point now, std::size_t size)
{
    bool const is_old = now - m_size_reported_at >= share_retention;
    if (size > 0 && (size >= m_reported_size || is_old))
    {
        m_reported_size = size;
        m_size_reported_at = now;
        m_is_fleet_size_known = true;
    }
}

std::size_t peer_table::known_fleet_size() const
{
    return m_is_fleet_size_known ? m_share_owners.size() + 1 : 0;
}

std::optional<std::vector<vm_tag>> peer_table::fleet_members() const
{
    if (!m_is_fleet_size_known)
    {
        return std::nullopt;
    }
    std::vector<vm_tag> members{m_self.m_vm};
    for (auto const& [vm, owner] : m_share_owners)
    {
        if (!m_departed.contains(vm))
        {
            members.push_back(vm);
        }
    }
    return members;
}

fleet_position peer_table::position(time_point now) const
{
    if (!m_is_fleet_size_known)
    {
        return {};
    }
    bool const is_reported = now - m_size_reported_at < share_retention;
    auto const index = std::ranges::count_if(
        m_share_owners,
        [&](auto const& item)
        {
            return item.first < m_self.m_vm;
        });
    return {
        std::max(known_fleet_size(), is_reported ? m_reported_size : 0),
        static_cast<std::size_t>(index)};
}

bool peer_table::is_live(time_point now, peer const& entry)
{
    return entry.m_was_heard && now - entry.m_heard < peer_silence_limit;
}

std::vector<peer_table::destination> peer_table::destinations(time_point now)
{
    std::vector<destination> chosen;
    std::map<domain_tag, std::vector<vm_tag>> live;
    std::map<domain_tag, std::vector<vm_tag>> silent;
    for (auto const& [vm, entry] : m_peers)
    {
        if (entry.m_domain == m_self.m_domain)
        {
            chosen.push_back({vm, false});
            continue;
        }
        auto& group = is_live(now, entry) ? live : silent;
        group[entry.m_domain].push_back(vm);
    }
    auto const add_one_of = [&](std::vector<vm_tag> const& group)
    {
        std::uniform_int_distribution<std::size_t> pick{0, group.size() - 1};
        chosen.push_back({group[pick(m_random)], true});
    };
    for (auto const& [domain, group] : live)
    {
        add_one_of(group);
    }
    // A domain without a live VM gets messages too, to detect its recovery.
    for (auto const& [domain, group] : silent)
    {
        if (!live.contains(domain))
        {
            add_one_of(group);
        }
    }
    return chosen;
}

std::vector<vm_tag> peer_table::domain_peers() const
{
    std::vector<vm_tag> found;
    for (auto const& [vm, entry] : m_peers)
    {
        if (entry.m_domain == m_self.m_domain)
        {
            found.push_back(vm);
        }
    }
    return found;
}

std::vector<vm_tag> peer_table::sample_live(time_point now, std::size_t count)
{
    std::vector<vm_tag> live;
    for (auto const& [vm, entry] : m_peers)
    {
        if (is_live(now, entry))
        {
            live.push_back(vm);
        }
    }
    std::vector<vm_tag> chosen;
    std::ranges::sample(
        live,
        std::back_inserter(chosen),
        static_cast<std::ptrdiff_t>(count),
        m_random);
    std::ranges::shuffle(chosen, m_random);
    return chosen;
}

bool peer_table::is_lost(vm_tag vm, share_owner const& owner) const
{
    return owner.m_was_heard && !m_peers.contains(vm) &&
           !m_departed.contains(vm);
}

std::optional<vm_tag> peer_table::sample_lost()
{
    std::vector<vm_tag> lost;
    for (auto const& [vm, owner] : m_share_owners)
    {
        if (is_lost(vm, owner))
        {
            lost.push_back(vm);
        }
    }
    if (lost.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick{0, lost.size() - 1};
    return lost[pick(m_random)];
}

std::vector<peer_address> peer_table::members() const
{
    std::vector<peer_address> list{m_self};
    for (auto const& [vm, entry] : m_peers)
    {
        list.push_back({vm, entry.m_domain});
    }
    return list;
}

fleet_view peer_table::view(time_point now) const
{
    fleet_view view;
    for (auto const& [vm, entry] : m_peers)
    {
        ++view.m_known;
        view.m_heard += is_live(now, entry) ? 1 : 0;
    }
    return view;
}

/// A VM that loses most peers at once is more likely cut off than they are, and
/// must not wait for long. Single peers that restart, or whose messages are
/// lost, do not change the shares of the others.
fleet_view peer_table::share_view(time_point now) const
{
    fleet_view view;
    std::size_t heard_lately = 1;
    for (auto const& [vm, entry] : m_peers)
    {
        auto const silence = silence_of(now, entry);
        view.m_heard += silence < peer_silence_limit ? 1 : 0;
        heard_lately += silence < report_period ? 1 : 0;
    }
    auto const lost = std::ranges::count_if(
        m_share_owners,
        [this](auto const& item)
        {
            return is_lost(item.first, item.second);
        });
    view.m_known += m_peers.size() + static_cast<std::size_t>(lost);
    bool const is_cut_off = 2 * heard_lately < view.m_known;
    return is_cut_off ? fleet_view{heard_lately, view.m_known} : view;
}

/// Time since the peer was heard; zero while it is new.
duration peer_table::silence_of(time_point now, peer const& entry)
{
    auto const known = now - entry.m_added;
    bool const is_new = !entry.m_was_heard && known < peer_silence_limit;
    if (is_new)
    {
        return duration::zero();
    }
    return entry.m_was_heard ? now - entry.m_heard : known;
}

bool peer_table::should_read_store(time_point now) const
{
    return ranks_first(now, m_self.m_domain);
}

bool peer_table::is_fleet_leader(time_point now) const
{
    return ranks_first(now, std::nullopt);
}

/// True if no live VM that reaches the store, of one domain or of all, has a
/// lower rank.
bool peer_table::ranks_first(
    time_point now, std::optional<domain_tag> domain) const
{
    auto const own_rank = election_rank(m_self.m_vm);
    return std::ranges::none_of(
        m_peers,
        [&](auto const& item)
        {
            auto const& [vm, entry] = item;
            return (!domain || entry.m_domain == *domain) &&
                   is_live(now, entry) && entry.m_reaches_store &&
                   election_rank(vm) < own_rank;
        });
}

} // namespace briarhub
