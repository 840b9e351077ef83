/// Load and measurement client: sends open-loop load to entry processes,
/// checks each answer and prints what callers got.

#include "connection_pool.hpp"
#include "load_client.hpp"
#include "parse_number.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <stdexcept>

namespace
{

using namespace briarhub;

constexpr int exit_ok = 0;
constexpr int exit_wrong_answers = 1;
constexpr int exit_usage = 2;

constexpr char const* examples = R"(
Exit status: 0, 1 if an answer did not belong to its request, 2 for a wrong
command line.

Examples:
  briar-load --targets 127.0.0.1:9000,127.0.0.1:9001 --mix kairouan \
      --accounts agents=key1:3,post=key2:1 --rate 200 --duration-s 30
  briar-load --direct 127.0.0.1:19400 --mix kolamba --accounts shop=none \
      --rate 100 --json report.json
)";

template <class Value>
auto value_of(char const* standard)
{
    return cxxopts::value<Value>()->default_value(standard);
}

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "briar-load", "Sends open-loop load to briarhub and checks answers."};
    auto add = options.add_options();
    auto const text = []
    {
        return cxxopts::value<std::string>();
    };
    add("targets", "entry processes", text(), "IP:PORT,...");
    add("direct", "an upstream to measure without briarhub", text(), "IP:PORT");
    add("mix",
        "kolamba, kairouan or a JSON file with \"classes\"",
        value_of<std::string>("kairouan"),
        "MIX");
    add("accounts",
        "accounts with their keys and shares of the load",
        text(),
        "NAME=KEY:WEIGHT,...");
    add("rate",
        "requests per second, Poisson arrivals",
        value_of<double>("100"),
        "N");
    add("duration-s", "seconds of arrivals", value_of<unsigned>("10"), "N");
    add("connections",
        "requests in flight at most",
        value_of<std::size_t>("256"),
        "N");
    add("timeout-ms",
        "time limit of one try in milliseconds",
        value_of<unsigned>("10000"),
        "N");
    add("seed",
        "seed of arrivals, classes, accounts and targets",
        value_of<std::uint64_t>("1"),
        "N");
    add("skew",
        "targets that an account uses at a time, 0 for all",
        value_of<std::size_t>("0"),
        "N");
    add("move-s",
        "seconds after which an account changes its targets, 0 for never",
        value_of<unsigned>("0"),
        "N");
    add("json", "write the report as JSON", text(), "FILE");
    add("record", "write one line of JSON for each request", text(), "FILE");
    add("help", "print this text");
    add("version", "print the version");
    return options;
}

std::string read_file(std::string const& name)
{
    std::ifstream file{name};
    if (!file)
    {
        throw std::invalid_argument("cannot read " + name);
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

/// The value, or an exception that names the flag.
template <class Value>
Value value_or_throw(std::variant<Value, load_error> result, char const* flag)
{
    if (auto const* error = std::get_if<load_error>(&result))
    {
        throw std::invalid_argument(
            std::string{flag} + ": " + error->m_message);
    }
    return std::get<Value>(std::move(result));
}

load_classes read_mix(std::string const& name)
{
    load_classes classes = builtin_mix(name);
    if (!classes.empty())
    {
        return classes;
    }
    return value_or_throw<load_classes>(parse_mix(read_file(name)), "--mix");
}

std::vector<endpoint_address> read_targets(cxxopts::ParseResult const& flags)
{
    bool const direct = flags.count("direct") > 0;
    if (direct == (flags.count("targets") > 0))
    {
        throw std::invalid_argument("give either --targets or --direct");
    }
    std::vector<endpoint_address> targets;
    boost::algorithm::split(
        targets,
        flags[direct ? "direct" : "targets"].as<std::string>(),
        boost::algorithm::is_any_of(","));
    for (endpoint_address const& target : targets)
    {
        if (!parse_endpoint(target))
        {
            throw std::invalid_argument("'" + target + "' is not IP:PORT");
        }
    }
    return targets;
}

load_options read_options(cxxopts::ParseResult const& flags)
{
    load_options options;
    options.m_targets = read_targets(flags);
    options.m_direct = flags.count("direct") > 0;
    options.m_classes = read_mix(flags["mix"].as<std::string>());
    if (flags.count("accounts") == 0)
    {
        throw std::invalid_argument("--accounts is missing");
    }
    options.m_accounts = value_or_throw<load_accounts>(
        parse_accounts(flags["accounts"].as<std::string>()), "--accounts");
    options.m_rate = flags["rate"].as<double>();
    options.m_duration =
        std::chrono::seconds{flags["duration-s"].as<unsigned>()};
    options.m_connections = flags["connections"].as<std::size_t>();
    options.m_timeout =
        std::chrono::milliseconds{flags["timeout-ms"].as<unsigned>()};
    options.m_seed = flags["seed"].as<std::uint64_t>();
    options.m_skew = flags["skew"].as<std::size_t>();
    options.m_move = std::chrono::seconds{flags["move-s"].as<unsigned>()};
    if (options.m_rate <= 0 || options.m_connections == 0)
    {
        throw std::invalid_argument(
            "--rate and --connections must be positive");
    }
    return options;
}

std::optional<std::ofstream>
open_output(cxxopts::ParseResult const& flags, char const* flag)
{
    if (flags.count(flag) == 0)
    {
        return std::nullopt;
    }
    std::string const name = flags[flag].as<std::string>();
    std::ofstream file{name};
    if (!file)
    {
        throw std::invalid_argument("cannot write " + name);
    }
    return file;
}

int run_load(cxxopts::ParseResult const& flags)
{
    load_options options = read_options(flags);
    auto json = open_output(flags, "json");
    auto record = open_output(flags, "record");
    boost::asio::io_context io{1};
    load_client client{io, std::move(options), record ? &*record : nullptr};
    boost::asio::signal_set signals{io, SIGINT, SIGTERM};
    signals.async_wait(
        [&](auto const& error, int)
        {
            if (!error)
            {
                client.stop();
            }
        });
    client.start(
        [&]
        {
            signals.cancel();
        });
    io.run();
    std::cout << client.report().to_table();
    if (json)
    {
        *json << boost::json::serialize(client.report().to_json()) << '\n';
    }
    return client.report().total().m_wrong == 0 ? exit_ok : exit_wrong_answers;
}

int run(int argc, char const* const* argv)
{
    cxxopts::Options options = make_options();
    auto const flags = options.parse(argc, argv);
    if (flags.count("help") > 0)
    {
        std::cout << options.help() << examples;
        return exit_ok;
    }
    if (flags.count("version") > 0)
    {
        std::cout << "briar-load " BRIARHUB_VERSION "\n";
        return exit_ok;
    }
    return run_load(flags);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << "briar-load: " << error.what()
                  << "\nTry 'briar-load --help'.\n";
        return exit_usage;
    }
}
