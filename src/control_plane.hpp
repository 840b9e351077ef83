#ifndef BRIARHUB_CONTROL_PLANE_HPP
#define BRIARHUB_CONTROL_PLANE_HPP

/// The control thread: platform, peers, control stream, claims.

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

/// Runs on the one thread that runs `io`; destroyed only after `io` has
/// stopped, since the loops of the control thread refer to it.
class control_plane
{
public:
    /// Binds the peer port at once; throws boost::system::system_error.
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

    /// Graceful shutdown: stops the traffic thread, then appends the records
    /// that remain and `leave`; `done` is called at the end.
    void stop(std::function<void()> done);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
