#ifndef BRIARHUB_LOAN_PLANNER_HPP
#define BRIARHUB_LOAN_PLANNER_HPP

/// Decides for one account when to borrow, from whom, and when to return.

#include "account_share.hpp"
#include "demand_estimator.hpp"
#include "rate_share.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace briarhub
{

/// A request without reply for this long is sent again under the same id, so
/// that a lender that granted it repeats its reply.
inline constexpr std::chrono::milliseconds reply_timeout{40};

/// Times a request is sent. A late reply is still taken.
inline constexpr unsigned max_request_sends = 3;

/// Renewal starts this long before the end of a loan, which leaves time for
/// several attempts.
inline constexpr std::chrono::milliseconds renewal_lead{1000};

struct pending_request
{
    vm_id m_lender;
    loan_id m_renewed_loan = 0;
    time_point m_sent_at{};      ///< first time; the loan counts from it
    time_point m_last_sent_at{}; ///< of the repetitions
    unsigned m_sends = 1;
    share_amount m_wanted;
};

/// Refusals by one lender since its last full grant.
struct lender_refusals
{
    unsigned m_count = 0;
    time_point m_pause_until{};
};

/// What the planner needs besides the account itself.
struct loan_context
{
    time_point m_now{};
    loan_policy const& m_policy;
    token_bucket& m_messages; ///< limits the VM's loan messages
    std::uint64_t& m_next_id;
    std::mt19937_64& m_random;
    std::vector<addressed_loan_message>& m_outgoing;
};

class loan_planner
{
public:
    loan_planner(account_config const& account, loan_policy const& policy);

    /// Other homes, as possible lenders.
    void set_lenders(std::vector<vm_id> lenders, std::size_t home_count);

    /// A request arrived.
    void arrived(time_point now);

    /// A request found no token and waits from `since` on.
    void add_waiting(time_point since);
    void remove_waiting(time_point since);

    /// What this VM's own requests need; the rest may be lent.
    [[nodiscard]] share_amount
    own_need(account_share const& share, time_point now) const;

    void plan(account_share& share, loan_context& context);

    /// A lender wants a loan back because others need it.
    void recall(account_share& share, loan_id id, loan_context& context);

    /// Asks the borrowers other than `requester` for what the request lacked.
    /// True if a recall was sent.
    bool send_recalls(
        account_share& share,
        vm_id const& requester,
        double lacking_fraction,
        loan_context& context);

    void receive(
        account_share& share,
        time_point now,
        vm_id const& from,
        loan_reply const& reply);

    /// Nullopt if there is nothing to do without new events.
    [[nodiscard]] std::optional<time_point>
    next_plan(account_share const& share, time_point now) const;

private:
    void forget_old(time_point now);
    void return_all(account_share& share, loan_context& context);
    void return_excess(account_share& share, loan_context& context);
    void renew(account_share& share, loan_context& context);
    void repeat_requests(account_share const& share, loan_context& context);
    void borrow(account_share& share, loan_context& context);
    void ask_lenders(
        account_share const& share,
        share_amount missing,
        loan_context& context);
    static void accept(
        account_share& share,
        time_point now,
        pending_request const& request,
        loan_reply const& reply);
    [[nodiscard]] bool is_paused(vm_id const& lender, time_point now) const;
    void give_back(
        account_share& share,
        loan_id id,
        double kept_tokens,
        loan_context& context);
    bool
    ask(account_share const& share,
        vm_id const& lender,
        share_amount const& wanted,
        loan_context& context);
    [[nodiscard]] bool is_held(borrowed_loan const& loan, time_point now) const;
    void note_grant(vm_id const& lender, bool is_full, time_point now);
    bool may_send(loan_context& context);
    [[nodiscard]] std::vector<vm_id>
    usable_lenders(loan_context& context) const;
    [[nodiscard]] share_amount pending(time_point now) const;
    [[nodiscard]] bool is_asked(vm_id const& lender, time_point now) const;
    [[nodiscard]] bool
    is_idle(account_share const& share, time_point now) const;
    [[nodiscard]] time_point idle_at(account_share const& share) const;
    [[nodiscard]] double
    stock(std::chrono::milliseconds span, time_point now) const;

    double m_rate = 0.0;
    double m_burst = 0.0;
    demand_estimator m_demand;
    loan_policy m_policy;
    token_bucket m_messages;
    std::size_t m_home_count = 0;
    std::vector<vm_id> m_lenders;
    std::map<vm_id, lender_refusals> m_refusals;
    std::map<std::uint64_t, pending_request> m_pending;
    std::vector<time_point> m_waiting;
};

} // namespace briarhub

#endif
