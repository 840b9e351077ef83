#ifndef BRIARHUB_HTTP_FIELDS_HPP
#define BRIARHUB_HTTP_FIELDS_HPP

/// Text of HTTP messages and the fields that hold for one connection only.

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace briarhub
{

[[nodiscard]] inline std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Removes the fields that concern one connection only, with those that the
/// message's Connection field lists.
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

} // namespace briarhub

#endif
