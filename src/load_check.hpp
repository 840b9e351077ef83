#ifndef BRIARHUB_LOAD_CHECK_HPP
#define BRIARHUB_LOAD_CHECK_HPP

/// Checks that an answer belongs to the request that briar-load sent. The
/// format of the answers is that of the upstream stand-in.

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

/// How a request ended for its caller.
enum class load_result
{
    ok,
    refused,    ///< Briarhub-Result or an error status
    wrong,      ///< the answer is not the one to this request
    incomplete, ///< the answer was cut, and the caller could tell
    broken,     ///< no answer: connection refused or closed
    timeout
};

std::string_view to_string(load_result result) noexcept;

/// Empty if a 200 answer belongs to the request, else what does not match.
std::string find_mismatch(
    load_class const& work,
    std::string const& account,
    load_request const& request,
    load_response const& response);

/// The code in `Briarhub-Result`, or the HTTP status where it is missing.
unsigned refusal_code(load_response const& response);

/// True if the refusal says that the request may have run or did run.
bool indicates_may_have_run(load_response const& response);

} // namespace briarhub

#endif
