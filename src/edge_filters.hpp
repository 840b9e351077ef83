#ifndef BRIARHUB_EDGE_FILTERS_HPP
#define BRIARHUB_EDGE_FILTERS_HPP

/// The filters that a request passes before it is given to an upstream.

#include "edge_request.hpp"
#include "edge_state.hpp"

#include <optional>

namespace briarhub
{

/// The refusal that ends the request, or nothing if it passes all filters:
/// policy known, route, account, deadline, suspects, rate.
std::optional<refusal>
run_edge_filters(edge_state& state, edge_request& request);

} // namespace briarhub

#endif
