#include "parse_number.hpp"
#include "settings.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <vector>

using namespace briarhub;

namespace
{

std::vector<char const*> const valid{
    "briarhub",
    "--vm-id=vm-1",
    "--failure-domain=a",
    "--listen=127.0.0.1:8080",
    "--peer-listen=127.0.0.1:8081",
    "--admin-listen=127.0.0.1:8082",
    "--platform=127.0.0.1:9000",
    "--admin-token=0123456789"};

std::variant<settings, settings_help, settings_error>
read_with(std::vector<char const*> const& extra)
{
    std::vector<char const*> arguments = valid;
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    return read_settings(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_CASE("a flag takes precedence over its environment variable")
{
    setenv("BRIARHUB_MAX_CONNECTIONS", "7", 1);
    CHECK(std::get<settings>(read_with({})).m_max_connections == 7);
    auto const with_flag = read_with({"--max-connections=9"});
    CHECK(std::get<settings>(with_flag).m_max_connections == 9);
    unsetenv("BRIARHUB_MAX_CONNECTIONS");
}

TEST_CASE("an invalid setting is reported with its flag and variable")
{
    // A process with a misparsed setting would start and fail later.
    for (char const* invalid :
         {"--max-connections=0",
          "--max-connections=1x",
          "--max-connections=-1",
          "--max-connections="})
    {
        auto const result = read_with({invalid});
        REQUIRE(std::holds_alternative<settings_error>(result));
        auto const& error = std::get<settings_error>(result);
        CHECK(
            error.m_setting == "--max-connections "
                               "(BRIARHUB_MAX_CONNECTIONS)");
    }
    CHECK(std::holds_alternative<settings_error>(read_with({"--no-such=1"})));
    CHECK(std::holds_alternative<settings_error>(read_with({"stray"})));
    CHECK(std::holds_alternative<settings_error>(
        read_with({"--listen=localhost:80"})));
}

TEST_CASE("a missing required setting is an error")
{
    std::vector<char const*> const only_name{"briarhub"};
    auto const result = read_settings(1, only_name.data());
    REQUIRE(std::holds_alternative<settings_error>(result));
    CHECK(std::get<settings_error>(result).m_message == "is required");
}

TEST_CASE("addresses are split into ip and port")
{
    CHECK(split_endpoint("127.0.0.1:80")->m_port == 80);
    CHECK(split_endpoint("[::1]:80")->m_ip == "::1");
    CHECK_FALSE(split_endpoint("127.0.0.1"));
    CHECK_FALSE(split_endpoint("127.0.0.1:65536"));
    CHECK_FALSE(split_endpoint("host:80"));
}
