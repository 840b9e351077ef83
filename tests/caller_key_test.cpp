#include "caller_key.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace briarhub;
namespace http = boost::beast::http;

namespace
{

constexpr char const* secret = "sesame-4711-open";

} // namespace

TEST_CASE("the digest is SHA-256")
{
    // Operators compute the digests of keys with other tools.
    CHECK(
        sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                             "b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a request must carry its key in exactly one field")
{
    using enum result_code;
    auto const extract =
        [](std::string const& authorization, std::string const& api_key)
    {
        http::fields fields;
        if (!authorization.empty())
        {
            fields.set(http::field::authorization, authorization);
        }
        if (!api_key.empty())
        {
            fields.set("X-Api-Key", api_key);
        }
        return extract_caller_key(fields);
    };
    using result = std::variant<std::string, result_code>;
    CHECK(extract("bearer k1", "") == result{"k1"});
    CHECK(extract("", "k2") == result{"k2"});
    CHECK(extract("", "") == result{missing_key});
    CHECK(extract("Basic k1", "") == result{missing_key});
    CHECK(extract("Bearer ", "") == result{missing_key});
    CHECK(extract("Bearer k1", "k1") == result{duplicate_header});
}

TEST_CASE("lookup does not return withdrawn and replaced keys")
{
    key_index index;
    key_config const key{"id-1", sha256_hex(secret), "acme"};
    index.put(key);
    REQUIRE(index.find(secret) != nullptr);
    CHECK(index.find(secret)->m_account == "acme");
    CHECK(index.find("other") == nullptr);
    // The same id with another digest replaces the key.
    index.put({"id-1", sha256_hex("second"), "acme"});
    CHECK(index.find(secret) == nullptr);
    CHECK(index.is_current("id-1"));
    CHECK_FALSE(index.is_current(key));
    index.withdraw("id-1");
    CHECK(index.find("second") == nullptr);
    CHECK_FALSE(index.is_current("id-1"));
}

TEST_CASE("credentials and identity fields are removed from header and target")
{
    http::fields fields;
    for (auto const* name :
         {"Authorization",
          "x-api-key",
          "Cookie",
          "Proxy-Authorization",
          "Briarhub-Account",
          "briarhub_account",
          "Upstream-Not-Run",
          "Forwarded",
          "X-Forwarded-For",
          "TE",
          "Transfer-Encoding",
          "X-Listed",
          "X-Also-Listed"})
    {
        fields.insert(name, "value");
    }
    fields.insert("Connection", "X-Listed, close");
    fields.insert("Connection", "x-also-listed");
    fields.insert("Referer", std::string{"/a?b="} + secret);
    fields.insert("X-Escaped", "sesame%2D4711-open");
    fields.insert(secret, "value");
    fields.insert("X-Kept", "value");
    std::string target = "/a?x=1&KEY=v&api_key=v&access%5ftoken=v;key=v&y=";
    target += secret;
    target += "&z=%73esame-4711-open&last=2";
    remove_credentials(fields, target, secret);
    CHECK(std::distance(fields.begin(), fields.end()) == 1);
    CHECK(fields["X-Kept"] == "value");
    CHECK(target == "/a?x=1&last=2");
}

TEST_CASE("a short key does not remove fields that contain it by chance")
{
    http::fields fields;
    fields.insert("Accept", "a, b");
    fields.insert("X-Copy", "a");
    std::string target = "/path?key=a";
    remove_credentials(fields, target, "a");
    CHECK(fields.count("Accept") == 1);
    CHECK(fields.count("X-Copy") == 0);
    CHECK(target == "/path");
}
