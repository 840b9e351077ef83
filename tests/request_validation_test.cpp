#include "request_validation.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace briarhub;
namespace http = boost::beast::http;

namespace
{

http::request_header<> make_head(std::string const& target = "/a")
{
    http::request_header<> head;
    head.version(11);
    head.method(http::verb::get);
    head.target(target);
    head.set(http::field::host, "h");
    return head;
}

result_code validate_with(
    std::vector<std::pair<std::string, std::string>> const& fields,
    std::string const& target = "/a")
{
    auto head = make_head(target);
    for (auto const& [name, value] : fields)
    {
        head.insert(name, value);
    }
    return validate_head(head);
}

} // namespace

TEST_CASE("ambiguous or malformed raw request heads are refused")
{
    // Request smuggling is possible if two parsers read different requests.
    using enum result_code;
    auto const check = [](std::string const& lines)
    {
        return validate_raw_head("GET /a HTTP/1.1\r\n" + lines + "\r\n");
    };
    CHECK(check("Host: h\r\n") == ok);
    CHECK(check("Host: h\r\nX: a\tb\r\n") == ok);
    CHECK(check("Host: h\nX: y\r\n") == malformed_request);
    CHECK(check("Host: h\rX: y\r\n") == malformed_request);
    CHECK(check("Host: h\r\n folded\r\n") == malformed_request);
    CHECK(check("Host: h\r\n\tfolded\r\n") == malformed_request);
    CHECK(check("Host : h\r\n") == malformed_request);
    CHECK(check("Host: h\r\n: empty\r\n") == malformed_request);
    CHECK(check("Host: h\r\nno colon\r\n") == malformed_request);
    CHECK(check("Host: h\r\nX: \x01\r\n") == malformed_request);
    CHECK(check(std::string{"X: a\0b\r\n", 8}) == malformed_request);
    CHECK(validate_raw_head("GET  /a HTTP/1.1\r\n\r\n") == malformed_request);
    CHECK(validate_raw_head("GET\t/a HTTP/1.1\r\n\r\n") == malformed_request);
    CHECK(validate_raw_head("GET /\xc3 HTTP/1.1\r\n\r\n") == malformed_request);
    CHECK(validate_raw_head("\r\n\r\n") == malformed_request);
    std::string many;
    for (std::size_t i = 0; i <= max_head_fields; ++i)
    {
        many += "X: y\r\n";
    }
    CHECK(check(many) == header_too_large);
}

TEST_CASE("an incomplete head is refused as soon as it is invalid")
{
    // A caller that uses bare LF would otherwise wait for the read timeout.
    using enum result_code;
    CHECK(scan_head("GET / HTTP/1.1\r\nHo").m_length == 0);
    CHECK(scan_head("GET / HTTP/1.1\r\nHo").m_code == ok);
    CHECK(scan_head("GET / HTTP/1.1\n\n").m_code == malformed_request);
    CHECK(scan_head("G\r\n\r\nrest").m_length == 5);
    CHECK(
        scan_head(std::string(max_head_bytes, 'a')).m_code == header_too_large);
    auto const oversized = std::string(max_head_bytes, 'a') + "\r\n\r\n";
    CHECK(scan_head(oversized).m_code == header_too_large);
}

TEST_CASE("ambiguous length fields are refused")
{
    using enum result_code;
    CHECK(validate_with({{"Content-Length", "5"}}) == ok);
    CHECK(validate_with({{"Transfer-Encoding", "chunked"}}) == ok);
    CHECK(
        validate_with(
            {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}) ==
        ambiguous_length);
    CHECK(
        validate_with({{"Content-Length", "5"}, {"Content-Length", "5"}}) ==
        ambiguous_length);
    CHECK(validate_with({{"Content-Length", "5, 5"}}) == ambiguous_length);
    CHECK(validate_with({{"Content-Length", "+5"}}) == malformed_request);
    CHECK(
        validate_with({{"Transfer-Encoding", "gzip, chunked"}}) ==
        ambiguous_length);
    CHECK(
        validate_with(
            {{"Transfer-Encoding", "chunked"},
             {"Transfer-Encoding", "chunked"}}) == ambiguous_length);
}

TEST_CASE("singleton fields, HTTP version and Expect are validated")
{
    using enum result_code;
    CHECK(validate_with({{"Host", "h"}}) == duplicate_header);
    CHECK(
        validate_with({{"X-Api-Key", "a"}, {"x-api-key", "b"}}) ==
        duplicate_header);
    CHECK(
        validate_with({{"Idempotency-Key", "a"}, {"Idempotency-Key", "a"}}) ==
        duplicate_header);
    CHECK(validate_with({{"Expect", "100-continue"}}) == ok);
    CHECK(validate_with({{"Expect", "other"}}) == malformed_request);
    auto head = make_head();
    head.version(10);
    CHECK(validate_head(head) == malformed_request);
    head = make_head();
    head.erase(http::field::host);
    CHECK(validate_head(head) == malformed_request);
}

TEST_CASE("targets that an upstream may resolve to another path are refused")
{
    // Such a request would run under the wrong work class.
    for (auto const* target :
         {"http://h/a",
          "*",
          "a",
          "/a#b",
          "/a/../b",
          "/a/%2e%2E/b",
          "/a/./b",
          "/a/..",
          "/a%2fb",
          "//a",
          "/a//b",
          "/a\\b",
          "/a%5cb",
          "/a%00",
          "/a%zz",
          "/a%2"})
    {
        INFO(target);
        CHECK(validate_with({}, target) == result_code::unsupported_target);
    }
    for (auto const* target :
         {"/", "/a/b/", "/a.b/..c", "/a%20b", "/a?x=//../"})
    {
        INFO(target);
        CHECK(validate_with({}, target) == result_code::ok);
    }
}
