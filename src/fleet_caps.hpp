#ifndef BRIARHUB_FLEET_CAPS_HPP
#define BRIARHUB_FLEET_CAPS_HPP

/// Rates of client accounts and the retry budget, counted over the whole
/// fleet: each VM tells its peers how much it admitted. Pure: no I/O, reads
/// no clock.

#include "fleet_policy.hpp"
#include "tags.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarhub
{

enum class usage_kind : std::uint8_t
{
    admitted, ///< requests of an account
    arrived,  ///< requests for a service
    retried   ///< requests given to a further upstream of a service
};

/// What one VM has used since its start.
struct usage_count
{
    usage_kind m_kind = usage_kind::admitted;
    cap_tag m_tag = 0;
    std::uint64_t m_total = 0;

    friend bool operator==(usage_count const&, usage_count const&) = default;
};

/// One run of a peer's process.
struct peer_run
{
    vm_tag m_vm = 0;
    std::uint32_t m_run = 0;
    std::chrono::milliseconds m_age{0}; ///< since its start
};

/// How much of the fleet a VM hears, including itself.
struct fleet_view
{
    std::size_t m_heard = 1;
    std::size_t m_known = 1;

    /// The part of a fleet-wide allowance that the VMs that hear each other
    /// may use.
    [[nodiscard]] double share() const;

    friend bool operator==(fleet_view const&, fleet_view const&) = default;
};

/// The rate and burst of one account.
class account_bucket
{
public:
    account_bucket(time_point now, double rate, double burst);

    void set_limits(time_point now, double rate, double burst);
    void set_share(time_point now, double share);
    bool try_take(time_point now);

    /// Peers admitted requests; the bucket may go below zero.
    void take_remote(time_point now, double amount);

    /// Time until a token is there.
    [[nodiscard]] duration wait(time_point now) const;

private:
    void refill(time_point now);

    double m_rate;
    double m_burst;
    double m_share = 1.0;
    double m_tokens;
    time_point m_updated;
};

/// Bounds on retries: a share of the requests and a fixed extra.
struct retry_bounds
{
    double m_ratio = 0.2;
    double m_extra = 0.0; ///< retries per window
    std::chrono::seconds m_window{10};

    friend bool operator==(retry_bounds const&, retry_bounds const&) = default;
};

/// Arrivals and retries of one service in the last window.
class retry_window
{
public:
    void add_arrived(time_point now, double amount);
    void add_retried(time_point now, double amount);

    /// Retries that the budget still allows. `share` is the part of the fleet
    /// that is heard, `age` how long this VM has listened.
    [[nodiscard]] double
    left(time_point now, retry_bounds const& bounds, double share, duration age)
        const;

private:
    static constexpr std::size_t cells = 20;
    struct cell
    {
        std::int64_t m_number = -1;
        double m_arrived = 0.0;
        double m_retried = 0.0;
    };

    cell& cell_at(time_point now);

    std::array<cell, cells> m_cells;
};

class fleet_caps
{
public:
    fleet_caps(time_point now, retry_bounds bounds);

    void set_bounds(retry_bounds bounds)
    {
        m_bounds = bounds;
    }
    void
    set_accounts(time_point now, std::vector<account_policy> const& accounts);
    void set_view(time_point now, fleet_view view);

    /// Takes one request from the account's allowance; an account without
    /// a rate always may.
    bool try_admit(time_point now, account_name const& account);
    [[nodiscard]] duration
    admission_wait(time_point now, account_name const& account) const;

    void note_arrival(time_point now, service_name const& service);
    bool try_retry(time_point now, service_name const& service);

    /// Retries of the service that this VM may still grant.
    [[nodiscard]] double
    retries_left(time_point now, service_name const& service) const;

    /// Totals of a peer's run; what is new since its last message counts.
    void receive(
        time_point now,
        peer_run const& from,
        std::vector<usage_count> const& totals);

    [[nodiscard]] bool has_news() const
    {
        return m_has_news;
    }

    /// Totals that changed since the last call, or all.
    std::vector<usage_count> take_totals(bool all);

private:
    using count_key = std::pair<usage_kind, cap_tag>;
    struct peer_totals
    {
        std::uint32_t m_run = 0;
        std::map<count_key, std::uint64_t> m_totals;
    };

    void count(usage_kind kind, std::string_view name);
    void
    apply_remote(time_point now, count_key const& key, std::uint64_t amount);

    time_point m_started;
    retry_bounds m_bounds;
    fleet_view m_view;
    std::unordered_map<cap_tag, account_bucket> m_accounts;
    std::unordered_map<cap_tag, retry_window> m_retries;
    std::map<count_key, std::uint64_t> m_own;
    std::map<count_key, std::uint64_t> m_sent;
    bool m_has_news = false;
    std::unordered_map<vm_tag, peer_totals> m_peers;
};

} // namespace briarhub

#endif
