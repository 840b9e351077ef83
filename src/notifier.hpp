#ifndef BRIARHUB_NOTIFIER_HPP
#define BRIARHUB_NOTIFIER_HPP

/// Condition variable for coroutines of one thread.

#include "clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace briarhub
{

/// Waiters check their condition before and after each wait, since wake-ups may
/// be spurious.
class notifier
{
public:
    explicit notifier(boost::asio::io_context& io) : m_io(io)
    {
    }

    notifier(notifier const&) = delete;
    notifier& operator=(notifier const&) = delete;

    void notify()
    {
        for (timer* const waiting : m_waiting)
        {
            waiting->cancel();
        }
    }

    boost::asio::awaitable<void> wait_until(time_point deadline)
    {
        timer wait{m_io, deadline};
        m_waiting.insert(&wait);
        co_await wait.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        m_waiting.erase(&wait);
    }

private:
    boost::asio::io_context& m_io;
    std::set<timer*> m_waiting;
};

} // namespace briarhub

#endif
