#include "buffer_budget.hpp"

#include <utility>

namespace briarhub
{

buffer_reservation::buffer_reservation(buffer_budget& budget)
    : m_budget(&budget)
{
}

buffer_reservation::~buffer_reservation()
{
    release();
}

buffer_reservation::buffer_reservation(buffer_reservation&& other) noexcept
    : m_budget(other.m_budget), m_bytes(std::exchange(other.m_bytes, 0))
{
}

buffer_reservation&
buffer_reservation::operator=(buffer_reservation&& other) noexcept
{
    if (this != &other)
    {
        release();
        m_budget = other.m_budget;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool buffer_reservation::resize(std::size_t bytes)
{
    if (m_budget == nullptr)
    {
        return false;
    }
    auto const others = m_budget->m_reserved - m_bytes;
    auto const capacity = bytes <= short_message_bytes
                              ? m_budget->m_capacity
                              : m_budget->m_long_capacity;
    bool const has_room = bytes <= m_bytes || others + bytes <= capacity;
    if (!has_room)
    {
        return false;
    }
    m_budget->m_reserved = others + bytes;
    m_bytes = bytes;
    return true;
}

void buffer_reservation::release()
{
    if (m_budget != nullptr)
    {
        m_budget->m_reserved -= m_bytes;
        m_bytes = 0;
    }
}

} // namespace briarhub
