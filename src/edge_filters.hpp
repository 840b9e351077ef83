#ifndef BRIARHUB_EDGE_FILTERS_HPP
#define BRIARHUB_EDGE_FILTERS_HPP

/// Filter chain of the edge process: checks and classifies a request before it
/// is sent to an upstream.

#include "edge_request.hpp"
#include "edge_state.hpp"

#include <optional>

namespace briarhub
{

/// Returns the refusal of the first filter that refuses the request, or nullopt
/// if it passes all of them: policy loaded, route, account, deadline and
/// service, suspect requests, rate.
std::optional<refusal>
run_edge_filters(edge_state& state, edge_request& request);

} // namespace briarhub

#endif
