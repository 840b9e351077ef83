#include "upstream_notice.hpp"

#include "http_fields.hpp"
#include "parse_number.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

#include <cmath>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;

constexpr std::string_view leaving_value = "1";

/// Reads the single value of a field with `parse`. Adds the field to `invalid`
/// if it occurs more than once or does not parse.
template <class Parse>
auto read_field(
    http::response_header<> const& head,
    std::string_view name,
    Parse parse,
    std::vector<invalid_notice_field>& invalid)
    -> decltype(parse(std::string_view{}))
{
    auto const count = head.count(name);
    if (count == 0)
    {
        return std::nullopt;
    }
    auto const text = to_view(head[name]);
    auto const value = count == 1 ? parse(text) : std::nullopt;
    if (!value)
    {
        invalid.push_back({std::string{name}, std::string{text}});
    }
    return value;
}

std::optional<bool> parse_leaving(std::string_view text)
{
    return text == leaving_value ? std::optional{true} : std::nullopt;
}

} // namespace

std::optional<duration> parse_retry_after(std::string_view text)
{
    auto const value = parse_number<double>(text);
    if (!value || !std::isfinite(*value) || *value < 0.0)
    {
        return std::nullopt;
    }
    std::chrono::duration<double> const wait{*value};
    if (wait > max_upstream_retry_after)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(wait);
}

parsed_upstream_notice parse_upstream_notice(
    header_names const& names, http::response_header<> const& head)
{
    parsed_upstream_notice result;
    auto& notice = result.m_notice;
    auto& invalid = result.m_invalid_fields;
    notice.m_is_leaving =
        read_field(head, names.m_leaving, parse_leaving, invalid)
            .value_or(false);
    if (head.result() == http::status::service_unavailable)
    {
        auto const name = http::to_string(http::field::retry_after);
        notice.m_retry_after = read_field(
            head, {name.data(), name.size()}, parse_retry_after, invalid);
    }
    auto const limit =
        read_field(head, names.m_rate_limit, parse_rate_limit, invalid);
    // A successful response without the field shows the end of a limit.
    bool const shows_no_limit =
        head.count(names.m_rate_limit) == 0 &&
        http::to_status_class(head.result()) == http::status_class::successful;
    if (limit || shows_no_limit)
    {
        notice.m_rate_limit = rate_limit_notice{limit};
    }
    return result;
}

} // namespace briarhub
