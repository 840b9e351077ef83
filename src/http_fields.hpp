#ifndef BRIARHUB_HTTP_FIELDS_HPP
#define BRIARHUB_HTTP_FIELDS_HPP

/// Helpers for HTTP heads: string views, hop-by-hop fields and status codes.

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace briarhub
{

[[nodiscard]] inline std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Removes the hop-by-hop fields, those that the Connection field lists, and
/// `Content-Length`, which is set anew for the next hop.
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

/// True for the status of a final response. The parser accepts every three
/// digits; a status of no class tells a caller nothing about its request.
[[nodiscard]] constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first_final_status = 200;
    constexpr unsigned last_final_status = 599;
    return status >= first_final_status && status <= last_final_status;
}

} // namespace briarhub

#endif
