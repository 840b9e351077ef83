#include "peer_link.hpp"

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

/// Far beyond what any step takes, so that a busy machine fails no test.
constexpr auto generous = 60s;

template <class Condition>
void run_until(boost::asio::io_context& io, Condition const& condition)
{
    auto const deadline = std::chrono::steady_clock::now() + generous;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
    {
        io.restart();
        io.run_one_for(10ms);
    }
    REQUIRE(condition());
}

void answer(
    std::string_view path,
    std::string_view message,
    peer_responder const& respond)
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

struct link_fixture
{
    boost::asio::io_context m_io;
    peer_server m_server{m_io, "127.0.0.1:0", answer, 48U << 20};
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

    reply
    ask(std::string path,
        std::string body,
        std::chrono::milliseconds timeout = generous)
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

TEST_CASE("many concurrent requests each get their own answer")
{
    // Guards against answers swapped between streams, and against a stall at
    // the limit of concurrent streams.
    link_fixture link;
    for (int i = 0; i < 1000; ++i)
    {
        link.send("/echo", std::to_string(i), generous);
    }
    run_until(
        link.m_io,
        [&]
        {
            return link.m_replies.size() == 1000;
        });
    std::vector<bool> seen(1000);
    for (auto const& result : link.m_replies)
    {
        REQUIRE(std::holds_alternative<std::string>(result));
        seen[std::stoul(std::get<std::string>(result))] = true;
    }
    CHECK(std::ranges::count(seen, true) == 1000);
    CHECK(link.m_client.totals().m_requests == 1000);
    CHECK(link.m_client.totals().m_bytes_sent > 0);
    CHECK(link.m_server.totals().m_sent > 0);
}

TEST_CASE("a state of 32 MB passes in both directions")
{
    // Guards against flow control windows that stall a large message.
    link_fixture link;
    std::string const state(32U << 20, 's');
    reply const result = link.ask("/echo", state);
    REQUIRE(std::holds_alternative<std::string>(result));
    CHECK(std::get<std::string>(result) == state);
}

TEST_CASE("a message above the limit fails alone")
{
    // Guards against unbounded memory use and against losing the connection's
    // other requests because of one bad one.
    link_fixture link;
    CHECK(
        link.ask("/echo", std::string((48U << 20) + 1, 'x')) ==
        reply{result_code::peer_unreachable});
    CHECK(
        link.ask("/echo", std::string(max_peer_message_bytes + 1, 'x')) ==
        reply{result_code::peer_message_invalid});
    CHECK(link.ask("/echo", "small") == reply{"small"});
}

TEST_CASE("a refused message is told apart from an unreachable peer")
{
    link_fixture link;
    CHECK(
        link.ask("/unknown", "x") == reply{result_code::peer_message_invalid});
    link.m_peer = "not an address";
    CHECK(link.ask("/echo", "x") == reply{result_code::peer_unreachable});
}

TEST_CASE("a request that times out leaves the connection usable")
{
    link_fixture link;
    CHECK(link.ask("/echo", "a") == reply{"a"});
    CHECK(
        link.ask("/silent", "b", 20ms) == reply{result_code::peer_unreachable});
    CHECK(link.ask("/echo", "c") == reply{"c"});
}

TEST_CASE("a broken connection fails its requests and is made anew")
{
    // Guards against requests that hang until their timeout after a reset,
    // and against a client that keeps using the dead connection.
    link_fixture link;
    std::uint16_t const port = link.m_server.port();
    link.send("/silent", "x", generous);
    link.send("/echo", "first", generous);
    run_until(
        link.m_io,
        [&]
        {
            return link.m_replies.size() == 1;
        });
    link.m_server.stop();
    run_until(
        link.m_io,
        [&]
        {
            return link.m_replies.size() == 2;
        });
    CHECK(link.m_replies[1] == reply{result_code::peer_unreachable});
    peer_server const again{link.m_io, local_address(port), answer};
    CHECK(link.ask("/echo", "second") == reply{"second"});
}

TEST_CASE("a connection that stays silent is replaced")
{
    // Guards against a one-way partition that keeps a dead connection in use.
    link_fixture link;
    tcp::acceptor silent{link.m_io, tcp::endpoint{tcp::v4(), 0}};
    std::vector<tcp::socket> accepted;
    std::function<void()> const accept = [&]
    {
        silent.async_accept(
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
    link.m_peer = local_address(silent.local_endpoint().port());
    for (int i = 0; i < 3; ++i)
    {
        CHECK(
            link.ask("/echo", "x", 20ms) ==
            reply{result_code::peer_unreachable});
    }
    run_until(
        link.m_io,
        [&]
        {
            return accepted.size() == 2;
        });
    silent.close();
}

TEST_CASE("bytes that are not HTTP/2 close only their own connection")
{
    link_fixture link;
    tcp::socket stray{link.m_io};
    stray.connect(
        {boost::asio::ip::address_v4::loopback(), link.m_server.port()});
    std::string const noise(100, '\xff');
    boost::asio::write(stray, boost::asio::buffer(noise));
    bool closed = false;
    std::array<char, 1024> input{};
    std::function<void()> const read = [&]
    {
        stray.async_read_some(
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
        link.m_io,
        [&]
        {
            return closed;
        });
    CHECK(link.ask("/echo", "still here") == reply{"still here"});
}
