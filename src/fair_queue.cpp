#include "fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace briarhub
{
namespace
{

/// Cost that each account is credited with in one round.
constexpr double quantum = 1.0;

} // namespace

fair_queue::fair_queue(std::size_t account_limit)
    : m_account_limit{account_limit}
{
}

bool fair_queue::push(queued_request request)
{
    auto const found = m_accounts.find(request.m_account);
    if (found != m_accounts.end() &&
        found->second.m_requests.size() >= m_account_limit)
    {
        return false;
    }
    activate(request.m_account);
    m_accounts[request.m_account].m_requests.push_back(std::move(request));
    ++m_size;
    return true;
}

void fair_queue::push_front(queued_request request)
{
    activate(request.m_account);
    m_accounts[request.m_account].m_requests.push_front(std::move(request));
    ++m_size;
}

// The account at the head of the round is served while its deficit covers the
// cost of its next request. An account whose request is not accepted is skipped
// and keeps its deficit, so that calls without a free upstream don't change the
// shares of the accounts.
std::optional<queued_request>
fair_queue::pop(std::function<bool(queued_request const&)> const& accept)
{
    std::size_t skipped = 0;
    while (skipped < m_active_accounts.size())
    {
        account_queue& queue = m_accounts[m_active_accounts.front()];
        if (!accept(queue.m_requests.front()))
        {
            ++skipped;
            m_active_accounts.splice(
                m_active_accounts.end(),
                m_active_accounts,
                m_active_accounts.begin());
            continue;
        }
        skipped = 0;
        if (!std::exchange(queue.m_has_quantum, true))
        {
            queue.m_deficit += quantum;
        }
        if (queue.m_requests.front().m_cost <= queue.m_deficit)
        {
            return pop_head(account_name{m_active_accounts.front()});
        }
        queue.m_has_quantum = false;
        m_active_accounts.splice(
            m_active_accounts.end(),
            m_active_accounts,
            m_active_accounts.begin());
    }
    return std::nullopt;
}

bool fair_queue::remove(account_name const& account, request_ticket ticket)
{
    auto const found = m_accounts.find(account);
    if (found == m_accounts.end())
    {
        return false;
    }
    auto& requests = found->second.m_requests;
    auto const item =
        std::ranges::find(requests, ticket, &queued_request::m_ticket);
    if (item == requests.end())
    {
        return false;
    }
    requests.erase(item);
    --m_size;
    if (requests.empty())
    {
        m_accounts.erase(found);
        m_active_accounts.remove(account);
    }
    return true;
}

std::size_t fair_queue::ahead_of(account_name const& account) const
{
    auto const own = m_accounts.find(account);
    std::size_t const own_length =
        own == m_accounts.end() ? 0 : own->second.m_requests.size();
    std::size_t ahead = own_length;
    for (auto const& [name, queue] : m_accounts)
    {
        if (name != account)
        {
            ahead += std::min(queue.m_requests.size(), own_length + 1);
        }
    }
    return ahead;
}

void fair_queue::activate(account_name const& account)
{
    if (m_accounts.try_emplace(account).second)
    {
        m_active_accounts.push_back(account);
    }
}

queued_request fair_queue::pop_head(account_name const& account)
{
    account_queue& queue = m_accounts[account];
    queued_request popped = std::move(queue.m_requests.front());
    queue.m_requests.pop_front();
    queue.m_deficit -= popped.m_cost;
    --m_size;
    if (queue.m_requests.empty())
    {
        m_accounts.erase(account);
        m_active_accounts.remove(account);
    }
    return popped;
}

} // namespace briarhub
