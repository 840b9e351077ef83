#include "load_report.hpp"

#include "result_code.hpp"

#include <boost/json/array.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace briarhub
{
namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

/// The P-square estimate of extreme quantiles is not usable with fewer.
constexpr std::uint64_t min_quantile_samples = 20;

/// The name of a result code, or the HTTP status.
std::string code_text(unsigned code)
{
    auto const results = all_results();
    auto const found = std::ranges::find(
        results, static_cast<result_code>(code), &result_info::m_code);
    return found == results.end() ? fmt::format("status {}", code)
                                  : fmt::format("{} {}", code, found->m_name);
}

std::uint64_t refused(load_counts const& counts)
{
    std::uint64_t sum = 0;
    for (auto const& [code, count] : counts.m_refused)
    {
        sum += count;
    }
    return sum;
}

std::string
quantile_text(std::uint64_t samples, std::chrono::duration<double> value)
{
    return samples < min_quantile_samples
               ? "-"
               : fmt::format("{:.1f}", milliseconds{value}.count());
}

boost::json::value
quantile_json(std::uint64_t samples, std::chrono::duration<double> value)
{
    if (samples < min_quantile_samples)
    {
        return nullptr;
    }
    return milliseconds{value}.count();
}

void append_row(
    std::string& text,
    std::string const& work,
    std::string const& account,
    load_counts const& counts)
{
    auto const latency = counts.m_latency.read();
    fmt::format_to(
        std::back_inserter(text),
        "{:<18} {:<14} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>7} {:>7} "
        "{:>8} {:>8} {:>8.1f} {:>7.2f}%\n",
        work,
        account,
        counts.m_sent,
        counts.m_ok,
        counts.m_within_target,
        refused(counts),
        counts.m_wrong,
        counts.m_incomplete,
        counts.m_broken,
        counts.m_timeout,
        counts.m_retries,
        quantile_text(latency.m_count, latency.m_p50),
        quantile_text(latency.m_count, latency.m_p99),
        milliseconds{latency.m_max}.count(),
        100.0 * counts.success_rate());
}

std::string header()
{
    return fmt::format(
        "{:<18} {:<14} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>7} {:>7} "
        "{:>8} {:>8} {:>8} {:>8}\n",
        "class",
        "account",
        "sent",
        "ok",
        "in time",
        "refused",
        "wrong",
        "cut",
        "broken",
        "timeout",
        "retries",
        "p50 ms",
        "p99 ms",
        "max ms",
        "success");
}

boost::json::object to_json(load_counts const& counts)
{
    boost::json::object refusals;
    for (auto const& [code, count] : counts.m_refused)
    {
        refusals[std::to_string(code)] = count;
    }
    auto const latency = counts.m_latency.read();
    return {
        {"sent", counts.m_sent},
        {"ok", counts.m_ok},
        {"within_target", counts.m_within_target},
        {"refused", refusals},
        {"wrong", counts.m_wrong},
        {"incomplete", counts.m_incomplete},
        {"broken", counts.m_broken},
        {"timeout", counts.m_timeout},
        {"retries", counts.m_retries},
        {"success_rate", counts.success_rate()},
        {"p50_ms", quantile_json(latency.m_count, latency.m_p50)},
        {"p90_ms", quantile_json(latency.m_count, latency.m_p90)},
        {"p99_ms", quantile_json(latency.m_count, latency.m_p99)},
        {"max_ms", milliseconds{latency.m_max}.count()}};
}

/// Short form for each second of a run.
boost::json::object
second_to_json(std::int64_t second, load_counts const& counts)
{
    return {
        {"second", second},
        {"sent", counts.m_sent},
        {"ok", counts.m_ok},
        {"within_target", counts.m_within_target},
        {"refused", refused(counts)},
        {"wrong", counts.m_wrong}};
}

} // namespace

void load_counts::add(load_sample const& sample)
{
    ++m_sent;
    m_retries += sample.m_retries;
    switch (sample.m_result)
    {
    case load_result::ok:
        ++m_ok;
        m_within_target += sample.m_within_target ? 1 : 0;
        m_latency.record(sample.m_latency);
        break;
    case load_result::refused:
        ++m_refused[sample.m_code];
        break;
    case load_result::wrong:
        ++m_wrong;
        break;
    case load_result::incomplete:
        ++m_incomplete;
        break;
    case load_result::broken:
        ++m_broken;
        break;
    case load_result::timeout:
        ++m_timeout;
        break;
    }
}

double load_counts::success_rate() const
{
    return m_sent == 0 ? 1.0
                       : static_cast<double>(m_within_target) /
                             static_cast<double>(m_sent);
}

void load_report::add(load_sample const& sample)
{
    m_total.add(sample);
    m_rows[{sample.m_class, sample.m_account}].add(sample);
    m_accounts[sample.m_account].add(sample);
    m_seconds[std::chrono::floor<std::chrono::seconds>(sample.m_offset).count()]
        .add(sample);
}

std::string load_report::to_table() const
{
    std::string text = header();
    for (auto const& [name, counts] : m_rows)
    {
        append_row(text, name.first, name.second, counts);
    }
    append_row(text, "total", "", m_total);
    for (auto const& [code, count] : m_total.m_refused)
    {
        fmt::format_to(
            std::back_inserter(text),
            "refused: {:>8} {}\n",
            count,
            code_text(code));
    }
    auto const worst = std::ranges::min_element(
        m_accounts,
        {},
        [](auto const& entry)
        {
            return entry.second.success_rate();
        });
    if (worst != m_accounts.end())
    {
        fmt::format_to(
            std::back_inserter(text),
            "worst-served account: {} {:.2f}%\n",
            worst->first,
            100.0 * worst->second.success_rate());
    }
    return text;
}

boost::json::object load_report::to_json() const
{
    boost::json::array rows;
    for (auto const& [name, counts] : m_rows)
    {
        boost::json::object row = briarhub::to_json(counts);
        row["class"] = name.first;
        row["account"] = name.second;
        rows.push_back(std::move(row));
    }
    boost::json::object accounts;
    for (auto const& [name, counts] : m_accounts)
    {
        accounts[name] = briarhub::to_json(counts);
    }
    boost::json::array seconds;
    for (auto const& [second, counts] : m_seconds)
    {
        seconds.push_back(second_to_json(second, counts));
    }
    return {
        {"total", briarhub::to_json(m_total)},
        {"accounts", std::move(accounts)},
        {"rows", std::move(rows)},
        {"seconds", std::move(seconds)}};
}

} // namespace briarhub
