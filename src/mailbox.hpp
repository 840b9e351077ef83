#ifndef BRIARHUB_MAILBOX_HPP
#define BRIARHUB_MAILBOX_HPP

/// Bounded ring between two threads with wake-up of the receiver.

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace briarhub
{

/// Carries messages from one sending thread to the thread of `receiver`.
/// A full ring drops the message and counts it; senders treat a dropped
/// message like a lost one.
template <class Message>
class mailbox
{
public:
    using handler = std::function<void(Message&&)>;

    mailbox(
        boost::asio::io_context& receiver,
        std::size_t capacity,
        handler on_message)
        : m_receiver(receiver), m_ring(capacity),
          m_on_message(std::move(on_message))
    {
    }

    ~mailbox()
    {
        Message* message = nullptr;
        while (m_ring.pop(message))
        {
            std::unique_ptr<Message> const owned{message};
        }
    }

    mailbox(mailbox const&) = delete;
    mailbox& operator=(mailbox const&) = delete;

    /// Returns false if the ring is full. Called by the sending thread only.
    bool push(Message&& message)
    {
        auto owned = std::make_unique<Message>(std::move(message));
        if (!m_ring.push(owned.get()))
        {
            m_dropped.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        static_cast<void>(owned.release());
        if (!m_wakeup_pending.exchange(true))
        {
            boost::asio::post(
                m_receiver,
                [this]
                {
                    drain();
                });
        }
        return true;
    }

    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    void drain()
    {
        // Cleared first: a message pushed during the drain posts again.
        m_wakeup_pending.store(false);
        Message* message = nullptr;
        while (m_ring.pop(message))
        {
            std::unique_ptr<Message> const owned{message};
            m_on_message(std::move(*owned));
        }
    }

    boost::asio::io_context& m_receiver;
    /// The queue copies its elements, so it holds pointers that it owns.
    boost::lockfree::spsc_queue<Message*> m_ring;
    handler m_on_message;
    std::atomic<bool> m_wakeup_pending{false};
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace briarhub

#endif
