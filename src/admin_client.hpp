#ifndef BRIARHUB_ADMIN_CLIENT_HPP
#define BRIARHUB_ADMIN_CLIENT_HPP

/// Blocking HTTP client of the admin API, used by the command line tool.

#include "types.hpp"

#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace briarhub
{

/// An HTTP response of the admin API with its parsed JSON body.
struct admin_response
{
    unsigned m_http_status = 0;
    boost::json::value m_body;
};

/// The request failed before a complete, valid response was received.
struct admin_unreachable
{
    std::string m_message;
};

class admin_client
{
public:
    admin_client(
        endpoint_address address,
        std::string token,
        std::chrono::milliseconds timeout);

    std::variant<admin_response, admin_unreachable>
    get(std::string const& path) const;

    std::variant<admin_response, admin_unreachable>
    post(std::string const& path, boost::json::value const& body) const;

private:
    std::variant<admin_response, admin_unreachable> call(
        boost::beast::http::verb method,
        std::string const& path,
        std::string body) const;

    endpoint_address m_address;
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

} // namespace briarhub

#endif
