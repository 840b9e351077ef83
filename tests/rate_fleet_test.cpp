#include "fleet_rate_limiter.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t vms = 36;
constexpr milliseconds step = 10ms;
constexpr milliseconds run_time = 20s;
constexpr milliseconds restart_time = 500ms;
constexpr double rate = 20.0;
constexpr double burst = 40.0;
constexpr double flood = 5.0; ///< times the rate

time_point at(milliseconds since_start)
{
    return time_point{1h} + since_start;
}

struct vm
{
    std::unique_ptr<fleet_rate_limiter> m_caps;
    milliseconds m_started{};
    std::uint32_t m_run = 0;
};

struct pending_totals
{
    milliseconds m_due{};
    std::size_t m_to = 0;
    peer_run m_from;
    std::vector<usage_count> m_totals;
};

/// A flood of one account at VMs whose processes are killed in series.
class flooded_fleet
{
public:
    explicit flooded_fleet(std::uint64_t seed) : m_random(seed), m_vms(vms)
    {
        m_account.m_name = "acme";
        m_account.m_rate = rate;
        m_account.m_burst = burst;
    }

    /// Each of the kills strikes this share of the processes.
    std::vector<milliseconds>
    run(double share, std::vector<milliseconds> const& kills)
    {
        for (m_now = 0ms; m_now < run_time; m_now += step)
        {
            bool const is_kill = std::ranges::find(kills, m_now) != kills.end();
            for (auto& each : m_vms)
            {
                if (is_kill && draw() < share)
                {
                    each.m_caps.reset();
                    each.m_started = m_now + restart_time;
                }
                start(each);
            }
            exchange();
            admit();
        }
        return m_admitted;
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
    }

    /// A process that starts hears from one peer that lives.
    void start(vm& fresh)
    {
        if (fresh.m_caps || m_now < fresh.m_started)
        {
            return;
        }
        fresh.m_caps = std::make_unique<fleet_rate_limiter>(at(m_now));
        ++fresh.m_run;
        fresh.m_caps->set_accounts(at(m_now), {m_account});
        fresh.m_caps->set_view(at(m_now), {vms, vms});
        auto& peer = m_vms[m_random() % vms];
        if (peer.m_caps && &peer != &fresh)
        {
            fresh.m_caps->import_levels(
                at(m_now), peer.m_caps->levels(at(m_now)));
        }
    }

    void exchange()
    {
        std::erase_if(
            m_messages,
            [this](pending_totals const& each)
            {
                bool const is_due = each.m_due <= m_now;
                if (is_due && m_vms[each.m_to].m_caps)
                {
                    m_vms[each.m_to].m_caps->receive(
                        at(m_now), each.m_from, each.m_totals);
                }
                return is_due;
            });
        for (std::size_t from = 0; from < vms && m_now % 30ms == 0ms; ++from)
        {
            if (m_vms[from].m_caps && m_vms[from].m_caps->has_updates())
            {
                tell(from);
            }
        }
    }

    void tell(std::size_t from)
    {
        auto& origin = m_vms[from];
        peer_run const run{
            static_cast<vm_tag>(from + 1),
            origin.m_run,
            m_now - origin.m_started};
        auto const totals = origin.m_caps->collect_totals(false);
        for (std::size_t to = 0; to < vms; ++to)
        {
            if (to != from)
            {
                milliseconds const delay{10 + m_random() % 50};
                m_messages.push_back({m_now + delay, to, run, totals});
            }
        }
    }

    void admit()
    {
        double const seconds = std::chrono::duration<double>(step).count();
        std::poisson_distribution<int> count{flood * rate * seconds / vms};
        for (auto& each : m_vms)
        {
            for (int i = count(m_random); i > 0 && each.m_caps; --i)
            {
                if (each.m_caps->try_admit(at(m_now), "acme"))
                {
                    m_admitted.push_back(m_now);
                }
            }
        }
    }

    std::mt19937_64 m_random;
    account_policy m_account;
    std::vector<vm> m_vms;
    std::vector<pending_totals> m_messages;
    std::vector<milliseconds> m_admitted;
    milliseconds m_now{};
};

double most_in_5_s(std::vector<milliseconds> const& admitted)
{
    std::ptrdiff_t most = 0;
    for (auto first = admitted.begin(); first != admitted.end(); ++first)
    {
        auto const last = std::upper_bound(first, admitted.end(), *first + 5s);
        most = std::max(most, last - first);
    }
    return static_cast<double>(most);
}

constexpr double bound = (rate * 5 + burst) * 1.1 + 20;

} // namespace

TEST_CASE("restarts in series do not renew the burst of an account")
{
    // Each process that started gave half of the burst anew while one account
    // sent several times its rate.
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        CHECK(
            most_in_5_s(flooded_fleet{seed}.run(0.8, {6s, 8s, 9s, 11s})) <=
            bound);
    }
}

TEST_CASE("a fleet whose processes are all killed keeps an account's rate")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        CHECK(
            most_in_5_s(flooded_fleet{seed}.run(1.0, {6s, 7s, 8s, 9s, 10s})) <=
            bound);
    }
}
