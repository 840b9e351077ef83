#ifndef BRIARHUB_LEASE_RATE_LIMITER_HPP
#define BRIARHUB_LEASE_RATE_LIMITER_HPP

/// This VM's share of every client account's token bucket, and the loans that
/// move shares between VMs. Pure: no I/O, reads no clock.

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

/// The lender waits this much longer than the borrower before it takes a
/// loan back, which covers the drift of the two clocks.
inline constexpr std::chrono::milliseconds lease_clock_margin{500};

/// A request without a token waits at most this long for a loan.
inline constexpr std::chrono::milliseconds admission_wait{50};

/// Increases of a base wait this long after the version that causes them is
/// stable: until then a VM with an older view may admit, and its loans run.
inline constexpr std::chrono::milliseconds rebalance_delay =
    freshness_window + lease_duration + lease_clock_margin;

/// Asks for a new loan, or renews one and adds to it.
struct lease_request
{
    account_name m_account;
    std::uint64_t m_request_id = 0;
    std::uint64_t m_renewed_lease = 0; ///< 0: a new loan
    double m_fraction = 0.0;           ///< of the account's rate and burst
    double m_tokens = 0.0;             ///< requests
};

/// Grants a loan, or an addition to the renewed one. Loan id 0 refuses.
struct lease_reply
{
    account_name m_account;
    std::uint64_t m_request_id = 0;
    std::uint64_t m_lease_id = 0;
    double m_fraction = 0.0;
    double m_tokens = 0.0;
    std::chrono::milliseconds m_duration{};
};

/// Ends a loan early. Sent by a lender without amounts it asks the borrower
/// to return what it does not need at the moment.
struct lease_return
{
    account_name m_account;
    std::uint64_t m_lease_id = 0;
    double m_fraction = 0.0;
    double m_tokens = 0.0;
};

using lease_message = std::variant<lease_request, lease_reply, lease_return>;

/// A loan message with the VM that it goes to or comes from.
struct addressed_lease_message
{
    vm_id m_peer;
    lease_message m_message;
};

enum class admission_kind
{
    admitted, ///< one token was taken
    wait,     ///< no token now; ask again at `m_retry_at`
    refused   ///< over rate, or the account is unknown
};

struct admission
{
    admission_kind m_kind = admission_kind::refused;
    time_point m_retry_at{};  ///< for `wait`
    duration m_retry_after{}; ///< for `refused`: when a token is expected
};

/// When and how much a VM borrows. None of this affects the bound.
struct lease_policy
{
    /// Fraction held, as a multiple of the fraction that demand uses.
    double m_demand_headroom = 1.15;
    /// A loan is returned when the rest still is this multiple of the need.
    double m_return_threshold = 1.6;
    /// A loan is kept for this long although the need went down.
    std::chrono::milliseconds m_retention{500};
    /// A recalled loan is returned when the rest is this part of the need,
    /// when the tokens last for longer than the recall stock, or when requests
    /// are rare.
    double m_recall_threshold = 1.0;
    std::chrono::milliseconds m_recall_reserve{200};
    /// Between two recalls of one loan.
    std::chrono::milliseconds m_recall_interval{100};
    /// A loan is requested when the tokens last for less than this.
    std::chrono::milliseconds m_low_watermark{20};
    /// Tokens requested last for this long.
    std::chrono::milliseconds m_request_span{400};
    /// Lenders asked at once.
    std::size_t m_grantors = 6;
    /// Loan messages that a VM sends for one account.
    double m_account_messages_per_second = 8.0;
    double m_account_message_burst = 40.0;
    /// Loan messages that a VM sends in all.
    double m_messages_per_second = 12.0;
    double m_message_burst = 80.0;
};

/// Whether an account may have had a base before.
enum class account_origin
{
    existing, ///< part of a state that was taken over, or changed
    created   ///< new with the version that this VM folds now
};

class lease_rate_limiter
{
public:
    /// Members of the fleet at one version of the control stream.
    struct member_view
    {
        control_version m_version = 0;
        std::vector<member> m_members;
        /// No version before this one had members.
        bool m_is_first = false;
        /// Versions since the last view were skipped (a snapshot was taken
        /// over), and with them perhaps smaller bases.
        bool m_has_gap = false;
    };

    /// `seed` drives the random choice of lenders.
    lease_rate_limiter(
        member self, std::uint64_t seed, lease_policy const& policy = {});
    ~lease_rate_limiter();
    lease_rate_limiter(lease_rate_limiter&&) noexcept;
    lease_rate_limiter& operator=(lease_rate_limiter&&) noexcept;

    /// Adds or changes an account. `version` is the control version that did
    /// it: the number of homes depends on the burst, so that an increase of
    /// the base has to wait for this version like one of the member list.
    /// With `created` the version is the one that created the account, and
    /// the members are those of that version: the base applies at once.
    void put_account(
        time_point now,
        account_config const& account,
        control_version version,
        account_origin origin = account_origin::existing);
    void remove_account(time_point now, account_name const& name);

    /// A newer member list. Decreases of the base apply at once.
    void set_members(time_point now, member_view const& view);

    /// Versions up to `version` are stable; increases that they cause apply
    /// after the rebalance delay.
    void set_stable(time_point now, control_version version);

    /// Loans are granted and renewed only before this time, by default never.
    /// A lender with an outdated view must not lend a base that has been
    /// reassigned. The caller checks the same time before `try_admit`.
    void set_valid_until(time_point valid_until);

    /// Takes a token or says when to ask again. `waited_since` is the time of
    /// the request's first attempt; nullopt on the first attempt itself.
    admission try_admit(
        time_point now,
        account_name const& account,
        std::optional<time_point> waited_since = std::nullopt);

    /// A loan message from a peer.
    void receive(time_point now, addressed_lease_message const& message);

    /// Ends loans that are due and returns the messages to send.
    std::vector<addressed_lease_message> poll(time_point now);

    /// When `poll` has to be called next.
    [[nodiscard]] time_point next_poll() const;

    /// For status pages and tests.
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

/// The homes of an account: the first members by rendezvous hashing.
std::vector<member>
bucket_owners(account_config const& account, std::span<member const> members);

} // namespace briarhub

#endif
