#ifndef BRIARHUB_UPSTREAM_NOTICE_HPP
#define BRIARHUB_UPSTREAM_NOTICE_HPP

/// What an upstream states about itself in the header fields of a response:
/// that it is leaving, for how long it wants no requests from this VM, and the
/// rate limit for all VMs.

#include "clock.hpp"
#include "header_names.hpp"
#include "upstream_rate_limit.hpp"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

struct upstream_notice
{
    /// The process will end and wants no further requests of any VM.
    bool m_is_leaving = false;

    /// The upstream rejected the request and wants none of this VM for so long.
    std::optional<duration> m_retry_after;

    /// Nullopt if the response tells nothing of the limit, like the error
    /// responses that leave it out.
    std::optional<rate_limit_notice> m_rate_limit;
};

/// A field whose value is ignored because it is invalid.
struct invalid_notice_field
{
    std::string m_name;
    std::string m_value;
};

struct parsed_upstream_notice
{
    upstream_notice m_notice;
    std::vector<invalid_notice_field> m_invalid_fields;
};

/// Reads the fields of a response that comes from the addressed upstream.
[[nodiscard]] parsed_upstream_notice parse_upstream_notice(
    header_names const& names,
    boost::beast::http::response_header<> const& head);

/// Parses a Retry-After in seconds, which may have a fraction. Nullopt for a
/// date and for a number that is negative, not finite or above
/// `max_upstream_retry_after`.
[[nodiscard]] std::optional<duration> parse_retry_after(std::string_view text);

inline constexpr std::chrono::hours max_upstream_retry_after{1};

} // namespace briarhub

#endif
