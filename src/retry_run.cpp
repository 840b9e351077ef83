#include "retry_run.hpp"

#include "gossip_message.hpp"
#include "peer_table.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace briarhub
{
namespace
{

using namespace std::chrono_literals;

constexpr duration step = 10ms;
constexpr duration heartbeat_interval = 500ms;
constexpr duration min_message_delay = 10ms;
constexpr duration max_message_delay = 80ms;
constexpr duration max_late_delay = 3s;
constexpr double late_share = 0.05;
constexpr double lost_share = 0.05;

constexpr duration restart_time = 500ms;
constexpr duration longest_outage = 4s;
constexpr unsigned max_attempts = 4;
constexpr std::size_t lenders_asked = 3;

/// Share of attempts that fail without a storm.
constexpr double usual_failures = 0.08;

constexpr time_point start_time{1h};
constexpr std::string_view service = "archive";

struct interval
{
    time_point m_begin{};
    time_point m_end{};

    [[nodiscard]] bool contains(time_point now) const
    {
        return now >= m_begin && now < m_end;
    }
};

/// The decisions of one process.
struct process
{
    process(
        time_point now,
        peer_address self,
        std::uint32_t run,
        retry_bounds const& bounds)
        : m_started(now), m_run(run), m_peers(self, run), m_retries(now, bounds)
    {
    }

    time_point m_started;
    std::uint32_t m_run;
    std::uint64_t m_sequence = 0;
    peer_table m_peers;
    retry_budget m_retries;
};

struct machine
{
    peer_address m_address;
    double m_share = 0.0; ///< of the requests
    std::unique_ptr<process> m_process;
    time_point m_back{}; ///< the next start, while no process runs
    std::optional<interval> m_cut;
};

struct pending_message
{
    time_point m_due{};
    std::size_t m_to = 0;
    std::shared_ptr<gossip_message const> m_message;
};

class retry_run
{
public:
    explicit retry_run(retry_setup const& setup)
        : m_setup(setup), m_random(setup.m_seed)
    {
        add_machines();
        draw_faults();
    }

    retry_figures run()
    {
        time_point const end = start_time + m_setup.m_time;
        for (m_now = start_time; m_now < end; m_now += step)
        {
            strike();
            start_processes();
            deliver();
            exchange();
            serve();
        }
        m_figures.m_margin = worst_margin();
        return m_figures;
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
    }

    duration draw_time(duration low, duration high)
    {
        std::uniform_int_distribution<duration::rep> pick{
            low.count(), high.count()};
        return duration{pick(m_random)};
    }

    void add_machines()
    {
        double sum = 0.0;
        for (std::size_t i = 0; i < m_setup.m_vms; ++i)
        {
            machine added;
            added.m_address = {
                static_cast<vm_tag>(i + 1),
                static_cast<domain_tag>(i % m_setup.m_domains + 1)};
            added.m_share = 0.3 + draw();
            added.m_back = start_time + draw_time(0ms, 300ms);
            sum += added.m_share;
            m_machines.push_back(std::move(added));
        }
        for (auto& each : m_machines)
        {
            each.m_share /= sum;
        }
    }

    /// Storms of rejections, and series of kills that begin inside of them.
    void draw_faults()
    {
        if (m_setup.m_has_rejections)
        {
            for (int i = 0; i < 2; ++i)
            {
                auto const begin = start_time + draw_time(1s, m_setup.m_time);
                m_storms.push_back({begin, begin + draw_time(5s, 25s)});
            }
            m_rejected_share = 0.4 + 0.5 * draw();
        }
        if (!m_setup.m_has_kills)
        {
            return;
        }
        for (int series = 0; series < 2; ++series)
        {
            auto when = start_time + draw_time(3s, m_setup.m_time);
            for (int i = 0; i < 4; ++i)
            {
                m_kills.push_back(when);
                when += draw_time(1s, 4s);
            }
        }
        std::ranges::sort(m_kills);
    }

    void strike()
    {
        while (!m_kills.empty() && m_kills.front() <= m_now)
        {
            m_kills.pop_front();
            kill_some();
        }
        // A new cut of some machines about each eight seconds.
        bool const cuts = m_setup.m_has_cuts &&
                          draw() < std::chrono::duration<double>(step) / 8s;
        if (cuts)
        {
            cut_some();
        }
    }

    void kill_some()
    {
        double const share = m_setup.m_kills_all ? 1.0 : draw();
        bool const is_power = draw() < 0.5;
        for (auto& each : m_machines)
        {
            if (draw() < share)
            {
                each.m_process.reset();
                each.m_back =
                    m_now + (is_power ? draw_time(restart_time, longest_outage)
                                      : restart_time);
            }
        }
    }

    void cut_some()
    {
        double const share = 0.5 * draw();
        interval const cut{m_now, m_now + draw_time(1s, 14s)};
        for (auto& each : m_machines)
        {
            if (draw() < share)
            {
                each.m_cut = cut;
            }
        }
    }

    [[nodiscard]] bool is_cut(machine const& each) const
    {
        return each.m_cut && each.m_cut->contains(m_now);
    }

    /// The platform's store names all VMs to a process that starts; not to one
    /// that is cut off.
    void start_processes()
    {
        for (auto& each : m_machines)
        {
            if (each.m_process || m_now < each.m_back)
            {
                continue;
            }
            each.m_process = std::make_unique<process>(
                m_now, each.m_address, ++m_runs, m_setup.m_bounds);
            if (!is_cut(each))
            {
                name_machines(*each.m_process);
            }
        }
    }

    void name_machines(process& fresh)
    {
        for (auto const& each : m_machines)
        {
            fresh.m_peers.add(m_now, each.m_address);
        }
        fresh.m_peers.set_vm_list_loaded();
        fresh.m_retries.set_position(fresh.m_peers.position(m_now));
    }

    void deliver()
    {
        std::erase_if(
            m_messages,
            [this](pending_message const& each)
            {
                if (each.m_due > m_now)
                {
                    return false;
                }
                receive(m_machines[each.m_to], *each.m_message);
                return true;
            });
    }

    void receive(machine& to, gossip_message const& message)
    {
        if (!to.m_process)
        {
            return;
        }
        to.m_process->m_peers.record_message(m_now, message);
    }

    void exchange()
    {
        if ((m_now - start_time) % heartbeat_interval != duration{})
        {
            return;
        }
        for (std::size_t i = 0; i < m_machines.size(); ++i)
        {
            if (auto* const running = m_machines[i].m_process.get())
            {
                tell(i, *running);
            }
        }
    }

    void tell(std::size_t from, process& running)
    {
        running.m_peers.remove_expired(m_now);
        running.m_retries.set_position(running.m_peers.position(m_now));
        auto message = std::make_shared<gossip_message>();
        message->m_origin = m_machines[from].m_address;
        message->m_run = running.m_run;
        message->m_age = std::chrono::floor<std::chrono::milliseconds>(
            m_now - running.m_started);
        message->m_sequence = ++running.m_sequence;
        message->m_fleet_size = running.m_peers.known_fleet_size();
        for (std::size_t to = 0; to < m_machines.size(); ++to)
        {
            bool const is_missed = to == from || is_cut(m_machines[from]) ||
                                   is_cut(m_machines[to]) || is_lost();
            if (!is_missed)
            {
                m_messages.push_back({m_now + message_delay(), to, message});
            }
        }
    }

    duration message_delay()
    {
        bool const is_late = m_setup.m_has_late_messages && draw() < late_share;
        return is_late ? draw_time(max_message_delay, max_late_delay)
                       : draw_time(min_message_delay, max_message_delay);
    }

    void serve()
    {
        double const seconds = std::chrono::duration<double>(step).count();
        for (auto& each : m_machines)
        {
            double const mean = m_setup.m_requests_per_s * each.m_share;
            std::poisson_distribution<int> count{mean * seconds};
            int const requests = count(m_random);
            for (int i = 0; i < requests && each.m_process; ++i)
            {
                serve_one(each);
            }
        }
    }

    void serve_one(machine& at)
    {
        ++m_figures.m_requests;
        m_requests.push_back(m_now);
        at.m_process->m_retries.request_started(m_now, service_name{service});
        for (unsigned tries = 1; tries < max_attempts && is_failed(); ++tries)
        {
            ++m_figures.m_wanted;
            if (!take_permit(at))
            {
                return;
            }
            ++m_figures.m_granted;
            m_further.push_back(m_now);
        }
    }

    /// Of the VM or of one of a few peers; the ask and the reply take no time.
    bool take_permit(machine& at)
    {
        service_name const name{service};
        if (at.m_process->m_retries.try_retry(m_now, name))
        {
            return true;
        }
        for (auto const vm :
             at.m_process->m_peers.sample_live(m_now, lenders_asked))
        {
            machine& lender = m_machines[vm - 1];
            bool const is_reached = lender.m_process && !is_cut(at) &&
                                    !is_cut(lender) && !is_lost();
            bool const is_given =
                is_reached &&
                lender.m_process->m_retries.try_retry(m_now, name);
            if (is_given && !is_lost())
            {
                return true;
            }
        }
        return false;
    }

    bool is_lost()
    {
        return m_setup.m_has_late_messages && draw() < lost_share;
    }

    bool is_failed()
    {
        bool const is_storm = std::ranges::any_of(
            m_storms,
            [this](interval const& storm)
            {
                return storm.contains(m_now);
            });
        return draw() < (is_storm ? m_rejected_share : usual_failures);
    }

    static std::size_t count_in(
        std::vector<time_point> const& sorted, time_point begin, time_point end)
    {
        auto const first = std::ranges::upper_bound(sorted, begin);
        auto const last = std::ranges::upper_bound(sorted, end);
        return static_cast<std::size_t>(last - first);
    }

    /// Each window that ends with a further attempt, against the requests of
    /// that window, the one before and the one half a window before.
    double worst_margin() const
    {
        duration const window = m_setup.m_bounds.m_window;
        double worst = m_setup.m_bounds.m_extra;
        for (auto const end : m_further)
        {
            std::size_t requests = 0;
            for (duration const shift : {duration{}, window / 2, window})
            {
                requests = std::max(
                    requests,
                    count_in(m_requests, end - window - shift, end - shift));
            }
            double const allowed =
                m_setup.m_bounds.m_ratio * static_cast<double>(requests) +
                m_setup.m_bounds.m_extra;
            auto const made =
                static_cast<double>(count_in(m_further, end - window, end));
            worst = std::min(worst, allowed - made);
        }
        return worst;
    }

    retry_setup m_setup;
    std::mt19937_64 m_random;
    time_point m_now{};
    std::uint32_t m_runs = 0;
    std::vector<machine> m_machines;
    std::vector<pending_message> m_messages;
    std::vector<interval> m_storms;
    std::deque<time_point> m_kills;
    double m_rejected_share = 0.0;
    std::vector<time_point> m_requests;
    std::vector<time_point> m_further;
    retry_figures m_figures;
};

} // namespace

retry_figures run_retries(retry_setup const& setup)
{
    return retry_run{setup}.run();
}

} // namespace briarhub
