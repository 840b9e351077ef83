#ifndef BRIARHUB_FLEET_RATE_LIMITER_HPP
#define BRIARHUB_FLEET_RATE_LIMITER_HPP

/// Rates of client accounts, counted over the whole fleet: each VM tells its
/// peers how much it admitted. Pure: no I/O, reads no clock.

#include "fleet_policy.hpp"
#include "tags.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace briarhub
{

/// Requests of one account that a VM has admitted since its start.
struct usage_count
{
    account_tag m_tag = 0;
    std::uint64_t m_total = 0;

    friend bool operator==(usage_count const&, usage_count const&) = default;
};

/// What an account may still use at once, over the fleet.
struct account_level
{
    account_tag m_tag = 0;
    double m_tokens = 0.0; ///< requests

    friend bool
    operator==(account_level const&, account_level const&) = default;
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
    bool try_consume(time_point now);

    /// Peers admitted requests; the bucket may go below zero.
    void consume_remote(time_point now, double amount);

    [[nodiscard]] double level(time_point now);

    /// Replaces the level by what a peer told.
    void set_level(time_point now, double tokens);

    /// Time until a token is there.
    [[nodiscard]] duration time_until_token(time_point now) const;

private:
    void refill(time_point now);

    double m_rate;
    double m_burst;
    double m_share = 1.0;
    double m_tokens;
    time_point m_updated;
};

/// One kilobyte.
inline constexpr std::size_t max_levels_sent = 100;

class fleet_rate_limiter
{
public:
    explicit fleet_rate_limiter(time_point now);

    void
    set_accounts(time_point now, std::vector<account_policy> const& accounts);
    void set_view(time_point now, fleet_view view);

    /// Takes one request from the account's allowance; an account without
    /// a rate always may.
    bool try_admit(time_point now, account_name const& account);
    [[nodiscard]] duration
    admission_wait(time_point now, account_name const& account) const;

    /// Totals of a peer's run; what is new since its last message counts.
    void receive(
        time_point now,
        peer_run const& from,
        std::vector<usage_count> const& totals);

    /// Levels of at most `max_levels_sent` accounts, for a process that has
    /// just started.
    [[nodiscard]] std::vector<account_level> levels(time_point now);

    /// Takes over a peer's levels; those that come later are ignored.
    void
    import_levels(time_point now, std::vector<account_level> const& levels);

    [[nodiscard]] bool has_updates() const
    {
        return m_has_unsent_totals;
    }

    /// Totals that changed since the last call, or all.
    std::vector<usage_count> collect_totals(bool all);

private:
    struct peer_totals
    {
        std::uint32_t m_run = 0;
        std::map<account_tag, std::uint64_t> m_totals;
    };

    void
    apply_remote(time_point now, account_tag account, std::uint64_t amount);

    time_point m_started;
    fleet_view m_view;
    std::unordered_map<account_tag, account_bucket> m_accounts;
    std::map<account_tag, double>
        m_snapshot_levels; ///< first level that a peer told
    std::map<account_tag, std::uint64_t> m_own_totals;
    std::map<account_tag, std::uint64_t> m_sent_totals;
    bool m_has_unsent_totals = false;
    std::unordered_map<vm_tag, peer_totals> m_peers;
};

} // namespace briarhub

#endif
