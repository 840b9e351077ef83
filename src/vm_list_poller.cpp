#include "vm_list_poller.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace briarhub
{

vm_list_poller::vm_list_poller(
    boost::asio::io_context& io,
    fleet_state& fleet,
    metered_platform_client& platform)
    : m_fleet(fleet), m_platform(platform), m_wakeup(io)
{
}

void vm_list_poller::stop()
{
    m_stopped = true;
    m_wakeup.notify();
}

boost::asio::awaitable<void> vm_list_poller::run()
{
    while (!m_stopped)
    {
        auto result = co_await m_platform.list_vms();
        if (m_stopped)
        {
            co_return;
        }
        auto* const list = std::get_if<vm_list>(&result);
        log_reachability(list != nullptr);
        time_point const now = runtime_clock::now();
        if (list != nullptr)
        {
            m_fleet.set_vms(now, std::move(*list));
        }
        co_await m_wakeup.wait_until(now + vm_list_interval);
    }
}

void vm_list_poller::log_reachability(bool is_reachable)
{
    if (is_reachable != m_is_reachable)
    {
        m_is_reachable = is_reachable;
        spdlog::info(
            "the platform's VM list endpoint {}",
            is_reachable ? "answers" : "does not answer; using the last list");
    }
}

} // namespace briarhub
