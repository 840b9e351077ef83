#ifndef BRIARHUB_ADMIN_SERVER_HPP
#define BRIARHUB_ADMIN_SERVER_HPP

/// HTTP server on the admin port: metrics, health and readiness checks, and the
/// JSON admin API for operators.

#include "admin_messages.hpp"
#include "metrics.hpp"
#include "settings.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace briarhub
{

/// Sends a query to another thread. Returns false if that thread's queue is
/// full.
using admin_query_sender = std::function<bool(admin_query&&)>;

/// Serves the admin port. Not thread-safe: used only on the thread that runs
/// `io`.
class admin_server
{
public:
    /// Binds the admin port. Throws boost::system::system_error on failure.
    admin_server(
        boost::asio::io_context& io,
        settings const& options,
        metrics_registry const& metrics,
        admin_query_sender to_traffic,
        admin_query_sender to_control);
    ~admin_server();
    admin_server(admin_server const&) = delete;
    admin_server& operator=(admin_server const&) = delete;

    void start();

    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
