#ifndef BRIARHUB_EDGE_REQUEST_HPP
#define BRIARHUB_EDGE_REQUEST_HPP

/// One request of a caller at an edge process and what the filters and
/// attempts learn about it.

#include "policy_index.hpp"
#include "request.hpp"
#include "result_code.hpp"
#include "upstream_exchange.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/array.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace briarhub
{

struct edge_request
{
    boost::beast::http::request_header<> m_head;
    std::string m_body;
    std::string m_id;        ///< as the caller sent it
    time_point m_received{}; ///< when the request was complete
    caller_presence* m_caller = nullptr;

    // Set by the filters.
    /// The policy that the request is served under.
    std::shared_ptr<policy_index const> m_policy;
    route_policy const* m_route = nullptr;
    account_name m_account; ///< empty on a public route
    unsigned m_priority = 0;
    service_name m_service;
    time_point m_deadline{};
    std::string m_digest; ///< SHA-256 of account, method, target and body

    // For the log.
    boost::json::array m_attempts;
    std::string_view m_outcome = "refused";
};

/// The path of a request target, without its query.
[[nodiscard]] inline std::string_view
path_without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

using edge_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// An answer to a caller: whole, already streamed, or impossible to complete.
using edge_reply =
    std::variant<edge_response, refusal, streamed_answer, broken_answer>;

} // namespace briarhub

#endif
