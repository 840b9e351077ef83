#ifndef BRIARHUB_LEASE_RATE_LIMITER_HPP
#define BRIARHUB_LEASE_RATE_LIMITER_HPP

/// Distributed token bucket rate limiter for client accounts. Each account's
/// bucket is divided among its bucket owners, and a VM that runs short obtains
/// rate and tokens from other VMs by time-limited leases. The fleet never
/// admits more than the account's rate and burst allow. Performs no I/O and
/// reads no clock.

#include "config.hpp"
#include "freshness_tracker.hpp"
#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace briarhub
{

inline constexpr std::chrono::seconds lease_duration{5};

/// The grantor treats a lease as valid for this much longer than the holder
/// does, which covers the clock drift between the two VMs.
inline constexpr std::chrono::milliseconds lease_clock_margin{500};

/// Longest time that a request without a token waits for a lease.
inline constexpr std::chrono::milliseconds admission_wait{50};

/// Delay from the time a control version is stable until the increases of base
/// fractions that it causes apply. Until then VMs with an older view may still
/// admit requests, and the leases that they granted are still valid.
inline constexpr std::chrono::milliseconds rebalance_delay =
    freshness_window + lease_duration + lease_clock_margin;

/// Requests a new lease, or renews and enlarges an existing one.
struct lease_request
{
    account_name m_account;
    std::uint64_t m_request_id = 0;
    std::uint64_t m_renewed_lease = 0; ///< 0: a new lease
    double m_fraction = 0.0;           ///< of the account's rate and burst
    double m_tokens = 0.0;             ///< requests
};

/// Grants a lease, or an addition to the renewed one. Lease id 0 is a refusal.
struct lease_reply
{
    account_name m_account;
    std::uint64_t m_request_id = 0;
    std::uint64_t m_lease_id = 0;
    double m_fraction = 0.0;
    double m_tokens = 0.0;
    std::chrono::milliseconds m_duration{};
};

/// Returns a lease before it expires. Sent by the grantor with zero amounts, it
/// is a recall: it asks the holder to return a lease that it does not need.
struct lease_return
{
    account_name m_account;
    std::uint64_t m_lease_id = 0;
    double m_fraction = 0.0;
    double m_tokens = 0.0;
};

using lease_message = std::variant<lease_request, lease_reply, lease_return>;

/// A lease message with the VM that receives or sent it.
struct addressed_lease_message
{
    vm_id m_peer;
    lease_message m_message;
};

enum class admission_kind
{
    admitted, ///< one token was consumed
    wait,     ///< no token available; retry at `m_retry_at`
    refused   ///< rate exceeded, or unknown account
};

struct admission
{
    admission_kind m_kind = admission_kind::refused;
    time_point m_retry_at{};  ///< for `wait`
    duration m_retry_after{}; ///< for `refused`: time until a token is expected
};

/// Controls when a VM requests, keeps and returns leases, and of which size.
/// The bound on admitted requests does not depend on these values.
struct lease_policy
{
    /// Target fraction, as a multiple of the fraction that the demand uses.
    double m_demand_headroom = 1.15;
    /// A lease is returned if the remaining fraction is at least this multiple
    /// of the target fraction.
    double m_return_threshold = 1.6;
    /// While there is demand, an excess lease is kept for this long after it
    /// was last enlarged.
    std::chrono::milliseconds m_retention{500};
    /// A recalled lease is returned if the remaining fraction is at least this
    /// multiple of the target fraction, if the tokens last for longer than
    /// `m_recall_reserve`, or if requests are rare.
    double m_recall_threshold = 1.0;
    std::chrono::milliseconds m_recall_reserve{200};
    /// Minimum time between two recalls of the same lease.
    std::chrono::milliseconds m_recall_interval{100};
    /// A lease is requested if the tokens last for less than this.
    std::chrono::milliseconds m_low_watermark{20};
    /// A request asks for tokens that last for this long.
    std::chrono::milliseconds m_request_span{400};
    /// Maximum number of grantors asked in one round.
    std::size_t m_grantors = 6;
    /// Rate limit of the lease messages that a VM sends for one account.
    double m_account_messages_per_second = 8.0;
    double m_account_message_burst = 40.0;
    /// Rate limit of all lease messages that a VM sends.
    double m_messages_per_second = 12.0;
    double m_message_burst = 80.0;
};

/// Whether any VM may already have a base fraction of an account.
enum class account_origin
{
    existing, ///< loaded from a snapshot, or changed
    created   ///< created by the control version being applied
};

class lease_rate_limiter
{
public:
    /// Fleet membership at one version of the control stream.
    struct member_view
    {
        control_version m_version = 0;
        std::vector<member> m_members;
        /// No earlier version had members.
        bool m_is_first = false;
        /// Versions since the previous view were skipped because a snapshot was
        /// loaded. This VM may have had a smaller base fraction in them.
        bool m_has_gap = false;
    };

    /// `seed` initializes the random order of grantors and the message ids.
    lease_rate_limiter(
        member self, std::uint64_t seed, lease_policy const& policy = {});
    ~lease_rate_limiter();
    lease_rate_limiter(lease_rate_limiter&&) noexcept;
    lease_rate_limiter& operator=(lease_rate_limiter&&) noexcept;

    /// Adds or changes an account. `version` is the control version of the
    /// change: the number of bucket owners depends on the burst, so an increase
    /// of the base fraction has to wait for this version, as it does for a
    /// membership change. With `created`, `version` is the one that created the
    /// account and the current members are those of that version; the base
    /// fraction then applies at once.
    void put_account(
        time_point now,
        account_config const& account,
        control_version version,
        account_origin origin = account_origin::existing);
    void remove_account(time_point now, account_name const& name);

    /// Applies a newer membership. Decreases of base fractions apply at once.
    void set_members(time_point now, member_view const& view);

    /// Reports that all versions up to `version` are stable. The increases that
    /// they cause apply after `rebalance_delay`.
    void set_stable(time_point now, control_version version);

    /// Leases are granted and renewed only before this time; by default none
    /// are. A grantor with an outdated view must not lease out a base fraction
    /// that has been reassigned. The caller checks the same time before
    /// `try_admit`.
    void set_valid_until(time_point valid_until);

    /// Consumes a token, or returns when to retry. `waited_since` is the time
    /// of the request's first attempt; nullopt on the first attempt itself.
    admission try_admit(
        time_point now,
        account_name const& account,
        std::optional<time_point> waited_since = std::nullopt);

    /// Handles a lease message from a peer.
    void receive(time_point now, addressed_lease_message const& message);

    /// Runs the due work (expiry, renewal, return and requests of leases) and
    /// returns the messages to send.
    std::vector<addressed_lease_message> poll(time_point now);

    /// Time at which `poll` has to be called next.
    [[nodiscard]] time_point next_poll() const;

    /// State of one account, for the admin interface and tests.
    struct account_status
    {
        account_name m_account;
        double m_base_fraction = 0.0;
        double m_leased_out_fraction = 0.0;
        double m_leased_in_fraction = 0.0;
        double m_tokens = 0.0;
    };
    [[nodiscard]] std::vector<account_status> status(time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The VMs that own a part of an account's token bucket: the members with the
/// highest rendezvous hash weights.
std::vector<member>
bucket_owners(account_config const& account, std::span<member const> members);

} // namespace briarhub

#endif
