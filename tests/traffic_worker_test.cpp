#include "traffic_fixture.hpp"

#include <string>

using namespace briarhub;
using namespace briarhub::test;
using enum result_code;

namespace
{

using request = fake_upstream::request;
using reply = fake_upstream::reply;

/// A payment with a new idempotency key.
std::string make_payment(std::string const& body = "x=1")
{
    return make_request(
               "POST /pay/1",
               "Idempotency-Key: " + make_uuid_v7(wall_now()) +
                   "\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n") +
           body;
}

void respond_with(
    traffic_fixture& fixture, std::function<reply(request const&)> handler)
{
    fixture.m_first_upstream.m_on_request = handler;
    fixture.m_second_upstream.m_on_request = std::move(handler);
}

std::size_t count_requests(traffic_fixture const& fixture)
{
    return fixture.m_first_upstream.m_requests.size() +
           fixture.m_second_upstream.m_requests.size();
}

reply close_connection(request const&)
{
    return {"", true};
}

reply shed_request(request const& from)
{
    return {fake_upstream::make_response(
        from, "", "503 Busy", "Upstream-Not-Run: 1\r\n")};
}

} // namespace

TEST_CASE("requests are refused without a fresh configuration")
{
    // Guards against a VM that accepts withdrawn keys because its configuration
    // is missing or stale.
    traffic_fixture fixture;
    caller client{fixture};
    CHECK(client.expect_refusal(make_request("GET /read/1")) == starting);
    fixture.make_ready();
    auto const response = client.exchange(make_request("GET /read/1"));
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "hello");
    CHECK(response["Briarhub-Result"] == "0");
    fixture.receive(freshness_update{runtime_clock::now()});
    CHECK(
        client.expect_refusal(make_request("GET /read/1")) ==
        configuration_stale);
    CHECK(count_requests(fixture) == 1);
}

TEST_CASE("pipelined requests receive responses in order")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(
        fixture,
        [](request const& from) -> reply
        {
            return {fake_upstream::make_response(
                from, std::string{from.target()} + from.body())};
        });
    caller client{fixture};
    client.send(
        make_request("GET /read/1") + make_request("GET /none") +
        make_request("GET /read/2", "Content-Length: 3\r\n") + "abc" +
        make_request("GET /read/3", "Transfer-Encoding: chunked\r\n") +
        "3\r\nxyz\r\n0\r\nX-Api-Key: trailer\r\n\r\n");
    CHECK(client.read().body() == "/read/1");
    CHECK(client.read_refusal() == unknown_route);
    CHECK(client.read().body() == "/read/2abc");
    CHECK(client.read().body() == "/read/3xyz");
}

TEST_CASE("invalid request headers are refused and the connection is closed")
{
    traffic_fixture fixture;
    fixture.make_ready();
    std::string const conflicting_lengths =
        "Content-Length: 1\r\nTransfer-Encoding: "
        "chunked\r\n";
    std::string const large = "X: " + std::string(17 * 1024, 'a') + "\r\n";
    std::pair<std::string, result_code> const cases[] = {
        {make_request("POST /pay", conflicting_lengths) + "0\r\n\r\n",
         ambiguous_length},
        {make_request(
             "GET /read", "Content-Length: 1\r\nContent-Length: 1\r\n"),
         ambiguous_length},
        {"GET /read HTTP/1.1\nHost: h\n\n", malformed_request},
        {make_request("GET /read", "X: a\r\n b\r\n"), malformed_request},
        {make_request("GET /read", "X-Api-Key: other\r\n"), duplicate_header},
        {make_request("GET /read", "Authorization: Bearer b\r\n"),
         duplicate_header},
        {make_request("GET http://h/read"), unsupported_target},
        {make_request("GET /read", large), header_too_large},
        {make_request("POST /pay", "Content-Length: 2000000\r\n"),
         body_too_large}};
    for (auto const& [text, code] : cases)
    {
        caller client{fixture};
        std::string const start = text.substr(0, 200);
        INFO(start);
        CHECK(client.expect_refusal(text) == code);
        bool const is_key_error = code == duplicate_header &&
                                  text.find("Bearer") != std::string::npos;
        if (!is_key_error)
        {
            CHECK(client.m_response["Connection"] == "close");
            client.wait_for_close();
        }
    }
    CHECK(count_requests(fixture) == 0);
}

TEST_CASE("slow callers are disconnected")
{
    // Guards against slow callers that exhaust the connection limit.
    traffic_fixture fixture{2};
    fixture.make_ready();
    caller head{fixture};
    head.send("GET /read HTTP/1.1\r\nHo");
    caller body{fixture};
    body.send(make_request("POST /pay", "Content-Length: 5\r\n") + "ab");
    fixture.run_until(
        [&]
        {
            auto const text = fixture.m_metrics.to_text();
            return text.find("caller_connections 2") != std::string::npos;
        });
    caller third{fixture};
    CHECK(third.read_refusal() == too_many_connections);
    // Repeated, since the worker may read the bytes only after the first step.
    fixture.run_until(
        [&]
        {
            fixture.advance(11s);
            return head.has_input() && body.has_input();
        });
    CHECK(head.read_refusal() == caller_too_slow);
    CHECK(body.read_refusal() == caller_too_slow);
    head.wait_for_close();
}

TEST_CASE("keys, routes and account rates are enforced")
{
    traffic_fixture fixture;
    fixture.make_ready();
    caller client{fixture};
    CHECK(
        client.expect_refusal("GET /read HTTP/1.1\r\nHost: h\r\n\r\n") ==
        missing_key);
    CHECK(
        client.expect_refusal(
            "GET /read HTTP/1.1\r\nHost: h\r\nX-Api-Key: bad\r\n\r\n") ==
        unknown_key);
    CHECK(
        client.expect_refusal(make_request("GET /other")) == route_not_allowed);
    std::string const slow =
        "GET /read HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
        "second-key\r\n\r\n";
    CHECK(client.exchange(slow).result_int() == 200);
    client.send(slow);
    fixture.run_until(
        [&]
        {
            fixture.advance(1ms);
            return fixture.m_metrics.to_text().find("over_rate") !=
                   std::string::npos;
        });
    CHECK(client.read_refusal() == over_rate);
    CHECK(client.m_response.count("Retry-After") == 1);
    CHECK(client.exchange(make_request("GET /read")).result_int() == 200);
}

TEST_CASE("the key and caller-supplied identity headers don't reach upstreams")
{
    traffic_fixture fixture;
    fixture.make_ready();
    caller client{fixture};
    std::string const key{test_key};
    auto const response = client.exchange(
        make_request(
            "GET /read?key=" + key + "&q=" + key + "&r=1",
            "Cookie: k=" + key + "\r\nX-Copy: " + key +
                "\r\nBriarhub-Account: evil\r\nX-Forwarded-For: 1.2.3.4\r\n"
                "Connection: X-Hop\r\nX-Hop: evil\r\nTransfer-Encoding: "
                "chunked\r\nTrailer: X-Late\r\n") +
        "1\r\na\r\n0\r\nX-Late: " + key + "\r\n\r\n");
    CHECK(response.result_int() == 200);
    REQUIRE(count_requests(fixture) == 1);
    auto const text = fixture.m_first_upstream.m_requests.empty()
                          ? fixture.m_second_upstream.m_requests.front()
                          : fixture.m_first_upstream.m_requests.front();
    CHECK(text.find(key) == std::string::npos);
    CHECK(text.find("evil") == std::string::npos);
    CHECK(text.find("1.2.3.4") == std::string::npos);
    CHECK(text.starts_with("GET /read?r=1 HTTP/1.1\r\n"));
    CHECK(text.find("Briarhub-Account: acme\r\n") != std::string::npos);
    CHECK(text.find("Briarhub-Deadline: ") != std::string::npos);
    // The path and the body cannot be rewritten, so a key in them is refused.
    CHECK(
        client.expect_refusal(make_request("GET /read/" + key)) ==
        malformed_request);
    CHECK(client.expect_refusal(make_payment(key)) == malformed_request);
    CHECK(count_requests(fixture) == 1);
}

TEST_CASE("internal response headers don't reach the caller")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(
        fixture,
        [](request const& from) -> reply
        {
            return {fake_upstream::make_response(
                from,
                "x",
                "200 OK",
                "Upstream-Load: 1/4\r\nBriarhub-Secret: 1\r\nX-Own: 1\r\n"
                "Connection: X-Hop\r\nX-Hop: 1\r\n")};
        });
    caller client{fixture};
    auto const response = client.exchange(make_request("GET /read"));
    CHECK(response.count("Upstream-Load") == 0);
    CHECK(response.count("Briarhub-Secret") == 0);
    CHECK(response.count("X-Hop") == 0);
    CHECK(response["X-Own"] == "1");
}

TEST_CASE("a withdrawn key is refused on an open connection")
{
    traffic_fixture fixture;
    fixture.make_ready();
    caller client{fixture};
    CHECK(client.exchange(make_request("GET /read")).result_int() == 200);
    fixture.apply_config_change(withdraw_key{"k1"});
    CHECK(client.expect_refusal(make_request("GET /read")) == unknown_key);
    CHECK(count_requests(fixture) == 1);
}

TEST_CASE(
    "a request that waits for its claim is refused when its key is withdrawn")
{
    traffic_fixture fixture;
    fixture.make_ready();
    fixture.m_on_claim = [](claim_request const&)
    {
        return std::nullopt;
    };
    caller client{fixture};
    client.send(make_payment());
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_request>() == 1;
        });
    fixture.apply_config_change(withdraw_key{"k1"});
    auto const ticket = fixture.last_message<claim_request>().m_ticket;
    fixture.receive(claim_decision{ticket, claim_won{{"vm1", 7, 3}}});
    CHECK(client.read_refusal() == key_withdrawn);
    CHECK(count_requests(fixture) == 0);
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_release>() == 1;
        });
    CHECK(fixture.last_message<claim_release>().m_claim_id.m_sequence == 3);
}

TEST_CASE("an interrupted archive download resumes at another upstream")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(
        fixture,
        [](request const& from) -> reply
        {
            std::string const fields =
                "ETag: \"t\"\r\nAccept-Ranges: bytes\r\n";
            if (from["Range"] == "bytes=3-")
            {
                return {fake_upstream::make_response(
                    from,
                    "defghij",
                    "206 Partial Content",
                    fields + "Content-Range: bytes 3-9/10\r\n")};
            }
            auto whole = fake_upstream::make_response(
                from, "abcdefghij", "200 OK", fields);
            return {whole.substr(0, whole.size() - 7), true};
        });
    caller client{fixture};
    auto const response = client.exchange(make_request("GET /archive/1"));
    CHECK(response.body() == "abcdefghij");
    CHECK(count_requests(fixture) == 2);
    // The connection is still usable after the download.
    CHECK(client.expect_refusal(make_request("GET /none")) == unknown_route);
}

TEST_CASE("an incomplete archive download ends before its Content-Length")
{
    // Guards against a truncated archive that the caller takes for complete.
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(
        fixture,
        [](request const& from) -> reply
        {
            auto whole = fake_upstream::make_response(from, "abcdefghij");
            return {whole.substr(0, whole.size() - 7), true};
        });
    caller client{fixture};
    client.send(make_request("GET /archive/1"));
    client.wait_for_close();
    CHECK(client.m_input.find("Content-Length: 10\r\n") != std::string::npos);
    CHECK(client.m_input.ends_with("\r\n\r\nabc"));
}

TEST_CASE("a download in progress ends when its key is withdrawn")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(
        fixture,
        [](request const& from) -> reply
        {
            auto whole = fake_upstream::make_response(from, "abcdefghij");
            return {whole.substr(0, whole.size() - 7), false};
        });
    caller client{fixture};
    client.send(make_request("GET /archive/1"));
    fixture.run_until(
        [&]
        {
            client.wait_for_bytes(1);
            return client.m_input.ends_with("abc");
        });
    fixture.apply_config_change(withdraw_key{"k1"});
    client.wait_for_close();
    CHECK(client.m_input.ends_with("\r\n\r\nabc"));
    fixture.run_until(
        [&]
        {
            return fixture.m_metrics.to_text().find("key_withdrawn") !=
                   std::string::npos;
        });
}

TEST_CASE("a non-idempotent request is not retried after a connection failure")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(fixture, close_connection);
    caller client{fixture};
    CHECK(client.expect_refusal(make_payment()) == outcome_unknown);
    CHECK(count_requests(fixture) == 1);
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_outcome>() == 1;
        });
    CHECK_FALSE(fixture.last_message<claim_outcome>().m_known);
    CHECK(fixture.count_messages<claim_release>() == 0);
}

TEST_CASE("a slow non-idempotent request is never cancelled")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(
        fixture,
        [](request const&) -> reply
        {
            return {};
        });
    caller client{fixture};
    client.send(make_payment());
    fixture.run_until(
        [&]
        {
            return count_requests(fixture) == 1;
        });
    for (int i = 0; i < 49; ++i)
    {
        fixture.advance(100ms);
    }
    CHECK(fixture.count_messages<claim_outcome>() == 0);
    fixture.advance(200ms);
    CHECK(client.read_refusal() == outcome_unknown);
    CHECK(count_requests(fixture) == 1);
}

TEST_CASE("a shed non-idempotent request is retried under the same claim")
{
    traffic_fixture fixture;
    fixture.make_ready();
    int remaining_sheds = 1;
    respond_with(
        fixture,
        [&](request const& from) -> reply
        {
            return remaining_sheds-- > 0
                       ? shed_request(from)
                       : reply{fake_upstream::make_response(
                             from, "done", "201 Created", "X-Own: 1\r\n")};
        });
    caller client{fixture};
    CHECK(client.exchange(make_payment()).body() == "done");
    CHECK(count_requests(fixture) == 2);
    CHECK(fixture.count_messages<claim_request>() == 1);
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_outcome>() == 1;
        });
    auto const& outcome = fixture.last_message<claim_outcome>();
    CHECK(outcome.m_known);
    CHECK(outcome.m_http_status == 201);
    CHECK(outcome.m_body == "done");
    // All upstreams shed it, so it has not run and the claim is released.
    remaining_sheds = 100;
    CHECK(client.expect_refusal(make_payment()) == all_upstreams_shed);
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_release>() == 1;
        });
}

TEST_CASE("claim verdicts map to result codes and stored responses")
{
    traffic_fixture fixture;
    fixture.make_ready();
    caller client{fixture};
    claim_verdict verdict = claim_refused{claim_in_progress};
    fixture.m_on_claim = [&](claim_request const&)
    {
        return verdict;
    };
    CHECK(client.expect_refusal(make_payment()) == claim_in_progress);
    claim_outcome stored;
    stored.m_known = true;
    stored.m_http_status = 201;
    stored.m_headers = {{"X-Own", "1"}};
    stored.m_body = "stored";
    stored.m_body_length = stored.m_body.size();
    stored.m_body_stored = true;
    verdict = claim_finished{stored};
    auto const response = client.exchange(make_payment());
    CHECK(response.result_int() == 201);
    CHECK(response["X-Own"] == "1");
    CHECK(response.body() == "stored");
    stored.m_body_stored = false;
    verdict = claim_finished{stored};
    CHECK(client.expect_refusal(make_payment()) == outcome_not_stored);
    CHECK(
        client.expect_refusal(make_request("POST /pay/1")) ==
        idempotency_key_missing);
    fixture.receive(claim_coverage{wall_now(), false});
    CHECK(client.expect_refusal(make_payment()) == claims_unavailable);
    CHECK(count_requests(fixture) == 0);
}

TEST_CASE("a cancelled claim is released if it is granted later")
{
    traffic_fixture fixture;
    fixture.make_ready();
    fixture.m_on_claim = [](claim_request const&)
    {
        return std::nullopt;
    };
    caller client{fixture};
    client.send(make_payment());
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_request>() == 1;
        });
    client.close();
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_cancel>() == 1;
        });
    auto const ticket = fixture.last_message<claim_cancel>().m_ticket;
    fixture.receive(claim_decision{ticket, claim_won{{"vm1", 7, 5}}});
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_release>() == 1;
        });
    CHECK(count_requests(fixture) == 0);
}

TEST_CASE("a non-idempotent request completes after its caller disconnects")
{
    traffic_fixture fixture;
    fixture.make_ready();
    std::string late_response;
    respond_with(
        fixture,
        [&](request const& from) -> reply
        {
            late_response = fake_upstream::make_response(from, "done");
            return {};
        });
    caller client{fixture};
    client.send(make_payment());
    fixture.run_until(
        [&]
        {
            return count_requests(fixture) == 1;
        });
    client.close();
    fixture.advance(100ms);
    auto& target = fixture.m_first_upstream.m_requests.empty()
                       ? fixture.m_second_upstream
                       : fixture.m_first_upstream;
    asio::write(*target.m_sockets.back(), asio::buffer(late_response));
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_outcome>() == 1;
        });
    CHECK(fixture.last_message<claim_outcome>().m_known);
}

TEST_CASE("idempotent requests are retried and then report whether they ran")
{
    traffic_fixture fixture;
    fixture.make_ready();
    caller client{fixture};
    int remaining_failures = 1;
    respond_with(
        fixture,
        [&](request const& from) -> reply
        {
            return {fake_upstream::make_response(
                from, "x", remaining_failures-- > 0 ? "500 Bad" : "200 OK")};
        });
    CHECK(client.exchange(make_request("GET /read/1")).result_int() == 200);
    CHECK(count_requests(fixture) == 2);
    remaining_failures = 100;
    auto const code = client.expect_refusal(make_request("GET /read/2"));
    CHECK(describe(code).m_execution == execution_status::may_have_run);
    // A response with another request id never reaches the caller.
    respond_with(
        fixture,
        [](request const& from) -> reply
        {
            request other = from;
            other.set(request_id_field, "other");
            return {fake_upstream::make_response(other, "x")};
        });
    auto const wrong = client.expect_refusal(make_request("GET /read/3"));
    CHECK(describe(wrong).m_execution == execution_status::may_have_run);
    respond_with(fixture, shed_request);
    CHECK(
        client.expect_refusal(make_request("GET /read/4")) ==
        all_upstreams_shed);
    CHECK(
        fixture.m_metrics.to_text().find(
            "briarhub_retries_total{reason=\"error\"}") != std::string::npos);
}

TEST_CASE(
    "a slow idempotent attempt is cancelled and retried at another upstream")
{
    traffic_fixture fixture;
    fixture.make_ready();
    int remaining_hangs = 1;
    respond_with(
        fixture,
        [&](request const& from) -> reply
        {
            return remaining_hangs-- > 0
                       ? reply{}
                       : reply{fake_upstream::make_response(from, "late")};
        });
    caller client{fixture};
    client.send(make_request("GET /read/1"));
    fixture.run_until(
        [&]
        {
            return count_requests(fixture) == 1;
        });
    fixture.advance(1500ms);
    CHECK(client.read().body() == "late");
    CHECK(count_requests(fixture) == 2);
}

TEST_CASE("a request that crashes upstreams is refused after two crashes")
{
    traffic_fixture fixture;
    fixture.make_ready();
    respond_with(fixture, close_connection);
    caller client{fixture};
    auto const first = client.expect_refusal(make_request("GET /read/crash"));
    CHECK(describe(first).m_execution == execution_status::may_have_run);
    CHECK(count_requests(fixture) == 2);
    CHECK(
        client.expect_refusal(make_request("GET /read/crash")) ==
        suspect_request_refused);
    CHECK(count_requests(fixture) == 2);
    fixture.run_until(
        [&]
        {
            fixture.advance(100ms);
            return fixture.count_messages<suspect_report>() == 1;
        });
}

TEST_CASE("a request without an available upstream is refused as not run")
{
    traffic_fixture fixture;
    fixture.make_ready({fixture.m_first_upstream.make_entry("elsewhere")});
    caller client{fixture};
    CHECK(client.expect_refusal(make_request("GET /read/1")) == no_upstream);
    CHECK(client.expect_refusal(make_payment()) == no_upstream);
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<claim_release>() == 1;
        });
}

TEST_CASE("a graceful stop completes requests in flight and refuses new ones")
{
    traffic_fixture fixture;
    fixture.make_ready();
    std::string late_response;
    respond_with(
        fixture,
        [&](request const& from) -> reply
        {
            late_response = fake_upstream::make_response(from, "done");
            return {};
        });
    caller idle{fixture};
    CHECK(idle.expect_refusal(make_request("GET /none")) == unknown_route);
    caller running{fixture};
    running.send(make_payment());
    fixture.run_until(
        [&]
        {
            return count_requests(fixture) == 1;
        });
    fixture.receive(stop_traffic{});
    idle.wait_for_close();
    caller fresh{fixture};
    CHECK(fresh.expect_refusal(make_request("GET /read/1")) == stopping);
    CHECK(fresh.m_response["Connection"] == "close");
    CHECK(fixture.count_messages<traffic_stopped>() == 0);
    auto& target = fixture.m_first_upstream.m_requests.empty()
                       ? fixture.m_second_upstream
                       : fixture.m_first_upstream;
    asio::write(*target.m_sockets.back(), asio::buffer(late_response));
    CHECK(running.read().body() == "done");
    fixture.run_until(
        [&]
        {
            return fixture.count_messages<traffic_stopped>() == 1;
        });
    // The outcome is sent before the message that lets the control thread stop.
    CHECK(fixture.count_messages<claim_outcome>() == 1);
    CHECK(std::holds_alternative<traffic_stopped>(fixture.m_messages.back()));
}

TEST_CASE("admin queries return the state of the traffic worker")
{
    traffic_fixture fixture;
    fixture.make_ready();
    auto const query_admin = [&](admin_topic topic)
    {
        admin_reply admin_response;
        admin_query query;
        query.m_topic = topic;
        query.m_reply = [&](admin_reply reply)
        {
            admin_response = std::move(reply);
        };
        fixture.m_worker.receive(std::move(query));
        return admin_response;
    };
    CHECK(query_admin(admin_topic::readiness).m_body.at("ready").as_bool());
    auto const upstreams = query_admin(admin_topic::upstreams);
    CHECK(upstreams.m_body.at("upstreams").as_array().size() == 2);
    auto const accounts = query_admin(admin_topic::accounts);
    CHECK(accounts.m_body.at("accounts").as_array().size() == 2);
    CHECK(query_admin(admin_topic::queues).m_body.at("services").is_array());
    CHECK(query_admin(admin_topic::members).m_code == admin_not_found);
}
