#include "settings.hpp"

#include "parse_number.hpp"

#include <boost/asio/ip/address.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <optional>
#include <span>

namespace briarhub
{
namespace
{

/// Parses and stores a value. Returns an empty string if the value is valid,
/// otherwise an error message that states the allowed values.
using store_function = std::string (*)(settings&, std::string const&);

struct setting
{
    std::string_view m_flag;
    std::string_view m_variable;
    std::string_view m_default; ///< empty if the setting is required
    std::string_view m_help;
    store_function m_store;
};

constexpr std::size_t min_admin_token_length = 8;

std::string store_name(std::string& target, std::string const& text)
{
    auto const is_allowed = [](unsigned char c)
    {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    if (text.empty() || text.size() > 64 ||
        !std::ranges::all_of(text, is_allowed))
    {
        return "must be 1 to 64 letters, digits, '-', '_' or '.'";
    }
    target = text;
    return {};
}

std::string store_address(endpoint_address& target, std::string const& text)
{
    if (!split_endpoint(text))
    {
        return "must be ip:port, for example 127.0.0.1:8080";
    }
    target = text;
    return {};
}

template <class Duration>
std::string store_duration(
    Duration& target, std::string const& text, Duration low, Duration high)
{
    auto const count = parse_number<typename Duration::rep>(text);
    if (!count || *count < low.count() || *count > high.count())
    {
        return fmt::format(
            "must be a whole number from {} to {}", low.count(), high.count());
    }
    target = Duration{*count};
    return {};
}

std::string store_count(
    std::uint32_t& target,
    std::string const& text,
    std::uint32_t low,
    std::uint32_t high)
{
    auto const count = parse_number<std::uint32_t>(text);
    if (!count || *count < low || *count > high)
    {
        return fmt::format("must be a whole number from {} to {}", low, high);
    }
    target = *count;
    return {};
}

std::string store_log_format(settings& target, std::string const& text)
{
    if (text != "text" && text != "json")
    {
        return "must be text or json";
    }
    target.m_log_format = text == "json" ? log_format::json : log_format::text;
    return {};
}

std::string store_log_level(settings& target, std::string const& text)
{
    constexpr std::array<std::string_view, 5> levels{
        "debug", "info", "warn", "error", "off"};
    if (std::ranges::find(levels, text) == levels.end())
    {
        return "must be debug, info, warn, error or off";
    }
    target.m_log_level = text;
    return {};
}

std::string store_admin_token(settings& target, std::string const& text)
{
    if (text.size() < min_admin_token_length)
    {
        return fmt::format(
            "must have at least {} characters", min_admin_token_length);
    }
    target.m_admin_token = text;
    return {};
}

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<setting, 15> all_settings{{
    {"vm-id",
     "BRIARHUB_VM_ID",
     "",
     "id of this VM in the platform's VM list",
     [](settings& s, std::string const& text)
     {
         return store_name(s.m_vm, text);
     }},
    {"failure-domain",
     "BRIARHUB_FAILURE_DOMAIN",
     "",
     "failure domain of this VM",
     [](settings& s, std::string const& text)
     {
         return store_name(s.m_failure_domain, text);
     }},
    {"listen",
     "BRIARHUB_LISTEN",
     "",
     "address for callers, ip:port",
     [](settings& s, std::string const& text)
     {
         return store_address(s.m_listen, text);
     }},
    {"peer-listen",
     "BRIARHUB_PEER_LISTEN",
     "",
     "address for other entry processes, ip:port",
     [](settings& s, std::string const& text)
     {
         return store_address(s.m_peer_listen, text);
     }},
    {"admin-listen",
     "BRIARHUB_ADMIN_LISTEN",
     "",
     "address for operators and metrics, ip:port",
     [](settings& s, std::string const& text)
     {
         return store_address(s.m_admin_listen, text);
     }},
    {"platform",
     "BRIARHUB_PLATFORM",
     "",
     "address of the platform's service, ip:port",
     [](settings& s, std::string const& text)
     {
         return store_address(s.m_platform, text);
     }},
    {"admin-token",
     "BRIARHUB_ADMIN_TOKEN",
     "",
     "token of the admin API; prefer the variable",
     store_admin_token},
    {"log-format",
     "BRIARHUB_LOG_FORMAT",
     "text",
     "text or json",
     store_log_format},
    {"log-level",
     "BRIARHUB_LOG_LEVEL",
     "info",
     "debug, info, warn, error or off",
     store_log_level},
    {"max-connections",
     "BRIARHUB_MAX_CONNECTIONS",
     "4096",
     "concurrent caller connections, 1 to 100000",
     [](settings& s, std::string const& text)
     {
         return store_count(s.m_max_connections, text, 1, 100'000);
     }},
    {"memory-limit-mb",
     "BRIARHUB_MEMORY_LIMIT_MB",
     "512",
     "memory of the process in MB, 16 to 1000000; requests use up to half",
     [](settings& s, std::string const& text)
     {
         return store_count(s.m_memory_limit_mb, text, 16, 1'000'000);
     }},
    {"platform-timeout-ms",
     "BRIARHUB_PLATFORM_TIMEOUT_MS",
     "2000",
     "timeout of a platform request in ms, 50 to 60000",
     [](settings& s, std::string const& text)
     {
         return store_duration(
             s.m_platform_timeout,
             text,
             milliseconds{50},
             milliseconds{60'000});
     }},
    {"caller-timeout-ms",
     "BRIARHUB_CALLER_TIMEOUT_MS",
     "10000",
     "timeout for receiving a complete request in ms, 10 to 600000",
     [](settings& s, std::string const& text)
     {
         return store_duration(
             s.m_caller_timeout, text, milliseconds{10}, milliseconds{600'000});
     }},
    {"shutdown-timeout-ms",
     "BRIARHUB_SHUTDOWN_TIMEOUT_MS",
     "30000",
     "timeout of a graceful shutdown in ms, 0 to 3600000",
     [](settings& s, std::string const& text)
     {
         return store_duration(
             s.m_shutdown_timeout,
             text,
             milliseconds{0},
             milliseconds{3'600'000});
     }},
    {"log-retention-s",
     "BRIARHUB_LOG_RETENTION_S",
     "86400",
     "retention time of the platform's log in s, 60 to 31536000",
     [](settings& s, std::string const& text)
     {
         return store_duration(
             s.m_log_retention, text, seconds{60}, seconds{31'536'000});
     }},
}};

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "briarhub", "Entry process of a briarhub proxy fleet.\n"};
    auto add = options.add_options();
    for (auto const& entry : all_settings)
    {
        std::string help =
            fmt::format("{} [{}]", entry.m_help, entry.m_variable);
        if (!entry.m_default.empty())
        {
            help += fmt::format(" (default: {})", entry.m_default);
        }
        add(std::string{entry.m_flag}, help, cxxopts::value<std::string>());
    }
    add("help", "print this text");
    add("version", "print the version");
    return options;
}

/// Returns the value of the flag, the environment variable or the default, in
/// this order of precedence.
std::string find_value(cxxopts::ParseResult const& flags, setting const& entry)
{
    std::string const flag{entry.m_flag};
    if (flags.count(flag) > 0)
    {
        return flags[flag].as<std::string>();
    }
    char const* const variable = std::getenv(entry.m_variable.data());
    return std::string{variable != nullptr ? variable : entry.m_default};
}

settings_error make_error(setting const& entry, std::string message)
{
    return settings_error{
        fmt::format("--{} ({})", entry.m_flag, entry.m_variable),
        std::move(message)};
}

std::variant<settings, settings_help, settings_error>
store_all(cxxopts::ParseResult const& flags)
{
    settings result;
    for (auto const& entry : all_settings)
    {
        std::string const text = find_value(flags, entry);
        if (text.empty())
        {
            return make_error(entry, "is required");
        }
        std::string error_message = entry.m_store(result, text);
        if (!error_message.empty())
        {
            return make_error(entry, std::move(error_message));
        }
    }
    return result;
}

} // namespace

std::variant<settings, settings_help, settings_error>
read_settings(int argc, char const* const* argv)
{
    cxxopts::Options options = make_options();
    try
    {
        auto const flags = options.parse(argc, argv);
        if (flags.count("help") > 0)
        {
            return settings_help{options.help()};
        }
        if (flags.count("version") > 0)
        {
            return settings_help{"briarhub " BRIARHUB_VERSION "\n"};
        }
        if (!flags.unmatched().empty())
        {
            return settings_error{
                "command line",
                "unexpected argument " + flags.unmatched().front()};
        }
        return store_all(flags);
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        return settings_error{"command line", error.what()};
    }
}

} // namespace briarhub
