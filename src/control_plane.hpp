#ifndef BRIARHUB_CONTROL_PLANE_HPP
#define BRIARHUB_CONTROL_PLANE_HPP

/// The control plane of one VM. It polls the platform's VM list, follows the
/// control stream, exchanges state with the peers and writes claims. It runs on
/// the control thread and sends updates to the traffic thread.

#include "admin_messages.hpp"
#include "mailbox.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "thread_messages.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace briarhub
{

/// Runs on the single thread that runs `io`. Must not be destroyed before `io`
/// has stopped, since its coroutines refer to it.
class control_plane
{
public:
    /// Binds the peer port; throws boost::system::system_error.
    control_plane(
        boost::asio::io_context& io,
        settings const& options,
        member const& self,
        metrics_registry& metrics,
        mailbox<traffic_message>& to_traffic);
    ~control_plane();
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    void start();

    void receive(control_message&& message);
    void receive(admin_query&& query);

    [[nodiscard]] std::uint16_t peer_port() const;

    /// Graceful shutdown: stops the traffic thread, appends the pending claim
    /// records and `leave`, then calls `done`.
    void stop(std::function<void()> done);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
