#ifndef BRIARHUB_BUFFER_BUDGET_HPP
#define BRIARHUB_BUFFER_BUDGET_HPP

/// Limits the bytes of messages that a process holds in memory at once,
/// over all of its connections. Used by one thread.

#include <cstddef>

namespace briarhub
{

/// Longer messages leave an eighth of the capacity to the others, so that a few
/// long ones do not use up all of the space.
inline constexpr std::size_t short_message_bytes = 16UL * 1024;
inline constexpr std::size_t short_message_share = 8; ///< one in this many

class buffer_budget
{
public:
    /// `capacity` in bytes.
    explicit buffer_budget(std::size_t capacity)
        : m_capacity(capacity),
          m_long_capacity(capacity - capacity / short_message_share)
    {
    }

    /// Bytes that are reserved now.
    [[nodiscard]] std::size_t reserved() const
    {
        return m_reserved;
    }

private:
    friend class buffer_reservation;

    std::size_t const m_capacity;
    std::size_t const m_long_capacity; ///< for messages that are not short
    std::size_t m_reserved = 0;
};

/// The part of a budget that one message uses. The budget must outlive it.
class buffer_reservation
{
public:
    /// Belongs to no budget; `resize` fails.
    buffer_reservation() = default;
    explicit buffer_reservation(buffer_budget& budget);
    ~buffer_reservation();
    buffer_reservation(buffer_reservation&& other) noexcept;
    buffer_reservation& operator=(buffer_reservation&& other) noexcept;
    buffer_reservation(buffer_reservation const&) = delete;
    buffer_reservation& operator=(buffer_reservation const&) = delete;

    /// Changes the reserved bytes. Returns false, and changes nothing, if the
    /// budget has no room for more.
    [[nodiscard]] bool resize(std::size_t bytes);

    void release();

private:
    buffer_budget* m_budget = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace briarhub

#endif
