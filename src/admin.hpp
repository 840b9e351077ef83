#ifndef BRIARHUB_ADMIN_HPP
#define BRIARHUB_ADMIN_HPP

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
using admin_submit = std::function<bool(admin_query&&)>;

/// Runs on the one thread that runs `io`.
class admin
{
public:
    /// Binds the admin port at once; throws boost::system::system_error.
    admin(
        boost::asio::io_context& io,
        settings const& options,
        metrics_registry const& metrics,
        admin_submit to_traffic,
        admin_submit to_control);
    ~admin();
    admin(admin const&) = delete;
    admin& operator=(admin const&) = delete;

    void start();

    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
