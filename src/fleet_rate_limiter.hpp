#ifndef BRIARHUB_FLEET_RATE_LIMITER_HPP
#define BRIARHUB_FLEET_RATE_LIMITER_HPP

/// Distributed rate limiter: enforces the rate and burst of each client account
/// over the whole fleet. Each VM sends its peers the number of requests that it
/// admitted. Performs no I/O and takes the time as an argument.

#include "fleet_policy.hpp"
#include "shared_bucket.hpp"
#include "tags.hpp"

#include <boost/range/iterator_range.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace briarhub
{

/// Requests of one account that a VM admitted since its process started.
struct usage_count
{
    account_tag m_tag = 0;
    std::uint64_t m_total = 0;

    friend bool operator==(usage_count const&, usage_count const&) = default;
};

/// Fleet-wide tokens of an account's bucket.
struct account_level
{
    account_tag m_tag = 0;
    double m_tokens = 0.0; ///< requests; negative after overuse

    friend bool
    operator==(account_level const&, account_level const&) = default;
};

/// One run of a peer's process. A restart begins a new run.
struct peer_run
{
    vm_tag m_vm = 0;
    std::uint32_t m_run = 0;
    std::chrono::milliseconds m_age{0}; ///< since its start
};

/// The number of VMs from which a VM receives heartbeats and the number in the
/// fleet, both including itself.
struct fleet_view
{
    std::size_t m_heard = 1;
    std::size_t m_known = 1;

    /// The share of a fleet-wide limit that the VMs on this side of a network
    /// partition may use.
    [[nodiscard]] double share() const;

    friend bool operator==(fleet_view const&, fleet_view const&) = default;
};

/// A VM sends its totals to each peer within this time: a heartbeat and a
/// delay. One that hears less than half of the fleet for as long is presumed to
/// be cut off.
inline constexpr std::chrono::milliseconds report_period{700};

/// Bounds the levels in a message to one kilobyte.
inline constexpr std::size_t max_levels_sent = 100;

class fleet_rate_limiter
{
public:
    explicit fleet_rate_limiter(time_point now);

    void
    set_accounts(time_point now, std::vector<account_policy> const& accounts);
    void set_view(time_point now, fleet_view view);

    /// Consumes one token of the account; false if there is none. An account
    /// without a rate is always admitted.
    bool try_admit(time_point now, account_name const& account);
    [[nodiscard]] duration
    admission_wait(time_point now, account_name const& account) const;

    /// Consumes what a peer's totals grew by since its last message.
    void receive(
        time_point now,
        peer_run const& from,
        std::vector<usage_count> const& totals);

    /// Levels of at most `max_levels_sent` accounts, sent to a process that
    /// has just started.
    [[nodiscard]] std::vector<account_level> levels(time_point now);

    /// Imports the first level that a peer sends of each account shortly after
    /// the start. Later ones are ignored.
    void
    import_levels(time_point now, std::vector<account_level> const& levels);

    [[nodiscard]] bool has_updates() const
    {
        return m_has_unsent_totals;
    }

    /// Totals that changed since the last call, or all totals.
    std::vector<usage_count> collect_totals(bool all);

private:
    struct peer_totals
    {
        std::uint32_t m_run = 0;
        time_point m_heard{};
        /// Until then the totals include what the peer used while it was
        /// silent.
        time_point m_settled{};
        std::map<account_tag, std::uint64_t> m_totals;
    };

    using account_map = std::map<account_tag, shared_bucket>;
    using account_range = boost::iterator_range<account_map::iterator>;

    void apply_remote(
        time_point now,
        account_tag account,
        std::uint64_t amount,
        bool is_settlement);
    [[nodiscard]] account_range accounts_of(account_tag received);
    [[nodiscard]] std::optional<double> snapshot_level(account_tag tag) const;

    time_point m_started;
    fleet_view m_view;
    account_map m_accounts;
    /// The first level received from a peer.
    std::map<account_tag, double> m_snapshot_levels;
    std::map<account_tag, std::uint64_t> m_own_totals;
    std::map<account_tag, std::uint64_t> m_sent_totals;
    bool m_has_unsent_totals = false;
    std::unordered_map<vm_tag, peer_totals> m_peers;
};

} // namespace briarhub

#endif
