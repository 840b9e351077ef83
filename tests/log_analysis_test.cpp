#include "log_analysis.hpp"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

using namespace briarhub;

namespace
{

std::string const log_text =
    R"({"time_ms":1000,"vm":"a","event":"policy","version":3}
{"time_ms":1500,"vm":"b","event":"policy","version":3}
not an event
{"time_ms":2000,"vm":"a","event":"request","request":"r1","route":"write",)"
    R"("account":"acme","outcome":"upstream_failure","attempts":)"
    R"([{"upstream":"u1","end":"answered","status":500}]}
{"time_ms":2100,"vm":"a","event":"request","request":"r2","route":"read",)"
    R"("account":"acme","outcome":"served","left_out":4,"attempts":[]}
{"time_ms":3000,"vm":"a","event":"policy","version":6}
{"cut off
)";

} // namespace

TEST_CASE("a request trace has its event and earlier state changes of its VM")
{
    // During an incident, only the request id and the logs are available.
    request_trace trace{"r1"};
    std::istringstream first_pass{log_text};
    auto const counts = trace.find_request(first_pass);
    CHECK(counts.m_skipped == 2);
    CHECK(counts.m_suppressed == 4);
    std::istringstream second_pass{log_text};
    trace.find_context(second_pass);
    auto const lines = trace.lines();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].m_event == "policy");
    CHECK(lines[0].m_vm == "a");
    CHECK(lines[1].m_event == "request");
    CHECK(lines[1].m_raw_line.find("\"status\":500") != std::string::npos);
}

TEST_CASE("a summary counts outcomes, accounts and upstreams")
{
    log_summary summary;
    std::istringstream log{log_text};
    CHECK(summary.read(log).m_lines == 7);
    auto const text = summary.to_text(5);
    CHECK(text.find("1  served  read") != std::string::npos);
    CHECK(text.find("1  upstream_failure  acme") != std::string::npos);
    CHECK(text.find("1  answered  u1") != std::string::npos);
}
