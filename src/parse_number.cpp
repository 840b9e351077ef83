#include "parse_number.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/system/system_error.hpp>

namespace briarhub
{

std::optional<ip_endpoint> split_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const port = parse_number<std::uint16_t>(text.substr(colon + 1));
    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string{ip}, error);
    if (!port || error)
    {
        return std::nullopt;
    }
    return ip_endpoint{std::string{ip}, *port};
}

std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text)
{
    auto const parts = split_endpoint(text);
    if (!parts)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{
        boost::asio::ip::make_address(parts->m_ip), parts->m_port};
}

boost::asio::ip::tcp::endpoint parse_listen_endpoint(std::string_view text)
{
    auto const endpoint = parse_endpoint(text);
    if (!endpoint)
    {
        throw boost::system::system_error{
            make_error_code(boost::asio::error::invalid_argument),
            "listen address " + std::string{text}};
    }
    return *endpoint;
}

} // namespace briarhub
