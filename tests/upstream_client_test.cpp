#include "stand_ins/upstream_stand_in.hpp"
#include "upstream_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <deque>
#include <optional>

using namespace briarhub;
using namespace briarhub::stand_ins;
using namespace std::chrono_literals;
namespace net = boost::asio;
namespace http = boost::beast::http;

namespace
{

net::ip::tcp::endpoint loopback()
{
    return {net::ip::address_v4::loopback(), 0};
}

upstream make_target(net::ip::tcp::endpoint const& endpoint)
{
    upstream target;
    target.m_id = "u";
    target.m_address = "127.0.0.1:" + std::to_string(endpoint.port());
    return target;
}

upstream_request make_request(std::string const& path, std::string const& id)
{
    upstream_request request{http::verb::get, path, 11};
    request.set(request_id_field, id);
    request.set(account_field, "shop");
    return request;
}

/// A client and two upstream stand-ins with a paused clock.
struct fixture
{
    fixture()
    {
        runtime_clock::pause();
    }

    ~fixture()
    {
        m_first.stop();
        m_second.stop();
        m_io.restart();
        m_io.poll();
        runtime_clock::resume();
    }

    void set_fault(fault_kind kind)
    {
        fault_command command;
        command.m_kind = kind;
        m_first.set_fault(command);
    }

    /// Runs the event loop until `done`; the limit only ends a test that hangs.
    void run_until(std::function<bool()> const& done)
    {
        auto const limit = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < limit)
        {
            m_io.restart();
            m_io.run_one_for(10ms);
        }
        REQUIRE(done());
    }

    /// Starts an attempt; its result is stored in the returned object.
    std::optional<upstream_result>& start(
        std::string const& path,
        std::string const& id,
        request_ticket ticket = 1,
        std::function<bool()> may_send = {})
    {
        auto& result = m_results.emplace_back();
        auto attempt = m_client.run(
            ticket,
            make_target(m_first.endpoint()),
            make_request(path, id),
            runtime_clock::now() + 1s,
            std::move(may_send));
        net::co_spawn(
            m_io,
            std::move(attempt),
            [&result](std::exception_ptr const&, upstream_result value)
            {
                result = std::move(value);
            });
        return result;
    }

    upstream_result
    run(std::string const& path,
        std::string const& id,
        std::function<bool()> may_send = {})
    {
        auto const& result = start(path, id, 1, std::move(may_send));
        run_until(
            [&]
            {
                return result.has_value();
            });
        return *result;
    }

    upstream_result stream(upstream_stand_in& from, stream_position& position)
    {
        std::optional<upstream_result> result;
        auto attempt = m_client.run_streamed(
            1,
            make_target(from.endpoint()),
            make_request("/archive/1", "s"),
            runtime_clock::now() + 1s,
            {},
            position,
            m_sink);
        net::co_spawn(
            m_io,
            std::move(attempt),
            [&](std::exception_ptr const&, upstream_result value)
            {
                result = std::move(value);
            });
        run_until(
            [&]
            {
                return result.has_value();
            });
        return *result;
    }

    net::io_context m_io{1};
    /// Attempts still running at the end of a test store their results here.
    std::deque<std::optional<upstream_result>> m_results;
    upstream_stand_in m_first{m_io, {}, loopback()};
    upstream_stand_in m_second{m_io, {}, loopback()};
    upstream_client m_client{m_io};
    std::string m_streamed;
    int m_heads = 0;
    response_sink m_sink{
        [this](auto const&, std::uint64_t) -> net::awaitable<bool>
        {
            ++m_heads;
            co_return true;
        },
        [this](std::string_view data) -> net::awaitable<bool>
        {
            m_streamed += data;
            co_return true;
        }};
    std::string const m_archive =
        make_archive("shop", "/archive/1", upstream_options{}.m_archive_bytes);
};

} // namespace

TEST_CASE_FIXTURE(fixture, "successful requests reuse one connection")
{
    // Without reuse the fleet would exhaust the connections of an upstream.
    for (int i = 0; i < 3; ++i)
    {
        auto const attempt = run("/balances/1", std::to_string(i));
        CHECK(attempt.m_outcome == attempt_outcome::good);
        CHECK(attempt.m_sent);
        CHECK(attempt.m_load->m_slots == 2);
    }
    CHECK(m_first.stats().m_connections == 1);
    CHECK(m_client.open_connections() == 1);
    m_client.set_endpoints({});
    CHECK(m_client.open_connections() == 0);
}

TEST_CASE_FIXTURE(fixture, "each kind of failure has its own outcome")
{
    // A wrong outcome would count against healthy upstreams or run a request
    // twice.
    struct expectation
    {
        fault_kind m_fault;
        attempt_outcome m_outcome;
        unsigned m_status;
    };
    for (auto const& expected : {
             expectation{fault_kind::error, attempt_outcome::error, 500},
             expectation{fault_kind::wrong, attempt_outcome::wrong, 0},
             expectation{fault_kind::digest, attempt_outcome::wrong, 0},
             expectation{fault_kind::truncate, attempt_outcome::wrong, 0},
             expectation{fault_kind::reset_after, attempt_outcome::crashed, 0},
         })
    {
        int const fault = static_cast<int>(expected.m_fault);
        unsigned const status = expected.m_status;
        CAPTURE(fault);
        set_fault(expected.m_fault);
        auto const attempt = run("/balances/1", "r");
        CHECK(attempt.m_outcome == expected.m_outcome);
        CHECK(attempt.m_sent);
        CHECK_FALSE(attempt.m_not_run);
        // A response that failed a check must not reach a caller.
        CHECK((status != 0 || attempt.m_body.empty()));
        CHECK((status == 0 || attempt.m_head.result_int() == status));
    }
}

TEST_CASE_FIXTURE(fixture, "a refused connection counts as not sent")
{
    // If it counted as sent, a non-idempotent request that never ran would be
    // reported as in doubt.
    m_first.stop();
    auto const attempt = run("/balances/1", "r");
    CHECK(attempt.m_outcome == attempt_outcome::error);
    CHECK_FALSE(attempt.m_sent);
}

TEST_CASE_FIXTURE(fixture, "a shed request is reported as not run")
{
    // As an error it would count against an upstream that is only busy.
    set_fault(fault_kind::hang);
    for (request_ticket ticket = 10; ticket < 14; ++ticket)
    {
        start("/x", std::to_string(ticket), ticket);
    }
    run_until(
        [&]
        {
            return m_first.stats().m_received == 4;
        });
    auto const attempt = run("/x", "r");
    CHECK(attempt.m_outcome == attempt_outcome::shed);
    CHECK(attempt.m_not_run);
    m_client.cancel(12);
    run_until(
        [&]
        {
            return m_results[2].has_value() && m_first.stats().m_cancelled == 1;
        });
    CHECK(m_results[2]->m_outcome == attempt_outcome::cancelled);
    CHECK_FALSE(m_results[0].has_value());
}

TEST_CASE_FIXTURE(fixture, "a late response does not reach the next request")
{
    // A connection reused after a timeout would deliver the previous response.
    set_fault(fault_kind::late);
    auto const& late = start("/balances/1", "old");
    run_until(
        [&]
        {
            return m_first.stats().m_finished == 1;
        });
    runtime_clock::advance(1s);
    run_until(
        [&]
        {
            return late.has_value();
        });
    CHECK(late->m_outcome == attempt_outcome::error);
    CHECK(late->m_sent);
    CHECK(m_client.open_connections() == 0);
    set_fault(fault_kind::none);
    auto const next = run("/balances/2", "new");
    CHECK(next.m_outcome == attempt_outcome::good);
    CHECK(next.m_body.find("\"new\"") != std::string::npos);
    CHECK(m_first.stats().m_connections == 2);
}

TEST_CASE_FIXTURE(fixture, "swapped responses are rejected")
{
    // Two concurrent requests whose responses or bodies are swapped.
    for (int i = 0; i < 8; ++i)
    {
        set_fault(fault_kind::crossed);
        auto const& one = start("/balances/1", "one", 1);
        auto const& two = start("/balances/2", "two", 2);
        run_until(
            [&]
            {
                return one.has_value() && two.has_value();
            });
        CHECK(one->m_outcome == attempt_outcome::wrong);
        CHECK(two->m_outcome == attempt_outcome::wrong);
        CHECK(one->m_body.empty());
        CHECK(m_client.open_connections() == 0);
    }
}

TEST_CASE_FIXTURE(fixture, "a response that ends within its head is no success")
{
    // An upstream that closes in the middle of a response head must not give
    // the caller a successful response with an empty body.
    net::ip::tcp::acceptor acceptor{m_io, loopback()};
    net::ip::tcp::socket connection{m_io};
    std::string const partial_head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    acceptor.async_accept(
        connection,
        [&](boost::system::error_code)
        {
            net::write(connection, net::buffer(partial_head));
            connection.shutdown(net::ip::tcp::socket::shutdown_send);
        });
    std::optional<upstream_result> result;
    net::co_spawn(
        m_io,
        m_client.run(
            1,
            make_target(acceptor.local_endpoint()),
            make_request("/balances/1", "partial"),
            runtime_clock::now() + 1s,
            {}),
        [&](std::exception_ptr const&, upstream_result value)
        {
            result = std::move(value);
        });
    run_until(
        [&]
        {
            return result.has_value();
        });
    CHECK(result->m_outcome == attempt_outcome::crashed);
    CHECK(result->m_body.empty());
}

TEST_CASE_FIXTURE(fixture, "an invalid status is a wrong response")
{
    // A status of no class reached the caller as it was, and 101 as a success.
    for (std::string const status : {"000", "099", "101", "600", "999"})
    {
        net::ip::tcp::acceptor acceptor{m_io, loopback()};
        net::ip::tcp::socket connection{m_io};
        std::string const response = "HTTP/1.1 " + status + " X\r\n" +
                                     request_id_field +
                                     ": s\r\nContent-Length: 0\r\n\r\n";
        acceptor.async_accept(
            connection,
            [&](boost::system::error_code)
            {
                net::write(connection, net::buffer(response));
            });
        std::optional<upstream_result> result;
        net::co_spawn(
            m_io,
            m_client.run(
                1,
                make_target(acceptor.local_endpoint()),
                make_request("/balances/1", "s"),
                runtime_clock::now() + 1s,
                {}),
            [&](std::exception_ptr const&, upstream_result value)
            {
                result = std::move(value);
            });
        run_until(
            [&]
            {
                return result.has_value();
            });
        CAPTURE(status);
        CHECK(result->m_outcome == attempt_outcome::wrong);
        CHECK(result->m_sent);
        CHECK(!result->m_not_run);
    }
}

TEST_CASE_FIXTURE(fixture, "nothing is sent if may_send returns false")
{
    // A VM with stale configuration must not send requests, not even those that
    // it admitted before.
    auto const attempt =
        run("/balances/1",
            "r",
            []
            {
                return false;
            });
    CHECK(attempt.m_outcome == attempt_outcome::cancelled);
    CHECK_FALSE(attempt.m_sent);
    CHECK(run("/balances/1", "r").m_outcome == attempt_outcome::good);
    CHECK(m_first.stats().m_received == 1);
}

TEST_CASE_FIXTURE(fixture, "a connection closed while idle is not reused")
{
    // A request written to it would count as sent and be in doubt.
    CHECK(run("/x", "1").m_outcome == attempt_outcome::good);
    m_first.crash();
    runtime_clock::advance(3s);
    run_until(
        [&]
        {
            return run("/x", "2").m_outcome == attempt_outcome::good;
        });
    CHECK(m_first.stats().m_connections == 2);
}

TEST_CASE_FIXTURE(fixture, "a truncated download resumes at another upstream")
{
    // Starting over would send the caller bytes that it already has.
    set_fault(fault_kind::truncate);
    stream_position position;
    auto const cut = stream(m_first, position);
    CHECK(cut.m_outcome == attempt_outcome::wrong);
    CHECK(position.m_received == m_archive.size() / 2);
    CHECK(is_resumable(position));
    auto const rest = stream(m_second, position);
    CHECK(rest.m_outcome == attempt_outcome::good);
    CHECK(m_heads == 1);
    CHECK(m_streamed == m_archive);
}

TEST_CASE_FIXTURE(
    fixture, "a download does not resume with a different entity tag")
{
    // The caller would get parts of two different archives.
    upstream_options other;
    other.m_archive_bytes = m_archive.size() + 1;
    upstream_stand_in changed{m_io, other, loopback()};
    set_fault(fault_kind::truncate);
    stream_position position;
    stream(m_first, position);
    std::size_t const received = m_streamed.size();
    CHECK(stream(changed, position).m_outcome == attempt_outcome::wrong);
    CHECK(m_streamed.size() == received);
    changed.stop();
    m_io.restart();
    m_io.poll();
}

TEST_CASE_FIXTURE(fixture, "a download with a wrong digest stays incomplete")
{
    // The last part is withheld, so that the caller can detect the corruption.
    set_fault(fault_kind::digest);
    stream_position position;
    auto const attempt = stream(m_first, position);
    CHECK(attempt.m_outcome == attempt_outcome::wrong);
    CHECK(m_streamed.size() < m_archive.size());
    CHECK_FALSE(is_resumable(position));
}

TEST_CASE_FIXTURE(
    fixture, "a streamed error response is returned, not forwarded")
{
    // Once a head is forwarded, no other upstream can be tried.
    set_fault(fault_kind::error);
    stream_position position;
    CHECK(stream(m_first, position).m_outcome == attempt_outcome::error);
    CHECK(m_heads == 0);
}
