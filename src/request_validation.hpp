#ifndef BRIARHUB_REQUEST_VALIDATION_HPP
#define BRIARHUB_REQUEST_VALIDATION_HPP

/// Validation of HTTP/1.1 request heads against request smuggling and path
/// confusion. Refuses malformed, oversized and ambiguous heads, before and
/// after the HTTP parser.

#include "result_code.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarhub
{

inline constexpr std::uint32_t max_head_bytes = 16 * 1024;
inline constexpr std::uint64_t max_body_bytes = 1024 * 1024;
inline constexpr std::size_t max_head_fields = 128;

/// Length of the head at the start of `input` including its empty line, zero
/// while it is incomplete. An invalid head is reported as soon as it is
/// detected, so that a caller that uses bare LF does not wait for the timeout.
struct head_scan
{
    std::size_t m_length = 0;
    result_code m_code = result_code::ok;
};
head_scan
scan_head(std::string_view input, std::size_t max_bytes = max_head_bytes);

/// Validates the raw bytes of a head up to and including the empty line.
/// Refuses bare LF, obsolete line folding, NUL and control characters, and
/// space before a colon. Beast's parser accepts some of these.
result_code validate_raw_head(
    std::string_view head, std::size_t max_bytes = max_head_bytes);

/// Validates a parsed head. Refuses both length fields, repeated
/// `Content-Length`, `Transfer-Encoding` other than one "chunked", repeated
/// singleton fields, and an invalid target, HTTP version, `Host` or `Expect`.
result_code validate_head(boost::beast::http::request_header<> const& head);

/// Decodes percent escapes; nullopt for an invalid escape.
std::optional<std::string> percent_decode(std::string_view text);

} // namespace briarhub

#endif
