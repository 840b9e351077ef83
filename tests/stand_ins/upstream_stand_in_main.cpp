/// Serves one or more upstream stand-ins on consecutive ports.

#include "upstream_stand_in.hpp"

#include <boost/asio/signal_set.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace
{

using namespace briarhub::stand_ins;
using tcp = boost::asio::ip::tcp;

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "upstream-stand-in", "Upstreams with slots and faults on command."};
    auto add = options.add_options();
    add("listen", "first address", cxxopts::value<std::string>());
    add("count",
        "upstreams on consecutive ports",
        cxxopts::value<unsigned>()->default_value("1"));
    add("id",
        "upstream id; with --count above 1 the prefix of ID-0, ID-1, ...",
        cxxopts::value<std::string>()->default_value("upstream"));
    add("service",
        "name of the service",
        cxxopts::value<std::string>()->default_value("service"));
    add("slots",
        "requests run at the same time",
        cxxopts::value<unsigned>()->default_value("2"));
    add("service-time-ms",
        "mean time of a request",
        cxxopts::value<int>()->default_value("20"));
    add("jitter-ms",
        "largest deviation from the mean",
        cxxopts::value<int>()->default_value("5"));
    add("cold-start-ms",
        "time of slow service after the start",
        cxxopts::value<int>()->default_value("0"));
    add("load-lag-ms",
        "age of the reported load",
        cxxopts::value<int>()->default_value("200"));
    add("archive-bytes",
        "length of every archive",
        cxxopts::value<std::size_t>()->default_value("262144"));
    add("seed",
        "seed of jitter and faults",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "print this text");
    return options;
}

upstream_options read_options(cxxopts::ParseResult const& flags, unsigned index)
{
    using std::chrono::milliseconds;
    bool const several = flags["count"].as<unsigned>() > 1;
    upstream_options options;
    options.m_id = flags["id"].as<std::string>() +
                   (several ? "-" + std::to_string(index) : "");
    options.m_service = flags["service"].as<std::string>();
    options.m_slots = flags["slots"].as<unsigned>();
    options.m_service_time = milliseconds{flags["service-time-ms"].as<int>()};
    options.m_jitter = milliseconds{flags["jitter-ms"].as<int>()};
    options.m_cold_start = milliseconds{flags["cold-start-ms"].as<int>()};
    options.m_load_lag = milliseconds{flags["load-lag-ms"].as<int>()};
    options.m_archive_bytes = flags["archive-bytes"].as<std::size_t>();
    options.m_seed = flags["seed"].as<std::uint64_t>() + index;
    return options;
}

tcp::endpoint parse_listen(std::string const& text, unsigned index)
{
    auto const colon = text.rfind(':');
    auto const address = boost::asio::ip::make_address(text.substr(0, colon));
    auto const port = std::stoul(text.substr(colon + 1)) + index;
    return {address, static_cast<std::uint16_t>(port)};
}

int run(int argc, char const* const* argv)
{
    cxxopts::Options options = make_options();
    auto const flags = options.parse(argc, argv);
    if (flags.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    boost::asio::io_context io{1};
    std::vector<std::unique_ptr<upstream_stand_in>> upstreams;
    for (unsigned i = 0; i < flags["count"].as<unsigned>(); ++i)
    {
        auto const listen = parse_listen(flags["listen"].as<std::string>(), i);
        upstreams.push_back(std::make_unique<upstream_stand_in>(
            io, read_options(flags, i), listen));
    }
    boost::asio::signal_set signals{io, SIGINT, SIGTERM};
    signals.async_wait(
        [&](auto const&, int)
        {
            io.stop();
        });
    io.run();
    return 0;
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
        std::cerr << "upstream-stand-in: " << error.what() << '\n';
        return 1;
    }
}
