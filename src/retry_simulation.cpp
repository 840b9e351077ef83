#include "retry_simulation.hpp"

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
constexpr double late_probability = 0.05;
constexpr double loss_probability = 0.05;

constexpr duration restart_delay = 500ms;
constexpr duration max_outage = 4s;
constexpr unsigned max_attempts = 4;
constexpr std::size_t peers_asked = 3;

/// Probability that an attempt fails outside of a rejection period.
constexpr double base_failure_probability = 0.08;

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

/// State of one process: its peers and its retry budget.
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

struct simulated_vm
{
    peer_address m_address;
    double m_share = 0.0; ///< of the fleet's requests
    std::unique_ptr<process> m_process;
    time_point m_next_start{}; ///< while no process runs
    std::optional<interval> m_partition;
};

struct pending_message
{
    time_point m_due{};
    std::size_t m_to = 0;
    std::shared_ptr<gossip_message const> m_message;
};

class retry_simulation
{
public:
    explicit retry_simulation(retry_setup const& setup)
        : m_setup(setup), m_random(setup.m_seed)
    {
        add_vms();
        draw_faults();
    }

    retry_figures run()
    {
        time_point const end = start_time + m_setup.m_duration;
        for (m_now = start_time; m_now < end; m_now += step)
        {
            inject_faults();
            start_processes();
            deliver();
            run_heartbeat_round();
            serve_requests();
        }
        m_figures.m_worst_margin = worst_margin();
        return m_figures;
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
    }

    duration draw_duration(duration low, duration high)
    {
        std::uniform_int_distribution<duration::rep> pick{
            low.count(), high.count()};
        return duration{pick(m_random)};
    }

    void add_vms()
    {
        double sum = 0.0;
        for (std::size_t i = 0; i < m_setup.m_vms; ++i)
        {
            simulated_vm added;
            added.m_address = {
                static_cast<vm_tag>(i + 1),
                static_cast<domain_tag>(i % m_setup.m_failure_domains + 1)};
            added.m_share = 0.3 + draw();
            added.m_next_start = start_time + draw_duration(0ms, 300ms);
            sum += added.m_share;
            m_simulated_vms.push_back(std::move(added));
        }
        for (auto& each : m_simulated_vms)
        {
            each.m_share /= sum;
        }
    }

    /// Draws the rejection periods and the series of kills.
    void draw_faults()
    {
        if (m_setup.m_has_rejections)
        {
            for (int i = 0; i < 2; ++i)
            {
                auto const begin =
                    start_time + draw_duration(1s, m_setup.m_duration);
                m_rejection_periods.push_back(
                    {begin, begin + draw_duration(5s, 25s)});
            }
            m_rejection_probability = 0.4 + 0.5 * draw();
        }
        if (!m_setup.m_has_kills)
        {
            return;
        }
        for (int series = 0; series < 2; ++series)
        {
            auto when = start_time + draw_duration(3s, m_setup.m_duration);
            for (int i = 0; i < 4; ++i)
            {
                m_kills.push_back(when);
                when += draw_duration(1s, 4s);
            }
        }
        std::ranges::sort(m_kills);
    }

    void inject_faults()
    {
        while (!m_kills.empty() && m_kills.front() <= m_now)
        {
            m_kills.pop_front();
            kill_some_processes();
        }
        // Partitions some VMs every eight seconds on average.
        bool const is_partition_due =
            m_setup.m_has_partitions &&
            draw() < std::chrono::duration<double>(step) / 8s;
        if (is_partition_due)
        {
            partition_some_vms();
        }
    }

    void kill_some_processes()
    {
        double const share = m_setup.m_kills_whole_fleet ? 1.0 : draw();
        bool const is_power_failure = draw() < 0.5;
        for (auto& each : m_simulated_vms)
        {
            if (draw() < share)
            {
                each.m_process.reset();
                each.m_next_start =
                    m_now + (is_power_failure
                                 ? draw_duration(restart_delay, max_outage)
                                 : restart_delay);
            }
        }
    }

    void partition_some_vms()
    {
        double const share = 0.5 * draw();
        interval const partition{m_now, m_now + draw_duration(1s, 14s)};
        for (auto& each : m_simulated_vms)
        {
            if (draw() < share)
            {
                each.m_partition = partition;
            }
        }
    }

    [[nodiscard]] bool is_partitioned(simulated_vm const& each) const
    {
        return each.m_partition && each.m_partition->contains(m_now);
    }

    /// A process that starts reads the list of VMs from the platform's store,
    /// unless its VM is partitioned.
    void start_processes()
    {
        for (auto& each : m_simulated_vms)
        {
            if (each.m_process || m_now < each.m_next_start)
            {
                continue;
            }
            each.m_process = std::make_unique<process>(
                m_now, each.m_address, ++m_runs, m_setup.m_bounds);
            if (!is_partitioned(each))
            {
                add_known_peers(*each.m_process);
            }
        }
    }

    void add_known_peers(process& started)
    {
        for (auto const& each : m_simulated_vms)
        {
            started.m_peers.add(m_now, each.m_address);
        }
        started.m_peers.set_vm_list_loaded();
        started.m_retries.set_position(started.m_peers.position(m_now));
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
                receive(m_simulated_vms[each.m_to], *each.m_message);
                return true;
            });
    }

    void receive(simulated_vm& to, gossip_message const& message)
    {
        if (!to.m_process)
        {
            return;
        }
        to.m_process->m_peers.record_message(m_now, message);
    }

    void run_heartbeat_round()
    {
        if ((m_now - start_time) % heartbeat_interval != duration{})
        {
            return;
        }
        for (std::size_t i = 0; i < m_simulated_vms.size(); ++i)
        {
            if (auto* const running = m_simulated_vms[i].m_process.get())
            {
                send_heartbeat(i, *running);
            }
        }
    }

    void send_heartbeat(std::size_t from, process& running)
    {
        running.m_peers.remove_expired(m_now);
        running.m_retries.set_position(running.m_peers.position(m_now));
        auto message = std::make_shared<gossip_message>();
        message->m_origin = m_simulated_vms[from].m_address;
        message->m_run = running.m_run;
        message->m_age = std::chrono::floor<std::chrono::milliseconds>(
            m_now - running.m_started);
        message->m_sequence = ++running.m_sequence;
        message->m_fleet_size = running.m_peers.known_fleet_size();
        for (std::size_t to = 0; to < m_simulated_vms.size(); ++to)
        {
            bool const is_dropped =
                to == from || is_partitioned(m_simulated_vms[from]) ||
                is_partitioned(m_simulated_vms[to]) || is_message_lost();
            if (!is_dropped)
            {
                m_messages.push_back({m_now + message_delay(), to, message});
            }
        }
    }

    duration message_delay()
    {
        bool const is_late =
            m_setup.m_has_message_faults && draw() < late_probability;
        return is_late ? draw_duration(max_message_delay, max_late_delay)
                       : draw_duration(min_message_delay, max_message_delay);
    }

    void serve_requests()
    {
        double const seconds = std::chrono::duration<double>(step).count();
        for (auto& each : m_simulated_vms)
        {
            double const mean = m_setup.m_requests_per_s * each.m_share;
            std::poisson_distribution<int> count{mean * seconds};
            int const requests = count(m_random);
            for (int i = 0; i < requests && each.m_process; ++i)
            {
                serve_request(each);
            }
        }
    }

    void serve_request(simulated_vm& requester)
    {
        ++m_figures.m_requests;
        m_requests.push_back(m_now);
        requester.m_process->m_retries.request_started(
            m_now, service_name{service});
        for (unsigned tries = 1; tries < max_attempts && is_attempt_failed();
             ++tries)
        {
            ++m_figures.m_retries_requested;
            if (!acquire_retry_permit(requester))
            {
                return;
            }
            ++m_figures.m_retries_made;
            m_retry_times.push_back(m_now);
        }
    }

    /// Takes a retry permit of this VM, or else of one of a few peers. Request
    /// and reply take no simulated time.
    bool acquire_retry_permit(simulated_vm& requester)
    {
        service_name const name{service};
        if (requester.m_process->m_retries.try_retry(m_now, name))
        {
            return true;
        }
        for (auto const vm :
             requester.m_process->m_peers.sample_live(m_now, peers_asked))
        {
            simulated_vm& peer = m_simulated_vms[vm - 1];
            bool const is_reachable =
                peer.m_process && !is_partitioned(requester) &&
                !is_partitioned(peer) && !is_message_lost();
            bool const is_granted =
                is_reachable &&
                peer.m_process->m_retries.try_retry(m_now, name);
            if (is_granted && !is_message_lost())
            {
                return true;
            }
        }
        return false;
    }

    bool is_message_lost()
    {
        return m_setup.m_has_message_faults && draw() < loss_probability;
    }

    bool is_attempt_failed()
    {
        bool const is_rejecting = std::ranges::any_of(
            m_rejection_periods,
            [this](interval const& period)
            {
                return period.contains(m_now);
            });
        return draw() < (is_rejecting ? m_rejection_probability
                                      : base_failure_probability);
    }

    static std::size_t count_in(
        std::vector<time_point> const& sorted, time_point begin, time_point end)
    {
        auto const first = std::ranges::upper_bound(sorted, begin);
        auto const last = std::ranges::upper_bound(sorted, end);
        return static_cast<std::size_t>(last - first);
    }

    /// Compares the retries of each window that ends with a retry with the
    /// budget. The budget is based on the largest request count of that window,
    /// the one half a window earlier and the one a whole window earlier.
    double worst_margin() const
    {
        duration const window = m_setup.m_bounds.m_window;
        double worst = m_setup.m_bounds.m_extra;
        for (auto const end : m_retry_times)
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
                static_cast<double>(count_in(m_retry_times, end - window, end));
            worst = std::min(worst, allowed - made);
        }
        return worst;
    }

    retry_setup m_setup;
    std::mt19937_64 m_random;
    time_point m_now{};
    std::uint32_t m_runs = 0;
    std::vector<simulated_vm> m_simulated_vms;
    std::vector<pending_message> m_messages;
    std::vector<interval> m_rejection_periods;
    std::deque<time_point> m_kills;
    double m_rejection_probability = 0.0;
    std::vector<time_point> m_requests;
    std::vector<time_point> m_retry_times;
    retry_figures m_figures;
};

} // namespace

retry_figures run_retry_simulation(retry_setup const& setup)
{
    return retry_simulation{setup}.run();
}

} // namespace briarhub
