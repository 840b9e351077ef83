#ifndef BRIARHUB_VM_LIST_POLLER_HPP
#define BRIARHUB_VM_LIST_POLLER_HPP

/// Polls the platform's VM list for the fleet state. While the platform is
/// unreachable, the last list stays in use.

#include "fleet_state.hpp"
#include "metered_platform_client.hpp"
#include "notifier.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace briarhub
{

inline constexpr std::chrono::seconds vm_list_interval{1};

class vm_list_poller
{
public:
    vm_list_poller(
        boost::asio::io_context& io,
        fleet_state& fleet,
        metered_platform_client& platform);

    /// Polls until `stop`.
    boost::asio::awaitable<void> run();
    void stop();

private:
    void log_reachability(bool is_reachable);

    fleet_state& m_fleet;
    metered_platform_client& m_platform;
    notifier m_wakeup;
    bool m_stopped = false;
    bool m_is_reachable = true;
};

} // namespace briarhub

#endif
