#ifndef BRIARHUB_TRAFFIC_FIXTURE_HPP
#define BRIARHUB_TRAFFIC_FIXTURE_HPP

/// Test fixture: a traffic_worker with test callers and upstreams and a
/// simulated control thread, all on one thread with a paused clock.

#include "caller_key.hpp"
#include "idempotency_key.hpp"
#include "traffic_worker.hpp"
#include "upstream_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace briarhub::test
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using asio::ip::tcp;

inline constexpr char const* test_key = "sesame-4711-open";

inline std::string
make_request(std::string const& line, std::string const& extra_headers = "")
{
    return line + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + test_key + "\r\n" +
           extra_headers + "\r\n";
}

/// HTTP upstream whose responses the test defines.
class fake_upstream
{
public:
    using request = http::request<http::string_body>;

    /// Raw bytes to send; the connection is closed after them if `m_close`.
    struct reply
    {
        std::string m_bytes;
        bool m_close = false;
    };

    fake_upstream(asio::io_context& io, std::string id)
        : m_id(std::move(id)), m_io(io),
          m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    static std::string make_response(
        request const& from,
        std::string const& body,
        std::string const& status = "200 OK",
        std::string const& extra_headers = "")
    {
        return "HTTP/1.1 " + status + "\r\nBriarhub-Request-Id: " +
               std::string{from[request_id_field]} +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
               extra_headers + "\r\n" + body;
    }

    [[nodiscard]] upstream make_entry(service_name const& service) const
    {
        upstream entry;
        entry.m_id = m_id;
        entry.m_service = service;
        entry.m_failure_domain = "d1";
        entry.m_address =
            "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        entry.m_slots = 4;
        return entry;
    }

    std::string m_id;
    std::vector<std::string> m_requests; ///< full text of each request
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::function<reply(request const&)> m_on_request = [](request const& from)
    {
        return reply{make_response(from, "hello")};
    };

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto socket = std::make_shared<tcp::socket>(
                co_await m_acceptor.async_accept(asio::use_awaitable));
            m_sockets.push_back(socket);
            asio::co_spawn(m_io, serve(socket), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        for (;;)
        {
            request received;
            auto [error, bytes] =
                co_await http::async_read(*socket, buffer, received, use_tuple);
            if (error)
            {
                co_return;
            }
            std::ostringstream text;
            text << received;
            m_requests.push_back(text.str());
            reply const response = m_on_request(received);
            auto [failed, sent] = co_await asio::async_write(
                *socket, asio::buffer(response.m_bytes), use_tuple);
            if (response.m_close || failed)
            {
                socket->close();
                co_return;
            }
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
};

class traffic_fixture
{
public:
    explicit traffic_fixture(std::uint32_t max_connections = 16)
        : m_first_upstream(m_io, "u1"), m_second_upstream(m_io, "u2"),
          m_to_control(
              m_io,
              1024,
              [this](control_message&& message)
              {
                  handle_control_message(std::move(message));
              }),
          m_worker(
              m_io,
              make_settings(max_connections),
              m_self,
              m_metrics,
              m_to_control)
    {
        m_worker.start();
    }

    /// Sends the updates that make the VM ready and waits until the token
    /// buckets are filled.
    void make_ready(std::vector<upstream> upstreams = {})
    {
        config_update configuration;
        configuration.m_version = 1;
        configuration.m_control_version = 1;
        configuration.m_full_config = std::make_unique<config>(make_config());
        receive(std::move(configuration));
        receive(members_update{1, {m_self}, true, false});
        receive(stable_version_update{1});
        receive(freshness_update{runtime_clock::now() + 24h});
        receive(claim_coverage{wall_now() - 1h, true});
        if (upstreams.empty())
        {
            upstreams = {
                m_first_upstream.make_entry("desk"),
                m_second_upstream.make_entry("desk")};
        }
        receive(upstreams_update{std::move(upstreams)});
        // Covers the rebalance delay, token refill and slow start.
        for (int i = 0; i < 30; ++i)
        {
            advance(1s);
        }
    }

    template <class Message>
    void receive(Message&& message)
    {
        m_worker.receive(traffic_message{std::forward<Message>(message)});
    }

    void apply_config_change(config_operation operation)
    {
        config_update update;
        update.m_version = 2;
        update.m_operations.push_back(std::move(operation));
        receive(std::move(update));
    }

    /// Advances the clock and runs all handlers that are due by then. The timer
    /// service completes due timers in order, so `last` completes last.
    void advance(duration step)
    {
        bool is_due = false;
        timer last{m_io, runtime_clock::now() + step};
        last.async_wait(
            [&](boost::system::error_code)
            {
                is_due = true;
            });
        runtime_clock::advance(step);
        run_until(
            [&]
            {
                return is_due;
            });
        m_io.poll();
    }

    /// Runs handlers until the condition holds. The real-time limit only bounds
    /// the duration of a failing test.
    template <class Condition>
    void run_until(Condition&& condition)
    {
        auto const end = std::chrono::steady_clock::now() + 60s;
        while (!condition())
        {
            REQUIRE(std::chrono::steady_clock::now() < end);
            m_io.run_one_for(1ms);
        }
    }

    template <class Message>
    std::size_t count_messages() const
    {
        std::size_t count = 0;
        for (auto const& message : m_messages)
        {
            count += std::holds_alternative<Message>(message) ? 1 : 0;
        }
        return count;
    }

    template <class Message>
    Message const& last_message() const
    {
        for (auto at = m_messages.rbegin(); at != m_messages.rend(); ++at)
        {
            if (auto const* found = std::get_if<Message>(&*at))
            {
                return *found;
            }
        }
        FAIL("no message of this type was sent");
        std::abort();
    }

    static config make_config()
    {
        config result;
        result.m_services["desk"] = {"desk", 0.0};
        auto const add = [&](work_class_config work_class)
        {
            work_class.m_service = "desk";
            result.m_work_classes[work_class.m_name] = work_class;
        };
        work_class_config read;
        read.m_name = "read";
        read.m_method = "GET";
        read.m_path_prefix = "/read";
        add(read);
        work_class_config pay = read;
        pay.m_name = "pay";
        pay.m_method = "POST";
        pay.m_path_prefix = "/pay";
        pay.m_idempotent = false;
        add(pay);
        work_class_config archive = read;
        archive.m_name = "archive";
        archive.m_path_prefix = "/archive";
        archive.m_archive = true;
        archive.m_deadline = 600s;
        add(archive);
        work_class_config other = read;
        other.m_name = "other";
        other.m_path_prefix = "/other";
        other.m_accounts = {"somebody"};
        add(other);
        result.m_accounts["acme"] = {"acme", 100.0, 100.0};
        result.m_accounts["slow"] = {"slow", 0.1, 1.0};
        result.m_keys["k1"] = {"k1", sha256_hex(test_key), "acme"};
        result.m_keys["k2"] = {"k2", sha256_hex("second-key"), "slow"};
        return result;
    }

    /// Declared first, so that the clock resumes after its users are destroyed.
    struct clock_pause
    {
        clock_pause()
        {
            runtime_clock::pause();
        }
        ~clock_pause()
        {
            runtime_clock::resume();
        }
    };

    clock_pause m_clock;
    asio::io_context m_io;
    metrics_registry m_metrics;
    member const m_self{"vm1", 7, "d1"};
    fake_upstream m_first_upstream;
    fake_upstream m_second_upstream;
    std::vector<control_message> m_messages;
    /// Decides a claim; nullopt leaves it undecided.
    std::function<std::optional<claim_verdict>(claim_request const&)>
        m_on_claim = [this](claim_request const& request)
    {
        return claim_won{{m_self.m_vm, 7, request.m_ticket}};
    };
    mailbox<control_message> m_to_control;
    traffic_worker m_worker;

private:
    static settings make_settings(std::uint32_t max_connections)
    {
        settings options;
        options.m_listen = "127.0.0.1:0";
        options.m_caller_timeout = 10s;
        options.m_max_connections = max_connections;
        return options;
    }

    void handle_control_message(control_message&& message)
    {
        if (auto const* request = std::get_if<claim_request>(&message))
        {
            if (auto verdict = m_on_claim(*request))
            {
                receive(claim_decision{request->m_ticket, std::move(*verdict)});
            }
        }
        m_messages.push_back(std::move(message));
    }
};

/// Connection of a test caller.
class caller
{
public:
    explicit caller(traffic_fixture& fixture)
        : m_fixture(fixture), m_socket(fixture.m_io)
    {
        m_socket.connect(
            {asio::ip::make_address("127.0.0.1"), fixture.m_worker.port()});
        m_socket.non_blocking(true);
    }

    void send(std::string const& text)
    {
        asio::write(m_socket, asio::buffer(text));
    }

    using response = http::response<http::string_body>;

    /// Reads one complete response.
    response read()
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        m_fixture.run_until(
            [&]
            {
                receive();
                boost::system::error_code error;
                m_input.erase(0, parser.put(asio::buffer(m_input), error));
                REQUIRE((!error || error == http::error::need_more));
                return parser.is_done();
            });
        return parser.release();
    }

    response exchange(std::string const& text)
    {
        send(text);
        return read();
    }

    /// Returns the result code of the response; checks that header and body
    /// agree.
    result_code expect_refusal(std::string const& text)
    {
        send(text);
        return read_refusal();
    }

    result_code read_refusal()
    {
        m_response = read();
        auto const body = boost::json::parse(m_response.body());
        auto const code = body.at("code").to_number<unsigned>();
        auto const result = static_cast<result_code>(code);
        CHECK(m_response["Briarhub-Result"] == std::to_string(code));
        CHECK(m_response.result_int() == describe(result).m_http_status);
        CHECK(
            body.at("run").as_string() ==
            std::string{to_string(describe(result).m_execution)});
        return result;
    }

    /// Reads until at least `bytes` unparsed bytes are buffered.
    void wait_for_bytes(std::size_t bytes)
    {
        m_fixture.run_until(
            [&]
            {
                receive();
                return m_input.size() >= bytes;
            });
    }

    void wait_for_close()
    {
        m_fixture.run_until(
            [&]
            {
                receive();
                return m_is_closed;
            });
    }

    bool has_input()
    {
        receive();
        return !m_input.empty();
    }

    void close()
    {
        m_socket.close();
    }

    std::string m_input;
    response m_response;

private:
    void receive()
    {
        std::array<char, 4096> chunk;
        boost::system::error_code error;
        auto const bytes = m_socket.read_some(asio::buffer(chunk), error);
        m_input.append(chunk.data(), bytes);
        m_is_closed = m_is_closed || (error != boost::system::error_code{} &&
                                      error != asio::error::would_block);
    }

    traffic_fixture& m_fixture;
    tcp::socket m_socket;
    bool m_is_closed = false;
};

} // namespace briarhub::test

#endif
