/// briarctl, the command line tool for operators. It uses the admin API of any
/// entry process and analyzes log files of edge processes.

#include "admin_client.hpp"
#include "caller_key.hpp"
#include "clock.hpp"
#include "config.hpp"
#include "idempotency_key.hpp"
#include "log_analysis.hpp"
#include "result_code.hpp"
#include "table_printer.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace briarhub
{
namespace
{

namespace json = boost::json;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr int exit_invalid = 4;
constexpr int exit_conflict = 5;
constexpr int exit_unconfirmed = 6;

constexpr std::chrono::seconds request_timeout{10};
constexpr std::chrono::seconds watch_interval{2};
constexpr std::size_t key_bytes = 24;

constexpr unsigned http_accepted = 202;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_unprocessable = 422;

constexpr std::string_view usage = R"(usage: briarctl [options] COMMAND

Configuration:
  validate FILE            check a configuration file locally
  diff FILE                list the operations that turn the fleet's
                           configuration into the file; keys missing from the
                           file are kept
  apply FILE               append these operations as one change
  show                     print the active configuration
  change ID                print the result of a change
Keys:
  key issue ACCOUNT        create a key, print it once, publish its digest
  key withdraw ID          withdraw a key permanently
Status:
  status members           entry VMs, their reachability and versions
  status upstreams         health of each upstream and reasons for ejection
  status accounts          rate shares of each client account on the queried VM
  status queues            queued and running requests for each service
  status in-doubt          non-idempotent requests whose outcome is unknown
  watch TOPIC              print a status topic repeatedly
  codes                    print the table of result codes
Logs of edge processes:
  explain ID FILE...       trace one request through the logs of several VMs
  logs summary FILE...     request counts by outcome, account, upstream, second

Exit codes: 0 success, 1 failed, 2 usage, 3 unreachable, 4 invalid, 5 conflict,
6 appended but not confirmed yet (look it up with `change ID`).

)";

struct cli
{
    admin_client m_client;
    bool m_json = false;
    std::vector<std::string> m_arguments;
};

using response_or_error = std::variant<admin_response, admin_unreachable>;

int print_unreachable(admin_unreachable const& error)
{
    std::cerr << "briarctl: entry process unreachable: " << error.m_message
              << '\n';
    return exit_unreachable;
}

void print_errors(config_errors const& errors)
{
    for (auto const& error : errors)
    {
        std::cerr << error.m_path << ": " << error.m_message << '\n';
    }
}

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        std::cerr << "briarctl: cannot read " << path << '\n';
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/// Reads a valid configuration from a file; prints errors and returns nullopt
/// if there are any.
std::optional<config> read_config(std::string const& path)
{
    auto const text = read_file(path);
    if (!text)
    {
        return std::nullopt;
    }
    auto parsed = parse_config(*text);
    if (auto const* errors = std::get_if<config_errors>(&parsed))
    {
        print_errors(*errors);
        return std::nullopt;
    }
    config configuration = std::get<config>(std::move(parsed));
    config_errors const errors = validate(configuration);
    if (!errors.empty())
    {
        print_errors(errors);
        return std::nullopt;
    }
    return configuration;
}

int exit_code_of(unsigned http_status)
{
    switch (http_status)
    {
    case 200:
        return exit_ok;
    case http_accepted:
        return exit_unconfirmed;
    case http_conflict:
        return exit_conflict;
    case http_unprocessable:
        return exit_invalid;
    default:
        return exit_failed;
    }
}

int print_response(response_or_error const& result)
{
    if (auto const* error = std::get_if<admin_unreachable>(&result))
    {
        return print_unreachable(*error);
    }
    auto const& response = std::get<admin_response>(result);
    std::cout << json::serialize(response.m_body) << '\n';
    return exit_code_of(response.m_http_status);
}

/// The active configuration of the fleet and its version.
struct fleet_config
{
    config m_config;
    config_version m_version = 0;
};

std::variant<fleet_config, int> fetch_config(cli const& tool)
{
    auto const result = tool.m_client.get("/api/v1/config");
    auto const* response = std::get_if<admin_response>(&result);
    if (response == nullptr || response->m_http_status != 200)
    {
        return print_response(result);
    }
    auto const& body = response->m_body.as_object();
    auto parsed = parse_config(json::serialize(body.at("config")));
    if (auto const* errors = std::get_if<config_errors>(&parsed))
    {
        print_errors(*errors);
        return exit_failed;
    }
    return fleet_config{
        std::get<config>(std::move(parsed)),
        body.at("config_version").to_number<config_version>()};
}

/// Operations that turn `from` into the file's configuration. Keys that are not
/// in the file are kept, since issuing a key does not change the file.
std::vector<config_operation> file_operations(config const& from, config to)
{
    for (auto const& [id, key] : from.m_keys)
    {
        to.m_keys.try_emplace(id, key);
    }
    return diff(from, to);
}

json::array to_json(std::vector<config_operation> const& operations)
{
    json::array list;
    for (auto const& operation : operations)
    {
        list.push_back(briarhub::to_json(operation));
    }
    return list;
}

int submit_change(
    cli const& tool,
    config_version parent,
    std::vector<config_operation> const& operations)
{
    std::string const change_id = make_uuid_v7(wall_now());
    json::object const change{
        {"change_id", change_id},
        {"parent", parent},
        {"operations", to_json(operations)}};
    auto const result = tool.m_client.post("/api/v1/changes", change);
    if (!std::holds_alternative<admin_response>(result))
    {
        std::cerr
            << "briarctl: result unknown; look it up with: briarctl change "
            << change_id << '\n';
    }
    return print_response(result);
}

struct planned_change
{
    config_version m_parent = 0;
    std::vector<config_operation> m_operations;
};

std::variant<planned_change, int> plan(cli const& tool, std::string const& path)
{
    auto desired = read_config(path);
    if (!desired)
    {
        return exit_invalid;
    }
    auto current = fetch_config(tool);
    if (auto const* code = std::get_if<int>(&current))
    {
        return *code;
    }
    auto const& fleet = std::get<fleet_config>(current);
    return planned_change{
        fleet.m_version, file_operations(fleet.m_config, std::move(*desired))};
}

int run_validate(cli const& tool)
{
    if (!read_config(tool.m_arguments.at(1)))
    {
        return exit_invalid;
    }
    std::cout << "valid\n";
    return exit_ok;
}

int run_diff(cli const& tool)
{
    auto const planned = plan(tool, tool.m_arguments.at(1));
    if (auto const* code = std::get_if<int>(&planned))
    {
        return *code;
    }
    for (auto const& operation : std::get<planned_change>(planned).m_operations)
    {
        std::cout << json::serialize(briarhub::to_json(operation)) << '\n';
    }
    return exit_ok;
}

int run_apply(cli const& tool)
{
    auto const planned = plan(tool, tool.m_arguments.at(1));
    if (auto const* code = std::get_if<int>(&planned))
    {
        return *code;
    }
    auto const& change = std::get<planned_change>(planned);
    if (change.m_operations.empty())
    {
        std::cout << R"({"unchanged":true})" << '\n';
        return exit_ok;
    }
    return submit_change(tool, change.m_parent, change.m_operations);
}

int run_show(cli const& tool)
{
    auto const current = fetch_config(tool);
    if (auto const* code = std::get_if<int>(&current))
    {
        return *code;
    }
    std::cout << to_json_text(std::get<fleet_config>(current).m_config) << '\n';
    return exit_ok;
}

int run_change(cli const& tool)
{
    return print_response(
        tool.m_client.get("/api/v1/changes/" + tool.m_arguments.at(1)));
}

std::string make_key()
{
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    {
        std::cerr << "briarctl: random number generator failed\n";
        std::exit(exit_failed);
    }
    std::string text = "bh_";
    for (unsigned char const byte : bytes)
    {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

int run_key_issue(cli const& tool)
{
    auto const current = fetch_config(tool);
    if (auto const* code = std::get_if<int>(&current))
    {
        return *code;
    }
    std::string const key = make_key();
    key_config new_key;
    new_key.m_id = make_uuid_v7(wall_now());
    new_key.m_digest = sha256_hex(key);
    new_key.m_account = tool.m_arguments.at(2);
    int const code = submit_change(
        tool, std::get<fleet_config>(current).m_version, {put_key{new_key}});
    if (code == exit_ok || code == exit_unconfirmed)
    {
        std::cout << json::serialize(
                         json::object{{"key_id", new_key.m_id}, {"key", key}})
                  << '\n';
    }
    return code;
}

int run_key_withdraw(cli const& tool)
{
    // Withdrawals ignore the parent version, so none is fetched.
    return submit_change(tool, 0, {withdraw_key{tool.m_arguments.at(2)}});
}

int run_key(cli const& tool)
{
    if (tool.m_arguments.at(1) == "issue")
    {
        return run_key_issue(tool);
    }
    if (tool.m_arguments.at(1) == "withdraw")
    {
        return run_key_withdraw(tool);
    }
    std::cerr << usage;
    return exit_usage;
}

std::optional<std::string> topic_path(std::string const& topic)
{
    static std::map<std::string, std::string> const paths{
        {"members", "/api/v1/members"},
        {"upstreams", "/api/v1/upstreams"},
        {"accounts", "/api/v1/accounts"},
        {"queues", "/api/v1/queues"},
        {"in-doubt", "/api/v1/in-doubt"}};
    auto const found = paths.find(topic);
    if (found == paths.end())
    {
        std::cerr << "briarctl: unknown topic " << topic << '\n';
        return std::nullopt;
    }
    return found->second;
}

int show_topic(cli const& tool, std::string const& path)
{
    auto const result = tool.m_client.get(path);
    auto const* response = std::get_if<admin_response>(&result);
    if (response == nullptr || response->m_http_status != 200 || tool.m_json)
    {
        return print_response(result);
    }
    std::cout << format_table(response->m_body);
    return exit_ok;
}

int run_status(cli const& tool)
{
    auto const path = topic_path(tool.m_arguments.at(1));
    return path ? show_topic(tool, *path) : exit_usage;
}

int run_watch(cli const& tool)
{
    auto const path = topic_path(tool.m_arguments.at(1));
    if (!path)
    {
        return exit_usage;
    }
    for (;;)
    {
        int const code = show_topic(tool, *path);
        if (code == exit_unreachable)
        {
            return code;
        }
        std::cout << std::endl;
        std::this_thread::sleep_for(watch_interval);
    }
}

int run_codes(cli const& /*tool*/)
{
    std::cout << result_table();
    return exit_ok;
}

void print_counts(line_counts const& counts, std::string const& file)
{
    std::cerr << fmt::format(
        "{}: {} lines, {} skipped, {} suppressed by the processes\n",
        file,
        counts.m_lines,
        counts.m_skipped,
        counts.m_suppressed);
}

/// Opens each file named in the arguments from `first` on and calls `read`.
/// Returns false if a file cannot be opened.
template <class Read>
bool read_files(cli const& tool, std::size_t first, Read read)
{
    for (std::size_t i = first; i < tool.m_arguments.size(); ++i)
    {
        std::ifstream file{tool.m_arguments[i]};
        if (!file)
        {
            std::cerr << "briarctl: cannot read " << tool.m_arguments[i]
                      << '\n';
            return false;
        }
        read(file, tool.m_arguments[i]);
    }
    return true;
}

int run_explain(cli const& tool)
{
    constexpr std::size_t first_file = 2;
    request_trace story{tool.m_arguments[1]};
    bool const is_read = read_files(
                             tool,
                             first_file,
                             [&](std::istream& file, std::string const& name)
                             {
                                 print_counts(story.find_request(file), name);
                             }) &&
                         read_files(
                             tool,
                             first_file,
                             [&](std::istream& file, std::string const&)
                             {
                                 story.find_context(file);
                             });
    if (!is_read)
    {
        return exit_failed;
    }
    for (auto const& line : story.lines())
    {
        std::cout << line.m_raw_line << '\n';
    }
    return story.lines().empty() ? exit_failed : exit_ok;
}

int run_logs(cli const& tool)
{
    constexpr std::size_t first_file = 2;
    constexpr std::size_t rows = 20;
    if (tool.m_arguments[1] != "summary")
    {
        std::cerr << usage;
        return exit_usage;
    }
    log_summary summary;
    bool const is_read = read_files(
        tool,
        first_file,
        [&](std::istream& file, std::string const& name)
        {
            print_counts(summary.read(file), name);
        });
    if (!is_read)
    {
        return exit_failed;
    }
    std::cout << summary.to_text(rows);
    return exit_ok;
}

struct command
{
    std::string_view m_name;
    std::size_t m_argument_count; ///< includes the command name
    int (*m_run)(cli const&);
    bool m_allows_extra = false; ///< further arguments may follow
};

constexpr std::array<command, 11> commands{{
    {"validate", 2, run_validate},
    {"diff", 2, run_diff},
    {"apply", 2, run_apply},
    {"show", 1, run_show},
    {"change", 2, run_change},
    {"key", 3, run_key},
    {"status", 2, run_status},
    {"watch", 2, run_watch},
    {"codes", 1, run_codes},
    {"explain", 3, run_explain, true},
    {"logs", 3, run_logs, true},
}};

int run_command(cli const& tool)
{
    for (auto const& entry : commands)
    {
        bool const name_matches = !tool.m_arguments.empty() &&
                                  tool.m_arguments.front() == entry.m_name;
        std::size_t const argument_count = tool.m_arguments.size();
        bool const count_matches =
            argument_count == entry.m_argument_count ||
            (entry.m_allows_extra && argument_count > entry.m_argument_count);
        if (name_matches && count_matches)
        {
            return entry.m_run(tool);
        }
    }
    std::cerr << usage;
    return exit_usage;
}

std::string environment_or(char const* name, char const* fallback)
{
    char const* const value = std::getenv(name);
    return value != nullptr ? value : fallback;
}

int run(int argc, char** argv)
{
    cxxopts::Options options{"briarctl"};
    options.add_options()(
        "admin",
        "admin address of an entry process [BRIARHUB_ADMIN]",
        cxxopts::value<std::string>()->default_value(
            environment_or("BRIARHUB_ADMIN", "127.0.0.1:9100")))(
        "token",
        "admin token [BRIARHUB_ADMIN_TOKEN]",
        cxxopts::value<std::string>()->default_value(
            environment_or("BRIARHUB_ADMIN_TOKEN", "")))(
        "json", "print JSON instead of tables")("help", "print this text")(
        "version", "print the version")(
        "arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("arguments");
    auto const flags = options.parse(argc, argv);
    if (flags.count("help") > 0)
    {
        std::cout << usage
                  << "Options:\n"
                     "  --admin IP:PORT  admin address of any entry process "
                     "[BRIARHUB_ADMIN] (default: 127.0.0.1:9100)\n"
                     "  --token TEXT     admin token "
                     "[BRIARHUB_ADMIN_TOKEN]\n"
                     "  --json           print JSON instead of tables\n"
                     "  --version        print the version\n";
        return exit_ok;
    }
    if (flags.count("version") > 0)
    {
        std::cout << "briarctl " BRIARHUB_VERSION "\n";
        return exit_ok;
    }
    cli tool{
        admin_client{
            flags["admin"].as<std::string>(),
            flags["token"].as<std::string>(),
            request_timeout},
        flags.count("json") > 0,
        {}};
    if (flags.count("arguments") > 0)
    {
        tool.m_arguments = flags["arguments"].as<std::vector<std::string>>();
    }
    return run_command(tool);
}

} // namespace
} // namespace briarhub

int main(int argc, char** argv)
{
    try
    {
        return briarhub::run(argc, argv);
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << "briarctl: " << error.what() << '\n';
        return briarhub::exit_usage;
    }
    catch (std::exception const& error)
    {
        std::cerr << "briarctl: unexpected response: " << error.what() << '\n';
        return briarhub::exit_failed;
    }
}
