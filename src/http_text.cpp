#include "http_text.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <string>
#include <vector>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;

constexpr auto connection_fields = std::to_array<std::string_view>(
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

void remove_connection_fields(http::fields& fields)
{
    std::vector<std::string> listed;
    auto const [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field)
    {
        for (auto const& token : http::token_list{field->value()})
        {
            listed.emplace_back(to_view(token));
        }
    }
    for (auto const& name : listed)
    {
        fields.erase(name);
    }
    for (auto const name : connection_fields)
    {
        fields.erase(name);
    }
}

} // namespace briarhub
