#ifndef BRIARHUB_METRICS_HPP
#define BRIARHUB_METRICS_HPP

/// Metrics of a process: counters, gauges, latency summaries and histograms,
/// exported in the Prometheus text format.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhub
{

/// Label names and values that identify a time series of a metric.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Monotonic counter. Thread-safe.
class counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A value that can increase and decrease. Thread-safe.
class gauge
{
public:
    void set(double value) noexcept
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    [[nodiscard]] double value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value{0.0};
};

/// Estimates latency quantiles over the lifetime of the process. Thread-safe.
class latency_summary
{
public:
    latency_summary();

    void record(std::chrono::nanoseconds value);

    struct values
    {
        std::uint64_t m_count = 0;
        std::chrono::duration<double> m_sum{};
        std::chrono::duration<double> m_p50{};
        std::chrono::duration<double> m_p90{};
        std::chrono::duration<double> m_p99{};
        std::chrono::duration<double> m_max{};
    };

    [[nodiscard]] values read() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count,
            boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex m_mutex;
    accumulator m_seconds;
};

/// Latency histogram with fixed bucket bounds, so that the histograms of
/// several processes can be added up. Thread-safe.
class latency_histogram
{
public:
    static constexpr std::size_t bucket_count = 12;

    /// Upper bounds of the buckets in seconds; the overflow bucket has none.
    static std::array<double, bucket_count> const& bounds();

    void record(std::chrono::nanoseconds value) noexcept;

    struct values
    {
        std::array<std::uint64_t, bucket_count + 1> m_counts{};
        std::chrono::duration<double> m_sum{};
    };

    [[nodiscard]] values read() const noexcept;

private:
    std::array<std::atomic<std::uint64_t>, bucket_count + 1> m_counts{};
    std::atomic<std::int64_t> m_sum_ns{0};
};

/// Owns all time series of a process. The returned references stay valid for
/// the lifetime of the registry, so that hot paths can look a series up once.
class metrics_registry
{
public:
    counter&
    get_counter(std::string_view name, metric_labels const& labels = {});
    gauge& get_gauge(std::string_view name, metric_labels const& labels = {});
    latency_summary& get_latency_summary(
        std::string_view name, metric_labels const& labels = {});
    latency_histogram&
    get_histogram(std::string_view name, metric_labels const& labels = {});

    /// All series in the Prometheus text exposition format.
    [[nodiscard]] std::string to_text() const;

private:
    template <class Series>
    using family = std::map<std::string, std::unique_ptr<Series>>;

    template <class Series>
    using families = std::map<std::string, family<Series>, std::less<>>;

    mutable std::mutex m_mutex;
    families<counter> m_counters;
    families<gauge> m_gauges;
    families<latency_summary> m_summaries;
    families<latency_histogram> m_histograms;
};

} // namespace briarhub

#endif
