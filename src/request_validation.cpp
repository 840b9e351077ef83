#include "request_validation.hpp"

#include "http_fields.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace briarhub
{
namespace
{

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr unsigned http_1_1 = 11;

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;
constexpr unsigned char first_non_ascii = 0x80;

/// Fields that must not repeat, since parsers may differ in the value that they
/// use.
constexpr auto singleton_fields = std::to_array<std::string_view>(
    {"Host",
     "Authorization",
     "X-Api-Key",
     "Idempotency-Key",
     "Content-Type",
     "Expect"});

bool is_control(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return byte < first_printable || byte == delete_character;
}

bool is_token_character(char c)
{
    constexpr std::string_view other_token_characters = "!#$%&'*+-.^_`|~";
    bool const is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    bool const is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit ||
           other_token_characters.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

/// Accepts method, target and version, separated by single spaces, in visible
/// ASCII only.
bool is_request_line(std::string_view line)
{
    bool const is_visible = std::ranges::none_of(
        line,
        [](char c)
        {
            return is_control(c) ||
                   static_cast<unsigned char>(c) >= first_non_ascii;
        });
    if (!is_visible || std::ranges::count(line, ' ') != 2)
    {
        return false;
    }
    auto const first = line.find(' ');
    auto const second = line.rfind(' ');
    return is_token(line.substr(0, first)) && second > first + 1 &&
           second + 1 < line.size();
}

bool is_field_line(std::string_view line)
{
    auto const colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    {
        return false;
    }
    return std::ranges::none_of(
        line.substr(colon + 1),
        [](char c)
        {
            return is_control(c) && c != '\t';
        });
}

std::optional<unsigned> hex_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F')
    {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

bool is_normalized_segment(std::string_view segment)
{
    return segment != "." && segment != "..";
}

/// A request whose path the upstream resolves differently from the route match
/// would run under the wrong work class.
bool is_normalized_path(std::string_view path)
{
    auto const decoded = percent_decode(path);
    if (!decoded || std::ranges::any_of(*decoded, is_control) ||
        decoded->find('\\') != std::string::npos ||
        decoded->find("//") != std::string::npos)
    {
        return false;
    }
    // An escaped slash would change the number of segments.
    if (std::ranges::count(*decoded, '/') != std::ranges::count(path, '/'))
    {
        return false;
    }
    std::string_view remaining_path{*decoded};
    while (!remaining_path.empty())
    {
        remaining_path.remove_prefix(1);
        auto const end =
            std::min(remaining_path.find('/'), remaining_path.size());
        if (!is_normalized_segment(remaining_path.substr(0, end)))
        {
            return false;
        }
        remaining_path.remove_prefix(end);
    }
    return true;
}

bool is_origin_form(std::string_view target)
{
    if (!target.starts_with('/') || target.find('#') != std::string_view::npos)
    {
        return false;
    }
    return is_normalized_path(target.substr(0, target.find('?')));
}

bool is_decimal(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(
                                text,
                                [](char c)
                                {
                                    return c >= '0' && c <= '9';
                                });
}

/// With two length fields, two parsers may disagree about where the request
/// ends.
result_code validate_length_fields(http::request_header<> const& head)
{
    auto const lengths = head.count(http::field::content_length);
    auto const encodings = head.count(http::field::transfer_encoding);
    if (lengths + encodings > 1)
    {
        return result_code::ambiguous_length;
    }
    if (lengths == 1)
    {
        auto const value = to_view(head[http::field::content_length]);
        if (value.find(',') != std::string_view::npos)
        {
            return result_code::ambiguous_length;
        }
        return is_decimal(value) ? result_code::ok
                                 : result_code::malformed_request;
    }
    if (encodings == 1 &&
        !iequals(head[http::field::transfer_encoding], "chunked"))
    {
        return result_code::ambiguous_length;
    }
    return result_code::ok;
}

bool has_repeated_singleton_field(http::request_header<> const& head)
{
    return std::ranges::any_of(
        singleton_fields,
        [&](std::string_view name)
        {
            return head.count(name) > 1;
        });
}

} // namespace

head_scan scan_head(std::string_view input, std::size_t max_bytes)
{
    auto const end = input.find(head_end);
    if (end != std::string_view::npos && end + head_end.size() <= max_bytes)
    {
        return {.m_length = end + head_end.size()};
    }
    if (input.size() >= max_bytes)
    {
        return {.m_code = result_code::header_too_large};
    }
    for (auto at = input.find('\n'); at != std::string_view::npos;
         at = input.find('\n', at + 1))
    {
        if (at == 0 || input[at - 1] != '\r')
        {
            return {.m_code = result_code::malformed_request};
        }
    }
    return {};
}

result_code validate_raw_head(std::string_view head, std::size_t max_bytes)
{
    if (head.size() > max_bytes)
    {
        return result_code::header_too_large;
    }
    if (!head.ends_with(head_end))
    {
        return result_code::malformed_request;
    }
    head.remove_suffix(line_end.size());
    std::size_t lines = 0;
    while (!head.empty())
    {
        auto const end = head.find(line_end);
        auto const line = head.substr(0, end);
        bool const is_valid =
            lines == 0 ? is_request_line(line) : is_field_line(line);
        if (!is_valid)
        {
            return result_code::malformed_request;
        }
        head.remove_prefix(end + line_end.size());
        ++lines;
    }
    return lines > max_head_fields + 1 ? result_code::header_too_large
                                       : result_code::ok;
}

result_code validate_head(http::request_header<> const& head)
{
    if (head.version() != http_1_1)
    {
        return result_code::malformed_request;
    }
    result_code const length = validate_length_fields(head);
    if (length != result_code::ok)
    {
        return length;
    }
    if (has_repeated_singleton_field(head))
    {
        return result_code::duplicate_header;
    }
    if (head[http::field::host].empty())
    {
        return result_code::malformed_request;
    }
    auto const expect = head[http::field::expect];
    if (!expect.empty() && !iequals(expect, "100-continue"))
    {
        return result_code::malformed_request;
    }
    return is_origin_form(to_view(head.target()))
               ? result_code::ok
               : result_code::unsupported_target;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size())
        {
            return std::nullopt;
        }
        auto const high = hex_value(text[i + 1]);
        auto const low = hex_value(text[i + 2]);
        if (!high || !low)
        {
            return std::nullopt;
        }
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
    }
    return decoded;
}

} // namespace briarhub
