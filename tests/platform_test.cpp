#include "platform_client.hpp"
#include "stand_ins/platform_stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <doctest/doctest.h>

#include <optional>

using namespace briarhub;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// Real-time limit of a wait. Only reached when a test fails.
constexpr auto test_timeout = 60s;

tcp::endpoint loopback()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

endpoint_address to_address(tcp::endpoint const& endpoint)
{
    return "127.0.0.1:" + std::to_string(endpoint.port());
}

/// A platform stand-in with a client and its test control interface, on one
/// thread and a paused clock.
struct fixture
{
    fixture()
    {
        runtime_clock::pause();
    }

    ~fixture()
    {
        runtime_clock::resume();
    }

    fixture(fixture const&) = delete;
    fixture& operator=(fixture const&) = delete;

    /// Starts an operation and stores its result when it ends.
    template <class Value>
    void start(asio::awaitable<Value> operation, std::optional<Value>& result)
    {
        asio::co_spawn(
            m_io,
            std::move(operation),
            [&result](std::exception_ptr const&, Value value)
            {
                result = std::move(value);
            });
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            m_io.run_one_for(10ms);
            m_io.restart();
        }
    }

    template <class Value>
    Value run(asio::awaitable<Value> operation)
    {
        std::optional<Value> result;
        start(std::move(operation), result);
        run_until(
            [&]
            {
                return result.has_value();
            });
        REQUIRE(result.has_value());
        return std::move(*result);
    }

    std::string
    send_request(http::verb method, std::string const& path, std::string body)
    {
        tcp::socket socket{m_io};
        socket.connect(m_server.endpoint());
        http::request<http::string_body> request{method, path, 11};
        request.body() = std::move(body);
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        bool ended = false;
        http::async_read(
            socket,
            buffer,
            response,
            [&](auto, auto)
            {
                ended = true;
            });
        run_until(
            [&]
            {
                return ended;
            });
        return response.body();
    }

    void post(std::string const& path, std::string body)
    {
        send_request(http::verb::post, "/test/" + path, std::move(body));
    }

    std::uint64_t counter(std::string_view name)
    {
        auto const text = send_request(http::verb::get, "/test/counters", "");
        return boost::json::parse(text).at(name).to_number<std::uint64_t>();
    }

    void wait_for_counter(std::string_view name, std::uint64_t value)
    {
        run_until(
            [&]
            {
                return counter(name) >= value;
            });
    }

    platform_result<log_offset> append(std::string record)
    {
        return run(m_client.append("control", std::move(record)));
    }

    platform_result<log_read_result> read(log_offset from)
    {
        return run(m_client.read("control", from, 100, 0ms));
    }

    template <class Value>
    static std::string result_name(platform_result<Value> const& result)
    {
        auto const* const error = std::get_if<platform_error>(&result);
        return error ? std::string{describe(error->m_code).m_name} : "ok";
    }

    asio::io_context m_io;
    stand_in::platform_server m_server{m_io, loopback(), {60s, 5, 300ms}};
    platform_client m_client{
        m_io, to_address(m_server.endpoint()), 1000ms, "vm-1"};
};

} // namespace

TEST_CASE_FIXTURE(fixture, "appended records are read back unchanged")
{
    // Guards against records damaged by escaping or by the retention limit.
    std::string const record = "{\"a\":\"\\u00e9 \xc3\xa9\"}\n";
    CHECK(std::get<log_offset>(append(record)) == 0);
    CHECK(std::get<log_offset>(append("second")) == 1);
    auto const all = std::get<log_read_result>(read(0));
    REQUIRE(all.m_records.size() == 2);
    CHECK(all.m_records[0].m_data == record);
    CHECK(all.m_records[1].m_appended_at == wall_now());
    CHECK(all.m_next == 2);
    post("trim", R"({"stream":"control","before":1})");
    CHECK(std::get<log_read_result>(read(0)).m_first == 1);
    runtime_clock::advance(61s);
    auto const expired = std::get<log_read_result>(read(0));
    CHECK(expired.m_first == 2);
    CHECK(expired.m_records.empty());
}

TEST_CASE_FIXTURE(fixture, "errors tell whether an append had an effect")
{
    // An append that took effect and is reported as refused would be repeated.
    // One that is reported as unknown without need costs a claim.
    SUBCASE("outage")
    {
        post("outage", R"({"for_ms":500})");
        CHECK(result_name(append("a")) == "log_unavailable");
        CHECK(result_name(run(m_client.list_vms())) == "log_unavailable");
        runtime_clock::advance(500ms);
        CHECK(result_name(append("a")) == "ok");
        CHECK(counter("appends") == 1);
    }
    SUBCASE("append limit")
    {
        for (int i = 0; i < 5; ++i)
        {
            CHECK(result_name(append("a")) == "ok");
        }
        CHECK(result_name(append("a")) == "log_rate_limited");
        CHECK(counter("appends") == 5);
    }
    SUBCASE("lost response")
    {
        post("lose-answers", R"({"count":1,"stream":"control"})");
        CHECK(result_name(append("a")) == "log_append_unknown");
        CHECK(result_name(append("b")) == "ok");
        CHECK(std::get<log_read_result>(read(0)).m_records.size() == 2);
    }
    SUBCASE("no connection")
    {
        tcp::acceptor unused{m_io, loopback()};
        auto const address = to_address(unused.local_endpoint());
        unused.close();
        platform_client client{m_io, address, 1000ms};
        CHECK(
            result_name(run(client.append("control", "a"))) ==
            "log_unavailable");
        platform_client bad{m_io, "no address", 1000ms};
        CHECK(
            result_name(run(bad.append("control", "a"))) == "log_unavailable");
    }
    SUBCASE("the platform closed the idle connection")
    {
        // The server closes the connection after each append, so the next
        // append finds a closed connection in the idle pool.
        tcp::acceptor acceptor{m_io, loopback()};
        auto const address = to_address(acceptor.local_endpoint());
        platform_client client{m_io, address, 1000ms};
        for (int i = 0; i < 2; ++i)
        {
            std::optional<tcp::socket> peer;
            acceptor.async_accept(
                [&](auto, tcp::socket socket)
                {
                    peer.emplace(std::move(socket));
                    asio::write(
                        *peer,
                        asio::buffer(std::string_view{
                            "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
                            "{\"offset\":7}"}));
                });
            CHECK(result_name(run(client.append("control", "a"))) == "ok");
        }
    }
    SUBCASE("no response before the timeout")
    {
        post("outage", R"({"for_ms":100000,"mode":"hang"})");
        std::optional<platform_result<log_offset>> result;
        start(m_client.append("control", "a"), result);
        wait_for_counter("received", 1);
        CHECK_FALSE(result.has_value());
        runtime_clock::advance(1001ms);
        run_until(
            [&]
            {
                return result.has_value();
            });
        CHECK(result_name(*result) == "log_append_unknown");
        CHECK(counter("appends") == 0);
    }
    SUBCASE("an append that takes effect after the timeout")
    {
        post("delay", R"({"ms":2000})");
        std::optional<platform_result<log_offset>> result;
        start(m_client.append("control", "a"), result);
        wait_for_counter("received", 1);
        runtime_clock::advance(1001ms);
        run_until(
            [&]
            {
                return result.has_value();
            });
        CHECK(result_name(*result) == "log_append_unknown");
        CHECK(counter("appends") == 0);
        runtime_clock::advance(1000ms);
        wait_for_counter("appends", 1);
        CHECK(counter("appends") == 1);
    }
}

TEST_CASE_FIXTURE(fixture, "a partition drops requests or responses of one VM")
{
    // A one-way partition that drops only responses lets the append take
    // effect.
    bool drops_requests = false;
    SUBCASE("requests")
    {
        drops_requests = true;
    }
    SUBCASE("answers")
    {
        drops_requests = false;
    }
    post(
        "cut",
        std::string{R"({"vm":"vm-1","for_ms":100000,"direction":")"} +
            (drops_requests ? "requests" : "answers") + "\"}");
    platform_client other{
        m_io, to_address(m_server.endpoint()), 1000ms, "vm-2"};
    CHECK(result_name(run(other.append("control", "b"))) == "ok");
    std::optional<platform_result<log_offset>> result;
    start(m_client.append("control", "a"), result);
    wait_for_counter("received", 2);
    runtime_clock::advance(1001ms);
    run_until(
        [&]
        {
            return result.has_value();
        });
    CHECK(result_name(*result) == "log_append_unknown");
    CHECK(counter("appends") == (drops_requests ? 1 : 2));
}

TEST_CASE_FIXTURE(
    fixture, "a long poll ends at an append or at the end of its wait")
{
    // A long poll that misses an append would delay every decision that depends
    // on the log.
    std::optional<platform_result<log_read_result>> polled;
    start(m_client.read("control", 0, 100, 30'000ms), polled);
    wait_for_counter("reads", 1);
    CHECK_FALSE(polled.has_value());
    // The append uses another connection and does not wait for the poll.
    CHECK(result_name(append("a")) == "ok");
    run_until(
        [&]
        {
            return polled.has_value();
        });
    CHECK(std::get<log_read_result>(*polled).m_records.size() == 1);

    polled.reset();
    start(m_client.read("control", 1, 100, 30'000ms), polled);
    wait_for_counter("reads", 2);
    runtime_clock::advance(30'000ms);
    run_until(
        [&]
        {
            return polled.has_value();
        });
    CHECK(std::get<log_read_result>(*polled).m_records.empty());

    polled.reset();
    start(m_client.read("control", 1, 100, 30'000ms), polled);
    wait_for_counter("reads", 3);
    m_client.close();
    run_until(
        [&]
        {
            return polled.has_value();
        });
    CHECK(result_name(*polled) == "log_unavailable");
}

TEST_CASE_FIXTURE(fixture, "a changed VM list is returned after its delay")
{
    // Guards against fields lost in encoding or parsing of the list.
    send_request(
        http::verb::put,
        "/test/vms",
        R"({"vms":[{"id":"vm-1","role":"entry","failure_domain":"a",
            "region":"tn-north","address":"127.0.0.1:1",
            "peer_address":"127.0.0.1:2","state":"leaving"},
            {"id":"up-1","role":"upstream","service":"ledger-desk",
            "failure_domain":"b","region":"tn-north",
            "address":"127.0.0.1:3","state":"live","slots":2}]})");
    CHECK(std::get<vm_list>(run(m_client.list_vms())) == vm_list{});
    runtime_clock::advance(300ms);
    auto const list = std::get<vm_list>(run(m_client.list_vms()));
    entry_vm const entry{
        "vm-1",
        "a",
        "tn-north",
        "127.0.0.1:1",
        "127.0.0.1:2",
        vm_state::leaving};
    upstream const process{
        "up-1", "ledger-desk", "b", "127.0.0.1:3", vm_state::live, 2};
    CHECK(list == vm_list{{entry}, {process}});
}
