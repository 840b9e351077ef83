#ifndef BRIARHUB_RATE_SHARE_HPP
#define BRIARHUB_RATE_SHARE_HPP

/// This VM's share of every client account's token bucket, and the loans that
/// move shares between VMs. Pure: no I/O, reads no clock.

#include "config.hpp"
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

inline constexpr std::chrono::seconds loan_duration{5};

/// The lender waits this much longer than the borrower before it takes a
/// loan back, which covers the drift of the two clocks.
inline constexpr std::chrono::milliseconds loan_margin{500};

/// A request without a token waits at most this long for a loan.
inline constexpr std::chrono::milliseconds admission_wait{50};

struct loan_request
{
    account_name m_account;
    std::uint64_t m_request_id = 0;
    double m_fraction = 0.0; ///< of the account's rate and burst
    double m_tokens = 0.0;   ///< requests
};

/// A fraction of zero with no tokens refuses the loan.
struct loan_reply
{
    account_name m_account;
    std::uint64_t m_request_id = 0;
    std::uint64_t m_loan_id = 0;
    double m_fraction = 0.0;
    double m_tokens = 0.0;
    std::chrono::milliseconds m_duration{};
};

struct loan_return
{
    account_name m_account;
    std::uint64_t m_loan_id = 0;
    double m_fraction = 0.0;
    double m_tokens = 0.0;
};

using loan_message = std::variant<loan_request, loan_reply, loan_return>;

/// A loan message with the VM that it goes to or comes from.
struct addressed_loan_message
{
    vm_id m_peer;
    loan_message m_message;
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

class rate_share
{
public:
    /// Members of the fleet at one version of the control stream.
    struct member_view
    {
        control_version m_version = 0;
        std::vector<member> m_members;
    };

    /// `seed` drives the random choice of lenders.
    rate_share(member self, std::uint64_t seed);
    ~rate_share();
    rate_share(rate_share&&) noexcept;
    rate_share& operator=(rate_share&&) noexcept;

    /// Adds or changes an account.
    void put_account(time_point now, account_config const& account);
    void remove_account(time_point now, account_name const& name);

    /// A newer member list. Decreases of the base apply at once.
    void set_members(time_point now, member_view const& view);

    /// Versions up to `version` are stable; increases that they cause apply
    /// after the rebalance delay.
    void set_stable(time_point now, control_version version);

    /// Takes a token or says when to ask again. `waited_since` is the time of
    /// the request's first attempt; nullopt on the first attempt itself.
    admission try_admit(
        time_point now,
        account_name const& account,
        std::optional<time_point> waited_since = std::nullopt);

    /// A loan message from a peer.
    void receive(time_point now, addressed_loan_message const& message);

    /// Ends loans that are due and returns the messages to send.
    std::vector<addressed_loan_message> poll(time_point now);

    /// When `poll` has to be called next.
    [[nodiscard]] time_point next_poll() const;

    /// For status pages and tests.
    struct account_status
    {
        account_name m_account;
        double m_base_fraction = 0.0;
        double m_lent_fraction = 0.0;
        double m_borrowed_fraction = 0.0;
        double m_tokens = 0.0;
    };
    [[nodiscard]] std::vector<account_status> status(time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The homes of an account: the first members by rendezvous hashing.
std::vector<member>
account_homes(account_config const& account, std::span<member const> members);

} // namespace briarhub

#endif
