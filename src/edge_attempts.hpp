#ifndef BRIARHUB_EDGE_ATTEMPTS_HPP
#define BRIARHUB_EDGE_ATTEMPTS_HPP

/// Runs an admitted request: upstream selection, retries within the retry
/// budget, and cancellation of slow attempts.

#include "edge_request.hpp"
#include "edge_state.hpp"
#include "upstream_exchange.hpp"

#include <boost/asio/awaitable.hpp>

namespace briarhub
{

/// Sends the request to upstreams until one serves it or no further attempt is
/// allowed. The reply is final; a refusal states correctly whether the request
/// was executed.
boost::asio::awaitable<edge_reply> run_attempts(
    edge_state& state, edge_request& request, response_stream const& stream);

} // namespace briarhub

#endif
