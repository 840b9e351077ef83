#include "metrics.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace briarhub
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantile_probabilities{0.5, 0.9, 0.99};

std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (char const c : value)
    {
        if (c == '"' || c == '\\')
        {
            escaped += '\\';
        }
        if (c == '\n')
        {
            escaped += "\\n";
            continue;
        }
        escaped += c;
    }
    return escaped;
}

/// Formats labels as they appear between the braces of a time series.
std::string format_labels(metric_labels const& labels)
{
    std::string text;
    for (auto const& [name, value] : labels)
    {
        if (!text.empty())
        {
            text += ',';
        }
        text += fmt::format("{}=\"{}\"", name, escape_label(value));
    }
    return text;
}

template <class Families>
auto& find_or_create(
    Families& families, std::string_view name, metric_labels const& labels)
{
    auto family = families.find(name);
    if (family == families.end())
    {
        family =
            families
                .emplace(std::string{name}, typename Families::mapped_type{})
                .first;
    }
    using series = typename Families::mapped_type::mapped_type::element_type;
    auto& series_ptr = family->second[format_labels(labels)];
    if (!series_ptr)
    {
        series_ptr = std::make_unique<series>();
    }
    return *series_ptr;
}

std::string with_braces(std::string const& labels)
{
    return labels.empty() ? std::string{} : '{' + labels + '}';
}

template <class Families>
void append_scalars(
    std::string& text, Families const& families, std::string_view type)
{
    for (auto const& [name, family] : families)
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} {}\n", name, type);
        for (auto const& [labels, series] : family)
        {
            fmt::format_to(
                std::back_inserter(text),
                "{}{} {}\n",
                name,
                with_braces(labels),
                series->value());
        }
    }
}

void append_summary(
    std::string& text,
    std::string const& name,
    std::string const& labels,
    latency_summary::values const& values)
{
    std::string const separator = labels.empty() ? "" : ",";
    std::array const quantiles{values.m_p50, values.m_p90, values.m_p99};
    for (std::size_t i = 0; i < quantiles.size(); ++i)
    {
        fmt::format_to(
            std::back_inserter(text),
            "{}{{{}{}quantile=\"{}\"}} {}\n",
            name,
            labels,
            separator,
            quantile_probabilities[i],
            quantiles[i].count());
    }
    fmt::format_to(
        std::back_inserter(text),
        "{0}_sum{1} {2}\n{0}_count{1} {3}\n{0}_max{1} {4}\n",
        name,
        with_braces(labels),
        values.m_sum.count(),
        values.m_count,
        values.m_max.count());
}

void append_histogram(
    std::string& text,
    std::string const& name,
    std::string const& labels,
    latency_histogram::values const& values)
{
    std::string const separator = labels.empty() ? "" : ",";
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < values.m_counts.size(); ++i)
    {
        total += values.m_counts[i];
        bool const is_last = i == latency_histogram::bucket_count;
        fmt::format_to(
            std::back_inserter(text),
            "{}_bucket{{{}{}le=\"{}\"}} {}\n",
            name,
            labels,
            separator,
            is_last ? "+Inf" : fmt::to_string(latency_histogram::bounds()[i]),
            total);
    }
    fmt::format_to(
        std::back_inserter(text),
        "{0}_sum{1} {2}\n{0}_count{1} {3}\n",
        name,
        with_braces(labels),
        values.m_sum.count(),
        total);
}

} // namespace

std::array<double, latency_histogram::bucket_count> const&
latency_histogram::bounds()
{
    static constexpr std::array<double, bucket_count> upper_bounds{
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0};
    return upper_bounds;
}

void latency_histogram::record(std::chrono::nanoseconds value) noexcept
{
    std::chrono::duration<double> const seconds = value;
    auto const bucket = std::ranges::lower_bound(bounds(), seconds.count());
    auto const index = static_cast<std::size_t>(bucket - bounds().begin());
    m_counts[index].fetch_add(1, std::memory_order_relaxed);
    m_sum_ns.fetch_add(value.count(), std::memory_order_relaxed);
}

latency_histogram::values latency_histogram::read() const noexcept
{
    values result;
    for (std::size_t i = 0; i < m_counts.size(); ++i)
    {
        result.m_counts[i] = m_counts[i].load(std::memory_order_relaxed);
    }
    result.m_sum =
        std::chrono::nanoseconds{m_sum_ns.load(std::memory_order_relaxed)};
    return result;
}

latency_summary::latency_summary()
    : m_seconds(acc::extended_p_square_probabilities = quantile_probabilities)
{
}

void latency_summary::record(std::chrono::nanoseconds value)
{
    std::scoped_lock const lock{m_mutex};
    m_seconds(std::chrono::duration<double>(value).count());
}

latency_summary::values latency_summary::read() const
{
    using seconds = std::chrono::duration<double>;
    std::scoped_lock const lock{m_mutex};
    values result;
    result.m_count = acc::count(m_seconds);
    if (result.m_count == 0)
    {
        return result;
    }
    result.m_sum = seconds{acc::sum(m_seconds)};
    result.m_max = seconds{acc::max(m_seconds)};
    result.m_p50 = seconds{acc::extended_p_square(m_seconds)[0]};
    result.m_p90 = seconds{acc::extended_p_square(m_seconds)[1]};
    result.m_p99 = seconds{acc::extended_p_square(m_seconds)[2]};
    return result;
}

counter& metrics_registry::get_counter(
    std::string_view name, metric_labels const& labels)
{
    std::scoped_lock const lock{m_mutex};
    return find_or_create(m_counters, name, labels);
}

gauge&
metrics_registry::get_gauge(std::string_view name, metric_labels const& labels)
{
    std::scoped_lock const lock{m_mutex};
    return find_or_create(m_gauges, name, labels);
}

latency_summary& metrics_registry::get_latency_summary(
    std::string_view name, metric_labels const& labels)
{
    std::scoped_lock const lock{m_mutex};
    return find_or_create(m_summaries, name, labels);
}

latency_histogram& metrics_registry::get_histogram(
    std::string_view name, metric_labels const& labels)
{
    std::scoped_lock const lock{m_mutex};
    return find_or_create(m_histograms, name, labels);
}

std::string metrics_registry::to_text() const
{
    std::scoped_lock const lock{m_mutex};
    std::string text;
    append_scalars(text, m_counters, "counter");
    append_scalars(text, m_gauges, "gauge");
    for (auto const& [name, summaries] : m_summaries)
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} summary\n", name);
        for (auto const& [labels, series] : summaries)
        {
            append_summary(text, name, labels, series->read());
        }
    }
    for (auto const& [name, histograms] : m_histograms)
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} histogram\n", name);
        for (auto const& [labels, series] : histograms)
        {
            append_histogram(text, name, labels, series->read());
        }
    }
    return text;
}

} // namespace briarhub
