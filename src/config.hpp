#ifndef BRIARHUB_CONFIG_HPP
#define BRIARHUB_CONFIG_HPP

/// What operators declare: services, classes of work, client accounts, keys.

#include "types.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhub
{

struct service_config
{
    service_name m_name;
    /// Share of the service's live slots that must stay in service, 0 to 1.
    double m_floor = 0.5;

    friend bool
    operator==(service_config const&, service_config const&) = default;
};

/// A class of work and the target that the fleet answers for.
struct work_class_config
{
    work_class_name m_name;
    service_name m_service;
    std::string m_method;      ///< HTTP method, for example "GET"
    std::string m_path_prefix; ///< longest matching prefix wins
    std::chrono::milliseconds m_latency_target{500};
    double m_success_target = 0.99; ///< share of requests within the target
    std::chrono::milliseconds m_deadline{5000};
    bool m_idempotent = true; ///< false: runs at most once
    bool m_archive = false;   ///< streamed, resumed by range after a break
    /// Accounts that may use the class; empty: open to all accounts.
    std::vector<account_name> m_accounts;

    friend bool
    operator==(work_class_config const&, work_class_config const&) = default;
};

struct account_config
{
    account_name m_name;
    double m_rate = 0.0;  ///< requests per second, over all VMs
    double m_burst = 0.0; ///< requests

    friend bool
    operator==(account_config const&, account_config const&) = default;
};

/// A caller's key. Only its digest is stored.
struct key_config
{
    std::string m_id;     ///< shown to operators
    std::string m_digest; ///< lower-case hex SHA-256 of the key
    account_name m_account;

    friend bool operator==(key_config const&, key_config const&) = default;
};

/// Limits of detection, set for the whole deployment.
struct detection_config
{
    /// Healthy upstreams wrongly ejected per upstream and hour of traffic.
    double m_false_ejections_per_hour = 0.01;

    friend bool
    operator==(detection_config const&, detection_config const&) = default;
};

struct config
{
    std::map<service_name, service_config> m_services;
    std::map<work_class_name, work_class_config> m_work_classes;
    std::map<account_name, account_config> m_accounts;
    std::map<std::string, key_config> m_keys; ///< by key id
    detection_config m_detection;

    friend bool operator==(config const&, config const&) = default;
};

struct put_service
{
    service_config m_service;
};
struct remove_service
{
    service_name m_name;
};
struct put_work_class
{
    work_class_config m_work_class;
};
struct remove_work_class
{
    work_class_name m_name;
};
struct put_account
{
    account_config m_account;
};
struct remove_account
{
    account_name m_name;
};
struct put_key
{
    key_config m_key;
};
struct withdraw_key
{
    std::string m_id;
};
struct put_detection
{
    detection_config m_detection;
};

using config_operation = std::variant<
    put_service,
    remove_service,
    put_work_class,
    remove_work_class,
    put_account,
    remove_account,
    put_key,
    withdraw_key,
    put_detection>;

/// Why a configuration or an operation is refused.
struct config_error
{
    std::string m_path; ///< for example "work_classes.preview.deadline_ms"
    std::string m_message;

    friend bool operator==(config_error const&, config_error const&) = default;
};

using config_errors = std::vector<config_error>;

/// Reads and validates a configuration file (JSON). Unknown fields are errors.
std::variant<config, config_errors> parse_config(std::string_view text);

/// The same for JSON that was parsed before. `path` leads the error paths.
std::variant<config, config_errors>
parse_config_value(boost::json::value const& value, std::string const& path);

/// JSON text of a configuration with sorted names, as `parse_config` reads it.
std::string to_json_text(config const& configuration);

/// The same as a JSON value.
boost::json::value to_json_value(config const& configuration);

/// JSON of one operation for log records, and back.
boost::json::value to_json(config_operation const& operation);
std::variant<config_operation, config_errors>
parse_operation(boost::json::value const& value, std::string const& path);

/// Checks ranges and references between the parts. Empty if valid.
config_errors validate(config const& configuration);

/// True for names of services, work classes and accounts and for key ids.
bool is_valid_name(std::string_view name);

/// Applies an operation; the result still needs `validate`. Calls are best
/// qualified: a non-const operation would select `std::apply`.
void apply(config& configuration, config_operation const& operation);

/// Operations that turn `from` into `to`, removals last.
std::vector<config_operation> diff(config const& from, config const& to);

} // namespace briarhub

#endif
