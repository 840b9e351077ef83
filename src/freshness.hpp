#ifndef BRIARHUB_FRESHNESS_HPP
#define BRIARHUB_FRESHNESS_HPP

/// Decides until when this VM may admit requests, and which versions are
/// stable. Pure: no I/O, reads no clock.

#include "types.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace briarhub
{

/// Validity of a confirming round trip, counted from its start.
inline constexpr std::chrono::seconds freshness_window{3};

class freshness
{
public:
    explicit freshness(member self);

    /// Members at a version; versions must rise. Versions that leave the
    /// members unchanged need not be reported one by one.
    void set_members(control_version version, std::vector<member> members);

    /// This VM now holds `version`.
    void set_version(control_version version);

    /// A read of the control stream, begun at `start`, reached its end.
    void log_confirmed(time_point start);

    /// A round trip with a peer, begun at `start`, was acknowledged; the peer
    /// held `version`.
    void peer_confirmed(
        time_point start, member const& peer, control_version version);

    /// The end of the present permission to admit; the epoch if there is none.
    [[nodiscard]] time_point valid_until() const;

    /// The highest version known to be stable.
    [[nodiscard]] control_version stable_version() const;

    /// A peer holds a newer version than this VM.
    [[nodiscard]] bool is_behind() const;

private:
    struct acknowledgement
    {
        time_point m_start{};
        control_version m_version = 0;
    };

    void advance_stable();

    member m_self;
    control_version m_version = 0;
    control_version m_stable = 0;
    std::map<control_version, std::vector<member>> m_members;
    std::map<std::pair<vm_id, incarnation>, acknowledgement> m_peers;
    std::optional<time_point> m_log_start;
};

} // namespace briarhub

#endif
