#ifndef BRIARHUB_ADMIN_SERVER_HPP
#define BRIARHUB_ADMIN_SERVER_HPP

/// Admin port: metrics, readiness and the administration API (HTTP/JSON).

#include "admin_messages.hpp"
#include "metrics.hpp"
#include "settings.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace briarhub
{

/// Hands a query to another thread; false if its ring is full.
using admin_query_sender = std::function<bool(admin_query&&)>;

/// Runs on the one thread that runs `io`.
class admin_server
{
public:
    /// Binds the admin port at once; throws boost::system::system_error.
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
