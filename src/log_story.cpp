#include "log_story.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <istream>
#include <iterator>
#include <optional>
#include <utility>

namespace briarhub
{
namespace
{

namespace json = boost::json;

/// Changes of belief up to this long before a request's line belong to its
/// story: twice the longest bound on a change.
constexpr std::int64_t context_ms = 5000;

/// Names that are kept in one table of a summary; further ones are counted
/// together, so that memory stays bounded.
constexpr std::size_t max_names = 10'000;

constexpr std::string_view other_names = "(others)";

constexpr std::int64_t ms_per_second = 1000;

std::optional<json::object> parse_event(std::string_view line)
{
    // A bench may write its own columns before the line.
    auto const start = line.find('{');
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto value = json::parse(line.substr(start), error);
    if (error || !value.is_object() || !value.get_object().contains("event"))
    {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::string text_of(json::object const& event, std::string_view name)
{
    auto const* value = event.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string{value->get_string()}
               : std::string{};
}

std::int64_t number_of(json::object const& event, std::string_view name)
{
    auto const* value = event.if_contains(name);
    boost::system::error_code error;
    return value != nullptr && value->is_number()
               ? value->to_number<std::int64_t>(error)
               : 0;
}

/// Calls `take` for each event and counts the other lines.
template <class Take>
read_counts read_events(std::istream& log, Take take)
{
    read_counts counts;
    std::string line;
    while (std::getline(log, line))
    {
        ++counts.m_lines;
        auto const event = parse_event(line);
        if (!event)
        {
            ++counts.m_skipped;
            continue;
        }
        counts.m_left_out +=
            static_cast<std::uint64_t>(number_of(*event, "left_out"));
        take(*event, line);
    }
    return counts;
}

story_line make_line(json::object const& event, std::string const& line)
{
    return {
        number_of(event, "time_ms"),
        text_of(event, "vm"),
        text_of(event, "event"),
        line.substr(line.find('{'))};
}

void count(std::map<std::string, std::uint64_t>& table, std::string name)
{
    bool const is_full = table.size() >= max_names && !table.contains(name);
    ++table[is_full ? std::string{other_names} : std::move(name)];
}

void append_table(
    std::string& text,
    std::string_view title,
    std::map<std::string, std::uint64_t> const& table,
    std::size_t rows)
{
    std::vector<std::pair<std::string, std::uint64_t>> sorted{
        table.begin(), table.end()};
    std::ranges::stable_sort(
        sorted,
        [](auto const& a, auto const& b)
        {
            return a.second > b.second;
        });
    fmt::format_to(std::back_inserter(text), "{}\n", title);
    for (std::size_t i = 0; i < std::min(rows, sorted.size()); ++i)
    {
        fmt::format_to(
            std::back_inserter(text),
            "{:>10}  {}\n",
            sorted[i].second,
            sorted[i].first);
    }
}

} // namespace

request_story::request_story(std::string request_id)
    : m_request_id(std::move(request_id))
{
}

read_counts request_story::find_request(std::istream& log)
{
    return read_events(
        log,
        [this](json::object const& event, std::string const& line)
        {
            if (text_of(event, "request") == m_request_id)
            {
                m_own.push_back(make_line(event, line));
            }
        });
}

read_counts request_story::find_context(std::istream& log)
{
    return read_events(
        log,
        [this](json::object const& event, std::string const& line)
        {
            if (event.contains("request"))
            {
                return;
            }
            auto const candidate = make_line(event, line);
            bool const is_near = std::ranges::any_of(
                m_own,
                [&](story_line const& own)
                {
                    return own.m_vm == candidate.m_vm &&
                           candidate.m_time_ms <= own.m_time_ms &&
                           own.m_time_ms - candidate.m_time_ms <= context_ms;
                });
            if (is_near)
            {
                m_context.push_back(candidate);
            }
        });
}

std::vector<story_line> request_story::lines() const
{
    std::vector<story_line> all = m_own;
    all.insert(all.end(), m_context.begin(), m_context.end());
    std::ranges::stable_sort(all, {}, &story_line::m_time_ms);
    return all;
}

read_counts log_summary::read(std::istream& log)
{
    return read_events(
        log,
        [this](json::object const& event, std::string const&)
        {
            if (text_of(event, "event") != "request")
            {
                return;
            }
            auto const outcome = text_of(event, "outcome");
            auto const route = text_of(event, "route");
            count(m_by_outcome, outcome + "  " + route);
            if (outcome == "served")
            {
                return;
            }
            count(
                m_failed_by_account,
                outcome + "  " + text_of(event, "account"));
            count(
                m_failed_by_second,
                std::to_string(number_of(event, "time_ms") / ms_per_second));
            auto const* attempts = event.if_contains("attempts");
            if (attempts == nullptr || !attempts->is_array())
            {
                return;
            }
            for (auto const& item : attempts->get_array())
            {
                if (auto const* attempt = item.if_object())
                {
                    count(
                        m_failed_by_upstream,
                        text_of(*attempt, "end") + "  " +
                            text_of(*attempt, "upstream"));
                }
            }
        });
}

std::string log_summary::to_text(std::size_t rows) const
{
    std::string text;
    append_table(text, "requests by outcome and route", m_by_outcome, rows);
    append_table(
        text, "not served, by outcome and account", m_failed_by_account, rows);
    append_table(
        text,
        "not served, by end of the attempt and upstream",
        m_failed_by_upstream,
        rows);
    append_table(
        text, "not served, by second (Unix time)", m_failed_by_second, rows);
    return text;
}

} // namespace briarhub
