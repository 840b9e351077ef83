#ifndef BRIARHUB_CAPACITY_FLOOR_HPP
#define BRIARHUB_CAPACITY_FLOOR_HPP

/// Capacity of a service that ejection and avoidance must leave in service.

#include <cstddef>
#include <cstdint>

namespace briarhub
{

struct capacity_floor
{
    double m_floor = 0.0;           ///< share of the live slots, 0 to 1
    std::uint64_t m_live_slots = 0; ///< of upstreams that the VM list has live
    std::uint64_t m_usable_slots = 0;
    std::size_t m_usable_upstreams = 0;

    [[nodiscard]] bool is_satisfied() const
    {
        return m_usable_upstreams > 0 &&
               static_cast<double>(m_usable_slots) + rounding_tolerance >=
                   m_floor * static_cast<double>(m_live_slots);
    }

    /// The floor holds without an upstream of these slots.
    [[nodiscard]] bool is_satisfied_without(std::uint32_t slots) const
    {
        capacity_floor rest = *this;
        rest.remove(slots);
        return rest.is_satisfied();
    }

    void remove(std::uint32_t slots)
    {
        m_usable_slots -= slots;
        --m_usable_upstreams;
    }

    void add(std::uint32_t slots)
    {
        m_usable_slots += slots;
        ++m_usable_upstreams;
    }

private:
    /// Keeps 0.7 * 10 from being more than 7.
    static constexpr double rounding_tolerance = 1e-9;
};

} // namespace briarhub

#endif
