#include "bench_result.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <openssl/sha.h>
#include <spdlog/fmt/fmt.h>

#include <array>

namespace briarhub
{
namespace
{

constexpr std::size_t signature_bytes = 8;

std::string to_text(std::optional<double> figure)
{
    return figure ? fmt::format("{:.6g}", *figure) : "-";
}

boost::json::value to_json(std::optional<double> figure)
{
    return figure ? boost::json::value(*figure) : boost::json::value();
}

boost::json::object to_json(bench_result const& result)
{
    return {
        {"name", result.m_name},
        {"unit", result.m_unit},
        {"baseline", to_json(result.m_baseline)},
        {"value", result.m_value},
        {"target", to_json(result.m_target)},
        {"seed", result.m_seed},
        {"command", result.m_command}};
}

} // namespace

std::string to_table(std::span<bench_result const> results)
{
    std::string text = fmt::format(
        "{:<58} {:>12} {:>12} {:>12}  {}\n",
        "figure",
        "baseline",
        "value",
        "target",
        "unit");
    for (bench_result const& result : results)
    {
        text += fmt::format(
            "{:<58} {:>12} {:>12} {:>12}  {}\n",
            result.m_name,
            to_text(result.m_baseline),
            to_text(result.m_value),
            to_text(result.m_target),
            result.m_unit);
    }
    return text;
}

std::string to_json_text(std::span<bench_result const> results)
{
    boost::json::array list;
    for (bench_result const& result : results)
    {
        list.push_back(to_json(result));
    }
    boost::json::object const document{
        {"results", std::move(list)}, {"signature", signature(results)}};
    return boost::json::serialize(document);
}

std::string signature(std::span<bench_result const> results)
{
    std::string text;
    for (bench_result const& result : results)
    {
        text += fmt::format(
            "{}={}/{}\n",
            result.m_name,
            to_text(result.m_baseline),
            to_text(result.m_value));
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(
        reinterpret_cast<unsigned char const*>(text.data()),
        text.size(),
        digest.data());
    std::string hex;
    for (std::size_t i = 0; i < signature_bytes; ++i)
    {
        hex += fmt::format("{:02x}", digest.at(i));
    }
    return hex;
}

} // namespace briarhub
