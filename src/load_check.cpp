#include "load_check.hpp"

#include "content_digest.hpp"
#include "upstream_client.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <utility>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;

std::string hex_digest(std::string_view data)
{
    sha256_hasher hasher;
    hasher.update(data);
    return hasher.hex();
}

/// The value of a string field of a JSON object, or empty.
std::string_view
string_field(boost::json::value const& object, std::string_view name)
{
    auto const* fields = object.if_object();
    auto const* value = fields == nullptr ? nullptr : fields->if_contains(name);
    auto const* text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string_view{} : std::string_view{*text};
}

boost::json::value parse_body(load_response const& response)
{
    boost::system::error_code error;
    return boost::json::parse(response.body(), error);
}

std::string find_archive_mismatch(
    std::string const& account,
    load_request const& request,
    load_response const& response)
{
    std::string const first_line = fmt::format(
        "archive account={} path={}\n",
        account,
        std::string_view{request.target()});
    if (!response.body().starts_with(first_line))
    {
        return "archive of another account or path";
    }
    if (response[http::field::etag] !=
        fmt::format("\"{}\"", hex_digest(response.body())))
    {
        return "archive content does not match its entity tag";
    }
    return {};
}

} // namespace

std::string_view to_string(load_result result) noexcept
{
    constexpr std::array<std::string_view, 6> names{
        "ok", "refused", "wrong", "incomplete", "broken", "timeout"};
    return names[static_cast<std::size_t>(result)];
}

std::string find_mismatch(
    load_class const& work,
    std::string const& account,
    load_request const& request,
    load_response const& response)
{
    if (request.count(request_id_field) > 0 &&
        request[request_id_field] != response[request_id_field])
    {
        return "response with another request id";
    }
    if (work.m_archive)
    {
        return find_archive_mismatch(account, request, response);
    }
    auto const body = parse_body(response);
    std::array<std::pair<std::string_view, std::string>, 5> const expected{{
        {"account", account},
        {"method", std::string{request.method_string()}},
        {"path", std::string{request.target()}},
        {"idempotency_key", std::string{request["Idempotency-Key"]}},
        {"body_sha256", hex_digest(request.body())},
    }};
    for (auto const& [name, value] : expected)
    {
        if (string_field(body, name) != value)
        {
            return fmt::format(
                "{} is '{}', expected '{}'",
                name,
                string_field(body, name),
                value);
        }
    }
    return {};
}

unsigned refusal_code(load_response const& response)
{
    auto const text = response["Briarhub-Result"];
    unsigned code = 0;
    std::from_chars(text.data(), text.data() + text.size(), code);
    return code != 0 ? code : response.result_int();
}

bool indicates_may_have_run(load_response const& response)
{
    auto const run = string_field(parse_body(response), "run");
    return run == "may_have_run" || run == "ran";
}

} // namespace briarhub
