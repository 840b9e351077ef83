#ifndef BRIARHUB_PARSE_NUMBER_HPP
#define BRIARHUB_PARSE_NUMBER_HPP

/// Strict parsing of numbers and IP endpoints from settings and headers.

#include <boost/asio/ip/tcp.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace briarhub
{

/// Parses the whole text as a number. Rejects an empty text, surrounding
/// spaces, a suffix, and any sign that `std::from_chars` does not accept for
/// the type.
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

/// Splits "ip:port" or "[ip6]:port"; returns nullopt for any other text.
std::optional<ip_endpoint> split_endpoint(std::string_view text);

/// Like `split_endpoint`, but returns a TCP endpoint.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text);

/// Parses a listen address. Throws boost::system::system_error with the text if
/// the address is malformed.
boost::asio::ip::tcp::endpoint parse_listen_endpoint(std::string_view text);

} // namespace briarhub

#endif
