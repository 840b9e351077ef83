#ifndef BRIARHUB_MAILBOX_HPP
#define BRIARHUB_MAILBOX_HPP

/// Bounded single-producer, single-consumer queue that wakes the receiving
/// thread's event loop.

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

/// Passes messages from one sending thread to the thread of `receiver`. A
/// message to a full queue is dropped and counted; senders handle it like a
/// message lost on the network.
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

    /// Returns false if the queue is full. Called by the sending thread only.
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
        // Cleared first, so that a push during the drain posts a new wake-up.
        m_wakeup_pending.store(false);
        Message* message = nullptr;
        while (m_ring.pop(message))
        {
            std::unique_ptr<Message> const owned{message};
            m_on_message(std::move(*owned));
        }
    }

    boost::asio::io_context& m_receiver;
    /// Owning pointers, since spsc_queue copies its elements.
    boost::lockfree::spsc_queue<Message*> m_ring;
    handler m_on_message;
    std::atomic<bool> m_wakeup_pending{false};
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace briarhub

#endif
