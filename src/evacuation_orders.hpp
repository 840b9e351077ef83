#ifndef BRIARHUB_EVACUATION_ORDERS_HPP
#define BRIARHUB_EVACUATION_ORDERS_HPP

/// The operators' orders to evacuate failure domains: no request may reach an
/// upstream of such a domain until the order is taken back. The orders are
/// records of the configuration's topic. Performs no I/O and takes the time as
/// an argument.

#include "clock.hpp"
#include "types.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace briarhub
{

/// A record of the topic that gives or takes back an order.
struct evacuation_record
{
    failure_domain m_domain;
    bool m_is_evacuated = false; ///< false: the order is taken back
    log_offset m_offset = 0;

    friend bool
    operator==(evacuation_record const&, evacuation_record const&) = default;
};

/// An order that a copy of the topic lacks is kept for this long, since the
/// operator writes again what the store lost: the usual bound for orders,
/// twice.
inline constexpr std::chrono::milliseconds lost_order_retention{10000};

class evacuation_orders
{
public:
    /// Position in the topic, after the last record that the orders include;
    /// zero if nothing is known. Orders with a later position are newer.
    [[nodiscard]] log_position position() const
    {
        return m_position;
    }

    /// Orders that the topic holds at `position()`, for peers.
    [[nodiscard]] std::set<failure_domain> const& ordered() const
    {
        return m_ordered;
    }

    /// The evacuated domains: those of `ordered()`, and those whose orders the
    /// store may have lost.
    [[nodiscard]] std::set<failure_domain> domains() const;

    /// Replaces the orders by those of a snapshot of the topic or of a peer,
    /// unless they are older. If the era is a later one, the store may have
    /// lost orders, so those that are missing remain for
    /// `lost_order_retention`. True if `domains()` changed.
    bool replace(
        time_point now,
        log_position position,
        std::set<failure_domain> const& ordered);

    /// Applies the records of a read that continues an earlier one and ends at
    /// `position`. Records that the orders already include are ignored, and the
    /// whole read if it is of another era: the orders before it are unknown.
    /// True if `domains()` changed.
    bool
    apply(log_position position, std::span<evacuation_record const> records);

    /// Drops the orders that were lost and not given again in time. True if
    /// there was one.
    bool remove_expired(time_point now);

    /// When `remove_expired` is due next; nullopt if no order is kept.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

private:
    void
    retain_missing(time_point now, std::set<failure_domain> const& ordered);

    log_position m_position;
    std::set<failure_domain> m_ordered;
    std::map<failure_domain, time_point> m_lost; ///< and until when they remain
};

} // namespace briarhub

#endif
