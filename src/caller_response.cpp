#include "caller_response.hpp"

#include "http_fields.hpp"
#include "result_code.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <string>
#include <string_view>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr unsigned http_1_1 = 11;

constexpr auto internal_prefixes =
    std::to_array<std::string_view>({"Upstream-", "Briarhub-"});

bool is_internal(std::string_view name)
{
    return std::ranges::any_of(
        internal_prefixes,
        [&](std::string_view prefix)
        {
            return iequals(name.substr(0, prefix.size()), prefix);
        });
}

void set_result(http::fields& fields, result_code code)
{
    fields.set(result_code_field, std::to_string(static_cast<unsigned>(code)));
}

/// Whole seconds, at least one: callers that retry immediately would be refused
/// again.
std::string format_retry_after(duration wait)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::to_string(std::max(seconds, std::chrono::seconds{1}).count());
}

} // namespace

caller_response make_refusal(refusal const& reason)
{
    auto const& info = describe(reason.m_code);
    caller_response response;
    response.version(http_1_1);
    response.result(info.m_http_status);
    response.set(http::field::content_type, "application/json");
    set_result(response, reason.m_code);
    if (reason.m_retry_after)
    {
        response.set(
            http::field::retry_after,
            format_retry_after(*reason.m_retry_after));
    }
    response.body() = boost::json::serialize(boost::json::object{
        {"code", static_cast<unsigned>(reason.m_code)},
        {"reason", info.m_description},
        {"run", to_string(info.m_execution)}});
    response.prepare_payload();
    return response;
}

void remove_internal_fields(http::fields& fields)
{
    remove_hop_by_hop_fields(fields);
    for (auto field = fields.begin(); field != fields.end();)
    {
        bool const is_removed = is_internal(to_view(field->name_string()));
        field = is_removed ? fields.erase(field) : std::next(field);
    }
}

caller_response make_upstream_response(upstream_result&& attempt)
{
    caller_response response;
    response.base() = std::move(attempt.m_head);
    remove_internal_fields(response);
    response.version(http_1_1);
    set_result(response, result_code::ok);
    response.body() = std::move(attempt.m_body);
    response.prepare_payload();
    return response;
}

http::response_header<>
make_stream_head(http::response_header<> const& head, std::uint64_t length)
{
    http::response_header<> response = head;
    remove_internal_fields(response);
    response.version(http_1_1);
    set_result(response, result_code::ok);
    response.set(http::field::content_length, std::to_string(length));
    return response;
}

claim_outcome make_claim_outcome(
    claim_name name, claim_id id, caller_response const& response)
{
    claim_outcome outcome;
    outcome.m_name = std::move(name);
    outcome.m_claim_id = std::move(id);
    outcome.m_known = true;
    outcome.m_http_status = response.result_int();
    for (auto const& field : response)
    {
        auto const field_name = to_view(field.name_string());
        if (!is_internal(field_name))
        {
            outcome.m_headers.emplace_back(field_name, to_view(field.value()));
        }
    }
    outcome.m_body_length = response.body().size();
    outcome.m_body_stored = response.body().size() <= max_stored_body_bytes;
    if (outcome.m_body_stored)
    {
        outcome.m_body = response.body();
    }
    return outcome;
}

request_result make_stored_response(claim_outcome const& outcome)
{
    if (!outcome.m_known)
    {
        return refusal{result_code::claim_in_doubt, {}};
    }
    if (!outcome.m_body_stored)
    {
        return refusal{result_code::outcome_not_stored, {}};
    }
    caller_response response;
    response.version(http_1_1);
    response.result(outcome.m_http_status);
    for (auto const& [name, value] : outcome.m_headers)
    {
        response.insert(name, value);
    }
    set_result(response, result_code::ok);
    response.body() = outcome.m_body;
    response.prepare_payload();
    return buffered_response{std::move(response)};
}

} // namespace briarhub
