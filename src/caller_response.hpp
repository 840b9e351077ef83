#ifndef BRIARHUB_CALLER_RESPONSE_HPP
#define BRIARHUB_CALLER_RESPONSE_HPP

/// Builds the responses to callers from refusals, upstream responses and stored
/// claim outcomes.

#include "claim_table.hpp"
#include "request.hpp"
#include "upstream_client.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <utility>
#include <vector>

namespace briarhub
{

using caller_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Field with the result code, set on every response to a caller.
inline constexpr char const* result_code_field = "Briarhub-Result";

caller_response make_refusal(refusal const& reason);

/// Removes the fields that only the fleet and its upstreams exchange, and the
/// hop-by-hop fields.
void remove_internal_fields(boost::beast::http::fields& fields);

caller_response make_upstream_response(upstream_result&& attempt);

/// Head of a streamed response; `length` is that of the whole body.
boost::beast::http::response_header<> make_stream_head(
    boost::beast::http::response_header<> const& head, std::uint64_t length);

/// Outcome to store for the claim of a complete response.
claim_outcome make_claim_outcome(
    claim_name name, claim_id id, caller_response const& response);

/// Replays the stored response of the execution that completed the claim.
request_result make_stored_response(claim_outcome const& outcome);

} // namespace briarhub

#endif
