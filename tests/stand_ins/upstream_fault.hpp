#ifndef BRIARHUB_TESTS_UPSTREAM_FAULT_HPP
#define BRIARHUB_TESTS_UPSTREAM_FAULT_HPP

/// Faults that an upstream stand-in shows on command.

#include "clock.hpp"

#include <boost/json/value.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace briarhub::stand_ins
{

enum class fault_kind
{
    none,
    hang,              ///< begins the request and never answers
    slow,              ///< takes `factor` times as long
    error,             ///< runs the request and answers 500
    wrong,             ///< answers with the id of another request
    crossed,           ///< swaps answers or bodies of two running requests
    late,              ///< answers `period` after the deadline
    flap,              ///< alternates every `period` between good and 500
    reset_after,       ///< runs the request and resets the connection
    truncate,          ///< closes the connection in the middle of the body
    digest,            ///< damages the body, not its digest
    misleading_health, ///< works well, but health and load say otherwise
    cold               ///< like `slow`, for the time of a cold start
};

inline constexpr auto fault_names =
    std::to_array<std::pair<std::string_view, fault_kind>>({
        {"none", fault_kind::none},
        {"hang", fault_kind::hang},
        {"slow", fault_kind::slow},
        {"error", fault_kind::error},
        {"wrong", fault_kind::wrong},
        {"crossed", fault_kind::crossed},
        {"late", fault_kind::late},
        {"flap", fault_kind::flap},
        {"reset_after", fault_kind::reset_after},
        {"truncate", fault_kind::truncate},
        {"digest", fault_kind::digest},
        {"misleading_health", fault_kind::misleading_health},
        {"cold", fault_kind::cold},
    });

struct fault_command
{
    fault_kind m_kind = fault_kind::none;
    double m_share = 1.0;  ///< of the requests, 0 to 1
    double m_factor = 5.0; ///< for `slow` and `cold`
    std::chrono::milliseconds m_period{100};
    std::optional<std::chrono::milliseconds> m_for; ///< nullopt: until changed
    /// A request whose path or body holds this text crashes the upstream.
    std::string m_crash_on;
};

/// Reads `{"kind":"slow","share":0.5,...}`; nullopt if it is malformed.
inline std::optional<fault_command> parse_fault(boost::json::value const& value)
{
    if (!value.is_object())
    {
        return std::nullopt;
    }
    fault_command command;
    for (auto const& [name, field] : value.get_object())
    {
        boost::system::error_code error;
        if (name == "kind" && field.is_string())
        {
            std::string_view const text{field.get_string()};
            auto const* found = std::find_if(
                fault_names.begin(),
                fault_names.end(),
                [&](auto const& entry)
                {
                    return entry.first == text;
                });
            if (found == fault_names.end())
            {
                return std::nullopt;
            }
            command.m_kind = found->second;
        }
        else if (name == "crash_on" && field.is_string())
        {
            command.m_crash_on = field.get_string().c_str();
        }
        else if (name == "share")
        {
            command.m_share = field.to_number<double>(error);
        }
        else if (name == "factor")
        {
            command.m_factor = field.to_number<double>(error);
        }
        else if (name == "period_ms")
        {
            command.m_period =
                std::chrono::milliseconds{field.to_number<int>(error)};
        }
        else if (name == "for_ms")
        {
            command.m_for =
                std::chrono::milliseconds{field.to_number<int>(error)};
        }
        else
        {
            return std::nullopt;
        }
        if (error)
        {
            return std::nullopt;
        }
    }
    return command;
}

} // namespace briarhub::stand_ins

#endif
