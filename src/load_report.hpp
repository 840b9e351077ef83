#ifndef BRIARHUB_LOAD_REPORT_HPP
#define BRIARHUB_LOAD_REPORT_HPP

/// Counts and latency quantiles of a run of briar-load.

#include "load_check.hpp"
#include "metrics.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace briarhub
{

/// The end of one request, after its retries.
struct load_sample
{
    std::string m_class;
    std::string m_account;
    std::chrono::milliseconds m_offset{}; ///< arrival since the start
    std::chrono::nanoseconds m_latency{}; ///< from arrival to the end
    bool m_within_target = false;
    load_result m_result = load_result::broken;
    unsigned m_code = 0; ///< of a refusal
    unsigned m_retries = 0;
};

/// Counts of a group of requests.
struct load_counts
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_ok = 0;
    std::uint64_t m_within_target = 0;
    std::uint64_t m_wrong = 0;
    std::uint64_t m_incomplete = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_timeout = 0;
    std::uint64_t m_retries = 0;
    std::map<unsigned, std::uint64_t> m_refused; ///< by code
    latency_summary m_latency;                   ///< of `ok` requests

    void add(load_sample const& sample);

    /// Share of requests answered within the target; 1 without requests.
    [[nodiscard]] double success_rate() const;
};

class load_report
{
public:
    void add(load_sample const& sample);

    /// A table for people.
    [[nodiscard]] std::string to_table() const;

    /// The same figures, and counts for each second of the run.
    [[nodiscard]] boost::json::object to_json() const;

    [[nodiscard]] load_counts const& total() const
    {
        return m_total;
    }

private:
    using row_name = std::pair<std::string, std::string>;

    load_counts m_total;
    std::map<row_name, load_counts> m_rows; ///< by class and account
    std::map<std::string, load_counts> m_accounts;
    std::map<std::int64_t, load_counts> m_seconds;
};

} // namespace briarhub

#endif
