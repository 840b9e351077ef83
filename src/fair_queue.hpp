#ifndef BRIARHUB_FAIR_QUEUE_HPP
#define BRIARHUB_FAIR_QUEUE_HPP

/// Deficit round robin over client accounts with a bounded queue per account,
/// so that excess load from one account delays only its own requests.

#include "types.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace briarhub
{

struct queued_request
{
    request_ticket m_ticket = 0;
    account_name m_account;
    time_point m_deadline{};
    double m_cost = 1.0;
    std::vector<upstream_id> m_excluded_upstreams;
};

class fair_queue
{
public:
    explicit fair_queue(std::size_t account_limit);

    /// False if the account's queue is full.
    bool push(queued_request request);

    /// Queues a retry at the head of its account's queue. Ignores the limit,
    /// since the request was admitted before.
    void push_front(queued_request request);

    /// Removes and returns the next request in round robin order for which
    /// `accept` returns true. Only the head of each account's queue is a
    /// candidate.
    std::optional<queued_request>
    pop(std::function<bool(queued_request const&)> const& accept);

    bool remove(account_name const& account, request_ticket ticket);

    /// Number of requests that are served before a new one of this account.
    [[nodiscard]] std::size_t ahead_of(account_name const& account) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_size;
    }

private:
    struct account_queue
    {
        std::deque<queued_request> m_requests;
        double m_deficit = 0.0;
        bool m_has_quantum = false; ///< received its quantum in this round
    };

    void activate(account_name const& account);
    queued_request pop_head(account_name const& account);

    std::size_t m_account_limit;
    std::size_t m_size = 0;
    std::map<account_name, account_queue>
        m_accounts;                            ///< only those with requests
    std::list<account_name> m_active_accounts; ///< accounts in service order
};

} // namespace briarhub

#endif
