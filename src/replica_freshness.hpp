#ifndef BRIARHUB_REPLICA_FRESHNESS_HPP
#define BRIARHUB_REPLICA_FRESHNESS_HPP

/// Tracks the latest time as of which a replica on this VM was known to be the
/// newest version in the store, by this VM's own reads and by those of peers.
/// Performs no I/O and takes the time as an argument.

#include "clock.hpp"
#include "types.hpp"

#include <optional>

namespace briarhub
{

/// A replica's version is the position of its last record; the default value
/// stands for no version.
class replica_freshness
{
public:
    /// Sets the version of this VM's replica.
    void set_version(log_position version);

    /// `version` was the newest one in the store as of a time, so any later
    /// version is at least as new. What is known of a version that this VM does
    /// not have yet counts once it has it.
    void confirm(log_position version, time_point as_of);

    /// Time since the replica was last known to be the newest version; nullopt
    /// if that was never known.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

    /// When that age reaches `limit`; the clock's epoch if it is unknown.
    [[nodiscard]] time_point expiry(duration limit) const;

    /// Latest confirmation of any version, also of one that this VM does not
    /// have; nullopt if there was none.
    [[nodiscard]] std::optional<time_point> last_confirmation() const
    {
        return m_last_confirmation;
    }

private:
    log_position m_version{};
    std::optional<time_point> m_confirmed;
    log_position m_newer_version{}; ///< newest version known of peers
    time_point m_newer_confirmed{};
    std::optional<time_point> m_last_confirmation;
};

/// Freshness of the state that this VM replicates.
struct replicas_freshness
{
    /// Time of the last read of the store by any VM, if it was at least
    /// `min_length` ago. Failed calls of this VM alone are no store outage.
    [[nodiscard]] std::optional<time_point>
    unread_since(time_point now, duration min_length) const;

    replica_freshness m_policy;
    replica_freshness m_directory;
};

} // namespace briarhub

#endif
