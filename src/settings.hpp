#ifndef BRIARHUB_SETTINGS_HPP
#define BRIARHUB_SETTINGS_HPP

/// Start-up settings of the entry process, read from command line flags and
/// environment variables.

#include "types.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhub
{

enum class log_format
{
    text,
    json
};

struct settings
{
    vm_id m_vm;
    failure_domain m_failure_domain;
    endpoint_address m_listen;       ///< for callers
    endpoint_address m_peer_listen;  ///< for other entry processes
    endpoint_address m_admin_listen; ///< for operators and metrics
    endpoint_address m_platform;
    std::string m_admin_token;
    log_format m_log_format = log_format::text;
    std::string m_log_level = "info";
    std::uint32_t m_max_connections = 4096;
    std::uint32_t m_memory_limit_mb = 512; ///< 10^6 bytes, of the process
    std::chrono::milliseconds m_platform_timeout{2000};
    std::chrono::milliseconds m_caller_timeout{10000};
    std::chrono::milliseconds m_shutdown_timeout{30000};
    /// Retention time of the platform's log, on which claims and snapshots
    /// rely.
    std::chrono::seconds m_log_retention{86400};
};

struct settings_error
{
    std::string m_setting; ///< flag and environment variable
    std::string m_message;
};

/// Text to print for `--help` or `--version`; the process then exits with 0.
struct settings_help
{
    std::string m_text;
};

/// Reads `--name value` or `BRIARHUB_NAME`. A flag takes precedence over the
/// environment variable.
std::variant<settings, settings_help, settings_error>
read_settings(int argc, char const* const* argv);

} // namespace briarhub

#endif
