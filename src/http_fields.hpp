#ifndef BRIARHUB_HTTP_FIELDS_HPP
#define BRIARHUB_HTTP_FIELDS_HPP

/// Helpers for HTTP header fields: string views and hop-by-hop fields.

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

} // namespace briarhub

#endif
