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
constexpr milliseconds test_duration = 20s;
constexpr milliseconds restart_delay = 500ms;
constexpr double rate = 20.0;
constexpr double burst = 40.0;
constexpr double overload_factor = 5.0; ///< multiple of the rate

time_point at(milliseconds since_start)
{
    return time_point{1h} + since_start;
}

struct vm
{
    std::unique_ptr<fleet_rate_limiter> m_rate_limiter;
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

/// A simulated fleet that one account overloads while its processes are killed
/// repeatedly.
class overloaded_fleet
{
public:
    explicit overloaded_fleet(std::uint64_t seed) : m_random(seed), m_vms(vms)
    {
        m_account.m_name = "acme";
        m_account.m_rate = rate;
        m_account.m_burst = burst;
    }

    /// Each kill ends a process with the probability `kill_fraction`. Returns
    /// the admission times.
    std::vector<milliseconds>
    run(double kill_fraction, std::vector<milliseconds> const& kill_times)
    {
        for (m_now = 0ms; m_now < test_duration; m_now += step)
        {
            bool const is_kill_time =
                std::ranges::find(kill_times, m_now) != kill_times.end();
            for (auto& each : m_vms)
            {
                if (is_kill_time && random_unit() < kill_fraction)
                {
                    each.m_rate_limiter.reset();
                    each.m_started = m_now + restart_delay;
                }
                start(each);
            }
            exchange();
            admit();
        }
        return m_admitted;
    }

private:
    double random_unit()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
    }

    /// A process that starts imports the bucket levels from one running peer.
    void start(vm& restarted)
    {
        if (restarted.m_rate_limiter || m_now < restarted.m_started)
        {
            return;
        }
        restarted.m_rate_limiter =
            std::make_unique<fleet_rate_limiter>(at(m_now));
        ++restarted.m_run;
        restarted.m_rate_limiter->set_accounts(at(m_now), {m_account});
        restarted.m_rate_limiter->set_view(at(m_now), {vms, vms});
        auto& peer = m_vms[m_random() % vms];
        if (peer.m_rate_limiter && &peer != &restarted)
        {
            restarted.m_rate_limiter->import_levels(
                at(m_now), peer.m_rate_limiter->levels(at(m_now)));
        }
    }

    void exchange()
    {
        std::erase_if(
            m_messages,
            [this](pending_totals const& each)
            {
                bool const is_due = each.m_due <= m_now;
                if (is_due && m_vms[each.m_to].m_rate_limiter)
                {
                    m_vms[each.m_to].m_rate_limiter->receive(
                        at(m_now), each.m_from, each.m_totals);
                }
                return is_due;
            });
        for (std::size_t from = 0; from < vms && m_now % 30ms == 0ms; ++from)
        {
            if (m_vms[from].m_rate_limiter &&
                m_vms[from].m_rate_limiter->has_updates())
            {
                send_totals(from);
            }
        }
    }

    void send_totals(std::size_t from)
    {
        auto& origin = m_vms[from];
        peer_run const run{
            static_cast<vm_tag>(from + 1),
            origin.m_run,
            m_now - origin.m_started};
        auto const totals = origin.m_rate_limiter->collect_totals(false);
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
        std::poisson_distribution<int> count{
            overload_factor * rate * seconds / vms};
        for (auto& each : m_vms)
        {
            for (int i = count(m_random); i > 0 && each.m_rate_limiter; --i)
            {
                if (each.m_rate_limiter->try_admit(at(m_now), "acme"))
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

double max_admitted_in_5_s(std::vector<milliseconds> const& admitted)
{
    std::ptrdiff_t max_count = 0;
    for (auto first = admitted.begin(); first != admitted.end(); ++first)
    {
        auto const last = std::upper_bound(first, admitted.end(), *first + 5s);
        max_count = std::max(max_count, last - first);
    }
    return static_cast<double>(max_count);
}

constexpr double admission_limit = (rate * 5 + burst) * 1.1 + 20;

} // namespace

TEST_CASE("repeated restarts do not refill the burst of an account")
{
    // Guards against a fault where each started process granted half of the
    // burst again while one account sent several times its rate.
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        CHECK(
            max_admitted_in_5_s(overloaded_fleet{seed}.run(
                0.8, {6s, 8s, 9s, 11s})) <= admission_limit);
    }
}

TEST_CASE("the rate of an account holds when all processes are killed")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        CHECK(
            max_admitted_in_5_s(overloaded_fleet{seed}.run(
                1.0, {6s, 7s, 8s, 9s, 10s})) <= admission_limit);
    }
}
