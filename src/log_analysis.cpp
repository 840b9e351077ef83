#include "log_analysis.hpp"

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

/// State changes up to this long before an event of the request belong to its
/// trace. Twice the longest time bound on the propagation of a change.
constexpr std::int64_t context_window_ms = 5000;

/// Limit of the keys in one table of a summary. Further keys are counted
/// together, so that memory use stays bounded.
constexpr std::size_t max_table_keys = 10'000;

constexpr std::string_view overflow_key = "(others)";

constexpr std::int64_t ms_per_second = 1000;

std::optional<json::object> parse_event(std::string_view line)
{
    // Benchmarks may prefix the line with columns of their own.
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

std::string string_field(json::object const& event, std::string_view name)
{
    auto const* value = event.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string{value->get_string()}
               : std::string{};
}

std::int64_t integer_field(json::object const& event, std::string_view name)
{
    auto const* value = event.if_contains(name);
    boost::system::error_code error;
    return value != nullptr && value->is_number()
               ? value->to_number<std::int64_t>(error)
               : 0;
}

/// Calls `on_event` for each event and counts all lines.
template <class Handler>
line_counts read_events(std::istream& log, Handler on_event)
{
    line_counts counts;
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
        counts.m_suppressed +=
            static_cast<std::uint64_t>(integer_field(*event, "left_out"));
        on_event(*event, line);
    }
    return counts;
}

trace_line make_trace_line(json::object const& event, std::string const& line)
{
    return {
        integer_field(event, "time_ms"),
        string_field(event, "vm"),
        string_field(event, "event"),
        line.substr(line.find('{'))};
}

void count(std::map<std::string, std::uint64_t>& table, std::string name)
{
    bool const is_full =
        table.size() >= max_table_keys && !table.contains(name);
    ++table[is_full ? std::string{overflow_key} : std::move(name)];
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

request_trace::request_trace(std::string request_id)
    : m_request_id(std::move(request_id))
{
}

line_counts request_trace::find_request(std::istream& log)
{
    return read_events(
        log,
        [this](json::object const& event, std::string const& line)
        {
            if (string_field(event, "request") == m_request_id)
            {
                m_request_lines.push_back(make_trace_line(event, line));
            }
        });
}

line_counts request_trace::find_context(std::istream& log)
{
    return read_events(
        log,
        [this](json::object const& event, std::string const& line)
        {
            if (event.contains("request"))
            {
                return;
            }
            auto const candidate = make_trace_line(event, line);
            bool const is_in_window = std::ranges::any_of(
                m_request_lines,
                [&](trace_line const& request_line)
                {
                    return request_line.m_vm == candidate.m_vm &&
                           candidate.m_time_ms <= request_line.m_time_ms &&
                           request_line.m_time_ms - candidate.m_time_ms <=
                               context_window_ms;
                });
            if (is_in_window)
            {
                m_context_lines.push_back(candidate);
            }
        });
}

std::vector<trace_line> request_trace::lines() const
{
    std::vector<trace_line> all = m_request_lines;
    all.insert(all.end(), m_context_lines.begin(), m_context_lines.end());
    std::ranges::stable_sort(all, {}, &trace_line::m_time_ms);
    return all;
}

line_counts log_summary::read(std::istream& log)
{
    return read_events(
        log,
        [this](json::object const& event, std::string const&)
        {
            if (string_field(event, "event") != "request")
            {
                return;
            }
            auto const outcome = string_field(event, "outcome");
            auto const route = string_field(event, "route");
            count(m_by_outcome, outcome + "  " + route);
            if (outcome == "served")
            {
                return;
            }
            count(
                m_failed_by_account,
                outcome + "  " + string_field(event, "account"));
            count(
                m_failed_by_second,
                std::to_string(
                    integer_field(event, "time_ms") / ms_per_second));
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
                        string_field(*attempt, "end") + "  " +
                            string_field(*attempt, "upstream"));
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
