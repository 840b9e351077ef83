#ifndef BRIARHUB_PARSE_NUMBER_HPP
#define BRIARHUB_PARSE_NUMBER_HPP

/// Strict parsing of numbers and addresses in settings and headers.

#include <boost/asio/ip/tcp.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace briarhub
{

/// The whole text as a number; no sign, space or suffix beyond the type's own.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    char const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || text.empty())
    {
        return std::nullopt;
    }
    return value;
}

struct ip_endpoint
{
    std::string m_ip;
    std::uint16_t m_port = 0;
};

/// Splits "ip:port" or "[ip6]:port"; nullopt for anything else.
std::optional<ip_endpoint> split_endpoint(std::string_view text);

/// The same as a TCP endpoint.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text);

/// The endpoint to listen on. Throws boost::system::system_error that names
/// a malformed address.
boost::asio::ip::tcp::endpoint parse_listen_endpoint(std::string_view text);

} // namespace briarhub

#endif
