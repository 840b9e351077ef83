#ifndef BRIARHUB_LOAD_CHECK_HPP
#define BRIARHUB_LOAD_CHECK_HPP

/// Checks that a response belongs to the request that briar-load sent, and
/// reads the result of a refused request. Expects the response format of the
/// upstream stand-in.

#include "load_mix.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace briarhub
{

using load_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using load_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// The outcome of a request for its caller.
enum class load_result
{
    ok,
    refused,    ///< response with Briarhub-Result or an error status
    wrong,      ///< the response belongs to another request
    incomplete, ///< truncated, which the caller can detect
    broken,     ///< no response: connection refused or closed
    timeout
};

std::string_view to_string(load_result result) noexcept;

/// Empty if a 200 response belongs to the request, else the mismatch.
std::string find_mismatch(
    load_class const& work,
    std::string const& account,
    load_request const& request,
    load_response const& response);

/// The code in `Briarhub-Result`, or the HTTP status if the field is missing.
unsigned refusal_code(load_response const& response);

/// True if the refusal reports that the request ran or may have run.
bool indicates_may_have_run(load_response const& response);

} // namespace briarhub

#endif
