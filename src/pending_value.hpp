#ifndef BRIARHUB_PENDING_VALUE_HPP
#define BRIARHUB_PENDING_VALUE_HPP

/// Promise and future in one, for coroutines of a single thread: one coroutine
/// waits for a value, with a deadline, and other code on the thread sets it.

#include "clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace briarhub
{

/// Has at most one waiter. Only the first `set` takes effect.
template <class Value>
class pending_value
{
public:
    explicit pending_value(boost::asio::any_io_executor const& executor)
        : m_timer(executor)
    {
    }

    void set(Value value)
    {
        if (!m_value)
        {
            m_value = std::move(value);
        }
        m_timer.cancel();
    }

    /// Cancels the wait without a value.
    void interrupt()
    {
        m_is_interrupted = true;
        m_timer.cancel();
    }

    /// Completes when a value is set, the wait is interrupted or the deadline
    /// passes.
    boost::asio::awaitable<void> wait_until(time_point deadline)
    {
        if (m_value || m_is_interrupted)
        {
            co_return;
        }
        m_timer.expires_at(deadline);
        co_await m_timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    std::optional<Value>& value()
    {
        return m_value;
    }

private:
    timer m_timer;
    std::optional<Value> m_value;
    bool m_is_interrupted = false;
};

/// Registers a waiter under a key for the lifetime of this object, so that the
/// code which receives a reply finds it.
template <class Key, class Value>
class scoped_waiter
{
public:
    using map = std::unordered_map<Key, pending_value<Value>*>;

    scoped_waiter(map& waiters, Key key, pending_value<Value>& waiter)
        : m_waiters(waiters), m_key(std::move(key))
    {
        m_waiters[m_key] = &waiter;
    }

    ~scoped_waiter()
    {
        m_waiters.erase(m_key);
    }

    scoped_waiter(scoped_waiter const&) = delete;
    scoped_waiter& operator=(scoped_waiter const&) = delete;

private:
    map& m_waiters;
    Key m_key;
};

} // namespace briarhub

#endif
