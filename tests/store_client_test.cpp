#include "store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <variant>

using namespace briarhub;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

/// Reads one request from the connection while the client's loop runs.
void read_request(asio::io_context& io, asio::ip::tcp::socket& connection)
{
    std::string request;
    connection.non_blocking(true);
    for (int tries = 0;
         tries < 1000 && request.find("\r\n\r\n") == std::string::npos;
         ++tries)
    {
        io.run_for(1ms);
        boost::system::error_code error;
        std::array<char, 1024> bytes{};
        auto const size = connection.read_some(asio::buffer(bytes), error);
        REQUIRE((!error || error == asio::error::would_block));
        request.append(bytes.data(), size);
    }
    REQUIRE(request.find("\r\n\r\n") != std::string::npos);
}

/// `headers` are lines that end with CRLF.
void respond(asio::ip::tcp::socket& connection, std::string const& headers = {})
{
    std::string const body = R"({"items":[],"has_more":false,"end_offset":7})";
    asio::write(
        connection,
        asio::buffer(
            "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body));
}

/// A client and the listening socket of its store.
struct fixture
{
    /// Starts a read, whose result is stored in `m_result`.
    void start_read()
    {
        m_result.reset();
        asio::co_spawn(
            m_io,
            [this]() -> asio::awaitable<void>
            {
                m_result = co_await m_client.read_latest(store_topic::policy);
            },
            asio::detached);
    }

    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{
        m_io.get_executor()};
    asio::io_context m_store_io;
    asio::ip::tcp::acceptor m_store{
        m_store_io, {asio::ip::make_address("127.0.0.1"), 0}};
    platform::store_client m_client{
        m_io, "127.0.0.1:" + std::to_string(m_store.local_endpoint().port())};
    std::optional<store_result> m_result;
};

} // namespace

TEST_CASE_FIXTURE(
    fixture, "a call on a silent kept connection is repeated on a new one")
{
    // Guards against reads that wait for seconds on a connection that went
    // silent without a reset, while new connections work.
    start_read();
    m_io.run_for(5ms);
    auto kept = m_store.accept();
    read_request(m_io, kept);
    respond(kept);
    m_io.run_for(50ms);
    REQUIRE(m_result);

    runtime_clock::pause();
    start_read();
    read_request(m_io, kept);
    runtime_clock::advance(500ms);
    m_io.run_for(20ms);
    CHECK(!m_result);
    m_store.non_blocking(true);
    boost::system::error_code error;
    auto replacement = m_store.accept(error);
    REQUIRE(!error);
    read_request(m_io, replacement);
    respond(replacement);
    m_io.run_for(50ms);
    runtime_clock::resume();
    REQUIRE(m_result);
    CHECK(std::holds_alternative<store_page>(*m_result));
}

TEST_CASE_FIXTURE(
    fixture,
    "a response and a timeout that are due at the same time end one call")
{
    // Guards against a crash after a pause of the process that outlasts the
    // call timeout: the response arrives during the pause, the call ends and
    // destroys its connection, and the timer handler then closes it.
    runtime_clock::pause();
    start_read();
    m_io.run_for(20ms);
    auto connection = m_store.accept();
    read_request(m_io, connection);
    respond(connection);
    runtime_clock::advance(10s);
    std::this_thread::sleep_for(20ms);
    m_io.run_for(50ms);
    runtime_clock::resume();
    REQUIRE(m_result);
    REQUIRE(std::holds_alternative<store_page>(*m_result));
    CHECK(std::get<store_page>(*m_result).m_end == 7);
}

TEST_CASE_FIXTURE(fixture, "each response tells the era of the store")
{
    // Guards against offsets that are compared across a return of the store
    // from an older copy.
    CHECK(!m_client.era());
    start_read();
    m_io.run_for(5ms);
    auto connection = m_store.accept();
    auto const exchange = [&](std::string const& headers)
    {
        read_request(m_io, connection);
        respond(connection, headers);
        m_io.run_for(50ms);
        REQUIRE(m_result);
    };
    exchange("");
    CHECK(std::get<store_page>(*m_result).m_era == 0);
    CHECK(m_client.era() == 0);
    start_read();
    exchange("store-era: 3\r\n");
    CHECK(std::get<store_page>(*m_result).m_era == 3);
    CHECK(m_client.era() == 3);
    start_read();
    exchange("Store-Era: 2\r\n");
    CHECK(std::get<store_failure>(*m_result) == store_failure::outdated_era);
    start_read();
    exchange("Store-Era: x\r\n");
    CHECK(std::get<store_failure>(*m_result) == store_failure::malformed);
    CHECK(m_client.era() == 3);
}

TEST_CASE_FIXTURE(fixture, "errors and answers to writes tell the era too")
{
    std::optional<store_failure> failure;
    bool is_done = false;
    asio::co_spawn(
        m_io,
        [&]() -> asio::awaitable<void>
        {
            failure =
                co_await m_client.put(store_topic::fleet, "10.0.0.1", "z1");
            is_done = true;
        },
        asio::detached);
    m_io.run_for(5ms);
    auto connection = m_store.accept();
    read_request(m_io, connection);
    respond(connection, "Store-Era: 4\r\n");
    m_io.run_for(50ms);
    REQUIRE(is_done);
    CHECK(!failure);
    CHECK(m_client.era() == 4);
    start_read();
    read_request(m_io, connection);
    asio::write(
        connection,
        asio::buffer(std::string{
            "HTTP/1.1 410 X\r\nStore-Era: 5\r\nContent-Length: 0\r\n\r\n"}));
    m_io.run_for(50ms);
    REQUIRE(m_result);
    CHECK(std::get<store_failure>(*m_result) == store_failure::history_gone);
    CHECK(m_client.era() == 5);
}
