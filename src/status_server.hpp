#ifndef BRIARHUB_STATUS_SERVER_HPP
#define BRIARHUB_STATUS_SERVER_HPP

/// A small HTTP server that answers GET requests with a status and a text:
/// readiness and counters.

#include "types.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace briarhub
{

struct status_response
{
    unsigned m_status = 200;
    std::string m_body;
};

class status_server
{
public:
    /// Called for each request with its path.
    using handler = std::function<status_response(std::string_view path)>;

    /// Binds the port at once; throws boost::system::system_error.
    status_server(
        boost::asio::io_context& io,
        endpoint_address const& listen,
        handler on_request);
    ~status_server();
    status_server(status_server const&) = delete;
    status_server& operator=(status_server const&) = delete;

    void start();
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace briarhub

#endif
