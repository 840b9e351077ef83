#include "caller_key.hpp"
#include "wire_decode.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace briarhub;
using namespace briarhub::platform;
using namespace std::chrono_literals;

namespace
{

std::string const configuration = R"({"version":7,"unknown":1,"resources":[
{"resource_kind":"routes","metadata":{"name":"r1"},"spec":{
 "hostname":"a.example","path_prefix":"/x/","kind":"non_idempotent",
 "timeout_ms":1500,"target_latency_ms":500,"priority":1,"service":"s1",
 "max_attempts":2,"public":false}},
{"resource_kind":"routes","metadata":{"name":"r2"},"spec":{
 "hostname":"a.example","path_prefix":"/y/","kind":"download",
 "timeout_ms":1200,"target_latency_ms":400,"priority":2,
 "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
 "max_attempts":3,"public":true}},
{"resource_kind":"services","metadata":{"name":"s1"},"spec":{}},
{"resource_kind":"novelty","metadata":{"name":"n"},"spec":{}},
{"resource_kind":"tenants","metadata":{"name":"t1"},"spec":{
 "api_keys":["k1","k2"],"priority":0,"rate_per_s":48,"burst":40}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,
 "max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":9000}}]})";

std::string const entry =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"z1","version":"v1",)"
    R"("slots":2,"state":"ready","warmup_left_ms":3000,"sequence":4,)"
    R"("born":1700000000000})";

std::string
replaced(std::string text, std::string const& from, std::string const& to)
{
    auto const position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

bool is_rejected(std::string const& text)
{
    return std::holds_alternative<decode_failure>(decode_upstream("i-1", text));
}

} // namespace

TEST_CASE("a complete configuration is decoded")
{
    auto const decoded = decode_policy(configuration);
    REQUIRE(std::holds_alternative<fleet_policy>(decoded));
    auto const& policy = std::get<fleet_policy>(decoded);
    CHECK(policy.m_version == 7);
    REQUIRE(policy.m_routes.size() == 2);
    CHECK(!policy.m_routes[0].m_is_idempotent);
    CHECK(policy.m_routes[0].m_time_limit == 1500ms);
    CHECK(policy.m_routes[1].m_is_idempotent);
    CHECK(policy.m_routes[1].m_is_public);
    CHECK(policy.m_routes[1].m_weighted_services.size() == 2);
    CHECK(policy.m_routes[1].m_weighted_services[1].m_weight == 10);
    REQUIRE(policy.m_accounts.size() == 1);
    CHECK(policy.m_accounts[0].m_key_digests[1] == sha256_hex("k2"));
    CHECK(policy.m_accounts[0].m_rate == 48);
    CHECK(policy.m_limits.m_idle_timeout == 9000ms);
}

TEST_CASE("a configuration with an invalid part is rejected")
{
    // A partly decoded configuration would drop active routes or keys.
    for (auto const& change : std::vector<std::pair<std::string, std::string>>{
             {"\"non_idempotent\"", "\"maybe\""},
             {"\"timeout_ms\":1500", "\"timeout_ms\":\"1500\""},
             {"\"service\":\"s1\"", "\"service\":\"\""},
             {"\"version\":7", "\"version\":7.5"},
             {"\"weight\":90", "\"weight\":-1"},
             {"[\"k1\",\"k2\"]", "[1]"}})
    {
        CAPTURE(change.second);
        auto const text = replaced(configuration, change.first, change.second);
        CHECK(std::holds_alternative<decode_failure>(decode_policy(text)));
    }
}

TEST_CASE("an upstream entry with a missing or mistyped field is rejected")
{
    REQUIRE(!is_rejected(entry));
    auto const decoded = decode_upstream("i-1", entry);
    auto const& value = std::get<upstream_entry>(decoded);
    CHECK(value.m_upstream.m_id == "i-1");
    CHECK(value.m_start_time == 1700000000000);
    CHECK(value.m_warm_up_remaining == 3s);
    CHECK(is_rejected(replaced(entry, "\"ready\"", "\"sleepy\"")));
    CHECK(is_rejected(replaced(entry, "\"slots\":2", "\"slots\":\"2\"")));
    CHECK(is_rejected(replaced(entry, "\"slots\":2", "\"slots\":2.5")));
    CHECK(is_rejected(replaced(entry, "\"slots\":2", "\"slots\":-2")));
    CHECK(is_rejected(replaced(entry, "\"sequence\":4,", "")));
    CHECK(is_rejected(replaced(entry, "10.0.0.9:8080", "somewhere")));
    CHECK(is_rejected(replaced(entry, "1700000000000", "\"today\"")));
    CHECK(is_rejected(replaced(entry, "1700000000000", "1.5")));
    CHECK(is_rejected("[]"));
    CHECK(is_rejected("\xff\xfe"));
}

TEST_CASE("an upstream entry with values out of range is rejected")
{
    // Guards against entries of another writer that end the process or the
    // task that reads the list.
    for (auto const* number :
         {"1e400",
          "-1e400",
          "18446744073709551616",
          "9223372036854775808",
          "1e18",
          "1e999999999999",
          "NaN"})
    {
        CAPTURE(number);
        CHECK(is_rejected(replaced(
            entry, "\"slots\":2", "\"slots\":" + std::string{number})));
        CHECK(is_rejected(replaced(
            entry, "\"sequence\":4", "\"sequence\":" + std::string{number})));
        CHECK(is_rejected(replaced(
            entry,
            "\"warmup_left_ms\":3000",
            "\"warmup_left_ms\":" + std::string{number})));
        CHECK(is_rejected(replaced(entry, "1700000000000", number)));
    }
    for (auto const* address :
         {"10.0.0.9:70000",
          "10.0.0.9:-1",
          "10.0.0.9:0",
          "10.0.0.9:",
          "10.0.0.999:80",
          "10.0.0.9:8080 ",
          ":80",
          "10.0.0.9"})
    {
        CAPTURE(address);
        CHECK(is_rejected(replaced(entry, "10.0.0.9:8080", address)));
    }
}

TEST_CASE("a very deeply nested upstream entry is rejected")
{
    for (std::size_t const depth : {40UL, 100'000UL})
    {
        std::string const arrays =
            std::string(depth, '[') + std::string(depth, ']');
        CHECK(is_rejected(arrays));
        CHECK(is_rejected(
            replaced(entry, "\"slots\":2", "\"slots\":2,\"x\":" + arrays)));
        std::string objects;
        for (std::size_t i = 0; i < depth; ++i)
        {
            objects += R"({"a":)";
        }
        CHECK(is_rejected(objects + "1" + std::string(depth, '}')));
        CHECK(is_rejected(objects));
    }
}

TEST_CASE("binary records are decoded and truncated ones are rejected")
{
    std::string const first(8, '\0');
    std::string bytes = std::string(7, '\0') + '\x05' + first;
    bytes += encode_record("a", "one");
    bytes += encode_record("b", "");
    auto const decoded = decode_records(bytes, 3);
    REQUIRE(std::holds_alternative<store_page>(decoded));
    auto const& page = std::get<store_page>(decoded);
    CHECK(page.m_end == 5);
    CHECK(page.m_reaches_log_end);
    REQUIRE(page.m_records.size() == 2);
    CHECK(page.m_records[0] == store_record{"a", "one", 3});
    CHECK(page.m_records[1] == store_record{"b", std::nullopt, 4});
    for (std::size_t length = 17; length < bytes.size(); ++length)
    {
        auto const truncated = decode_records(bytes.substr(0, length), 3);
        bool const is_record_boundary = length == 16 + 8;
        CAPTURE(length);
        if (!is_record_boundary &&
            std::holds_alternative<store_page>(truncated))
        {
            CHECK(std::get<store_page>(truncated).m_end < 5);
        }
    }
}

TEST_CASE("a read does not continue after deleted records")
{
    // Guards against skipping a record that was added and deleted while the
    // read waited for it.
    std::string const offset_5 = std::string(7, '\0') + '\x05';
    auto const decoded = decode_records(offset_5 + offset_5, 4);
    REQUIRE(std::holds_alternative<store_failure>(decoded));
    CHECK(std::get<store_failure>(decoded) == store_failure::history_gone);
    CHECK(std::holds_alternative<store_page>(
        decode_records(offset_5 + offset_5, 5)));
}

TEST_CASE("a page of newest records is decoded with its continuation key")
{
    auto const decoded = decode_newest(
        R"({"items":[{"key":"config","value":"aGVsbG8=","offset":4}],)"
        R"("has_more":true,"end_offset":6})");
    REQUIRE(std::holds_alternative<newest_page>(decoded));
    auto const& page = std::get<newest_page>(decoded);
    CHECK(page.m_page.m_end == 6);
    CHECK(page.m_page.m_records[0] == store_record{"config", "hello", 4});
    CHECK(page.m_continue_after == "config");
    CHECK(std::holds_alternative<decode_failure>(
        decode_newest(R"({"items":[{"key":"a","value":"!","offset":4}],)"
                      R"("has_more":false,"end_offset":6})")));
}

TEST_CASE("settings are decoded, and an error names the invalid setting")
{
    std::string const text =
        R"({"node":"n1","ip":"10.1.0.1","zone":"z1",)"
        R"("listen":{"front":"10.1.0.1:80","ready":"10.1.0.1:81",)"
        R"("control":"10.1.0.1:82"},"internal_ports":[7000,7010],)"
        R"("seeds":["10.1.0.2:82"],"limits":{"max_fds":4100,"memory_mb":160},)"
        R"("bounds":["grace_s=6","retry_budget_extra=58","drain_ms=2500"],)"
        R"("bootstrap":true,"heartbeat_ms":1200,)"
        R"("platform":{"address":"10.9.0.1:90"},"new_field":{}})";
    auto const decoded = decode_settings(text);
    REQUIRE(std::holds_alternative<edge_settings>(decoded));
    auto const& settings = std::get<edge_settings>(decoded);
    CHECK(settings.m_peer_listen == "10.1.0.1:82");
    CHECK(settings.m_gossip_port == 7000);
    CHECK(settings.m_retries.m_extra == 58);
    CHECK(settings.m_upstream_update_limit == 2500ms);
    CHECK(settings.m_shutdown_grace_period == 6s);
    CHECK(settings.m_announcement_interval == 1200ms);
    CHECK(settings.m_max_connections == 3200);
    CHECK(settings.m_memory_limit == 160'000'000);
    CHECK(settings.m_is_bootstrap);
    auto const invalid =
        decode_settings(replaced(text, "\"grace_s=6\"", "\"grace_s=x\""));
    REQUIRE(std::holds_alternative<decode_failure>(invalid));
    CHECK(
        std::get<decode_failure>(invalid).m_reason.find("grace_s") !=
        std::string::npos);
}

TEST_CASE("random mutations of valid input never crash a decoder")
{
    // Other programs write to the store too, so its contents are untrusted.
    std::mt19937 generator{20261204};
    std::string records(16, '\0');
    records += encode_record("a", entry);
    std::vector<std::string> const inputs{configuration, entry, records};
    for (int iteration = 0; iteration < 20'000; ++iteration)
    {
        std::string text = inputs[generator() % inputs.size()];
        for (unsigned change = 0; change <= generator() % 4; ++change)
        {
            auto const position = generator() % text.size();
            switch (generator() % 3)
            {
            case 0:
                text[position] = static_cast<char>(generator());
                break;
            case 1:
                text.erase(position, generator() % 8);
                break;
            default:
                text.insert(
                    position, text.substr(generator() % text.size(), 5));
                break;
            }
            if (text.empty())
            {
                text = "x";
            }
        }
        static_cast<void>(decode_policy(text));
        static_cast<void>(decode_upstream("i", text));
        static_cast<void>(decode_newest(text));
        static_cast<void>(decode_settings(text));
        static_cast<void>(decode_records(text, 0));
    }
    CHECK(true);
}
