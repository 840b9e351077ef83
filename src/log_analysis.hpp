#ifndef BRIARHUB_LOG_ANALYSIS_HPP
#define BRIARHUB_LOG_ANALYSIS_HPP

/// Analysis of the event logs of edge processes, for the `briarctl` commands:
/// a trace of one request across VMs, and summaries of request outcomes. Files
/// are read line by line, so memory use does not grow with their size.

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

/// A log event of a request, or a state change of its VM shortly before it.
struct trace_line
{
    std::int64_t m_time_ms = 0;
    std::string m_vm;
    std::string m_event;
    std::string m_raw_line; ///< the JSON object as it was logged

    friend bool operator==(trace_line const&, trace_line const&) = default;
};

/// Line counts of one log. Lines that are not events are skipped.
struct line_counts
{
    std::uint64_t m_lines = 0;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_suppressed = 0; ///< lines dropped by the rate limit
};

/// Collects the events of one request and the state changes of its VMs shortly
/// before. Call `find_request` for every log first, then `find_context` for
/// every log.
class request_trace
{
public:
    explicit request_trace(std::string request_id);

    /// Collects the events of the request.
    line_counts find_request(std::istream& log);

    /// Collects state changes of the same VMs shortly before those events.
    line_counts find_context(std::istream& log);

    /// Returns all collected events in chronological order.
    [[nodiscard]] std::vector<trace_line> lines() const;

private:
    std::string m_request_id;
    std::vector<trace_line> m_request_lines;
    std::vector<trace_line> m_context_lines;
};

/// Counts requests by outcome, route, account, upstream and second.
class log_summary
{
public:
    line_counts read(std::istream& log);

    /// Formats the tables of counts, largest first, with at most `rows` rows
    /// each.
    [[nodiscard]] std::string to_text(std::size_t rows) const;

private:
    using table = std::map<std::string, std::uint64_t>;

    table m_by_outcome;
    table m_failed_by_account;
    table m_failed_by_upstream;
    table m_failed_by_second;
};

} // namespace briarhub

#endif
