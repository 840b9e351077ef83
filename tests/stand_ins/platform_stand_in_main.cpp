/// The platform's log and VM list for tests, as a process.

#include "platform_stand_in.hpp"

#include <boost/asio/signal_set.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint parse_listen(std::string const& text)
{
    auto const colon = text.rfind(':');
    auto const address = asio::ip::make_address(text.substr(0, colon));
    int const port = std::stoi(text.substr(colon + 1));
    return {address, static_cast<std::uint16_t>(port)};
}

cxxopts::ParseResult parse_flags(int argc, char** argv)
{
    cxxopts::Options flags{"platform-stand-in"};
    flags.add_options()(
        "listen",
        "ip:port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "retention-s",
        "seconds that records are kept",
        cxxopts::value<std::uint64_t>()->default_value("86400"))(
        "max-appends-per-s",
        "appends accepted within a second",
        cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "list-lag-ms",
        "milliseconds until a new VM list is shown",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    return flags.parse(argc, argv);
}

void run(cxxopts::ParseResult const& flags)
{
    using briarhub::stand_in::platform_options;
    platform_options options;
    options.m_retention =
        std::chrono::seconds{flags["retention-s"].as<std::uint64_t>()};
    options.m_max_appends_per_second =
        flags["max-appends-per-s"].as<std::uint64_t>();
    options.m_list_lag =
        std::chrono::milliseconds{flags["list-lag-ms"].as<std::uint64_t>()};
    asio::io_context io{1};
    auto const listen = parse_listen(flags["listen"].as<std::string>());
    briarhub::stand_in::platform_server const server{io, listen, options};
    std::cout << "listening on " << server.endpoint() << std::endl;
    asio::signal_set signals{io, SIGINT, SIGTERM};
    signals.async_wait(
        [&](auto, int)
        {
            io.stop();
        });
    io.run();
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        run(parse_flags(argc, argv));
    }
    catch (std::exception const& error)
    {
        std::cerr << "platform-stand-in: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
