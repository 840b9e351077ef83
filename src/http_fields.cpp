#include "http_fields.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <string>
#include <vector>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;

constexpr auto hop_by_hop_fields = std::to_array<std::string_view>(
    {"Connection",
     "Proxy-Connection",
     "Keep-Alive",
     "Transfer-Encoding",
     "TE",
     "Trailer",
     "Upgrade",
     "Expect",
     "Proxy-Authorization",
     "Proxy-Authenticate",
     "Content-Length"});

} // namespace

void remove_hop_by_hop_fields(http::fields& fields)
{
    std::vector<std::string> connection_options;
    auto const [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field)
    {
        for (auto const& token : http::token_list{field->value()})
        {
            connection_options.emplace_back(to_view(token));
        }
    }
    for (auto const& name : connection_options)
    {
        fields.erase(name);
    }
    for (auto const name : hop_by_hop_fields)
    {
        fields.erase(name);
    }
}

} // namespace briarhub
