#ifndef BRIARHUB_RUNNING_MEDIAN_HPP
#define BRIARHUB_RUNNING_MEDIAN_HPP

/// Median of the most recent latencies. The window is a number of samples and
/// not a time, so that the median follows a change after the same number of
/// requests at any load.

#include "clock.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace briarhub
{

class running_median
{
public:
    void add(duration value)
    {
        m_values[m_next] = value;
        m_next = (m_next + 1) % window;
        m_count = std::min(m_count + 1, window);
        if (m_count >= min_samples)
        {
            update();
        }
    }

    /// nullopt until there are `min_samples` samples.
    [[nodiscard]] std::optional<duration> value() const
    {
        return m_median;
    }

private:
    static constexpr std::size_t window = 63;
    static constexpr std::size_t min_samples = 9;

    void update()
    {
        auto sorted = m_values;
        auto const middle =
            sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 2);
        std::nth_element(
            sorted.begin(),
            middle,
            sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
        m_median = *middle;
    }

    std::array<duration, window> m_values{};
    std::size_t m_next = 0;
    std::size_t m_count = 0;
    std::optional<duration> m_median;
};

} // namespace briarhub

#endif
