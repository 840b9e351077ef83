#include "freshness_tracker.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

time_point at(duration since_start)
{
    return time_point{1h} + since_start;
}

member vm(std::string const& name, incarnation run = 1)
{
    return {name, run, "domain-1"};
}

std::vector<member> vms(std::vector<std::string> const& names)
{
    std::vector<member> result;
    result.reserve(names.size());
    for (std::string const& name : names)
    {
        result.push_back(vm(name));
    }
    return result;
}

/// The tracker of VM "a" at version 1 with these members.
freshness_tracker vm_a(std::vector<std::string> const& names)
{
    freshness_tracker result{vm("a")};
    result.set_members(1, vms(names));
    result.set_version(1);
    return result;
}

constexpr time_point never{};

} // namespace

TEST_CASE("a majority of the members confirms, and a member counts itself")
{
    // If half of the members were enough, both halves of a partition would
    // admit requests.
    freshness_tracker four = vm_a({"a", "b", "c", "d"});
    four.record_peer_reply(at(0s), vm("b"), 1);
    CHECK(four.valid_until() == never);
    four.record_peer_reply(at(1s), vm("c"), 1);
    CHECK(four.valid_until() == at(0s) + freshness_window);

    freshness_tracker non_member = vm_a({"b", "c", "d"});
    non_member.record_peer_reply(at(0s), vm("b"), 1);
    non_member.record_peer_reply(at(0s), vm("e"), 1);
    CHECK(non_member.valid_until() == never);
    non_member.record_peer_reply(at(0s), vm("d"), 0);
    CHECK(non_member.valid_until() == at(3s));

    freshness_tracker empty{vm("a")};
    empty.set_version(0);
    empty.record_peer_reply(at(0s), vm("b"), 0);
    CHECK(empty.valid_until() == never);
}

TEST_CASE("a reply of another incarnation does not confirm")
{
    // A restarted VM has not applied the versions of its earlier incarnation.
    freshness_tracker tracker = vm_a({"a", "b", "c"});
    tracker.record_peer_reply(at(0s), vm("b", 2), 1);
    CHECK(tracker.valid_until() == never);
    CHECK(tracker.stable_version() == 0);
}

TEST_CASE("the lease counts from the majority's oldest start and never shrinks")
{
    // The time of a reply does not tell when the peer applied its version.
    freshness_tracker tracker = vm_a({"a", "b", "c", "d", "e"});
    tracker.record_peer_reply(at(2s), vm("b"), 1);
    tracker.record_peer_reply(at(1s), vm("c"), 1);
    CHECK(tracker.valid_until() == at(4s));
    tracker.record_peer_reply(at(3s), vm("d"), 1);
    CHECK(tracker.valid_until() == at(5s));
    tracker.record_peer_reply(at(0s), vm("d"), 1);
    tracker.record_peer_reply(at(4s), vm("b"), 2);
    CHECK(tracker.valid_until() == at(5s));
    tracker.record_peer_reply(at(9s), vm("c"), 2);
    tracker.record_peer_reply(at(9s), vm("d"), 2);
    CHECK(tracker.is_behind());
    CHECK(tracker.valid_until() == at(5s));
    tracker.set_version(2);
    CHECK_FALSE(tracker.is_behind());
    CHECK(tracker.valid_until() == at(12s));
}

TEST_CASE("a read of the log confirms from its start, also without peers")
{
    // Otherwise a VM that cannot reach its peers rejects all requests.
    freshness_tracker tracker = vm_a({"a", "b", "c"});
    tracker.record_log_read(at(5s));
    tracker.record_log_read(at(4s));
    CHECK(tracker.valid_until() == at(8s));
    tracker.record_peer_reply(at(6s), vm("b"), 1);
    CHECK(tracker.valid_until() == at(9s));
}

TEST_CASE("the only member renews its lease while the log is unavailable")
{
    // Otherwise a fleet of one VM rejects all requests, although that VM is the
    // majority.
    freshness_tracker tracker = vm_a({"a"});
    CHECK(tracker.valid_until() == never);
    tracker.record_self_check(at(1s));
    CHECK(tracker.valid_until() == at(4s));
    CHECK(tracker.stable_version() == 1);
    freshness_tracker two_members = vm_a({"a", "b"});
    two_members.record_self_check(at(1s));
    CHECK(two_members.valid_until() == never);
}

TEST_CASE("a version is stable when a majority of each member set applied it")
{
    // The majorities {b,c} of {a,b,c} and {a,b2} of {a,b2,c} share no member,
    // so a majority of the newer set alone is not sufficient.
    freshness_tracker tracker = vm_a({"a", "b", "c"});
    tracker.record_peer_reply(at(0s), vm("b"), 1);
    CHECK(tracker.stable_version() == 1);
    tracker.set_members(3, {vm("a"), vm("c"), vm("d")});
    tracker.set_members(4, {vm("a"), vm("d"), vm("e")});
    tracker.set_version(5);
    tracker.record_peer_reply(at(1s), vm("d"), 5);
    tracker.record_peer_reply(at(1s), vm("e"), 5);
    CHECK(tracker.stable_version() == 1);
    tracker.record_peer_reply(at(1s), vm("b"), 3);
    CHECK(tracker.stable_version() == 3);
    tracker.record_peer_reply(at(1s), vm("c"), 4);
    CHECK(tracker.stable_version() == 5);
}

TEST_CASE("a replaced incarnation delays no version and must not admit")
{
    // Otherwise no version becomes stable after a restart of the whole fleet.
    freshness_tracker tracker{vm("a", 2)};
    tracker.set_members(1, {vm("a", 1)});
    tracker.set_members(2, {vm("a", 2)});
    tracker.set_version(2);
    CHECK(tracker.stable_version() == 2);
    tracker.record_log_read(at(0s));
    tracker.set_members(3, {vm("a", 3)});
    tracker.set_version(3);
    CHECK(tracker.valid_until() == never);

    freshness_tracker late_joiner{vm("b")};
    member_history history{{{0, {}}, {1, {vm("a")}}, {2, {}}}, {}};
    late_joiner.set_member_history(history);
    late_joiner.set_members(3, {vm("b")});
    late_joiner.set_version(3);
    CHECK(late_joiner.stable_version() == 0);
    history.m_ended = {vm("a")};
    late_joiner.set_member_history(history);
    CHECK(late_joiner.stable_version() == 3);
}

TEST_CASE("no version is stable for a VM that lacks the earlier member sets")
{
    // Members of an earlier set may still admit with a majority of that set.
    freshness_tracker tracker{vm("a")};
    tracker.set_member_history(
        {{{7, vms({"a", "b"})}, {9, vms({"a", "b", "c"})}}, {}});
    tracker.set_version(9);
    tracker.record_peer_reply(at(0s), vm("b"), 9);
    tracker.record_peer_reply(at(0s), vm("c"), 9);
    CHECK(tracker.stable_version() == 0);
    tracker.raise_stable_version(6);
    CHECK(tracker.stable_version() == 6);
    tracker.raise_stable_version(8);
    CHECK(tracker.stable_version() == 9);
    tracker.set_member_history({{{30, vms({"a", "b"})}}, {}});
    tracker.set_version(30);
    tracker.record_peer_reply(at(0s), vm("b"), 30);
    CHECK(tracker.stable_version() == 9);
}

namespace
{

/// Faulty variants of the protocol, which the simulation must detect.
enum class fault
{
    none,
    reply_time,          ///< counts round trips from their reply
    unsolicited_message, ///< counts messages that a peer sent without a request
    newest_set_only,     ///< checks only the newest member set
    missing_history      ///< treats the version it started with as stable
};

/// Simulates VMs and a control stream with one-way partitions, delays, crashes
/// and restarts.
class simulation
{
public:
    simulation(std::uint32_t seed, fault kind) : m_random{seed}, m_fault{kind}
    {
        for (unsigned i = 0; i < vm_count; ++i)
        {
            m_links[i].fill(true);
            start_vm(i);
        }
    }

    /// Runs the simulation. True if a VM admits with an older version when
    /// `freshness_window` has passed since any VM knew a newer one to be
    /// stable.
    bool violates()
    {
        for (; m_now < at(90s); m_now += step)
        {
            inject_faults();
            deliver();
            for (auto& n : m_nodes)
            {
                exchange(*n);
            }
            if (any_stale_admission())
            {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] control_version highest_stable() const
    {
        return m_stable_since.empty() ? 0 : m_stable_since.rbegin()->first;
    }

private:
    static constexpr unsigned vm_count = 6;
    static constexpr duration step = 100ms;

    struct node
    {
        unsigned m_vm_index = 0;
        member m_self;
        control_log m_log;
        std::unique_ptr<freshness_tracker> m_tracker;
        bool m_alive = true;
        bool m_reads_log = true;
        std::map<std::pair<vm_id, incarnation>, control_version> m_acked;
    };

    struct message
    {
        time_point m_due;
        std::size_t m_to;
        std::function<void(node&)> m_action;
    };

    bool chance(unsigned one_in)
    {
        return m_random() % one_in == 0;
    }

    void start_vm(unsigned vm_index)
    {
        auto n = std::make_unique<node>();
        n->m_vm_index = vm_index;
        n->m_self = vm("vm-" + std::to_string(vm_index), ++m_last_incarnation);
        n->m_tracker = std::make_unique<freshness_tracker>(n->m_self);
        n->m_reads_log = chance(2) || m_nodes.size() < vm_count;
        for (auto const& peer : m_nodes)
        {
            if (chance(2) && peer->m_alive && peer->m_log.has_state())
            {
                snapshot_record snapshot = peer->m_log.make_snapshot();
                snapshot.m_stable_version = peer->m_tracker->stable_version();
                n->m_log.install_snapshot(snapshot);
                apply_member_history(*n);
                break;
            }
        }
        m_nodes.push_back(std::move(n));
    }

    void apply_member_history(node& n) const
    {
        control_state const& state = n.m_log.state();
        if (m_fault == fault::missing_history)
        {
            n.m_tracker->set_members(state.m_version, state.m_members);
            n.m_tracker->raise_stable_version(state.m_version);
        }
        else
        {
            n.m_tracker->set_member_history(get_member_history(state));
            n.m_tracker->raise_stable_version(n.m_log.known_stable_version());
        }
        n.m_tracker->set_version(state.m_version);
    }

    void append(control_record const& record)
    {
        m_log.push_back({m_log.size(), {}, to_record(record)});
    }

    void inject_faults()
    {
        if (m_now < at(5s))
        {
            return;
        }
        if (chance(40))
        {
            for (auto& row : m_links)
            {
                for (bool& link : row)
                {
                    link = !chance(3);
                }
            }
        }
        node& victim = *m_nodes[m_random() % m_nodes.size()];
        if (chance(20))
        {
            victim.m_reads_log = !victim.m_reads_log;
        }
        if (chance(25))
        {
            append(leave_record{
                victim.m_self.m_vm, victim.m_self.m_incarnation, "fence"});
        }
        if (chance(60) && victim.m_alive)
        {
            victim.m_alive = false;
            if (chance(2))
            {
                append(leave_record{
                    victim.m_self.m_vm,
                    victim.m_self.m_incarnation,
                    "shutdown"});
            }
            start_vm(victim.m_vm_index);
        }
    }

    void send(node const& to, std::function<void(node&)> action)
    {
        duration const delay = step * (m_random() % 25);
        m_messages.push_back({m_now + delay, index_of(to), std::move(action)});
    }

    [[nodiscard]] std::size_t index_of(node const& n) const
    {
        std::size_t i = 0;
        while (m_nodes[i].get() != &n)
        {
            ++i;
        }
        return i;
    }

    void deliver()
    {
        std::vector<message> const pending = std::exchange(m_messages, {});
        for (message const& m : pending)
        {
            node& to = *m_nodes[m.m_to];
            if (m.m_due > m_now)
            {
                m_messages.push_back(m);
            }
            else if (to.m_alive)
            {
                m.m_action(to);
            }
        }
    }

    void exchange(node& n)
    {
        if (!n.m_alive)
        {
            return;
        }
        if (n.m_reads_log && chance(5))
        {
            std::size_t const end = m_log.size();
            send(
                n,
                [this, start = m_now, end](node& receiver)
                {
                    read(receiver, start, end);
                });
        }
        for (auto& peer : m_nodes)
        {
            if (peer.get() != &n && peer->m_alive && chance(5))
            {
                probe(n, *peer);
            }
        }
    }

    void read(node& receiver, time_point start, std::size_t end)
    {
        receiver.m_log.set_start_offset(0);
        for (log_offset i = receiver.m_log.next_offset(); i < end; ++i)
        {
            fold_effect const effect = receiver.m_log.fold(m_log[i]);
            control_state const& state = receiver.m_log.state();
            if (effect.m_members_changed)
            {
                receiver.m_tracker->set_members(
                    state.m_version, state.m_members);
                member_change const& last = state.m_member_changes.back();
                if (last.m_left && last.m_left_ended)
                {
                    receiver.m_tracker->mark_ended(*last.m_left);
                }
            }
            receiver.m_tracker->set_version(state.m_version);
        }
        receiver.m_tracker->record_log_read(start);
        auto const& members = receiver.m_log.state().m_members;
        bool const is_member =
            std::ranges::find(members, receiver.m_self) != members.end();
        if (!is_member && chance(3))
        {
            append(join_record{receiver.m_self});
        }
    }

    bool link(node const& from, node const& to) const
    {
        return m_links[from.m_vm_index][to.m_vm_index];
    }

    void probe(node& from, node& to)
    {
        std::size_t const prober = index_of(from);
        control_version const version = from.m_log.state().m_version;
        if (!link(from, to))
        {
            return;
        }
        send(
            to,
            [this, prober, version, start = m_now](node& receiver)
            {
                member const peer = m_nodes[prober]->m_self;
                if (m_fault == fault::unsolicited_message)
                {
                    receiver.m_tracker->record_peer_reply(m_now, peer, version);
                }
                reply(receiver, *m_nodes[prober], start);
            });
    }

    void reply(node& receiver, node& prober, time_point start)
    {
        control_version const version = receiver.m_log.state().m_version;
        if (!link(receiver, prober) || !prober.m_alive)
        {
            return;
        }
        member const self = receiver.m_self;
        send(
            prober,
            [this, self, start, version](node& n)
            {
                bool const counts_from_reply = m_fault == fault::reply_time;
                n.m_tracker->record_peer_reply(
                    counts_from_reply ? m_now : start, self, version);
                control_version& acked =
                    n.m_acked[{self.m_vm, self.m_incarnation}];
                acked = std::max(acked, version);
            });
    }

    control_version claimed_stable(node const& n) const
    {
        if (m_fault != fault::newest_set_only)
        {
            return n.m_tracker->stable_version();
        }
        std::vector<control_version> applied;
        for (member const& m : n.m_log.state().m_members)
        {
            auto const acked = n.m_acked.find({m.m_vm, m.m_incarnation});
            control_version const own = n.m_log.state().m_version;
            applied.push_back(
                m == n.m_self              ? own
                : acked == n.m_acked.end() ? 0
                                           : std::min(own, acked->second));
        }
        std::ranges::sort(applied, std::greater{});
        return applied.empty() ? 0 : applied[applied.size() / 2];
    }

    bool any_stale_admission()
    {
        for (auto const& n : m_nodes)
        {
            if (n->m_alive)
            {
                m_stable_since.emplace(claimed_stable(*n), m_now);
            }
        }
        auto const is_stale = [this](auto const& n)
        {
            auto const newer =
                m_stable_since.upper_bound(n->m_log.state().m_version);
            return n->m_alive && m_now < n->m_tracker->valid_until() &&
                   std::any_of(
                       newer,
                       m_stable_since.end(),
                       [this](auto const& stable)
                       {
                           return m_now >= stable.second + freshness_window;
                       });
        };
        return std::ranges::any_of(m_nodes, is_stale);
    }

    std::mt19937 m_random;
    fault m_fault;
    time_point m_now = at(0s);
    incarnation m_last_incarnation = 0;
    std::vector<log_record> m_log;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<message> m_messages;
    std::map<control_version, time_point> m_stable_since;
    std::array<std::array<bool, vm_count>, vm_count> m_links{};
};

constexpr std::uint32_t first_seed = 500;
constexpr std::uint32_t runs = 60;

/// The first seed whose run violates the guarantee; nullopt if none does.
std::optional<std::uint32_t> violating_seed(fault kind)
{
    for (std::uint32_t seed = first_seed; seed < first_seed + runs; ++seed)
    {
        if (simulation{seed, kind}.violates())
        {
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("no VM admits with an older version a window after a stable one")
{
    // Otherwise an accepted change is not in force on all VMs, and the rate of
    // a client account is granted twice after a change of members.
    MESSAGE("seeds " << first_seed << " to " << first_seed + runs - 1);
    CHECK_FALSE(violating_seed(fault::none));
    CHECK(violating_seed(fault::reply_time));
    CHECK(violating_seed(fault::unsolicited_message));
    CHECK(violating_seed(fault::newest_set_only));
    CHECK(violating_seed(fault::missing_history));
}

TEST_CASE("versions become stable in spite of restarts and partitions")
{
    // The test above would also pass if no version ever became stable.
    int progressing = 0;
    for (std::uint32_t seed = first_seed; seed < first_seed + runs; ++seed)
    {
        simulation run{seed, fault::none};
        run.violates();
        progressing += run.highest_stable() > 10 ? 1 : 0;
    }
    MESSAGE(progressing << " of " << runs << " runs");
    CHECK(progressing > 30);
}
