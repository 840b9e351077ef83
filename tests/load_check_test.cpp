#include "load_check.hpp"
#include "stand_ins/upstream_archive.hpp"

#include <doctest/doctest.h>

using namespace briarhub;
namespace http = boost::beast::http;

TEST_CASE("accounts are parsed with keys and weights")
{
    // A wrongly parsed key would appear as refusals by the fleet.
    auto const parsed = parse_accounts("shop=k:2.5,vet=a:b:1,zoo=k");
    auto const* accounts = std::get_if<load_accounts>(&parsed);
    REQUIRE(accounts != nullptr);
    CHECK(accounts->at(0).m_weight == 2.5);
    CHECK(accounts->at(1).m_key == "a:b");
    CHECK(accounts->at(2).m_weight == 1.0);
    CHECK(std::holds_alternative<load_error>(parse_accounts("shop")));
    CHECK(std::holds_alternative<load_error>(parse_accounts("shop=k:0")));
}

TEST_CASE("an archive of another account or with wrong content is detected")
{
    // Otherwise the load client would report swapped archives as correct.
    load_class work;
    work.m_archive = true;
    load_request const request{http::verb::get, "/archive/1", 11};
    std::string const content =
        stand_ins::make_archive("shop", "/archive/1", 1000);
    sha256_hasher digest;
    digest.update(content);
    load_response response{http::status::ok, 11, content};
    response.set(http::field::etag, '"' + digest.hex() + '"');
    CHECK(find_mismatch(work, "shop", request, response).empty());
    CHECK_FALSE(find_mismatch(work, "vet", request, response).empty());
    response.body().pop_back();
    CHECK_FALSE(find_mismatch(work, "shop", request, response).empty());
}

TEST_CASE("a refusal reports whether the request may have run")
{
    // With a wrong result the client would not retry at all or would retry a
    // final failure.
    load_response response{http::status::bad_gateway, 11};
    CHECK(refusal_code(response) == 502);
    response.set("Briarhub-Result", "4009");
    response.body() = R"({"code":4009,"run":"may_have_run"})";
    CHECK(refusal_code(response) == 4009);
    CHECK(indicates_may_have_run(response));
    response.body() = R"({"code":3001,"run":"not_run"})";
    CHECK_FALSE(indicates_may_have_run(response));
}
