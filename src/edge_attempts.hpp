#ifndef BRIARHUB_EDGE_ATTEMPTS_HPP
#define BRIARHUB_EDGE_ATTEMPTS_HPP

/// Attempts of one admitted request at upstreams.

#include "edge_request.hpp"
#include "edge_state.hpp"
#include "upstream_exchange.hpp"

#include <boost/asio/awaitable.hpp>

namespace briarhub
{

/// Gives the request to upstreams until one serves it or no further one may
/// get it. The reply is final; a refusal is true about the execution.
boost::asio::awaitable<edge_reply> run_attempts(
    edge_state& state, edge_request& request, answer_stream const& stream);

} // namespace briarhub

#endif
