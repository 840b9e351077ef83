#ifndef BRIARHUB_CALLER_RESPONSE_HPP
#define BRIARHUB_CALLER_RESPONSE_HPP

/// Answers to callers: refusals, upstreams' answers, stored answers.

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

/// Names the result code of every answer to a caller.
inline constexpr char const* result_code_field = "Briarhub-Result";

caller_response make_refusal(refusal const& reason);

/// Removes fields that only fleet and upstreams exchange and fields that hold
/// for one connection only.
void remove_internal_fields(boost::beast::http::fields& fields);

caller_response make_upstream_response(upstream_attempt&& attempt);

/// The head of a streamed answer with the length of the whole body.
boost::beast::http::response_header<> make_stream_head(
    boost::beast::http::response_header<> const& head, std::uint64_t length);

/// The outcome to store for an answer that is complete.
claim_outcome make_claim_outcome(
    claim_name name, claim_author author, caller_response const& response);

/// The answer of the run that holds the claim.
request_result make_stored_response(claim_outcome const& outcome);

} // namespace briarhub

#endif
