#include "admin_client.hpp"
#include "admin_server.hpp"
#include "table_printer.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>

using namespace briarhub;
using namespace std::chrono_literals;

namespace
{

/// Admin server whose control handler replies with the argument of the query.
struct admin_fixture
{
    admin_fixture()
    {
        m_options.m_admin_listen = "127.0.0.1:0";
        m_options.m_admin_token = "right-token";
        m_metrics.get_counter("briarhub_test_total").add(3);
        m_admin.emplace(
            m_io,
            m_options,
            m_metrics,
            [](admin_query&& query)
            {
                query.m_reply(
                    {result_code::ok, boost::json::object{{"ready", false}}});
                return true;
            },
            [](admin_query&& query)
            {
                query.m_reply(
                    {result_code::config_conflict,
                     boost::json::value(query.m_argument)});
                return true;
            });
        m_admin->start();
        m_thread = std::thread{[this]
                               {
                                   m_io.run();
                               }};
    }

    ~admin_fixture()
    {
        m_io.stop();
        m_thread.join();
    }

    admin_client client(std::string const& token)
    {
        return {"127.0.0.1:" + std::to_string(m_admin->port()), token, 5s};
    }

    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work_guard{m_io.get_executor()};
    settings m_options;
    metrics_registry m_metrics;
    std::optional<admin_server> m_admin;
    std::thread m_thread;
};

} // namespace

TEST_CASE("the admin API requires the token")
{
    admin_fixture fixture;
    for (std::string const token : {"", "wrong-token", "right-token2"})
    {
        auto const result = fixture.client(token).get("/api/v1/members");
        CHECK(std::get<admin_response>(result).m_http_status == 401);
    }
}

TEST_CASE("a failed query returns its result code and detail")
{
    admin_fixture fixture;
    auto const result =
        fixture.client("right-token").get("/api/v1/changes/abc");
    auto const& response = std::get<admin_response>(result);
    CHECK(response.m_http_status == 409);
    CHECK(response.m_body.at("code").to_number<int>() == 7003);
    CHECK(response.m_body.at("detail").as_string() == "abc");
    auto const unknown = fixture.client("right-token").get("/api/v1/nothing");
    CHECK(std::get<admin_response>(unknown).m_http_status == 404);
}

TEST_CASE("the readiness check returns 503 while the process is not ready")
{
    admin_fixture fixture;
    auto const result = fixture.client("").get("/readyz");
    CHECK(std::get<admin_response>(result).m_http_status == 503);
}

TEST_CASE("tables have one row for each object and a column for each field")
{
    auto const text = format_table(boost::json::object{
        {"version", 3},
        {"members",
         boost::json::array{
             boost::json::object{{"vm", "a"}, {"answers", true}},
             boost::json::object{{"vm", "bb"}}}}});
    CHECK(text == "version: 3\nvm  answers\na   true\nbb\n");
}
