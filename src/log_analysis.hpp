#ifndef BRIARHUB_LOG_ANALYSIS_HPP
#define BRIARHUB_LOG_ANALYSIS_HPP

/// Reads the log lines of edge processes: the story of one request, and
/// summaries. Files are read line by line, so memory does not grow with them.

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarhub
{

/// A line that concerns a request or that changed what a VM believed near it.
struct trace_line
{
    std::int64_t m_time_ms = 0;
    std::string m_vm;
    std::string m_event;
    std::string m_raw_line; ///< the line as it was written

    friend bool operator==(trace_line const&, trace_line const&) = default;
};

/// Lines without the form of an event are counted and skipped.
struct line_counts
{
    std::uint64_t m_lines = 0;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_suppressed = 0; ///< lines that the processes left out
};

/// Collects the lines of one request. Call `read` for each log, twice: the
/// first pass finds the request, the second what its VM decided near it.
class request_trace
{
public:
    explicit request_trace(std::string request_id);

    /// Finds the request's own lines.
    line_counts find_request(std::istream& log);

    /// Finds changes of belief of the same VMs shortly before its end.
    line_counts find_context(std::istream& log);

    /// All lines in order of time.
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

    /// Tables of counts, largest first, at most `rows` each.
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
