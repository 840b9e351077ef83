#ifndef BRIARHUB_TESTS_UPSTREAM_ARCHIVE_HPP
#define BRIARHUB_TESTS_UPSTREAM_ARCHIVE_HPP

/// Archives that are the same on every upstream: a first line that names
/// account and path, then bytes derived from both.

#include "content_digest.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace briarhub::stand_ins
{

inline bool is_archive_path(std::string_view path)
{
    return path.find("archive") != std::string_view::npos ||
           path.find("proof") != std::string_view::npos;
}

/// One step of the splitmix64 generator.
inline std::uint64_t next_splitmix(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t value = state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

inline std::string
make_archive(std::string_view account, std::string_view path, std::size_t bytes)
{
    std::string content =
        fmt::format("archive account={} path={}\n", account, path);
    std::uint64_t state = std::hash<std::string>{}(content);
    content.reserve(bytes + sizeof state);
    while (content.size() < bytes)
    {
        std::uint64_t const word = next_splitmix(state);
        content.append(reinterpret_cast<char const*>(&word), sizeof word);
    }
    content.resize(bytes);
    return content;
}

/// First and last byte of a `Range` field that names one range, if it lies
/// within `length`.
inline std::optional<std::pair<std::uint64_t, std::uint64_t>>
parse_range(std::string_view field, std::uint64_t length)
{
    constexpr std::string_view prefix = "bytes=";
    auto const dash = field.find('-');
    if (!field.starts_with(prefix) || dash == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::uint64_t first = 0;
    std::uint64_t last = length - 1;
    char const* const end = field.data() + field.size();
    std::from_chars(field.data() + prefix.size(), end, first);
    std::from_chars(field.data() + dash + 1, end, last);
    if (first > last || last >= length)
    {
        return std::nullopt;
    }
    return std::pair{first, last};
}

} // namespace briarhub::stand_ins

#endif
