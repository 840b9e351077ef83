#ifndef BRIARHUB_EDGE_REQUEST_HPP
#define BRIARHUB_EDGE_REQUEST_HPP

/// A caller's request at an edge process, with the values that the filters and
/// the attempts set on it, and the types of its reply.

#include "admission.hpp"
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
    /// Never null. Shared with writes to upstreams, which need no copy.
    std::shared_ptr<std::string const> m_body =
        std::make_shared<std::string const>();
    buffer_reservation m_body_buffer; ///< space of the body
    std::string m_id;                 ///< request ID sent by the caller
    time_point m_received{};          ///< when the request was fully read
    disconnect_monitor* m_caller = nullptr;
    /// Space of the response body until it is written to the caller.
    buffer_reservation m_response_buffer;

    // Set by the filters.
    /// Policy that applies until the request ends.
    std::shared_ptr<policy_index const> m_policy;
    route_policy const* m_route = nullptr;
    account_name m_account; ///< empty if no key identifies an account
    unsigned m_priority = 0;
    service_name m_service;
    time_point m_deadline{};
    std::string m_digest; ///< SHA-256 of account, method, target and body

    // Logged when the request ends.
    boost::json::array m_attempts;
    /// Of a request that admission refused: what the decision was based on.
    std::optional<admission_basis> m_admission_basis;
    /// Of a refused request: time since the policy was known to be the newest.
    std::optional<duration> m_policy_age;
    std::string_view m_outcome = "refused";
};

/// Path of a request target without its query string.
[[nodiscard]] inline std::string_view
path_without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

using edge_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Reply to a caller: a complete response, a refusal, a response that was
/// already streamed, or one that cannot be completed.
using edge_reply =
    std::variant<edge_response, refusal, streamed_response, aborted_response>;

} // namespace briarhub

#endif
