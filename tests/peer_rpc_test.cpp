#include "peer_rpc.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

using reply = std::variant<std::string, result_code>;

/// Far longer than any step takes, so that tests pass on a busy machine.
constexpr auto test_timeout = 60s;

template <class Condition>
void run_until(boost::asio::io_context& io, Condition const& condition)
{
    auto const deadline = std::chrono::steady_clock::now() + test_timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
    {
        io.restart();
        io.run_one_for(10ms);
    }
    REQUIRE(condition());
}

void handle_request(
    std::string_view path,
    std::string_view message,
    peer_response_callback const& respond)
{
    if (path == "/echo")
    {
        respond(std::string{message});
    }
    else if (path != "/silent")
    {
        respond(std::nullopt);
    }
}

std::string local_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

struct rpc_fixture
{
    boost::asio::io_context m_io;
    peer_server m_server{
        m_io,
        "127.0.0.1:0",
        handle_request,
        {.m_max_message_bytes = 48U << 20}};
    peer_client m_client{m_io};
    std::string m_peer = local_address(m_server.port());
    std::vector<reply> m_replies;

    void
    send(std::string path, std::string body, std::chrono::milliseconds timeout)
    {
        boost::asio::co_spawn(
            m_io,
            collect(std::move(path), std::move(body), timeout),
            boost::asio::detached);
    }

    boost::asio::awaitable<void> collect(
        std::string path, std::string body, std::chrono::milliseconds timeout)
    {
        reply result = co_await m_client.request(m_peer, path, body, timeout);
        m_replies.push_back(std::move(result));
    }

    reply request_and_wait(
        std::string path,
        std::string body,
        std::chrono::milliseconds timeout = test_timeout)
    {
        m_replies.clear();
        send(std::move(path), std::move(body), timeout);
        run_until(
            m_io,
            [&]
            {
                return !m_replies.empty();
            });
        return m_replies.front();
    }
};

} // namespace

TEST_CASE("concurrent requests receive their own responses")
{
    // Guards against responses on the wrong stream, and against a stall at the
    // limit of concurrent streams.
    rpc_fixture fixture;
    for (int i = 0; i < 1000; ++i)
    {
        fixture.send("/echo", std::to_string(i), test_timeout);
    }
    run_until(
        fixture.m_io,
        [&]
        {
            return fixture.m_replies.size() == 1000;
        });
    std::vector<bool> seen(1000);
    for (auto const& result : fixture.m_replies)
    {
        REQUIRE(std::holds_alternative<std::string>(result));
        seen[std::stoul(std::get<std::string>(result))] = true;
    }
    CHECK(std::ranges::count(seen, true) == 1000);
    CHECK(fixture.m_client.totals().m_requests == 1000);
    CHECK(fixture.m_client.totals().m_bytes_sent > 0);
    CHECK(fixture.m_server.totals().m_sent > 0);
}

TEST_CASE("a 32 MB message is transferred in both directions")
{
    // Guards against flow control windows that stall a large message.
    rpc_fixture fixture;
    std::string const state(32U << 20, 's');
    reply const result = fixture.request_and_wait("/echo", state);
    REQUIRE(std::holds_alternative<std::string>(result));
    CHECK(std::get<std::string>(result) == state);
}

TEST_CASE("an oversized message doesn't affect other requests")
{
    // Guards against unbounded memory use, and against one oversized message
    // that fails the other requests on the connection.
    rpc_fixture fixture;
    CHECK(
        fixture.request_and_wait("/echo", std::string((48U << 20) + 1, 'x')) ==
        reply{result_code::peer_unreachable});
    CHECK(
        fixture.request_and_wait(
            "/echo", std::string(max_peer_message_bytes + 1, 'x')) ==
        reply{result_code::peer_message_invalid});
    CHECK(fixture.request_and_wait("/echo", "small") == reply{"small"});
}

TEST_CASE(
    "a refused message and an unreachable peer have distinct result codes")
{
    rpc_fixture fixture;
    CHECK(
        fixture.request_and_wait("/unknown", "x") ==
        reply{result_code::peer_message_invalid});
    fixture.m_peer = "not an address";
    CHECK(
        fixture.request_and_wait("/echo", "x") ==
        reply{result_code::peer_unreachable});
}

TEST_CASE("a request that times out leaves the connection usable")
{
    rpc_fixture fixture;
    CHECK(fixture.request_and_wait("/echo", "a") == reply{"a"});
    CHECK(
        fixture.request_and_wait("/silent", "b", 20ms) ==
        reply{result_code::peer_unreachable});
    CHECK(fixture.request_and_wait("/echo", "c") == reply{"c"});
}

TEST_CASE("a broken connection fails its requests and is replaced")
{
    // Guards against requests that wait for their timeout after a connection
    // reset, and against a client that reuses the broken connection.
    rpc_fixture fixture;
    std::uint16_t const port = fixture.m_server.port();
    fixture.send("/silent", "x", test_timeout);
    fixture.send("/echo", "first", test_timeout);
    run_until(
        fixture.m_io,
        [&]
        {
            return fixture.m_replies.size() == 1;
        });
    fixture.m_server.stop();
    run_until(
        fixture.m_io,
        [&]
        {
            return fixture.m_replies.size() == 2;
        });
    CHECK(fixture.m_replies[1] == reply{result_code::peer_unreachable});
    peer_server const restarted_server{
        fixture.m_io, local_address(port), handle_request};
    CHECK(fixture.request_and_wait("/echo", "second") == reply{"second"});
}

TEST_CASE("a connection without received data is replaced after timeouts")
{
    // Guards against a one-way partition in which the client keeps using a dead
    // connection.
    rpc_fixture fixture;
    tcp::acceptor unresponsive_peer{fixture.m_io, tcp::endpoint{tcp::v4(), 0}};
    std::vector<tcp::socket> accepted;
    std::function<void()> const accept = [&]
    {
        unresponsive_peer.async_accept(
            [&](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    accepted.push_back(std::move(socket));
                    accept();
                }
            });
    };
    accept();
    fixture.m_peer = local_address(unresponsive_peer.local_endpoint().port());
    for (int i = 0; i < 3; ++i)
    {
        CHECK(
            fixture.request_and_wait("/echo", "x", 20ms) ==
            reply{result_code::peer_unreachable});
    }
    run_until(
        fixture.m_io,
        [&]
        {
            return accepted.size() == 2;
        });
    unresponsive_peer.close();
}

TEST_CASE("invalid HTTP/2 input closes only its own connection")
{
    rpc_fixture fixture;
    tcp::socket raw_socket{fixture.m_io};
    raw_socket.connect(
        {boost::asio::ip::address_v4::loopback(), fixture.m_server.port()});
    std::string const invalid_bytes(100, '\xff');
    boost::asio::write(raw_socket, boost::asio::buffer(invalid_bytes));
    bool closed = false;
    std::array<char, 1024> input{};
    std::function<void()> const read = [&]
    {
        raw_socket.async_read_some(
            boost::asio::buffer(input),
            [&](boost::system::error_code error, std::size_t)
            {
                closed = error.failed();
                if (!closed)
                {
                    read();
                }
            });
    };
    read();
    run_until(
        fixture.m_io,
        [&]
        {
            return closed;
        });
    CHECK(
        fixture.request_and_wait("/echo", "still here") == reply{"still here"});
}
