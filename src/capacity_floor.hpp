#ifndef BRIARHUB_CAPACITY_FLOOR_HPP
#define BRIARHUB_CAPACITY_FLOOR_HPP

/// Capacity floor of a service: the share of its slots that must stay usable
/// when upstreams are ejected or avoided. At least one upstream stays usable
/// even with a floor of 0.

#include <cstddef>
#include <cstdint>

namespace briarhub
{

struct capacity_floor
{
    double m_floor = 0.0;           ///< share of the live slots, 0 to 1
    std::uint64_t m_live_slots = 0; ///< of upstreams live in the VM list
    std::uint64_t m_usable_slots = 0;
    std::size_t m_usable_upstreams = 0;

    [[nodiscard]] bool is_satisfied() const
    {
        return m_usable_upstreams > 0 &&
               static_cast<double>(m_usable_slots) + rounding_tolerance >=
                   m_floor * static_cast<double>(m_live_slots);
    }

    /// The floor is still satisfied when an upstream of `slots` is removed.
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
    /// Tolerates floating-point rounding, which makes 0.7 * 10 more than 7.
    static constexpr double rounding_tolerance = 1e-9;
};

} // namespace briarhub

#endif
