#ifndef BRIARHUB_CONFIG_HPP
#define BRIARHUB_CONFIG_HPP

/// The configuration that operators declare (services, work classes, client
/// accounts, keys and detection limits): parsing, validation and differences.

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
    /// Capacity floor: fraction of the service's live slots that must stay in
    /// service, 0 to 1.
    double m_floor = 0.5;

    friend bool
    operator==(service_config const&, service_config const&) = default;
};

/// A work class: the route of its requests, their latency and success targets
/// and their retry semantics.
struct work_class_config
{
    work_class_name m_name;
    service_name m_service;
    std::string m_method;      ///< HTTP method, for example "GET"
    std::string m_path_prefix; ///< longest matching prefix wins
    std::chrono::milliseconds m_latency_target{500};
    double m_success_target = 0.99; ///< fraction of requests within target
    std::chrono::milliseconds m_deadline{5000};
    bool m_idempotent = true; ///< false: executed at most once
    bool m_archive = false;   ///< streamed; resumed by range if interrupted
    /// Accounts that may use the class; if empty, all accounts may.
    std::vector<account_name> m_accounts;

    friend bool
    operator==(work_class_config const&, work_class_config const&) = default;
};

struct account_config
{
    account_name m_name;
    double m_rate = 0.0;  ///< requests per second across all VMs
    double m_burst = 0.0; ///< maximum burst in requests

    friend bool
    operator==(account_config const&, account_config const&) = default;
};

/// A caller's API key. Only its digest is stored.
struct key_config
{
    std::string m_id;     ///< shown to operators
    std::string m_digest; ///< lower-case hex SHA-256 of the key
    account_name m_account;

    friend bool operator==(key_config const&, key_config const&) = default;
};

/// Limits of outlier detection for the whole deployment.
struct detection_config
{
    /// Accepted false ejections of a healthy upstream per hour of its traffic.
    double m_false_ejections_per_hour = 0.01;

    friend bool
    operator==(detection_config const&, detection_config const&) = default;
};

/// The complete configuration of the fleet.
struct config
{
    std::map<service_name, service_config> m_services;
    std::map<work_class_name, work_class_config> m_work_classes;
    std::map<account_name, account_config> m_accounts;
    std::map<std::string, key_config> m_keys; ///< by key id
    detection_config m_detection;

    friend bool operator==(config const&, config const&) = default;
};

// Operations of a configuration change. A put adds or replaces an entry.

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

/// Reason why a configuration or an operation is rejected.
struct config_error
{
    std::string m_path; ///< for example "work_classes.preview.deadline_ms"
    std::string m_message;

    friend bool operator==(config_error const&, config_error const&) = default;
};

using config_errors = std::vector<config_error>;

/// Parses and validates a configuration (JSON). Unknown fields are errors.
std::variant<config, config_errors> parse_config(std::string_view text);

/// Like `parse_config`, for parsed JSON. `path` is the prefix of the error
/// paths.
std::variant<config, config_errors>
parse_config_value(boost::json::value const& value, std::string const& path);

/// Serializes a configuration as JSON with sorted names for `parse_config`.
std::string to_json_text(config const& configuration);

/// Like `to_json_text`, but returns a JSON value.
boost::json::value to_json_value(config const& configuration);

/// Converts an operation to the JSON stored in log records, and back.
boost::json::value to_json(config_operation const& operation);
std::variant<config_operation, config_errors>
parse_operation(boost::json::value const& value, std::string const& path);

/// Checks value ranges and references between entries. Returns an empty list if
/// the configuration is valid.
config_errors validate(config const& configuration);

/// Whether the text is a valid name of a service, work class or account, or a
/// valid key id.
bool is_valid_name(std::string_view name);

/// Applies an operation without validating the result. Qualify calls with the
/// namespace: for a non-const operation `std::apply` is the better overload.
void apply(config& configuration, config_operation const& operation);

/// Returns the operations that turn `from` into `to`, with removals last.
std::vector<config_operation> diff(config const& from, config const& to);

} // namespace briarhub

#endif
