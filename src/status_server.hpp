#ifndef BRIARHUB_STATUS_SERVER_HPP
#define BRIARHUB_STATUS_SERVER_HPP

/// A minimal HTTP server for the readiness and metrics endpoints. A handler
/// maps the path of each request to a status code and a plain text body.

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
    /// Called with the path of each request.
    using handler = std::function<status_response(std::string_view path)>;

    /// Binds the port. Throws boost::system::system_error on failure.
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
