#ifndef BRIARHUB_TRAFFIC_WORKER_HPP
#define BRIARHUB_TRAFFIC_WORKER_HPP

/// The traffic thread: accepts callers and forwards their requests to
/// upstreams. It owns the caller sessions, the filter chain and the upstream
/// connections.

#include "admin_messages.hpp"
#include "mailbox.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "thread_messages.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace briarhub
{

/// Must be used only on the single thread that runs `io`. Refuses requests with
/// `starting` until it has a configuration and knows how long that is valid.
class traffic_worker
{
public:
    /// Binds the caller port; throws boost::system::system_error.
    traffic_worker(
        boost::asio::io_context& io,
        settings const& options,
        member const& self,
        metrics_registry& metrics,
        mailbox<control_message>& to_control);
    ~traffic_worker();
    traffic_worker(traffic_worker const&) = delete;
    traffic_worker& operator=(traffic_worker const&) = delete;

    /// Starts to accept connections from callers.
    void start();

    void receive(traffic_message&& message);
    void receive(admin_query&& query);

    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
