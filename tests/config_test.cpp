#include "config.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

using namespace briarhub;
namespace json = boost::json;

namespace
{

/// Finds the file from any working directory below the repository's root.
std::string read_example(std::string const& name)
{
    namespace fs = std::filesystem;
    std::string const path = "examples/" + name + ".json";
    fs::path root = fs::current_path();
    while (!fs::exists(root / path) && root.has_relative_path())
    {
        root = root.parent_path();
    }
    std::ifstream file{root / path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

config load(std::string const& text)
{
    auto parsed = parse_config(text);
    if (auto const* const errors = std::get_if<config_errors>(&parsed))
    {
        for (config_error const& error : *errors)
        {
            MESSAGE(error.m_path << " " << error.m_message);
        }
    }
    REQUIRE(std::holds_alternative<config>(parsed));
    return std::get<config>(parsed);
}

/// Errors of the example after the value at a path is replaced or, if null,
/// removed.
config_errors
errors_with(std::vector<std::string> const& path, json::value const& value)
{
    json::value text = json::parse(read_example("kolamba"));
    json::value* node = &text;
    for (std::size_t i = 0; i + 1 < path.size(); ++i)
    {
        node = &node->as_object()[path[i]];
    }
    if (!value.is_null())
    {
        node->as_object()[path.back()] = value;
    }
    else
    {
        node->as_object().erase(path.back());
    }
    auto parsed = parse_config(json::serialize(text));
    auto const* const errors = std::get_if<config_errors>(&parsed);
    return errors == nullptr ? config_errors{} : *errors;
}

} // namespace

TEST_CASE("the example configurations are valid and survive a round trip")
{
    // An invalid example fails at its first use; one that marks a repayment as
    // idempotent would let it run twice.
    for (std::string const name : {"kairouan", "kolamba"})
    {
        config const example = load(read_example(name));
        CHECK(example.m_accounts.size() == 8);
        CHECK(load(to_json_text(example)) == example);
        for (auto const& [class_name, work_class] : example.m_work_classes)
        {
            CHECK(work_class.m_idempotent == (work_class.m_method == "GET"));
            CHECK(
                work_class.m_archive ==
                (class_name.find("archive") != std::string::npos));
        }
    }
}

TEST_CASE("errors state the path of the field")
{
    // Without the path an operator cannot find the field in a large file. A
    // missing check would activate an unusable configuration.
    struct invalid_field
    {
        std::vector<std::string> m_path;
        json::value m_value;
        std::string m_error_path;
    };
    std::string const preview = "work_classes.preview";
    std::vector<std::string> const at_preview{"work_classes", "preview"};
    auto const in_preview =
        [&](std::string const& field, json::value const& value)
    {
        std::vector<std::string> path = at_preview;
        path.push_back(field);
        return invalid_field{path, value, preview + "." + field};
    };
    std::string const key = "groomers-guild-1";
    std::vector<invalid_field> const cases{
        in_preview("deadline_ms", 10),
        in_preview("deadline_ms", 3'600'001),
        in_preview("deadline_ms", 10.5),
        in_preview("latency_target_ms", 0),
        in_preview("success_target", 0),
        in_preview("success_target", 1.01),
        in_preview("service", "nowhere"),
        in_preview("service", json::value{}),
        in_preview("method", "get"),
        in_preview("path_prefix", "/previews/"),
        in_preview("path_prefix", "/a/../b"),
        in_preview("path_prefix", "/a?b"),
        in_preview("accounts", json::value(json::array{"nobody"})),
        in_preview("deadline", 5),
        in_preview("idempotent", "yes"),
        {{"services", "order-desk", "floor"}, 1.5, "services.order-desk.floor"},
        {{"services", "a b"}, json::object{}, "services.a b"},
        {{"service"}, json::object{}, "service"},
        {{"accounts", "groomers-guild", "burst"},
         0.5,
         "accounts.groomers-guild.burst"},
        {{"accounts", "groomers-guild", "rate_per_s"},
         1e300,
         "accounts.groomers-guild.rate_per_s"},
        {{"keys", key, "digest"}, "AB", "keys." + key + ".digest"},
        {{"keys", key, "account"}, "nobody", "keys." + key + ".account"},
        {{"detection", "false_ejections_per_hour"},
         0,
         "detection.false_ejections_per_hour"},
        {{"work_classes", "engraving-order", "archive"},
         true,
         "work_classes.engraving-order.archive"}};
    for (invalid_field const& invalid : cases)
    {
        config_errors const errors =
            errors_with(invalid.m_path, invalid.m_value);
        CAPTURE(invalid.m_error_path);
        REQUIRE(errors.size() == 1);
        CHECK(errors[0].m_path == invalid.m_error_path);
        CHECK(errors[0].m_message.size() > 10);
    }
}

TEST_CASE("two work classes must not have the same method and path prefix")
{
    // Otherwise the route of a request would depend on the order of the
    // classes.
    auto const path = [](char const* field)
    {
        return std::vector<std::string>{
            "work_classes", "engraving-order", field};
    };
    CHECK(errors_with(path("path_prefix"), "/previews").empty());
    config both = load(read_example("kolamba"));
    both.m_work_classes["preview"].m_method = "POST";
    both.m_work_classes["preview"].m_path_prefix = "/engraving-orders";
    config_errors const errors = validate(both);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].m_path == "work_classes.preview.path_prefix");
}

TEST_CASE("applying a diff yields the target configuration")
{
    // briarctl sends the diff; a missing operation would leave a part of the
    // old configuration active.
    config const from = load(read_example("kairouan"));
    config const to = load(read_example("kolamba"));
    config result = from;
    for (config_operation const& operation : diff(from, to))
    {
        json::value const text =
            json::parse(json::serialize(to_json(operation)));
        auto parsed = parse_operation(text, "operations[0]");
        REQUIRE(std::holds_alternative<config_operation>(parsed));
        briarhub::apply(result, std::get<config_operation>(parsed));
    }
    CHECK(result == to);
    CHECK(diff(to, to).empty());
}

TEST_CASE("invalid operations are rejected with their path")
{
    // A misparsed operation would make another change than the operator
    // requested.
    auto const first_path = [](char const* text) -> std::string
    {
        auto parsed = parse_operation(json::parse(text), "operations[2]");
        auto const* const errors = std::get_if<config_errors>(&parsed);
        return errors == nullptr ? "" : errors->front().m_path;
    };
    CHECK(first_path(R"([])") == "operations[2]");
    CHECK(first_path(R"({"op":"drop"})") == "operations[2].op");
    CHECK(first_path(R"({"op":"withdraw_key"})") == "operations[2].name");
    CHECK(
        first_path(R"({"op":"withdraw_key","name":"k","x":1})") ==
        "operations[2].x");
    CHECK(
        first_path(R"({"op":"put_account","name":"a","burst":1})") ==
        "operations[2].rate_per_s");
}

TEST_CASE("numbers survive a round trip through JSON unchanged")
{
    // Boost.JSON 1.81 may parse a decimal with an error of one bit, so that a
    // state read from a snapshot would differ from the original and VMs would
    // diverge.
    constexpr std::uint32_t seed = 11;
    MESSAGE("seed " << seed);
    std::mt19937 random{seed};
    std::uniform_real_distribution<double> rates{1, 1e6};
    config configuration = load(read_example("kolamba"));
    for (int i = 0; i < 2000; ++i)
    {
        configuration.m_accounts["groomers-guild"].m_rate = rates(random);
        config const reparsed = load(to_json_text(configuration));
        REQUIRE(load(to_json_text(reparsed)) == reparsed);
    }
}

TEST_CASE("corrupted text is rejected or yields a valid configuration")
{
    // Every VM reads the same text, so a crash or an unchecked value would
    // affect the whole fleet.
    constexpr std::uint32_t seed = 12;
    MESSAGE("seed " << seed);
    std::mt19937 random{seed};
    std::string const text = to_json_text(load(read_example("kolamba")));
    int rejected = 0;
    for (int i = 0; i < 3000; ++i)
    {
        std::string corrupted = text;
        for (unsigned n = random() % 3 + 1; n > 0; --n)
        {
            corrupted[random() % corrupted.size()] =
                static_cast<char>(random());
        }
        auto const parsed = parse_config(corrupted);
        auto const* const result = std::get_if<config>(&parsed);
        rejected += result == nullptr ? 1 : 0;
        CHECK((result == nullptr || validate(*result).empty()));
    }
    CHECK(rejected > 1000);
    std::string const deep(100'000, '[');
    CHECK(std::holds_alternative<config_errors>(parse_config(deep)));
}
