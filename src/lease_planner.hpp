#ifndef BRIARHUB_LEASE_PLANNER_HPP
#define BRIARHUB_LEASE_PLANNER_HPP

/// Decides for one account when this VM requests, renews, recalls and returns
/// leases, and which grantors it asks. Creates the lease messages.

#include "account_share.hpp"
#include "demand_estimator.hpp"
#include "lease_rate_limiter.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace briarhub
{

/// A request without a reply is resent after this time with the same id, so
/// that a grantor that has already granted it repeats its reply.
inline constexpr std::chrono::milliseconds reply_timeout{40};

/// Maximum number of times a request is sent. A late reply is still accepted.
inline constexpr unsigned max_request_attempts = 3;

/// Renewal starts this long before a lease expires, which leaves time for
/// several attempts.
inline constexpr std::chrono::milliseconds renewal_lead{1000};

struct pending_request
{
    vm_id m_grantor;
    lease_id m_renewed_lease = 0;
    time_point m_sent_at{}; ///< first attempt; the lease duration starts here
    time_point m_last_sent_at{}; ///< last attempt
    unsigned m_attempts = 1;
    share_amount m_requested;
};

/// Backoff after refusals or partial grants by one grantor since its last full
/// grant.
struct grantor_backoff
{
    unsigned m_refusal_count = 0;
    time_point m_backoff_until{};
};

/// State of the VM that the planner needs in addition to the account.
struct lease_context
{
    time_point m_now{};
    lease_policy const& m_policy;
    token_bucket& m_message_bucket; ///< limits the VM's lease messages
    std::uint64_t& m_next_id;
    std::mt19937_64& m_random;
    std::vector<addressed_lease_message>& m_outgoing;
};

class lease_planner
{
public:
    lease_planner(account_config const& account, lease_policy const& policy);

    /// Sets the other bucket owners, which may grant leases.
    void set_grantors(std::vector<vm_id> grantors, std::size_t owner_count);

    /// Records the arrival of a request.
    void arrived(time_point now);

    /// Records that a request waits for a token since `since`.
    void add_waiting(time_point since);
    void remove_waiting(time_point since);

    /// Amount needed for requests at this VM; the rest may be leased out.
    [[nodiscard]] share_amount
    local_need(account_share const& share, time_point now) const;

    void plan(account_share& share, lease_context& context);

    /// Handles a recall by the grantor: returns the lease if this VM does not
    /// need it.
    void recall(account_share& share, lease_id id, lease_context& context);

    /// Recalls leases from holders other than `requester` to cover
    /// `missing_fraction`. True if a recall was sent.
    bool send_recalls(
        account_share& share,
        vm_id const& requester,
        double missing_fraction,
        lease_context& context);

    void receive(
        account_share& share,
        time_point now,
        vm_id const& from,
        lease_reply const& reply);

    /// Time of the next call of `plan`; nullopt if none is due without new
    /// events.
    [[nodiscard]] std::optional<time_point>
    next_plan(account_share const& share, time_point now) const;

private:
    void drop_expired(time_point now);
    void return_all(account_share& share, lease_context& context);
    void return_excess(account_share& share, lease_context& context);
    void renew(account_share& share, lease_context& context);
    void resend_requests(account_share const& share, lease_context& context);
    void request_missing(account_share& share, lease_context& context);
    void request_from_grantors(
        account_share const& share,
        share_amount missing,
        lease_context& context);
    static void apply_grant(
        account_share& share,
        time_point now,
        pending_request const& request,
        lease_reply const& reply);
    [[nodiscard]] bool
    is_backed_off(vm_id const& grantor, time_point now) const;
    void return_lease(
        account_share& share,
        lease_id id,
        double reserved_tokens,
        lease_context& context);
    bool send_lease_request(
        account_share const& share,
        vm_id const& grantor,
        share_amount const& requested,
        lease_context& context);
    [[nodiscard]] bool
    is_retained(held_lease const& lease, time_point now) const;
    void update_backoff(vm_id const& grantor, bool is_full, time_point now);
    bool try_consume_message(lease_context& context);
    [[nodiscard]] std::vector<vm_id>
    available_grantors(lease_context& context) const;
    [[nodiscard]] share_amount pending(time_point now) const;
    [[nodiscard]] bool
    was_asked_recently(vm_id const& grantor, time_point now) const;
    [[nodiscard]] bool
    is_idle(account_share const& share, time_point now) const;
    [[nodiscard]] time_point idle_at(account_share const& share) const;
    [[nodiscard]] double
    tokens_for(std::chrono::milliseconds span, time_point now) const;

    double m_rate = 0.0;
    double m_burst = 0.0;
    demand_estimator m_demand;
    lease_policy m_policy;
    token_bucket m_message_bucket;
    std::size_t m_owner_count = 0;
    std::vector<vm_id> m_grantors;
    std::map<vm_id, grantor_backoff> m_backoffs;
    std::map<std::uint64_t, pending_request> m_pending;
    std::vector<time_point> m_waiting;
};

} // namespace briarhub

#endif
