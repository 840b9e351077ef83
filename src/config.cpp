#include "config.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <concepts>
#include <limits>
#include <set>
#include <type_traits>
#include <utility>

namespace briarhub
{
namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_prefix_length = 1024;
constexpr std::size_t digest_length = 64;
constexpr milliseconds max_latency_target = std::chrono::minutes{1};
constexpr milliseconds max_deadline = std::chrono::hours{1};
constexpr double min_rate = 0.001; ///< requests per second
constexpr double max_rate = 1e6;   ///< requests per second
constexpr double min_burst = 1;    ///< requests
constexpr double max_burst = 1e6;  ///< requests
constexpr double min_false_ejections = 1e-6;
constexpr double max_false_ejections = 1;

constexpr std::array<std::string_view, 6> methods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

constexpr char name_rule[] =
    "must be 1 to 64 characters of A-Z, a-z, 0-9, '_' and '-'";

/// Numbers are rounded to six decimals. Boost.JSON 1.81 may parse a decimal
/// with an error of one bit, so that without rounding a state read back from a
/// snapshot would differ from the original and VMs would diverge.
constexpr double decimals_scale = 1e6;

/// Larger numbers are outside of every valid range and are not rounded.
constexpr double max_rounded = 1e9;

double round_decimals(double value)
{
    if (!(std::abs(value) < max_rounded))
    {
        return value;
    }
    return std::round(value * decimals_scale) / decimals_scale;
}

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool is_name_character(char c)
{
    return is_alphanumeric(c) || c == '_' || c == '-';
}

bool is_path_character(char c)
{
    return is_alphanumeric(c) || std::string_view{"/-._~!$&'()*+,;=:@"}.find(
                                     c) != std::string_view::npos;
}

bool is_lower_hex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

std::string child_path(std::string const& path, std::string_view name)
{
    std::string result = path;
    if (!result.empty())
    {
        result += '.';
    }
    result += name;
    return result;
}

enum class presence
{
    required,
    optional
};

/// Reads the fields of a JSON object and collects errors with their paths.
class field_reader
{
public:
    field_reader(
        json::value const& value, std::string path, config_errors& errors)
        : m_object{value.if_object()}, m_path{std::move(path)}, m_errors{errors}
    {
        if (m_object == nullptr)
        {
            m_errors.push_back({m_path, "must be an object"});
        }
    }

    json::value const* find(std::string_view name, presence requirement)
    {
        if (m_object == nullptr)
        {
            return nullptr;
        }
        m_known_names.insert(std::string{name});
        json::value const* const value = m_object->if_contains(name);
        if (value == nullptr && requirement == presence::required)
        {
            fail(name, "is required");
        }
        return value;
    }

    void read(std::string_view name, std::string& target, presence requirement)
    {
        if (json::value const* const value = find(name, requirement))
        {
            read_text(*value, name, target);
        }
    }

    void read(std::string_view name, double& target, presence requirement)
    {
        json::value const* const value = find(name, requirement);
        if (value == nullptr)
        {
            return;
        }
        if (!value->is_number())
        {
            fail(name, "must be a number");
            return;
        }
        target = round_decimals(value->to_number<double>());
    }

    void read(std::string_view name, bool& target, presence requirement)
    {
        json::value const* const value = find(name, requirement);
        if (value == nullptr)
        {
            return;
        }
        if (!value->is_bool())
        {
            fail(name, "must be true or false");
            return;
        }
        target = value->get_bool();
    }

    void read(std::string_view name, milliseconds& target, presence requirement)
    {
        json::value const* const value = find(name, requirement);
        if (value == nullptr)
        {
            return;
        }
        if (!value->is_int64())
        {
            fail(name, "must be a whole number of milliseconds");
            return;
        }
        target = milliseconds{value->get_int64()};
    }

    void read(
        std::string_view name,
        std::vector<std::string>& target,
        presence requirement)
    {
        json::value const* const value = find(name, requirement);
        if (value == nullptr)
        {
            return;
        }
        if (!value->is_array())
        {
            fail(name, "must be a list of names");
            return;
        }
        target.clear();
        for (json::value const& item : value->get_array())
        {
            read_text(item, name, target.emplace_back());
        }
    }

    /// Reports fields of the object that no read asked for as unknown.
    void finish()
    {
        if (m_object == nullptr)
        {
            return;
        }
        for (auto const& field : *m_object)
        {
            std::string const name{field.key()};
            if (!m_known_names.contains(name))
            {
                fail(
                    name,
                    "is not a known field; allowed are: " + known_names());
            }
        }
    }

    [[nodiscard]] std::string path(std::string_view name) const
    {
        return child_path(m_path, name);
    }

private:
    void read_text(
        json::value const& value, std::string_view name, std::string& target)
    {
        if (!value.is_string())
        {
            fail(name, "must be a string");
            return;
        }
        target = std::string{value.get_string()};
    }

    void fail(std::string_view name, std::string message)
    {
        m_errors.push_back({path(name), std::move(message)});
    }

    [[nodiscard]] std::string known_names() const
    {
        std::string result;
        for (std::string const& name : m_known_names)
        {
            result += (result.empty() ? "" : ", ") + name;
        }
        return result;
    }

    json::object const* m_object;
    std::string m_path;
    config_errors& m_errors;
    std::set<std::string> m_known_names;
};

using enum presence;

void read_fields(field_reader& fields, service_config& service)
{
    fields.read("floor", service.m_floor, optional);
}

void read_fields(field_reader& fields, work_class_config& work_class)
{
    fields.read("service", work_class.m_service, required);
    fields.read("method", work_class.m_method, required);
    fields.read("path_prefix", work_class.m_path_prefix, required);
    fields.read("latency_target_ms", work_class.m_latency_target, optional);
    fields.read("success_target", work_class.m_success_target, optional);
    fields.read("deadline_ms", work_class.m_deadline, optional);
    fields.read("idempotent", work_class.m_idempotent, optional);
    fields.read("archive", work_class.m_archive, optional);
    fields.read("accounts", work_class.m_accounts, optional);
}

void read_fields(field_reader& fields, account_config& account)
{
    fields.read("rate_per_s", account.m_rate, required);
    fields.read("burst", account.m_burst, required);
}

void read_fields(field_reader& fields, key_config& key)
{
    fields.read("digest", key.m_digest, required);
    fields.read("account", key.m_account, required);
}

void read_fields(field_reader& fields, detection_config& detection)
{
    fields.read(
        "false_ejections_per_hour",
        detection.m_false_ejections_per_hour,
        optional);
}

/// Converts whole numbers to integers, which are written without an exponent
/// and are easier to read.
json::value to_json_number(double value)
{
    if (std::abs(value) < max_rounded && value == std::floor(value))
    {
        return static_cast<std::int64_t>(value);
    }
    return value;
}

json::object to_object(service_config const& service)
{
    return {{"floor", to_json_number(service.m_floor)}};
}

json::object to_object(work_class_config const& work_class)
{
    json::array accounts;
    for (account_name const& account : work_class.m_accounts)
    {
        accounts.emplace_back(account);
    }
    return {
        {"service", work_class.m_service},
        {"method", work_class.m_method},
        {"path_prefix", work_class.m_path_prefix},
        {"latency_target_ms",
         std::int64_t{work_class.m_latency_target.count()}},
        {"success_target", to_json_number(work_class.m_success_target)},
        {"deadline_ms", std::int64_t{work_class.m_deadline.count()}},
        {"idempotent", work_class.m_idempotent},
        {"archive", work_class.m_archive},
        {"accounts", std::move(accounts)}};
}

json::object to_object(account_config const& account)
{
    return {
        {"rate_per_s", to_json_number(account.m_rate)},
        {"burst", to_json_number(account.m_burst)}};
}

json::object to_object(key_config const& key)
{
    return {{"digest", key.m_digest}, {"account", key.m_account}};
}

json::object to_object(detection_config const& detection)
{
    return {
        {"false_ejections_per_hour",
         to_json_number(detection.m_false_ejections_per_hour)}};
}

std::string& name_of(service_config& service)
{
    return service.m_name;
}

std::string& name_of(work_class_config& work_class)
{
    return work_class.m_name;
}

std::string& name_of(account_config& account)
{
    return account.m_name;
}

std::string& name_of(key_config& key)
{
    return key.m_id;
}

template <class Entry>
void read_entries(
    field_reader& fields,
    std::string_view name,
    std::map<std::string, Entry>& target,
    config_errors& errors)
{
    json::value const* const value = fields.find(name, optional);
    if (value == nullptr)
    {
        return;
    }
    std::string const path = fields.path(name);
    if (!value->is_object())
    {
        errors.push_back({path, "must be an object"});
        return;
    }
    for (auto const& item : value->get_object())
    {
        std::string const key{item.key()};
        Entry& entry = target[key];
        name_of(entry) = key;
        field_reader entry_fields{item.value(), child_path(path, key), errors};
        read_fields(entry_fields, entry);
        entry_fields.finish();
    }
}

template <class Entry>
json::object to_json_entries(std::map<std::string, Entry> const& entries)
{
    json::object result;
    for (auto const& [name, entry] : entries)
    {
        result.emplace(name, to_object(entry));
    }
    return result;
}

/// Collects the errors of `validate`.
class validator
{
public:
    explicit validator(config const& configuration) : m_config{configuration}
    {
    }

    config_errors run()
    {
        for (auto const& [name, service] : m_config.m_services)
        {
            check(name, service);
        }
        for (auto const& [name, work_class] : m_config.m_work_classes)
        {
            check(name, work_class);
        }
        for (auto const& [name, account] : m_config.m_accounts)
        {
            check(name, account);
        }
        for (auto const& [id, key] : m_config.m_keys)
        {
            check(id, key);
        }
        check_range(
            "detection.false_ejections_per_hour",
            m_config.m_detection.m_false_ejections_per_hour,
            min_false_ejections,
            max_false_ejections,
            "must be from 0.000001 to 1 per upstream and hour");
        return std::move(m_errors);
    }

private:
    void require(bool valid, std::string path, std::string message)
    {
        if (!valid)
        {
            m_errors.push_back({std::move(path), std::move(message)});
        }
    }

    /// Both comparisons are false for NaN, so that NaN is rejected too.
    void check_range(
        std::string path,
        double value,
        double low,
        double high,
        std::string message)
    {
        bool const valid = value >= low && value <= high;
        require(valid, std::move(path), std::move(message));
    }

    void check(std::string const& name, service_config const& service)
    {
        std::string const path = "services." + name;
        require(is_valid_name(name), path, name_rule);
        check_range(path + ".floor", service.m_floor, 0, 1, "must be 0 to 1");
    }

    void check(std::string const& name, work_class_config const& work_class)
    {
        std::string const path = "work_classes." + name;
        require(is_valid_name(name), path, name_rule);
        require(
            m_config.m_services.contains(work_class.m_service),
            path + ".service",
            "must name a declared service");
        check_route(path, work_class);
        check_targets(path, work_class);
        require(
            work_class.m_idempotent || !work_class.m_archive,
            path + ".archive",
            "must be false where idempotent is false: an archive is "
            "requested again after a break");
        check_accounts(path + ".accounts", work_class.m_accounts);
    }

    void
    check_route(std::string const& path, work_class_config const& work_class)
    {
        require(
            std::ranges::find(methods, work_class.m_method) != methods.end(),
            path + ".method",
            "must be GET, HEAD, POST, PUT, PATCH or DELETE");
        require(
            is_valid_prefix(work_class.m_path_prefix),
            path + ".path_prefix",
            "must start with '/', have no empty, '.' or '..' segment, no "
            "'/' at its end, no query and no escape, and be at most 1024 "
            "characters");
        auto const [existing, inserted] = m_routes.emplace(
            std::pair{work_class.m_method, work_class.m_path_prefix}, path);
        require(
            inserted,
            path + ".path_prefix",
            "must differ from that of " + existing->second +
                ", which has the same method");
    }

    void
    check_targets(std::string const& path, work_class_config const& work_class)
    {
        milliseconds const target = work_class.m_latency_target;
        milliseconds const deadline = work_class.m_deadline;
        require(
            target >= milliseconds{1} && target <= max_latency_target,
            path + ".latency_target_ms",
            "must be 1 to 60000 milliseconds");
        require(
            deadline >= milliseconds{1} && deadline <= max_deadline,
            path + ".deadline_ms",
            "must be 1 to 3600000 milliseconds");
        require(
            deadline >= target,
            path + ".deadline_ms",
            "must be at least latency_target_ms");
        double const success = work_class.m_success_target;
        require(
            success > 0 && success <= 1,
            path + ".success_target",
            "must be above 0 and at most 1");
    }

    void check_accounts(
        std::string const& path, std::vector<account_name> const& accounts)
    {
        std::set<account_name> seen;
        for (account_name const& account : accounts)
        {
            require(
                m_config.m_accounts.contains(account),
                path,
                "must name declared accounts only, not '" + account + "'");
            require(
                seen.insert(account).second,
                path,
                "must name '" + account + "' once");
        }
    }

    void check(std::string const& name, account_config const& account)
    {
        std::string const path = "accounts." + name;
        require(is_valid_name(name), path, name_rule);
        check_range(
            path + ".rate_per_s",
            account.m_rate,
            min_rate,
            max_rate,
            "must be 0.001 to 1000000 requests per second");
        check_range(
            path + ".burst",
            account.m_burst,
            min_burst,
            max_burst,
            "must be 1 to 1000000 requests");
    }

    void check(std::string const& id, key_config const& key)
    {
        std::string const path = "keys." + id;
        require(is_valid_name(id), path, name_rule);
        require(
            key.m_digest.size() == digest_length &&
                std::ranges::all_of(key.m_digest, is_lower_hex),
            path + ".digest",
            "must be a SHA-256 digest of 64 lower-case hex digits");
        require(
            m_config.m_accounts.contains(key.m_account),
            path + ".account",
            "must name a declared account");
        auto const [existing, inserted] = m_digests.emplace(key.m_digest, path);
        require(
            inserted,
            path + ".digest",
            "must differ from that of " + existing->second);
    }

    /// Routing matches whole path segments, so that "/a" and "/a/" are the same
    /// route. Only the first form is valid.
    static bool is_valid_prefix(std::string const& prefix)
    {
        if (prefix == "/")
        {
            return true;
        }
        if (prefix.empty() || prefix.front() != '/' || prefix.back() == '/' ||
            prefix.size() > max_prefix_length)
        {
            return false;
        }
        std::string const slash_terminated = prefix + '/';
        return std::ranges::all_of(prefix, is_path_character) &&
               slash_terminated.find("//") == std::string::npos &&
               slash_terminated.find("/./") == std::string::npos &&
               slash_terminated.find("/../") == std::string::npos;
    }

    config const& m_config;
    config_errors m_errors;
    std::map<std::pair<std::string, std::string>, std::string> m_routes;
    std::map<std::string, std::string> m_digests;
};

template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

constexpr std::array<std::string_view, std::variant_size_v<config_operation>>
    operation_names = {
        "put_service",
        "remove_service",
        "put_work_class",
        "remove_work_class",
        "put_account",
        "remove_account",
        "put_key",
        "withdraw_key",
        "put_detection"};

/// Returns the JSON fields of an operation except "op".
json::object operation_fields(config_operation const& operation)
{
    auto const named = [](std::string const& name, json::object fields)
    {
        fields["name"] = name;
        return fields;
    };
    return std::visit(
        overloaded{
            [&](put_service const& o)
            {
                return named(o.m_service.m_name, to_object(o.m_service));
            },
            [&](put_work_class const& o)
            {
                return named(o.m_work_class.m_name, to_object(o.m_work_class));
            },
            [&](put_account const& o)
            {
                return named(o.m_account.m_name, to_object(o.m_account));
            },
            [&](put_key const& o)
            {
                return named(o.m_key.m_id, to_object(o.m_key));
            },
            [&](put_detection const& o)
            {
                return to_object(o.m_detection);
            },
            [&](withdraw_key const& o)
            {
                return named(o.m_id, {});
            },
            [&](auto const& o)
            {
                return named(o.m_name, {});
            }},
        operation);
}

void read_operation(field_reader& fields, put_service& operation)
{
    fields.read("name", operation.m_service.m_name, required);
    read_fields(fields, operation.m_service);
}

void read_operation(field_reader& fields, put_work_class& operation)
{
    fields.read("name", operation.m_work_class.m_name, required);
    read_fields(fields, operation.m_work_class);
}

void read_operation(field_reader& fields, put_account& operation)
{
    fields.read("name", operation.m_account.m_name, required);
    read_fields(fields, operation.m_account);
}

void read_operation(field_reader& fields, put_key& operation)
{
    fields.read("name", operation.m_key.m_id, required);
    read_fields(fields, operation.m_key);
}

void read_operation(field_reader& fields, put_detection& operation)
{
    read_fields(fields, operation.m_detection);
}

void read_operation(field_reader& fields, withdraw_key& operation)
{
    fields.read("name", operation.m_id, required);
}

template <class Removal>
requires requires(Removal r)
{
    r.m_name;
}
void read_operation(field_reader& fields, Removal& operation)
{
    fields.read("name", operation.m_name, required);
}

template <std::size_t Index = 0>
bool read_named_operation(
    std::string_view name, field_reader& fields, config_operation& result)
{
    if constexpr (Index < std::variant_size_v<config_operation>)
    {
        if (name == operation_names[Index])
        {
            read_operation(fields, result.emplace<Index>());
            return true;
        }
        return read_named_operation<Index + 1>(name, fields, result);
    }
    else
    {
        return false;
    }
}

std::string operation_name_list()
{
    std::string result;
    for (std::string_view const name : operation_names)
    {
        result += result.empty() ? "" : ", ";
        result += name;
    }
    return result;
}

template <class Entry, class Make>
void diff_puts(
    std::map<std::string, Entry> const& from,
    std::map<std::string, Entry> const& to,
    Make make,
    std::vector<config_operation>& result)
{
    for (auto const& [name, entry] : to)
    {
        auto const old = from.find(name);
        if (old == from.end() || old->second != entry)
        {
            result.push_back(make(entry));
        }
    }
}

template <class Removal, class Entry>
void diff_removals(
    std::map<std::string, Entry> const& from,
    std::map<std::string, Entry> const& to,
    std::vector<config_operation>& result)
{
    for (auto const& [name, entry] : from)
    {
        if (!to.contains(name))
        {
            result.push_back(Removal{name});
        }
    }
}

} // namespace

std::variant<config, config_errors> parse_config(std::string_view text)
{
    boost::system::error_code error;
    json::value const value =
        json::parse(json::string_view{text.data(), text.size()}, error);
    if (error)
    {
        return config_errors{{"", "must be JSON: " + error.message()}};
    }
    return parse_config_value(value, "");
}

std::variant<config, config_errors>
parse_config_value(json::value const& value, std::string const& path)
{
    config result;
    config_errors errors;
    field_reader fields{value, path, errors};
    read_entries(fields, "services", result.m_services, errors);
    read_entries(fields, "work_classes", result.m_work_classes, errors);
    read_entries(fields, "accounts", result.m_accounts, errors);
    read_entries(fields, "keys", result.m_keys, errors);
    if (json::value const* const entry = fields.find("detection", optional))
    {
        field_reader entry_fields{*entry, fields.path("detection"), errors};
        read_fields(entry_fields, result.m_detection);
        entry_fields.finish();
    }
    fields.finish();
    if (errors.empty())
    {
        errors = validate(result);
    }
    if (!errors.empty())
    {
        return errors;
    }
    return result;
}

json::value to_json_value(config const& configuration)
{
    return json::object{
        {"services", to_json_entries(configuration.m_services)},
        {"work_classes", to_json_entries(configuration.m_work_classes)},
        {"accounts", to_json_entries(configuration.m_accounts)},
        {"keys", to_json_entries(configuration.m_keys)},
        {"detection", to_object(configuration.m_detection)}};
}

std::string to_json_text(config const& configuration)
{
    return json::serialize(to_json_value(configuration));
}

json::value to_json(config_operation const& operation)
{
    json::object result{{"op", operation_names[operation.index()]}};
    for (auto const& field : operation_fields(operation))
    {
        result.emplace(field.key(), field.value());
    }
    return result;
}

std::variant<config_operation, config_errors>
parse_operation(json::value const& value, std::string const& path)
{
    config_errors errors;
    config_operation result;
    field_reader fields{value, path, errors};
    std::string name;
    fields.read("op", name, required);
    if (!errors.empty())
    {
        return errors;
    }
    if (!read_named_operation(name, fields, result))
    {
        std::string const allowed = operation_name_list();
        return config_errors{{fields.path("op"), "must be one of " + allowed}};
    }
    fields.finish();
    if (!errors.empty())
    {
        return errors;
    }
    return result;
}

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_length &&
           std::ranges::all_of(name, is_name_character);
}

config_errors validate(config const& configuration)
{
    return validator{configuration}.run();
}

void apply(config& configuration, config_operation const& operation)
{
    std::visit(
        overloaded{
            [&](put_service const& o)
            {
                configuration.m_services[o.m_service.m_name] = o.m_service;
            },
            [&](remove_service const& o)
            {
                configuration.m_services.erase(o.m_name);
            },
            [&](put_work_class const& o)
            {
                configuration.m_work_classes[o.m_work_class.m_name] =
                    o.m_work_class;
            },
            [&](remove_work_class const& o)
            {
                configuration.m_work_classes.erase(o.m_name);
            },
            [&](put_account const& o)
            {
                configuration.m_accounts[o.m_account.m_name] = o.m_account;
            },
            [&](remove_account const& o)
            {
                configuration.m_accounts.erase(o.m_name);
            },
            [&](put_key const& o)
            {
                configuration.m_keys[o.m_key.m_id] = o.m_key;
            },
            [&](withdraw_key const& o)
            {
                configuration.m_keys.erase(o.m_id);
            },
            [&](put_detection const& o)
            {
                configuration.m_detection = o.m_detection;
            }},
        operation);
}

std::vector<config_operation> diff(config const& from, config const& to)
{
    std::vector<config_operation> result;
    auto const service = [](service_config const& entry)
    {
        return put_service{entry};
    };
    auto const account = [](account_config const& entry)
    {
        return put_account{entry};
    };
    auto const work_class = [](work_class_config const& entry)
    {
        return put_work_class{entry};
    };
    auto const key = [](key_config const& entry)
    {
        return put_key{entry};
    };
    diff_puts(from.m_services, to.m_services, service, result);
    diff_puts(from.m_accounts, to.m_accounts, account, result);
    diff_puts(from.m_work_classes, to.m_work_classes, work_class, result);
    diff_puts(from.m_keys, to.m_keys, key, result);
    if (from.m_detection != to.m_detection)
    {
        result.push_back(put_detection{to.m_detection});
    }
    diff_removals<withdraw_key>(from.m_keys, to.m_keys, result);
    diff_removals<remove_work_class>(
        from.m_work_classes, to.m_work_classes, result);
    diff_removals<remove_account>(from.m_accounts, to.m_accounts, result);
    diff_removals<remove_service>(from.m_services, to.m_services, result);
    return result;
}

} // namespace briarhub
